package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/shard"
	"basilcross.example/gateway/hop"
	"basilcross.example/gateway/view"
)

const (
	// maxBufferedBody is the largest body held in memory, which makes a request
	// repeatable and an answer complete before its first byte is passed on.
	maxBufferedBody = 64 << 10
	// maxOwnerWait bounds the time that a request waits for its key's next owner.
	maxOwnerWait = 1500 * time.Millisecond
	// ownerPollInterval is the longest wait before the present owner is asked again:
	// its lease may have come back without a new assignment.
	ownerPollInterval = 50 * time.Millisecond
	shedBackoff       = 20 * time.Millisecond
)

// call is one caller's request.
type call struct {
	service  string
	kindName string
	key      string
	keyHash  uint64
	kind     view.Kind
	deadline time.Duration
	// ownerWaitEnd is when waiting for an owner ends.
	ownerWaitEnd time.Time
	shedCount    int

	method string
	uri    string
	host   string
	header http.Header
	// body is complete if buffered; else the caller's body is streamed, and
	// the request can be sent once only.
	body          []byte
	buffered      bool
	bodyStream    io.Reader
	contentLength int64
	streamSent    bool
	// cancel ends what the call still holds, after its answer was passed on.
	cancel context.CancelFunc
}

// readCall reads what there is to know of a request before it is sent anywhere.
// The call is usable for metrics also with a refusal.
func (f *Front) readCall(r *http.Request) (*call, *refusal.Error) {
	c := &call{
		service:       r.PathValue("service"),
		kindName:      r.PathValue("kind"),
		key:           r.PathValue("key"),
		method:        r.Method,
		uri:           r.URL.RequestURI(),
		host:          r.Host,
		contentLength: r.ContentLength,
		cancel:        func() {},
	}
	s := f.View.Load()
	if s.Config == nil {
		return c, &refusal.Error{
			Cause: refusal.NoConfig, Outcome: refusal.DidNotRun, RetryAfter: time.Second,
			Detail: "no configuration is in force on this instance yet",
		}
	}
	if refused := c.classify(s, f.Zone); refused != nil {
		return c, refused
	}
	if refused := c.setDeadline(r); refused != nil {
		return c, refused
	}
	if c.key == "" {
		return c, refusal.New(refusal.BadRequest, "the path has no key: want /service/kind/key")
	}
	c.keyHash = shard.Hash(c.service, c.key)
	c.header = forwardedHeader(r)
	return c, c.readBody(r)
}

func (c *call) classify(s *view.Snapshot, zone string) *refusal.Error {
	kind, ok := s.Kind(zone, c.service, c.kindName, c.key)
	if ok {
		c.kind = kind
		return nil
	}
	if _, known := s.Config.Service(c.service); !known {
		refused := refusal.New(refusal.UnknownService, "no service "+strconv.Quote(c.service))
		c.service, c.kindName = "", ""
		return refused
	}
	refused := refusal.New(refusal.UnknownKind, "service "+c.service+" has no kind "+strconv.Quote(c.kindName))
	c.kindName = ""
	return refused
}

// setDeadline takes the kind's deadline, or the caller's if that is shorter.
func (c *call) setDeadline(r *http.Request) *refusal.Error {
	c.deadline = time.Duration(*c.kind.Rules.Deadline)
	if text := r.Header.Get(grant.DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.BadRequest, grant.DeadlineHeader+": want a positive number of milliseconds")
		}
		c.deadline = min(c.deadline, time.Duration(ms)*time.Millisecond)
	}
	// Given up with time left, the refusal can name the owner as its cause.
	c.ownerWaitEnd = time.Now().Add(min(maxOwnerWait, c.deadline*3/4))
	return nil
}

func (c *call) readBody(r *http.Request) *refusal.Error {
	limit := int64(*c.kind.Rules.BodyLimit)
	if r.ContentLength > limit {
		return refusal.New(refusal.BodyTooLarge, "the body is larger than its kind allows")
	}
	if r.ContentLength == 0 {
		c.buffered = true
		return nil
	}
	limited := http.MaxBytesReader(nil, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(limited, maxBufferedBody+1))
	if err != nil {
		return bodyReadRefusal(err)
	}
	if len(head) <= maxBufferedBody {
		c.body, c.buffered, c.contentLength = head, true, int64(len(head))
		return nil
	}
	c.bodyStream = io.MultiReader(bytes.NewReader(head), limited)
	return nil
}

func bodyReadRefusal(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.BodyTooLarge, "the body is larger than its kind allows")
	}
	return refusal.New(refusal.BadRequest, "the body could not be read: "+err.Error())
}

// newBodyReader returns the body for one sending, and the length to announce.
func (c *call) newBodyReader() (io.Reader, int64) {
	if !c.buffered {
		return c.bodyStream, c.contentLength
	}
	if len(c.body) == 0 {
		return nil, 0
	}
	return bytes.NewReader(c.body), int64(len(c.body))
}

// backOffAfterShed pauses after a target had no slot; longer each time.
func (c *call) backOffAfterShed(ctx context.Context) bool {
	c.shedCount++
	pause := shedBackoff * time.Duration(c.shedCount)
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// forwardedHeader returns the headers to pass on. Headers by which targets know what
// a gateway says are never taken from callers.
func forwardedHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	hop.Remove(h)
	for _, name := range []string{"Expect", "Content-Length", grant.EpochHeader, grant.HashHeader, grant.DeadlineHeader} {
		h.Del(name)
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if prior := h.Get("X-Forwarded-For"); prior != "" {
			host = prior + ", " + host
		}
		h.Set("X-Forwarded-For", host)
	}
	return h
}
