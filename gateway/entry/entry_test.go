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
	"basilcross.example/gateway/heat"
	"basilcross.example/gateway/lane"
	"basilcross.example/gateway/view"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// fixture is one gateway's front with targets that a test writes itself.
type fixture struct {
	t         testing.TB
	view      view.View
	authority authority.Authority
	url       string
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	b := &fixture{t: t, view: view.View{Zone: "graz"}}
	front := entry.New(entry.Options{
		Zone: "graz", Region: "ost", View: &b.view, Authority: &b.authority, Lanes: &lane.Set{}, Heat: &heat.Collector{},
		Metrics: entry.NewMetrics(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	s := httptest.NewServer(front)
	t.Cleanup(s.Close)
	b.url = s.URL
	return b
}

// configure puts a configuration in force: lists may be repeated, entries not.
func (b *fixture) configure() {
	b.t.Helper()
	kind := func(name string, idempotent bool) config.Kind {
		return config.Kind{Name: name, Service: "menus", Idempotent: idempotent, Rules: config.Rules{
			Deadline: config.Ptr(config.Duration(time.Second)), BodyLimit: config.Ptr(config.Size(100)),
		}}
	}
	assert.NilError(b.t, b.view.SetConfig(&config.Document{
		Version:  1,
		Services: []config.Service{{Name: "menus", Sharded: true}},
		Kinds:    []config.Kind{kind("lists", true), kind("entry", false)},
	}))
}

// assign makes a target the owner of everything in the next version.
func (b *fixture) assign(h http.HandlerFunc, fenced bool) {
	b.t.Helper()
	s := httptest.NewServer(h)
	b.t.Cleanup(s.Close)
	version := uint64(1)
	if now := b.view.Load().Services["menus"]; now != nil {
		version = now.Assignment.Version + 1
	}
	id := fmt.Sprintf("t%d", version)
	assert.NilError(b.t, b.view.ApplyDelta(assignment.Delta{
		Service: "menus", To: version,
		Targets: []assignment.Target{{ID: id, Service: "menus", Address: s.Listener.Addr().String(), Fenced: fenced, Slots: 8, State: assignment.Active}},
		Shards:  []shard.Shard{{Last: ^uint64(0), Owner: id, Epoch: version}},
	}))
}

func (b *fixture) do(method, path, body string, header ...string) (*http.Response, string) {
	b.t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	assert.NilError(b.t, err)
	return res, string(content)
}

func (b *fixture) wantRefusal(res *http.Response, content string, cause refusal.Cause, outcome refusal.Outcome) {
	b.t.Helper()
	var body refusal.Body
	assert.NilError(b.t, json.Unmarshal([]byte(content), &body), content)
	assert.Equal(b.t, refusal.Cause(body.Cause), cause, content)
	assert.Equal(b.t, body.Outcome, outcome, content)
	assert.Equal(b.t, res.Header.Get(refusal.OutcomeHeader), string(outcome))
}

func echo(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	w.Header().Set("Connection", "X-Hop")
	w.Header().Set("X-Hop", "1")
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), content)
}

// dropConnection breaks the connection off without an answer.
func dropConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func TestResponseIsForwarded(t *testing.T) {
	b := newFixture(t)
	b.configure()
	b.assign(echo, true)
	res, content := b.do("POST", "/menus/entry/graz-7?day=2", "torte")
	assert.Equal(t, content, "POST /menus/entry/graz-7?day=2 torte")
	assert.Equal(t, res.Header.Get("X-Hop"), "", "headers of one hop must not be passed on")
}

func TestBadRequestsAreRefused(t *testing.T) {
	b := newFixture(t)
	res, content := b.do("GET", "/menus/lists/k", "")
	b.wantRefusal(res, content, refusal.NoConfig, refusal.DidNotRun)
	b.configure()
	b.assign(func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the target") }, true)
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
			res, content := b.do("POST", tt.path, tt.body, tt.header...)
			b.wantRefusal(res, content, tt.cause, refusal.DidNotRun)
		})
	}
}

// Callers must not be able to speak as a gateway towards a target.
func TestCallersCannotForgeEpochs(t *testing.T) {
	b := newFixture(t)
	b.configure()
	b.assign(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(grant.EpochHeader), r.Header.Get(grant.HashHeader))
	}, true)
	_, content := b.do("GET", "/menus/lists/k", "", grant.EpochHeader, "99", grant.HashHeader, "1")
	assert.Equal(t, content, fmt.Sprintf("1%x", shard.Hash("menus", "k")))
}

// The target takes the request and breaks the connection off. An entry is sent
// once and its caller told that it may have run; a list is sent again.
func TestOnlyIdempotentRequestsAreRetriedAfterLostResponse(t *testing.T) {
	b := newFixture(t)
	b.configure()
	var sent atomic.Int32
	b.assign(func(w http.ResponseWriter, r *http.Request) {
		if sent.Add(1) == 1 {
			dropConnection(w)
			return
		}
		echo(w, r)
	}, true)
	res, content := b.do("POST", "/menus/entry/k", "torte")
	b.wantRefusal(res, content, refusal.AnswerCut, refusal.Unknown)
	assert.Equal(t, sent.Load(), int32(1))
	sent.Store(0)
	res, _ = b.do("GET", "/menus/lists/k", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, sent.Load(), int32(2))
}

// A list's first attempt is cut off and may have run; the second is provably
// refused by the target. The caller must not be told that it did not run.
func TestUnknownOutcomeIsKeptAfterLaterRefusal(t *testing.T) {
	b := newFixture(t)
	b.configure()
	var sent atomic.Int32
	b.assign(func(w http.ResponseWriter, _ *http.Request) {
		if sent.Add(1) == 1 {
			dropConnection(w)
			return
		}
		w.Header().Set(grant.RefusedHeader, string(grant.NotOwner))
		w.WriteHeader(http.StatusConflict)
	}, true)
	res, content := b.do("GET", "/menus/lists/k", "")
	b.wantRefusal(res, content, refusal.NotOwner, refusal.Unknown)
}

// A shard moves while an entry is on its way: the old owner says that it did
// not run it. The gateway waits for the next assignment and sends it there.
func TestRequestFollowsMovedShardToNextOwner(t *testing.T) {
	b := newFixture(t)
	b.configure()
	refused := make(chan struct{})
	var once sync.Once
	b.assign(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(grant.RefusedHeader, string(grant.Moved))
		w.WriteHeader(http.StatusConflict)
		once.Do(func() { close(refused) })
	}, true)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		<-refused
		b.assign(echo, true)
	})
	_, content := b.do("POST", "/menus/entry/k", "torte")
	assert.Equal(t, content, "POST /menus/entry/k torte")
}

// A target does not check epochs, and the gateway has no authority from its
// zone's leader. The key may belong to another target by now, so nothing is
// sent; with authority the same request is served.
func TestNoRequestToUnfencedTargetWithoutAuthority(t *testing.T) {
	b := newFixture(t)
	b.configure()
	var sent atomic.Int32
	b.assign(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		echo(w, r)
	}, false)
	res, content := b.do("POST", "/menus/entry/k", "torte")
	b.wantRefusal(res, content, refusal.NoAuthority, refusal.DidNotRun)
	assert.Equal(t, sent.Load(), int32(0))
	b.authority.Extend(time.Now(), time.Minute, time.Now())
	res, _ = b.do("POST", "/menus/entry/k", "torte")
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

// A shard moves away from a target that does not check. That target would run
// what comes late beside the next owner, so the gateway sends it nothing from
// the moment at which the move is announced.
func TestNoRequestToUnfencedTargetWhileShardMoves(t *testing.T) {
	b := newFixture(t)
	b.configure()
	b.assign(func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the target") }, false)
	b.authority.Extend(time.Now(), time.Minute, time.Now())
	now := b.view.Load().Services["menus"].Assignment
	moving := now.Shards[0]
	moving.MovingTo = "t9"
	assert.NilError(t, b.view.ApplyDelta(assignment.Delta{Service: "menus", From: now.Version, To: now.Version + 1, Shards: []shard.Shard{moving}}))
	res, content := b.do("POST", "/menus/entry/k", "torte")
	b.wantRefusal(res, content, refusal.OwnerMoving, refusal.DidNotRun)
}

// A couple clicks twice. The second request arrives while the first one runs,
// shares its run, and both get the same answer.
func TestRequestsWithSameIdempotencyKeyShareOneRun(t *testing.T) {
	b := newFixture(t)
	b.configure()
	var runs atomic.Int32
	arrived, goOn := make(chan struct{}), make(chan struct{})
	b.assign(func(w http.ResponseWriter, _ *http.Request) {
		n := runs.Add(1)
		close(arrived)
		<-goOn
		fmt.Fprintf(w, "run %d", n)
	}, true)
	answers := make(chan string, 2)
	click := func() {
		_, content := b.do("POST", "/menus/entry/k", "torte", entry.IdempotencyKeyHeader, "click")
		answers <- content
	}
	var group sync.WaitGroup
	group.Go(click)
	<-arrived
	group.Go(click)
	// Long enough for the second request to arrive on any machine, and well
	// within the first one's deadline.
	time.Sleep(400 * time.Millisecond)
	close(goOn)
	group.Wait()
	assert.Equal(t, <-answers, "run 1")
	assert.Equal(t, <-answers, "run 1")
	assert.Equal(t, runs.Load(), int32(1))
}

// A long answer breaks off in the middle. Its beginning is with the caller
// already, so the caller's connection is broken off too: the part must not
// look whole.
func TestTruncatedStreamAbortsCallerConnection(t *testing.T) {
	b := newFixture(t)
	b.configure()
	b.assign(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		panic(http.ErrAbortHandler)
	}, true)
	res, err := http.Get(b.url + "/menus/lists/k")
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	assert.Assert(t, err != nil)
}

// Requests whose length is stated in two ways may be read differently by the
// gateway and a target, and one caller could smuggle a request into another's
// connection. They are refused before anything is sent.
func TestRequestSmugglingIsRefused(t *testing.T) {
	b := newFixture(t)
	b.configure()
	b.assign(func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the target") }, true)
	for name, head := range map[string]string{
		"two lengths":      "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"bad length":       "Content-Length: +5\r\n\r\nhello",
		"bad chunk":        "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"unknown encoding": "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"space in name":    "Content-Length : 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "POST /menus/entry/k HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+head)
			assert.NilError(t, err)
			answer, err := io.ReadAll(c)
			assert.NilError(t, err)
			status := strings.SplitN(string(answer), " ", 3)[1]
			assert.Assert(t, status[0] == '4' || status == "501", "%s", answer)
		})
	}
}
