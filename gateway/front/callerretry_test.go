package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/routing"
	"basilcross.example/basilcross/timelimit"
	"basilcross.example/gateway/front"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// logLines collects log lines.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// retryAge returns the age of the first attempt in a request's line; ok is false if the line has none.
func (l *logLines) retryAge(t *testing.T, event, id string) (ms float64, ok bool) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields["msg"] == event && fields["request"] == id {
			ms, ok = fields["firstAttemptAgeMs"].(float64)
			return ms, ok
		}
	}
	t.Fatalf("no line %s of request %s", event, id)
	return 0, false
}

// recordLog makes the fixture's Front log to the returned lines, and returns its metrics.
func (f *fixture) recordLog() (*logLines, *prometheus.Registry) {
	lines, registry := &logLines{}, prometheus.NewRegistry()
	f.front.Log = slog.New(slog.NewJSONHandler(lines, nil))
	f.front.Metrics = front.NewMetrics(registry)
	return lines, registry
}

// callWith sends a request whose caller has the given time left.
func (f *fixture) callWith(path, leftMs string) *http.Response {
	f.sent++
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.server.URL+path, http.NoBody)
	assert.NilError(f.t, err)
	req.Host = "cakes.example"
	req.Header.Set(platform.RequestID, f.lastID())
	req.Header.Set(platform.TimeLeft, leftMs)
	res, err := f.server.Client().Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, res.Body.Close())
	return res
}

func callerRetries(t *testing.T, r *prometheus.Registry) (sum float64) {
	families, err := r.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == "basilcross_caller_retries_total" {
			for _, m := range family.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// Guards against caller retries that are taken as new: the time left has to be judged before the route's timeout
// caps it, and the refusals have to be counted.
func TestCallerRetryAfterARefusalIsRecognized(t *testing.T) {
	f := newFixture(t)
	lines, registry := f.recordLog()
	f.front.TimeLimits = &timelimit.Learner{}
	f.setRoutes(time.Second)
	f.startTarget("t", http.HandlerFunc(shed))
	for range 60 {
		assert.Equal(t, f.callWith("/safe/x", "8000").StatusCode, http.StatusServiceUnavailable)
	}
	_, ok := lines.retryAge(t, "requestRefused", f.lastID())
	assert.Assert(t, !ok, "a first attempt")
	f.callWith("/safe/x", "5000")
	ms, ok := lines.retryAge(t, "requestRefused", f.lastID())
	assert.Assert(t, ok && ms > 2800 && ms <= 3000, "%v", ms)
	f.callWith("/book/x", "5000")
	_, ok = lines.retryAge(t, "requestRefused", f.lastID())
	assert.Assert(t, !ok, "another route")
	assert.Equal(t, callerRetries(t, registry), 1.0)
}

// Guards against an effect of the feature where it is off, and where no request was refused.
func TestRequestsAreNewWithoutTheFeatureOrRefusals(t *testing.T) {
	for _, learner := range []*timelimit.Learner{nil, {}} {
		f := newFixture(t)
		lines, registry := f.recordLog()
		f.front.TimeLimits = learner
		f.setRoutes(time.Second)
		f.startTarget("t", &standin.Target{ID: "t"})
		for range 60 {
			f.callWith("/safe/x", "8000")
		}
		f.callWith("/safe/x", "5000")
		_, ok := lines.retryAge(t, "requestAnswered", f.lastID())
		assert.Assert(t, !ok)
		assert.Equal(t, callerRetries(t, registry), 0.0)
	}
}

// Guards against state of routes that the configuration in force does not have any more.
func TestRangeOfARemovedRouteIsForgotten(t *testing.T) {
	f := newFixture(t)
	f.front.TimeLimits = &timelimit.Learner{}
	f.setRoutes(time.Second)
	f.startTarget("t", &standin.Target{ID: "t"})
	for range 60 {
		f.callWith("/safe/x", "8000")
	}
	_, ok := f.front.TimeLimits.Usual("safe")
	assert.Assert(t, ok)
	f.setConfig(&routing.Config{Version: 2, Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{
		{Name: "book", Host: "cakes.example", Prefix: "/book/", MaxAttempts: 2, Split: []routing.Share{{Service: "s", Weight: 1}}},
	}})
	f.callWith("/book/x", "8000")
	_, ok = f.front.TimeLimits.Usual("safe")
	assert.Assert(t, !ok)
}

// Guards against a carrier that takes a caller retry as new: it does not see the caller's time left.
func TestForwardedCallerRetryKeepsItsAge(t *testing.T) {
	carrier, address := startCarrier(t, &standin.Target{ID: "t"})
	carrierLines, carrierRegistry := carrier.recordLog()
	f := withoutLinks(t, address)
	lines, _ := f.recordLog()
	f.front.TimeLimits = &timelimit.Learner{}
	for range 60 {
		f.front.TimeLimits.Age(time.Now(), "safe", 8*time.Second)
	}
	f.front.TimeLimits.Refused(time.Now(), "safe")
	assert.Equal(t, f.callWith("/safe/x", "5000").StatusCode, http.StatusOK)
	sent, ok := lines.retryAge(t, "requestAnswered", f.lastID())
	assert.Assert(t, ok)
	received, ok := carrierLines.retryAge(t, "requestAnswered", f.lastID())
	assert.Assert(t, ok)
	assert.Equal(t, received, sent)
	assert.Equal(t, callerRetries(t, carrierRegistry), 0.0)
}

// Guards against a description of forwarded requests that changes for first attempts: the field is optional, since
// other versions do not know it.
func TestForwardedFirstAttemptHasNoAge(t *testing.T) {
	var description atomic.Pointer[string]
	address := startControl(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := r.Header.Get("Basilcross-Forward")
		description.Store(&text)
		w.WriteHeader(http.StatusNotFound)
	}))
	f := withoutLinks(t, address)
	f.front.TimeLimits = &timelimit.Learner{}
	f.callWith("/safe/x", "5000")
	values, err := url.ParseQuery(*description.Load())
	assert.NilError(t, err)
	assert.Assert(t, !values.Has("sinceFirstMs"), values)
	age, err := strconv.Atoi(values.Get("ageMs"))
	assert.Assert(t, err == nil && age < 5000)
}
