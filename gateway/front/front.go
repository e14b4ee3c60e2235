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
	Wire   routing.HeaderNames
	Broker *broker.Broker
	Roster *roster.Roster
	Pools  *Pools
	// Table returns the routes in force, or nil.
	Table func() *routing.Table
	// Owners returns a service's assignment, or nil, and a channel that is
	// closed when there is a newer one.
	Owners func(service string) (*ownership.Assignment, <-chan struct{})
	// Moved tells whether a key got another owner after a time.
	Moved func(service string, key int, since time.Time) bool
	// Loads is told of each key's work.
	Loads *Loads
	// Retries limits repetitions over all instances.
	Retries func() Retries
	Metrics *Metrics
	Log     *slog.Logger
}

// Retries is how many repetitions all instances may send together.
type Retries struct {
	// Ratio of the requests, and Slack on top of it in each window.
	Ratio float64
	Slack float64
	// Members is how many instances share the slack.
	Members int
}

// Front is the handler of callers' requests. Create it with New.
type Front struct {
	Options

	splitter routing.Splitter
	started  time.Time
	closing  atomic.Bool
	ending   context.Context
	end      context.CancelFunc
	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	usual    map[string]time.Duration
}

// New returns a handler.
func New(o Options) *Front {
	f := &Front{Options: o, started: time.Now(), budgets: map[string]*retry.Budget{}, usual: map[string]time.Duration{}}
	f.ending, f.end = context.WithCancel(context.Background())
	return f
}

// End gives up every request that is still without an answer: the process is
// about to end, and an answer that says so is better than a closed connection.
func (f *Front) End() { f.end() }

// Close makes every answer the last one of its connection.
func (f *Front) Close() { f.closing.Store(true) }

// ServeHTTP serves a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := f.accept(w, r)
	if refused == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		stop := context.AfterFunc(f.ending, cancel) //nolint:contextcheck // the process's end, not the request's
		defer stop()
		var a *answer
		a, refused = f.run(ctx, c)
		if a != nil {
			f.pass(w, c, a)
			return
		}
	}
	if r.Context().Err() != nil {
		f.Metrics.gone(c)
		f.logRefused(c, refused, "callerGone")
		panic(http.ErrAbortHandler)
	}
	f.refuse(w, c, refused)
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
	r := f.Retries()
	b.Set(r.Ratio*safeShare, max(1, r.Slack*safeShare/float64(max(1, r.Members))))
	return b
}

const (
	// startLatency is taken for a route that was not used yet.
	startLatency = 200 * time.Millisecond
	// latencyShare is the weight of the newest answer, as a divisor.
	latencyShare = 16
)

// latency returns the usual time of an answer to a route's requests. Those of one
// service may differ many times in work.
func (f *Front) latency(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if usual := f.usual[route]; usual > 0 {
		return usual
	}
	return startLatency
}

func (f *Front) learn(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usual := f.usual[route]
	if usual == 0 {
		usual = startLatency
	}
	f.usual[route] = usual + (took-usual)/latencyShare
}

// safeShare is the part of the fleet's limit that is spent: members come and
// go, and two windows of requests are not alike.
const safeShare = 0.75

// run sends the request until it is answered or given up.
func (f *Front) run(ctx context.Context, c *call) (*answer, *refusal) {
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
		c.doubt = c.doubt || failed.mayHaveRun
		if c.doubt {
			failed.mayHaveRun = true
		}
		if ctx.Err() != nil || !f.again(ctx, c, failed, budget) {
			return c.failure, failed
		}
	}
}

// again decides whether a failed request is sent once more, and waits until
// that is worth while.
func (f *Front) again(ctx context.Context, c *call, failed *refusal, budget *retry.Budget) bool {
	if failed.final || failed.mayHaveRun && !c.route.Idempotent {
		return false
	}
	if c.runs >= c.route.MaxAttempts || c.sends >= maxSends {
		return false
	}
	if failed.forOwner {
		if !f.awaitOwner(ctx, c) {
			return false
		}
		c.excluded = nil
	}
	if !failed.arrived {
		// A request that never left costs the targets nothing.
		return true
	}
	if !budget.TryWithdraw() {
		return false
	}
	f.Metrics.repeated.WithLabelValues(c.service).Inc()
	return true
}

const (
	// maxSends bounds the tries that did not run, such as refused connections.
	maxSends = 8
	// ownerShare of the objective is how long a request waits for its key's
	// next owner, at most ownerWait: then its caller is told to come back.
	ownerShare = 0.7
	ownerWait  = 1200 * time.Millisecond
	// grantPause is the first wait before the same owner is asked again: its grant
	// may be on its way. After that it is more likely to have given the key back, and
	// each try takes from the budget: the next waits are ownerPause, doubled each time.
	grantPause = 30 * time.Millisecond
	ownerPause = 240 * time.Millisecond
)

// awaitOwner waits until the key has another owner, or a little for the present one.
func (f *Front) awaitOwner(ctx context.Context, c *call) bool {
	until := c.arrived.Add(min(ownerWait, time.Duration(float64(c.route.Objective)*ownerShare)))
	pause := grantPause
	if c.ownerTries > 0 {
		pause = ownerPause << min(c.ownerTries-1, 4)
	}
	pause = min(pause, time.Until(until))
	c.ownerTries++
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
		case <-c.newer:
			if f.ownerChanged(c) {
				return true
			}
		}
	}
}

// ownerChanged tells whether the key has another owner than the target that the
// request was last sent to.
func (f *Front) ownerChanged(c *call) bool {
	a, newer := f.Owners(c.service)
	c.newer = newer
	if a == nil {
		return false
	}
	owner := a.Find(c.key).Owner
	return owner != "" && owner != c.target
}
