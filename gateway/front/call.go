package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/hop"
	"github.com/cespare/xxhash/v2"
)

const (
	// responseMargin is kept for the answer's way back to the caller, so that it
	// arrives before the caller stops waiting.
	responseMargin = 12 * time.Millisecond
	// defaultTimeout is for callers that do not say how long they wait.
	defaultTimeout = 30 * time.Second
	// defaultBodyLimit bounds bodies where the configuration does not.
	defaultBodyLimit = 64 << 20
)

// call is one caller's request.
type call struct {
	id      string
	method  string
	uri     string
	host    string
	header  http.Header
	body    []byte
	route   *routing.Route
	service string
	sharded bool
	key     int
	arrived time.Time
	// deadline is when the answer must be on its way to the caller.
	deadline time.Time

	// runs counts targets that may have run it, sends all it was sent to.
	runs  int
	sends int
	// lastRunTarget is the target that may have run it last, and ranAt when that was known.
	lastRunTarget     string
	lastRunAt         time.Time
	mayHaveRun        bool
	excluded          map[string]bool
	assignmentChanged <-chan struct{}
	ownerAttempts     int
	lastTarget        string
	queueTime         time.Duration
	// failure is a target's own, passed on unless a later attempt is answered.
	failure *targetResponse
}

// kind numbers the requests of the call's route: their work is alike.
func (c *call) kind() uint32 { return uint32(xxhash.Sum64String(c.route.Name)) }

const (
	// startupWait is how long after its start an instance lets requests wait for
	// the configuration and the targets: what instances that start together
	// refuse until then comes back together.
	startupWait = 900 * time.Millisecond
	// startupPollInterval is how often they are looked for.
	startupPollInterval = 10 * time.Millisecond
)

// awaitStartup waits for the first configuration and the first targets.
func (f *Front) awaitStartup(ctx context.Context) {
	for until := f.started.Add(startupWait); f.Table() == nil || len(f.Roster.Load().Targets) == 0; {
		if time.Now().After(until) {
			return
		}
		timer := time.NewTimer(startupPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// readCall reads what there is to know of a request before it is sent anywhere.
func (f *Front) readCall(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	c := &call{
		id: r.Header.Get(f.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host, arrived: time.Now(),
	}
	f.awaitStartup(r.Context())
	table := f.Table()
	if table == nil {
		return c, newNotRun("noConfig", retryAfterNoConfig)
	}
	path, _, _ := strings.Cut(c.uri, "?")
	if !strings.HasPrefix(path, "/") {
		c.uri = r.URL.RequestURI()
		path = r.URL.EscapedPath()
	}
	c.route = table.Find(r.Host, path)
	if c.route == nil {
		return c, &refusal{status: http.StatusNotFound, cause: "noRoute", final: true}
	}
	if refused := f.classify(c, table, r); refused != nil {
		return c, refused
	}
	return c, c.readBody(w, r, table.Config.Limits)
}

func (f *Front) classify(c *call, table *routing.Table, r *http.Request) *refusal {
	c.service = f.splitter.Next(c.route)
	if s := table.Service(c.service); s != nil && s.Sharded {
		c.sharded = true
		key, err := strconv.Atoi(r.Header.Get(f.Headers.ShardKey))
		if err != nil || key < 0 || key >= ownership.KeyCount {
			return &refusal{status: http.StatusBadRequest, cause: "badKey", final: true}
		}
		c.key = key
	}
	wait := defaultTimeout
	if text := r.Header.Get(f.Headers.TimeLeft); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return &refusal{status: http.StatusBadRequest, cause: "badTimeLeft", final: true}
		}
		wait = time.Duration(ms)*time.Millisecond - responseMargin
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(wait)
	c.header = r.Header.Clone()
	hop.Remove(c.header)
	for _, name := range []string{"Expect", "Content-Length", f.Headers.TimeLeft, f.Headers.ExpectedTarget} {
		c.header.Del(name)
	}
	return nil
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) *refusal {
	if limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, cause: "headerTooLarge", final: true}
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: "bodyTooLarge", final: true}
	}
	if r.ContentLength == 0 {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: "bodyTooLarge", final: true}
	}
	return &refusal{status: http.StatusRequestTimeout, cause: "bodyNotRead", final: true, closeConnection: true}
}

func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return int64(n)
}
