package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/basilcross/withdrawal"
	"basilcross.example/gateway/broker"
	"basilcross.example/gateway/front"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// fixture is a Front with a server for callers and the targets of one service.
type fixture struct {
	t       *testing.T
	front   *front.Front
	server  *httptest.Server
	roster  *roster.Roster
	table   atomic.Pointer[routing.Table]
	policy  atomic.Pointer[placement.Policy]
	targets []*roster.Target
	// sent is the number of requests sent by call, and the last request's ID.
	sent int
	// endless is the number of responses without end that targets have begun.
	endless atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, roster: &roster.Roster{}}
	log := slog.New(slog.DiscardHandler)
	f.policy.Store(&placement.Policy{})
	p := &peers.Peers{Self: peers.Instance{Name: "one", Zone: "z"}, Log: log}
	f.front = front.New(front.Options{
		Thin: func() bool { return false }, Started: func() bool { return f.table.Load() != nil && f.roster.Load().Len() > 0 },
		Headers: platform.HeaderNames(), ParseLoad: platform.ParseLoad, ParseRateLimit: platform.ParseRateLimit,
		ParseRest: platform.ParseRest, ParseLeaving: platform.ParseLeaving, Withdrawn: &withdrawal.List{}, OnLeaving: func(*roster.Target) {},
		Broker: broker.New(broker.Options{
			Self: p.Self, Placement: f.policy.Load, Peers: p, Dispatcher: &dispatch.Dispatcher{Roster: f.roster}, Roster: f.roster, Log: log,
		}),
		Roster: f.roster, Pools: &front.Pools{}, Links: &links.Monitor{}, ReachesTargets: func(context.Context, string) bool { return true }, ProbeTargets: func(context.Context, string) bool { return true }, Quarantine: &quarantine.List{}, OnCleared: func(quarantine.Fingerprint) {}, Forwarder: &front.Forwarder{Self: p.Self, Peers: p, Region: func(string) string { return "" }}, Table: f.table.Load,
		CurrentAssignment: func(string) (*ownership.Assignment, <-chan struct{}) { return nil, nil },
		OwnerChangedSince: func(string, int, time.Time) bool { return false },
		Loads:             &front.Loads{},
		RetryLimits: func() front.RetryLimits {
			return front.RetryLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Instances: 1}
		},
		FirstStart: true,
		Metrics:    front.NewMetrics(prometheus.NewRegistry()), Log: log,
	})
	f.front.OnEnded = func(t *roster.Target, identity quarantine.Fingerprint, sent time.Time) {
		f.front.Quarantine.RecordEnd(time.Now(), sent, identity, t.ID)
	}
	f.server = httptest.NewServer(f.front)
	t.Cleanup(f.server.Close)
	return f
}

// setRoutes puts three routes in force: /safe/ is idempotent, /book/ and the upload /plan/ are not.
func (f *fixture) setRoutes(timeout time.Duration) {
	share := []routing.Share{{Service: "s", Weight: 1}}
	f.table.Store(routing.New(&routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s"}}, Limits: routing.Limits{BodyBytes: 1000},
		Routes: []routing.Route{
			{Name: "safe", Host: "cakes.example", Prefix: "/safe/", Type: routing.Safe{}, Timeout: timeout, Objective: timeout, MaxAttempts: 2, Split: share},
			{Name: "book", Host: "cakes.example", Prefix: "/book/", Timeout: timeout, Objective: timeout, MaxAttempts: 2, Split: share},
			{Name: "plan", Host: "cakes.example", Prefix: "/plan/", Type: routing.Upload{}, Timeout: timeout, Objective: timeout, MaxAttempts: 2, Split: share},
		},
	}))
}

func (f *fixture) addTarget(id, address string) {
	f.targets = append(f.targets, &roster.Target{ID: id, Started: 1, Service: "s", Zone: "z", Slots: 3, Address: address})
	f.roster.Replace(time.Now(), f.targets, 1)
}

func (f *fixture) startTarget(id string, h http.Handler) {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	f.addTarget(id, strings.TrimPrefix(server.URL, "http://"))
}

// startRawTarget adds a target that writes the bytes that response returns for a request's ID.
func (f *fixture) startRawTarget(id string, response func(requestID string) string) {
	f.startConnTarget(id, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, response(r.Header.Get(platform.RequestID)))
	})
}

// startConnTarget adds a target that calls serve for each connection, with the first request on it, and closes the connection
// afterwards.
func (f *fixture) startConnTarget(id string, serve func(c *net.TCPConn, r *http.Request)) {
	f.addTarget(id, startConnServer(f.t, serve))
}

func startConnServer(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				serve(c.(*net.TCPConn), r)
			}()
		}
	}()
	return l.Addr().String()
}

// call sends a request with the next request ID. If it fails, the response is nil and
// the text is the error's.
func (f *fixture) call(ctx context.Context, method, path, body string) (*http.Response, string) {
	f.sent++
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Host = "cakes.example"
	req.Header.Set(platform.RequestID, f.lastID())
	req.Header.Set(platform.TimeLeft, "5000")
	res, err := f.server.Client().Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err.Error()
	}
	return res, string(text)
}

// lastID returns the ID of the last request that was sent.
func (f *fixture) lastID() string { return fmt.Sprintf("id%d", f.sent) }

func (f *fixture) setConfig(c *routing.Config) { f.table.Store(routing.New(c)) }

// shed responds that the request was not executed.
func shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
	w.Header().Set(platform.NotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a 404 from an instance without a configuration, which can't determine
// that a path has no route: callers would take the 404 as final.
func TestMissingConfigurationIsTemporary(t *testing.T) {
	f := newFixture(t)
	res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	f.setRoutes(time.Second)
	res, _ = f.call(t.Context(), http.MethodGet, "/elsewhere", "")
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}

// Guards against a request URI or a response that changes on its way.
func TestResponseIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("t1", &standin.Target{ID: "t1"})
	res, body := f.call(t.Context(), http.MethodPost, "/book/a%2Fb/../c?x=1", "hello")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "t1 POST /book/a%2Fb/../c?x=1 5")
	assert.Equal(t, res.Header.Get(platform.Signature), "signed-by-t1")
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(time.Second)
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", strings.Repeat("x", 1001))
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against the refusal of a request that one target shed and another can run.
func TestShedRequestGoesToAnotherTarget(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("a", http.HandlerFunc(shed))
	next := &standin.Target{ID: "b"}
	f.startTarget("b", next)
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, next.RunCount("id1"), 1)
}

// Guards against a second run of a non-idempotent request. The target closes the
// connection after it received the request, which may have run: no other target may
// get it, and the status must not state that it did not run.
func TestNonIdempotentRequestInDoubtIsNotRetried(t *testing.T) {
	for _, path := range []string{"/book/x", "/plan/x"} {
		t.Run(path, func(t *testing.T) { testRequestInDoubtIsNotRetried(t, path) })
	}
}

func testRequestInDoubtIsNotRetried(t *testing.T, path string) {
	t.Helper()
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	next := &standin.Target{ID: "b"}
	f.startTarget("b", next)
	for range 4 {
		res, _ := f.call(t.Context(), http.MethodPost, path, "")
		if res.StatusCode != http.StatusOK {
			assert.Equal(t, res.StatusCode, http.StatusBadGateway)
			assert.Equal(t, next.RunCount(fmt.Sprintf("id%d", f.sent)), 0)
			return
		}
	}
	t.Fatal("the failing target was never used")
}

func TestIdempotentRequestInDoubtIsRetried(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	f.startTarget("b", &standin.Target{ID: "b"})
	for range 4 {
		res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}

// Guards against a forwarded 503 without the not-executed header: the request may have
// run, but callers would conclude that it did not.
func TestPlain503IsNotForwarded(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startRawTarget("a", func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + platform.RequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	})
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
}

func TestUnusableResponsesBecome502(t *testing.T) {
	for name, response := range map[string]string{
		"unsigned":  "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
		"cut":       "HTTP/1.1 200 OK\r\n%s: %s\r\n" + platform.Signature + ": s\r\nContent-Length: 20\r\n\r\nok",
		"nonsense":  "%s nonsense %s\r\n\r\n",
		"cut chunk": "HTTP/1.1 200 OK\r\n%s: %s\r\n" + platform.Signature + ": s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setRoutes(5 * time.Second)
			f.startRawTarget("a", func(id string) string { return fmt.Sprintf(response, platform.RequestID, id) })
			res, body := f.call(t.Context(), http.MethodPost, "/book/x", "")
			assert.Equal(t, res.StatusCode, http.StatusBadGateway, body)
		})
	}
}

// Guards against a response to an earlier request that the target sends on the connection
// before this request's own response.
func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startRawTarget("a", func(id string) string {
		one := "HTTP/1.1 200 OK\r\n" + platform.RequestID + ": %s\r\n" + platform.Signature + ": s\r\nContent-Length: 4\r\n\r\n%s"
		return fmt.Sprintf(one, "another", "him!") + fmt.Sprintf(one, id, "mine")
	})
	res, body := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "mine")
}

func TestRouteTimeoutCancelsRequest(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(50 * time.Millisecond)
	left := make(chan struct{})
	f.startTarget("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}))
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout)
	<-left
}

// Guards against targets that keep working on requests whose callers disconnected.
func TestCallerDisconnectCancelsRequestAtTarget(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(time.Minute)
	arrived, left := make(chan struct{}), make(chan struct{})
	f.startTarget("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(left)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	f.call(ctx, http.MethodGet, "/safe/x", "")
	<-left
}

// Guards against a closed connection, instead of a 502, for requests that targets still
// work on when the process exits.
func TestAbortAnswersOpenRequests(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(time.Minute)
	arrived := make(chan struct{})
	f.startTarget("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	go func() {
		<-arrived
		f.front.Close()
		f.front.Abort()
	}()
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Assert(t, res.Close)
}

// Guards against a request that arrives late while the instance stops, is sent to a target, and is cut off at the end.
func TestLateRequestIsRefusedUnlessItEndsInTime(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(300 * time.Millisecond)
	target := &standin.Target{ID: "a"}
	f.startTarget("a", target)
	f.front.Close()
	now := time.Now()
	f.front.RefuseLate(now.Add(time.Hour), now.Add(time.Hour))
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, "not late")
	f.front.RefuseLate(now, now.Add(time.Hour))
	res, _ = f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, "late, but it ends in time")
	f.front.RefuseLate(now, time.Now().Add(200*time.Millisecond))
	res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	assert.Assert(t, res.Close && res.Header.Get("Retry-After") != "")
	assert.Equal(t, target.RunCount(f.lastID()), 0)
}

// The address belongs to another target now, which responds with 421 and its own ID:
// the request has not run.
func TestAddressReusedByAnotherTarget(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("old", &standin.Target{ID: "new"})
	res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
}

// Guards against requests that all go to an address at which another target replaced the
// expected one, before the platform lists the change. The new target refuses them
// immediately, so the old one looks idle and, having been fast, the best: every request
// goes there first, until the retry budget is exhausted and callers are refused.
func TestReplacedTargetDoesNotAttractRequests(t *testing.T) {
	for name, id := range map[string]string{"with an ID": "new", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setRoutes(5 * time.Second)
			var replaced atomic.Bool
			misdirected := 0
			fast := &standin.Target{ID: "a"}
			f.startTarget("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !replaced.Load() {
					fast.ServeHTTP(w, r)
					return
				}
				misdirected++
				if id != "" {
					w.Header().Set(platform.AnsweringTarget, id)
				}
				w.WriteHeader(http.StatusMisdirectedRequest)
			}))
			slow := func(*http.Request) { time.Sleep(20 * time.Millisecond) }
			f.startTarget("b", &standin.Target{ID: "b", OnRun: slow})
			f.startTarget("c", &standin.Target{ID: "c", OnRun: slow})
			for range 30 {
				res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
				assert.Equal(t, res.StatusCode, http.StatusOK)
			}
			replaced.Store(true)
			for range 100 {
				res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
				assert.Equal(t, res.StatusCode, http.StatusOK)
			}
			assert.Assert(t, misdirected <= 10, "%d of 100 requests went to the replaced target first", misdirected)
		})
	}
}

// Guards against refusals right after the start, before the first configuration and the
// first targets arrive: if all instances of a zone start together, the refused requests
// are all retried half a second later, at the same moment.
func TestRequestsWaitForConfigurationAtStartup(t *testing.T) {
	f := newFixture(t)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(60 * time.Millisecond)
		f.setRoutes(time.Second)
		f.startTarget("t1", &standin.Target{ID: "t1"})
	})
	res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
	group.Wait()
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
