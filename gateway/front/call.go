package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basilcross.example/basilcross/bodybudget"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/hopheader"
)

const (
	// responseMargin is subtracted from the caller's timeout, so that the response
	// reaches the caller before it expires.
	responseMargin = 12 * time.Millisecond
	// defaultTimeout applies to requests without a timeout in their header.
	defaultTimeout = 30 * time.Second
	// defaultBodyLimit limits request bodies if the configuration sets no limit.
	defaultBodyLimit = 64 << 20
)

// call is a caller's request and the state of its attempts.
type call struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	body   []byte
	// share is what the body takes of the limit on held bytes; nil if there is no limit.
	share   *bodybudget.Share
	route   *routing.Route
	service string
	sharded bool
	key     int
	// arrived is when the request's headers were read.
	arrived time.Time
	// deadline is when the response must be sent to the caller.
	deadline time.Time
	// sinceFirst is how long before arrived the caller's first attempt was, by estimate; 0 unless the
	// request is taken as a caller retry.
	sinceFirst time.Duration

	account
	// sends counts all attempts.
	sends int
	// lastRunTarget is the target that may have run the request last, lastRunAt when
	// that became known.
	lastRunTarget string
	lastRunAt     time.Time
	mayHaveRun    bool
	excluded      map[string]bool
	// assignmentChanged is closed when the service has a newer assignment.
	assignmentChanged <-chan struct{}
	ownerAttempts     int
	lastTarget        string
	// sentAt is when the call was sent to a target last.
	sentAt time.Time
	// leavingFor is for how long the target that the call was sent to last had been leaving then; 0 if it
	// was not.
	leavingFor time.Duration
	// queueTime is the time spent waiting for slots, over all attempts.
	queueTime time.Duration
	// from is the instance that forwarded the request; empty if a caller sent it to this one.
	from string
	// carrier is the instance through which the request was sent last, in carrierZone, and
	// declined is set once no instance would carry it.
	carrier     string
	carrierZone string
	declined    bool
	// carriersAsked is how many instances the request was sent to, until one served it.
	carriersAsked int
	// unreached counts the targets that were out of reach when the call was to be sent there.
	unreached int
	// retryDenied is set if the call was not retried since the budget was exhausted.
	retryDenied bool
	// failure is a target's failure response, forwarded if no later attempt succeeds.
	failure *targetResponse
	// identity is the request's fingerprint; nil until it is needed.
	identity *quarantine.Fingerprint
}

// objective is when the response should be sent, counted from the caller's first attempt.
func (c *call) objective() time.Time { return c.arrived.Add(c.route.Objective - c.sinceFirst) }

// kind returns the number of the call's route: requests of a route take similar work.
func (c *call) kind() uint32 { return c.route.Kind() }

const (
	// startupWait is how long after its start an instance delays requests until it
	// has the configuration and the targets. Requests that instances starting
	// together refuse would all be retried at the same moment.
	startupWait         = 900 * time.Millisecond
	startupPollInterval = 10 * time.Millisecond
)

func (f *Front) awaitStartup(ctx context.Context) {
	for waitUntil := f.started.Add(startupWait); !f.Started(); {
		if time.Now().After(waitUntil) {
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

// readCall reads a request, its body included, and finds its route, service, key and
// deadline. It returns a refusal if the request can't be sent to any target.
func (f *Front) readCall(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	c := &call{
		id: r.Header.Get(f.Headers.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host, arrived: time.Now(),
	}
	f.awaitStartup(r.Context())
	table := f.Table()
	if table == nil {
		return c, newNotRun("noConfig", retryAfterNoConfig)
	}
	path, _, _ := cutQuery(c.uri)
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
	return c, f.readBody(c, w, r, table.Config.Limits)
}

func cutQuery(uri string) (path, query string, found bool) { return strings.Cut(uri, "?") }

// classify sets the call's service, key, deadline and the headers for the target.
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
	timeout := defaultTimeout
	if text := r.Header.Get(f.Headers.TimeLeft); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return &refusal{status: http.StatusBadRequest, cause: "badTimeLeft", final: true}
		}
		left := time.Duration(ms) * time.Millisecond
		timeout = left - responseMargin
		f.detectCallerRetry(c, table, left)
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	c.header = r.Header.Clone()
	hopheader.Remove(c.header)
	for _, name := range []string{"Expect", "Content-Length", f.Headers.TimeLeft, f.Headers.ExpectedTarget, forwardHeader} {
		c.header.Del(name)
	}
	return nil
}

// detectCallerRetry sets the age of the caller's first attempt if the time that the caller has left shows that
// the request is a caller retry.
func (f *Front) detectCallerRetry(c *call, table *routing.Table, left time.Duration) {
	if f.TimeLimits == nil {
		return
	}
	if f.limitsOf.Swap(table) != table {
		routes := map[string]bool{}
		for i := range table.Config.Routes {
			routes[table.Config.Routes[i].Name] = true
		}
		f.TimeLimits.Retain(func(name string) bool { return routes[name] })
	}
	if c.sinceFirst = f.TimeLimits.Age(c.arrived, c.route.Name, left); c.sinceFirst > 0 {
		f.Metrics.callerRetries.WithLabelValues(c.service).Inc()
	}
}

// recognizesRetries reports whether the instances will recognize a retry of the call's caller.
func (f *Front) recognizesRetries(c *call) bool {
	return f.TimeLimits != nil && c.from == "" && f.TimeLimits.Recognizes(c.route.Name)
}

// readBody reads the body up to the limit, and until the call's deadline.
func (f *Front) readBody(c *call, w http.ResponseWriter, r *http.Request, limits routing.Limits) *refusal {
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
	if f.Bodies.Limited() {
		return f.readBudgetedBody(c, w, r, limit)
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return nil
	}
	return newBodyNotRead(err)
}

// newBodyNotRead returns the refusal for a body whose reading failed.
func newBodyNotRead(err error) *refusal {
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
