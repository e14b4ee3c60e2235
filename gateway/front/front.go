// Package front serves callers in the platform's dialect: it finds the route
// and the target of each request, sends it there, and passes on the target's
// whole answer or an honest refusal.
package front

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/retry"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/broker"
)

// Options are what a Front needs; all must be set.
type Options struct {
	Headers routing.HeaderNames
	Broker  *broker.Broker
	Roster  *roster.Roster
	Pools   *Pools
	// Table returns the routes in force, or nil.
	Table func() *routing.Table
	// CurrentAssignment returns a service's assignment, or nil, and a channel that is
	// closed when there is a newer one.
	CurrentAssignment func(service string) (*ownership.Assignment, <-chan struct{})
	// OwnerChangedSince tells whether a key got another owner after a time.
	OwnerChangedSince func(service string, key int, since time.Time) bool
	// Loads is told of each key's work.
	Loads *Loads
	// RetryLimits limits repetitions over all instances.
	RetryLimits func() RetryLimits
	Metrics     *Metrics
	Log         *slog.Logger
}

// RetryLimits is how many repetitions all instances may send together.
type RetryLimits struct {
	// Ratio of the requests, and Slack on top of it in each window.
	Ratio float64
	Slack float64
	// Instances is how many instances share the slack.
	Instances int
}

// Front is the handler of callers' requests. Create it with New.
type Front struct {
	Options

	splitter          routing.Splitter
	started           time.Time
	keepAliveDisabled atomic.Bool
	abortContext      context.Context
	abort             context.CancelFunc
	mu                sync.Mutex
	budgets           map[string]*retry.Budget
	latencies         map[string]time.Duration
}

// New returns a handler.
func New(o Options) *Front {
	f := &Front{Options: o, started: time.Now(), budgets: map[string]*retry.Budget{}, latencies: map[string]time.Duration{}}
	f.abortContext, f.abort = context.WithCancel(context.Background())
	return f
}

// Abort gives up every request that is still without an answer: the process is
// about to end, and an answer that says so is better than a closed connection.
func (f *Front) Abort() { f.abort() }

// Close makes every answer the last one of its connection.
func (f *Front) Close() { f.keepAliveDisabled.Store(true) }

// ServeHTTP serves a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := f.readCall(w, r)
	if refused == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		stop := context.AfterFunc(f.abortContext, cancel) //nolint:contextcheck // the process's end, not the request's
		defer stop()
		var a *targetResponse
		a, refused = f.sendWithRetries(ctx, c)
		if a != nil {
			f.writeResponse(w, c, a)
			return
		}
	}
	if r.Context().Err() != nil {
		f.Metrics.callerGone(c)
		f.logRefused(c, refused, "callerGone")
		panic(http.ErrAbortHandler)
	}
	f.writeRefusal(w, c, refused)
}

// budget returns the retry budget of a service, with this instance's share.
func (f *Front) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		f.budgets[service] = b
	}
	r := f.RetryLimits()
	b.Set(r.Ratio*retryBudgetShare, max(1, r.Slack*retryBudgetShare/float64(max(1, r.Instances))))
	return b
}

const (
	// initialLatency is taken for a route that was not used yet.
	initialLatency = 200 * time.Millisecond
	// latencySmoothing is the weight of the newest answer, as a divisor.
	latencySmoothing = 16
)

// latency returns the usual time of an answer to a route's requests. Those of one
// service may differ many times in work.
func (f *Front) latency(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if usual := f.latencies[route]; usual > 0 {
		return usual
	}
	return initialLatency
}

func (f *Front) recordLatency(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usual := f.latencies[route]
	if usual == 0 {
		usual = initialLatency
	}
	f.latencies[route] = usual + (took-usual)/latencySmoothing
}

// retryBudgetShare is the part of the fleet's limit that is spent: members come and
// go, and two windows of requests are not alike.
const retryBudgetShare = 0.75

// sendWithRetries sends the request until it is answered or given up.
func (f *Front) sendWithRetries(ctx context.Context, c *call) (*targetResponse, *refusal) {
	budget := f.budget(c.service)
	budget.Deposit()
	if c.sharded {
		f.Loads.Add(c.service, c.key, f.latency(c.route.Name))
	}
	for {
		a, failed := f.attempt(ctx, c)
		if a != nil {
			return a, nil
		}
		c.mayHaveRun = c.mayHaveRun || failed.mayHaveRun
		if c.mayHaveRun {
			failed.mayHaveRun = true
		}
		if ctx.Err() != nil || !f.prepareRetry(ctx, c, failed, budget) {
			return c.failure, failed
		}
	}
}

// prepareRetry decides whether a failed request is sent once more, and waits until
// that is worth while.
func (f *Front) prepareRetry(ctx context.Context, c *call, failed *refusal, budget *retry.Budget) bool {
	if failed.final || failed.mayHaveRun && !c.route.Idempotent {
		return false
	}
	if c.runs >= c.route.MaxAttempts || c.sends >= maxSends {
		return false
	}
	if failed.awaitOwner {
		if !f.awaitOwner(ctx, c) {
			return false
		}
		c.excluded = nil
	}
	if !failed.reachedTarget {
		// A request that never left costs the targets nothing.
		return true
	}
	if !budget.TryWithdraw() {
		return false
	}
	f.Metrics.retries.WithLabelValues(c.service).Inc()
	return true
}

const (
	// maxSends bounds the tries that did not run, such as refused connections.
	maxSends = 8
	// ownerWaitShare of the objective is how long a request waits for its key's
	// next owner, at most ownerWait: then its caller is told to come back.
	ownerWaitShare = 0.7
	maxOwnerWait   = 1200 * time.Millisecond
	// grantRetryDelay is the first wait before the same owner is asked again: its grant
	// may be on its way. After that it is more likely to have given the key back, and
	// each try takes from the budget: the next waits are ownerPause, doubled each time.
	grantRetryDelay = 30 * time.Millisecond
	ownerRetryDelay = 240 * time.Millisecond
)

// awaitOwner waits until the key has another owner, or a little for the present one.
func (f *Front) awaitOwner(ctx context.Context, c *call) bool {
	until := c.arrived.Add(min(maxOwnerWait, time.Duration(float64(c.route.Objective)*ownerWaitShare)))
	pause := grantRetryDelay
	if c.ownerAttempts > 0 {
		pause = ownerRetryDelay << min(c.ownerAttempts-1, 4)
	}
	pause = min(pause, time.Until(until))
	c.ownerAttempts++
	if pause <= 0 {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-c.assignmentChanged:
			if f.ownerChanged(c) {
				return true
			}
		}
	}
}

// ownerChanged tells whether the key has another owner than the target that the
// request was last sent to.
func (f *Front) ownerChanged(c *call) bool {
	a, newer := f.CurrentAssignment(c.service)
	c.assignmentChanged = newer
	if a == nil {
		return false
	}
	owner := a.Find(c.key).Owner
	return owner != "" && owner != c.lastTarget
}
