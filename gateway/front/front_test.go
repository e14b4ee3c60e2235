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
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/broker"
	"basilcross.example/gateway/front"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// fixture is a front with the targets of one service.
type fixture struct {
	t       *testing.T
	front   *front.Front
	server  *httptest.Server
	roster  *roster.Roster
	table   atomic.Pointer[routing.Table]
	targets []*roster.Target
	sent    int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{t: t, roster: &roster.Roster{}}
	log := slog.New(slog.DiscardHandler)
	p := &peers.Peers{Self: peers.Instance{Name: "one", Zone: "z"}, Log: log}
	b.front = front.New(front.Options{
		Headers: platform.HeaderNames(),
		Broker: broker.New(broker.Options{
			Self: p.Self, Peers: p, Dispatcher: &dispatch.Dispatcher{Roster: b.roster}, Roster: b.roster, Log: log,
		}),
		Roster: b.roster, Pools: &front.Pools{}, Table: b.table.Load,
		CurrentAssignment: func(string) (*ownership.Assignment, <-chan struct{}) { return nil, nil },
		OwnerChangedSince: func(string, int, time.Time) bool { return false },
		Loads:             &front.Loads{},
		RetryLimits:       func() front.RetryLimits { return front.RetryLimits{Ratio: 0.2, Slack: 60, Instances: 1} },
		Metrics:           front.NewMetrics(prometheus.NewRegistry()), Log: log,
	})
	b.server = httptest.NewServer(b.front)
	t.Cleanup(b.server.Close)
	return b
}

// route puts a route in force: /safe/ is idempotent, /book/ is not.
func (b *fixture) route(timeout time.Duration) {
	share := []routing.Share{{Service: "s", Weight: 1}}
	b.table.Store(routing.New(&routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s"}}, Limits: routing.Limits{BodyBytes: 1000},
		Routes: []routing.Route{
			{Name: "safe", Host: "cakes.example", Prefix: "/safe/", Idempotent: true, Timeout: timeout, Objective: timeout, MaxAttempts: 2, Split: share},
			{Name: "book", Host: "cakes.example", Prefix: "/book/", Timeout: timeout, Objective: timeout, MaxAttempts: 2, Split: share},
		},
	}))
}

func (b *fixture) target(id, address string) {
	b.targets = append(b.targets, &roster.Target{ID: id, Started: 1, Service: "s", Zone: "z", Slots: 3, Address: address})
	b.roster.Replace(time.Now(), b.targets, 1)
}

func (b *fixture) handler(id string, h http.Handler) {
	server := httptest.NewServer(h)
	b.t.Cleanup(server.Close)
	b.target(id, strings.TrimPrefix(server.URL, "http://"))
}

// raw is a target that answers each request with fixed bytes.
func (b *fixture) raw(id string, answer func(request string) string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { _ = l.Close() })
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
				_, _ = io.WriteString(c, answer(r.Header.Get(platform.RequestID)))
			}()
		}
	}()
	b.target(id, l.Addr().String())
}

func (b *fixture) call(ctx context.Context, method, path, body string) (*http.Response, string) {
	b.sent++
	req, err := http.NewRequestWithContext(ctx, method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	req.Host = "cakes.example"
	req.Header.Set(platform.RequestID, fmt.Sprintf("id%d", b.sent))
	req.Header.Set(platform.TimeLeft, "5000")
	res, err := b.server.Client().Do(req)
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

func shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
	w.Header().Set(platform.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A process that knows no configuration cannot know what has no route: a 404
// would be believed.
func TestMissingConfigurationIsTemporary(t *testing.T) {
	b := newFixture(t)
	res, _ := b.call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	b.route(time.Second)
	res, _ = b.call(t.Context(), http.MethodGet, "/elsewhere", "")
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}

func TestResponseIsForwardedUnchanged(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.handler("t1", &standin.Target{ID: "t1"})
	res, body := b.call(t.Context(), http.MethodPost, "/book/a%2Fb/../c?x=1", "hello")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "t1 POST /book/a%2Fb/../c?x=1 5")
	assert.Equal(t, res.Header.Get(platform.Signature), "signed-by-t1")
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	b := newFixture(t)
	b.route(time.Second)
	res, _ := b.call(t.Context(), http.MethodPost, "/book/x", strings.Repeat("x", 1001))
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}

// The first target says that it did not run the request; the next one runs it.
func TestShedRequestGoesToAnotherTarget(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.handler("a", http.HandlerFunc(shed))
	next := &standin.Target{ID: "b"}
	b.handler("b", next)
	res, _ := b.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, next.RunCount("id1"), 1)
}

// A target takes a booking and breaks the connection off. It may have run, so
// nobody else may get it, and no status may promise that it did not run.
func TestNonIdempotentRequestInDoubtIsNotRetried(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.handler("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	next := &standin.Target{ID: "b"}
	b.handler("b", next)
	for range 4 {
		res, _ := b.call(t.Context(), http.MethodPost, "/book/x", "")
		if res.StatusCode != http.StatusOK {
			assert.Equal(t, res.StatusCode, http.StatusBadGateway)
			assert.Equal(t, next.RunCount(fmt.Sprintf("id%d", b.sent)), 0)
			return
		}
	}
	t.Fatal("the broken target was never used")
}

func TestIdempotentRequestInDoubtIsRetried(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.handler("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	b.handler("b", &standin.Target{ID: "b"})
	for range 4 {
		res, _ := b.call(t.Context(), http.MethodGet, "/safe/x", "")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}

// A plain 503 does not say that the request was not run. Passed on, it would.
func TestPlain503IsNotForwarded(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.raw("a", func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + platform.RequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	})
	res, _ := b.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
}

func TestUnusableResponsesBecome502(t *testing.T) {
	for name, answer := range map[string]string{
		"unsigned":  "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
		"cut":       "HTTP/1.1 200 OK\r\n%s: %s\r\n" + platform.Signature + ": s\r\nContent-Length: 20\r\n\r\nok",
		"nonsense":  "%s nonsense %s\r\n\r\n",
		"cut chunk": "HTTP/1.1 200 OK\r\n%s: %s\r\n" + platform.Signature + ": s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.route(5 * time.Second)
			b.raw("a", func(id string) string { return fmt.Sprintf(answer, platform.RequestID, id) })
			res, body := b.call(t.Context(), http.MethodPost, "/book/x", "")
			assert.Equal(t, res.StatusCode, http.StatusBadGateway, body)
		})
	}
}

// A target sends a second answer to an earlier request before this one's. The
// caller must get its own.
func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.raw("a", func(id string) string {
		one := "HTTP/1.1 200 OK\r\n" + platform.RequestID + ": %s\r\n" + platform.Signature + ": s\r\nContent-Length: 4\r\n\r\n%s"
		return fmt.Sprintf(one, "another", "him!") + fmt.Sprintf(one, id, "mine")
	})
	res, body := b.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "mine")
}

func TestRouteTimeoutCancelsRequest(t *testing.T) {
	b := newFixture(t)
	b.route(50 * time.Millisecond)
	left := make(chan struct{})
	b.handler("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}))
	res, _ := b.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout)
	<-left
}

// The caller goes away. The target must learn of it, or it works for nobody.
func TestCallerDisconnectCancelsRequestAtTarget(t *testing.T) {
	b := newFixture(t)
	b.route(time.Minute)
	arrived, left := make(chan struct{}), make(chan struct{})
	b.handler("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(left)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	b.call(ctx, http.MethodGet, "/safe/x", "")
	<-left
}

// The process is about to end while a target still works. The caller gets an
// answer that promises nothing instead of a closed connection.
func TestAbortAnswersOpenRequests(t *testing.T) {
	b := newFixture(t)
	b.route(time.Minute)
	arrived := make(chan struct{})
	b.handler("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	go func() {
		<-arrived
		b.front.Close()
		b.front.Abort()
	}()
	res, _ := b.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Assert(t, res.Close)
}

// An address was given to another target. That one says so and the request has
// not run.
func TestAddressReusedByAnotherTarget(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.handler("old", &standin.Target{ID: "new"})
	res, _ := b.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
}

// A target has ended, and another one lives at its address; the platform has not
// said so yet. It answers at once that the request is not for it, so the dead
// one looked free and, having been fast, the best: every request went there
// first, until the retries were used up and callers were refused.
func TestReplacedTargetDoesNotAttractRequests(t *testing.T) {
	for name, id := range map[string]string{"it tells its name": "new", "it does not": ""} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.route(5 * time.Second)
			var dead atomic.Bool
			arrived := 0
			fast := &standin.Target{ID: "a"}
			b.handler("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !dead.Load() {
					fast.ServeHTTP(w, r)
					return
				}
				arrived++
				if id != "" {
					w.Header().Set(platform.AnsweringTarget, id)
				}
				w.WriteHeader(http.StatusMisdirectedRequest)
			}))
			slow := func(*http.Request) { time.Sleep(20 * time.Millisecond) }
			b.handler("b", &standin.Target{ID: "b", OnRun: slow})
			b.handler("c", &standin.Target{ID: "c", OnRun: slow})
			for range 30 {
				res, _ := b.call(t.Context(), http.MethodGet, "/safe/x", "")
				assert.Equal(t, res.StatusCode, http.StatusOK)
			}
			dead.Store(true)
			for range 100 {
				res, _ := b.call(t.Context(), http.MethodGet, "/safe/x", "")
				assert.Equal(t, res.StatusCode, http.StatusOK)
			}
			assert.Assert(t, arrived <= 10, "%d of 100 requests went to the dead target first", arrived)
		})
	}
}

// All instances of a zone have just started, and callers are there at once. The
// configuration and the targets come a moment later: refused until then, each
// request would come back half a second later, all together.
func TestRequestsWaitForConfigurationAtStartup(t *testing.T) {
	b := newFixture(t)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(60 * time.Millisecond)
		b.route(time.Second)
		b.handler("t1", &standin.Target{ID: "t1"})
	})
	res, _ := b.call(t.Context(), http.MethodGet, "/safe/x", "")
	group.Wait()
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
