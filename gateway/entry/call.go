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
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/shard"
	"basilcross.example/gateway/hopheader"
	"basilcross.example/gateway/view"
)

const (
	// maxBufferedBody is the largest body held in memory. Such a request can be
	// retried; such a response is complete before its first byte is forwarded.
	maxBufferedBody = 64 << 10
	// maxOwnerWait limits how long a request waits for its key's next owner.
	maxOwnerWait = 1500 * time.Millisecond
	// ownerPollInterval is the longest wait before the current owner is tried
	// again: its lease may have been renewed without a new assignment.
	ownerPollInterval = 50 * time.Millisecond
	// shedBackoff is the mean wait after the first shed attempt.
	shedBackoff = 20 * time.Millisecond
)

// call is one caller's request.
type call struct {
	service  string
	kindName string
	key      string
	keyHash  uint64
	kind     view.Kind
	deadline time.Duration
	// ownerWaitEnd is the end of the time to wait for an owner.
	ownerWaitEnd time.Time
	shedCount    int

	method string
	uri    string
	host   string
	header http.Header
	// body is complete if buffered; otherwise bodyStream is the caller's body,
	// and the request can be sent only once.
	body       []byte
	buffered   bool
	bodyStream io.Reader
	// bodyEnded is set once bodyStream was read to its end.
	bodyEnded     atomic.Bool
	contentLength int64
	streamSent    bool
	// cancel releases the call's resources after its response was forwarded.
	cancel context.CancelFunc
}

// readCall validates a request and reads its limits, key and body. The call can
// be used for metrics even if the request is refused.
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

// setDeadline sets the shorter of the kind's and the caller's deadline.
func (c *call) setDeadline(r *http.Request) *refusal.Error {
	c.deadline = time.Duration(*c.kind.Rules.Deadline)
	if text := r.Header.Get(grant.DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.BadRequest, grant.DeadlineHeader+": want a positive number of milliseconds")
		}
		c.deadline = min(c.deadline, time.Duration(ms)*time.Millisecond)
	}
	// The wait ends before the deadline, so that the refusal's cause is the owner.
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
	c.bodyStream = io.MultiReader(bytes.NewReader(head), &endReader{Reader: limited, ended: &c.bodyEnded})
	return nil
}

// endReader records the end of what it reads.
type endReader struct {
	io.Reader
	ended *atomic.Bool
}

func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	return n, err
}

func bodyReadRefusal(err error) *refusal.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.BodyTooLarge, "the body is larger than its kind allows")
	}
	return refusal.New(refusal.BadRequest, "the body could not be read: "+err.Error())
}

// newBodyReader returns the body for one attempt and its content length.
func (c *call) newBodyReader() (io.Reader, int64) {
	if !c.buffered {
		return c.bodyStream, c.contentLength
	}
	if len(c.body) == 0 {
		return nil, 0
	}
	return bytes.NewReader(c.body), int64(len(c.body))
}

// backOffAfterShed waits after a target had no free slot, longer each time.
func (c *call) backOffAfterShed(ctx context.Context) bool {
	c.shedCount++
	backoff := shedBackoff * time.Duration(c.shedCount)
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// forwardedHeader returns the header to forward. Fields by which targets trust
// gateways are removed, so that callers cannot forge them.
func forwardedHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	hopheader.Remove(h)
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
