package entry_test

import (
	"encoding/json"
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

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/shard"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/entry"
	"basilcross.example/gateway/keyload"
	"basilcross.example/gateway/upstream"
	"basilcross.example/gateway/view"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// fixture is one gateway's Front with a target handler that each test supplies.
type fixture struct {
	t         testing.TB
	view      view.View
	authority authority.Authority
	front     *entry.Front
	url       string
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{t: t, view: view.View{Zone: "graz"}}
	f.front = entry.New(entry.Options{
		Zone: "graz", Region: "ost", View: &f.view, Authority: &f.authority, Upstreams: &upstream.Set{}, Loads: &keyload.Collector{},
		Metrics: entry.NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	s := httptest.NewServer(f.front)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

// configure sets a configuration whose kind lists is idempotent and entry is not.
func (f *fixture) configure() {
	f.t.Helper()
	kind := func(name string, idempotent bool) config.Kind {
		return config.Kind{Name: name, Service: "menus", Idempotent: idempotent, Rules: config.Rules{
			Deadline: config.Ptr(config.Duration(time.Second)), BodyLimit: config.Ptr(config.Size(100)),
		}}
	}
	assert.NilError(f.t, f.view.SetConfig(&config.Document{
		Version:  1,
		Services: []config.Service{{Name: "menus", Sharded: true}},
		Kinds:    []config.Kind{kind("lists", true), kind("entry", false)},
	}))
}

// assign makes a new target the owner of all keys in the next version.
func (f *fixture) assign(h http.HandlerFunc, fenced bool) {
	f.t.Helper()
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	version := uint64(1)
	if now := f.view.Load().Services["menus"]; now != nil {
		version = now.Assignment.Version + 1
	}
	id := fmt.Sprintf("t%d", version)
	assert.NilError(f.t, f.view.ApplyDelta(assignment.Delta{
		Service: "menus", To: version,
		Targets: []assignment.Target{{ID: id, Service: "menus", Address: s.Listener.Addr().String(), Fenced: fenced, Slots: 8, State: assignment.Active}},
		Shards:  []shard.Shard{{Last: ^uint64(0), Owner: id, Epoch: version}},
	}))
}

func (f *fixture) do(method, path, body string, header ...string) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	assert.NilError(f.t, err)
	return res, string(content)
}

func (f *fixture) wantRefusal(res *http.Response, content string, cause refusal.Cause, outcome refusal.Outcome) {
	f.t.Helper()
	var body refusal.Body
	assert.NilError(f.t, json.Unmarshal([]byte(content), &body), content)
	assert.Equal(f.t, refusal.Cause(body.Cause), cause, content)
	assert.Equal(f.t, body.Outcome, outcome, content)
	assert.Equal(f.t, res.Header.Get(refusal.OutcomeHeader), string(outcome))
}

func echo(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	w.Header().Set("Connection", "X-Hop")
	w.Header().Set("X-Hop", "1")
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), content)
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func TestResponseIsForwarded(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(echo, true)
	res, content := f.do("POST", "/menus/entry/graz-7?day=2", "torte")
	assert.Equal(t, content, "POST /menus/entry/graz-7?day=2 torte")
	assert.Equal(t, res.Header.Get("X-Hop"), "", "headers of one hop must not be passed on")
}

func TestBadRequestsAreRefused(t *testing.T) {
	f := newFixture(t)
	res, content := f.do("GET", "/menus/lists/k", "")
	f.wantRefusal(res, content, refusal.NoConfig, refusal.DidNotRun)
	f.configure()
	f.assign(func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the target") }, true)
	for name, tt := range map[string]struct {
		path, body string
		header     []string
		cause      refusal.Cause
	}{
		"service":  {path: "/cakes/lists/k", cause: refusal.UnknownService},
		"kind":     {path: "/menus/cakes/k", cause: refusal.UnknownKind},
		"no key":   {path: "/menus/lists/", cause: refusal.BadRequest},
		"deadline": {path: "/menus/lists/k", header: []string{grant.DeadlineHeader, "soon"}, cause: refusal.BadRequest},
		"body":     {path: "/menus/entry/k", body: strings.Repeat("x", 101), cause: refusal.BodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			res, content := f.do("POST", tt.path, tt.body, tt.header...)
			f.wantRefusal(res, content, tt.cause, refusal.DidNotRun)
		})
	}
}

// A caller's epoch and hash headers must not reach the target, which trusts them.
func TestCallersCannotForgeEpochs(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(grant.EpochHeader), r.Header.Get(grant.HashHeader))
	}, true)
	_, content := f.do("GET", "/menus/lists/k", "", grant.EpochHeader, "99", grant.HashHeader, "1")
	assert.Equal(t, content, fmt.Sprintf("1%x", shard.Hash("menus", "k")))
}

// The target closes the connection after it received the request. An idempotent
// request is retried; any other is sent once, and its outcome is unknown.
func TestOnlyIdempotentRequestsAreRetriedAfterLostResponse(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var sent atomic.Int32
	f.assign(func(w http.ResponseWriter, r *http.Request) {
		if sent.Add(1) == 1 {
			dropConnection(w)
			return
		}
		echo(w, r)
	}, true)
	res, content := f.do("POST", "/menus/entry/k", "torte")
	f.wantRefusal(res, content, refusal.AnswerCut, refusal.Unknown)
	assert.Equal(t, sent.Load(), int32(1))
	sent.Store(0)
	res, _ = f.do("GET", "/menus/lists/k", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, sent.Load(), int32(2))
}

// The first attempt loses its connection and may have run; the target refuses
// the retry. The outcome must stay unknown, not become didNotRun.
func TestUnknownOutcomeIsKeptAfterLaterRefusal(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var sent atomic.Int32
	f.assign(func(w http.ResponseWriter, _ *http.Request) {
		if sent.Add(1) == 1 {
			dropConnection(w)
			return
		}
		w.Header().Set(grant.RefusedHeader, string(grant.NotOwner))
		w.WriteHeader(http.StatusConflict)
	}, true)
	res, content := f.do("GET", "/menus/lists/k", "")
	f.wantRefusal(res, content, refusal.NotOwner, refusal.Unknown)
}

// A shard moves while a request is in flight, and the old owner refuses it. The
// gateway waits for the next assignment and sends it to the new owner.
func TestRequestFollowsMovedShardToNextOwner(t *testing.T) {
	f := newFixture(t)
	f.configure()
	refused := make(chan struct{})
	var once sync.Once
	f.assign(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(grant.RefusedHeader, string(grant.Moved))
		w.WriteHeader(http.StatusConflict)
		once.Do(func() { close(refused) })
	}, true)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		<-refused
		f.assign(echo, true)
	})
	_, content := f.do("POST", "/menus/entry/k", "torte")
	assert.Equal(t, content, "POST /menus/entry/k torte")
}

// An unfenced target does not check epochs, and the gateway has no authority from
// its zone's leader. The key may have another owner by now, so nothing is sent;
// with authority the same request is served.
func TestNoRequestToUnfencedTargetWithoutAuthority(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var sent atomic.Int32
	f.assign(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		echo(w, r)
	}, false)
	res, content := f.do("POST", "/menus/entry/k", "torte")
	f.wantRefusal(res, content, refusal.NoAuthority, refusal.DidNotRun)
	assert.Equal(t, sent.Load(), int32(0))
	f.authority.Extend(time.Now(), time.Minute, time.Now())
	res, _ = f.do("POST", "/menus/entry/k", "torte")
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

// A shard moves away from an unfenced target, which would run late requests while
// the next owner runs others. The gateway sends it nothing once the move is
// announced.
func TestNoRequestToUnfencedTargetWhileShardMoves(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the target") }, false)
	f.authority.Extend(time.Now(), time.Minute, time.Now())
	now := f.view.Load().Services["menus"].Assignment
	moving := now.Shards[0]
	moving.MovingTo = "t9"
	assert.NilError(t, f.view.ApplyDelta(assignment.Delta{Service: "menus", From: now.Version, To: now.Version + 1, Shards: []shard.Shard{moving}}))
	res, content := f.do("POST", "/menus/entry/k", "torte")
	f.wantRefusal(res, content, refusal.OwnerMoving, refusal.DidNotRun)
}

// A second request with the same idempotency key arrives while the first one
// runs. It must not run twice; both callers get the same response.
func TestRequestsWithSameIdempotencyKeyShareOneRun(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var runs atomic.Int32
	arrived, resume := make(chan struct{}), make(chan struct{})
	f.assign(func(w http.ResponseWriter, _ *http.Request) {
		n := runs.Add(1)
		close(arrived)
		<-resume
		fmt.Fprintf(w, "run %d", n)
	}, true)
	responses := make(chan string, 2)
	submit := func() {
		_, content := f.do("POST", "/menus/entry/k", "torte", entry.IdempotencyKeyHeader, "click")
		responses <- content
	}
	var group sync.WaitGroup
	group.Go(submit)
	<-arrived
	group.Go(submit)
	// Long enough for the second request to arrive on any machine, and well
	// before the first one's deadline.
	time.Sleep(400 * time.Millisecond)
	close(resume)
	group.Wait()
	assert.Equal(t, <-responses, "run 1")
	assert.Equal(t, <-responses, "run 1")
	assert.Equal(t, runs.Load(), int32(1))
}

// A target fails in the middle of a long response whose beginning was already
// forwarded. The caller's connection is aborted, or the part would look complete.
func TestTruncatedStreamAbortsCallerConnection(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		panic(http.ErrAbortHandler)
	}, true)
	res, err := http.Get(f.url + "/menus/lists/k")
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	assert.Assert(t, err != nil)
}

// The gateway and a target may disagree on the length of a request with ambiguous
// framing, so that a caller could smuggle a request into another's connection.
// Such requests are refused before anything is sent.
func TestRequestSmugglingIsRefused(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the target") }, true)
	for name, head := range map[string]string{
		"two lengths":      "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"bad length":       "Content-Length: +5\r\n\r\nhello",
		"bad chunk":        "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"unknown encoding": "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"space in name":    "Content-Length : 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "POST /menus/entry/k HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+head)
			assert.NilError(t, err)
			response, err := io.ReadAll(c)
			assert.NilError(t, err)
			status := strings.SplitN(string(response), " ", 3)[1]
			assert.Assert(t, status[0] == '4' || status == "501", "%s", response)
		})
	}
}
