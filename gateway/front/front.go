// Package front is the reverse proxy that serves callers: it finds the route and
// the target of each request, sends it there, and forwards the target's complete
// response, or a refusal that never states that a request did not run unless that
// is certain.
package front

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/bodybudget"
	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/basilcross/timelimit"
	"basilcross.example/basilcross/withdrawal"
	"basilcross.example/gateway/broker"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
)

// Options configure a Front. All fields must be set, except TimeLimits and Bodies.
type Options struct {
	Headers routing.HeaderNames
	// ParseLoad decodes the header in which targets report their load.
	ParseLoad func(text string) (routing.TargetLoad, error)
	// ParseRateLimit decodes the header in which targets state how many requests per second they accept.
	ParseRateLimit func(text string) (perSecond float64, err error)
	// ParseRest and ParseLeaving decode the headers in which targets state for how long they want no
	// requests from this instance, and that they leave.
	ParseRest    func(text string) (time.Duration, error)
	ParseLeaving func(text string) (bool, error)
	// Withdrawn has the targets that stated it. OnLeaving is called when one first states that it leaves.
	Withdrawn *withdrawal.List
	OnLeaving func(t *roster.Target)
	Broker    *broker.Broker
	Roster    *roster.Roster
	Pools     *Pools
	// Links tells this instance's own broken links from targets that are down.
	Links *links.Monitor
	// ReachesTargets reports whether this instance reaches targets of a service; it probes some if
	// none has answered of late.
	ReachesTargets func(ctx context.Context, service string) bool
	// Quarantine has the requests that end the targets which run them. OnEnded is called if a target
	// ended under a request that may be the cause, which was sent at the given time, and OnCleared if
	// one that was suspected was answered.
	Quarantine *quarantine.List
	OnEnded    func(t *roster.Target, f quarantine.Fingerprint, sent time.Time)
	OnCleared  func(f quarantine.Fingerprint)
	// ProbeTargets reports whether any of some targets of a service accepts a connection.
	ProbeTargets func(ctx context.Context, service string) bool
	// Forwarder sends requests through other instances while those links are down.
	Forwarder *Forwarder
	// Table returns the routing table in force; nil before the first configuration.
	Table func() *routing.Table
	// CurrentAssignment returns a service's assignment, or nil, and a channel that is
	// closed when there is a newer one.
	CurrentAssignment func(service string) (*ownership.Assignment, <-chan struct{})
	OwnerChangedSince func(service string, key int, since time.Time) bool
	// Thin reports whether this instance lists no targets, so that hubs reserve their slots.
	Thin func() bool
	// Started reports whether this instance can serve: it has the configuration, and there
	// are targets.
	Started func() bool
	Loads   *Loads
	// RetryLimits returns the limits of retries in force.
	RetryLimits func() RetryLimits
	// Pace is set if the schedulers pace targets that have rested.
	Pace bool
	// FirstStart is set if the whole fleet starts for the first time, so that no earlier incarnation
	// has sent retries.
	FirstStart bool
	// TimeLimits recognizes caller retries, whose objective counts from the caller's first attempt; nil if
	// all requests are taken as new.
	TimeLimits *timelimit.Learner
	// Bodies limits the bytes of request bodies that are held at a time; nil is no limit.
	Bodies  *bodybudget.Budget
	Metrics *Metrics
	Log     *slog.Logger
}

// Front is the HTTP handler of callers' requests. Create it with New.
type Front struct {
	Options

	splitter routing.Splitter
	// limitsOf is the table whose routes TimeLimits knows.
	limitsOf          atomic.Pointer[routing.Table]
	started           time.Time
	keepAliveDisabled atomic.Bool
	// stopping is nil until the instance stops.
	stopping     atomic.Pointer[stopTimes]
	abortContext context.Context
	abort        context.CancelFunc
	carried      carried
	direct       directRequests
	endProbes    singleflight.Group
	endings      endings
	watches      errgroup.Group
	mu           sync.Mutex
	budgets      map[string]*serviceBudget
	// latencies are the average response times by route.
	latencies map[string]time.Duration
	// loadErrors has the services of which an invalid load was logged.
	loadErrors sync.Map
	// rateLimitErrors has the services of which an invalid rate limit was logged.
	rateLimitErrors sync.Map
	// withdrawalErrors has the services of which an invalid rest, or statement to leave, was logged.
	withdrawalErrors sync.Map
}

// New returns a Front with the options.
func New(options Options) *Front {
	f := &Front{Options: options, started: time.Now(), budgets: map[string]*serviceBudget{}, latencies: map[string]time.Duration{}}
	f.abortContext, f.abort = context.WithCancel(context.Background())
	return f
}

// ServeHTTP serves a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := f.readCall(w, r)
	defer c.releaseBody()
	if refused == nil {
		refused = f.refusedLate(c)
	}
	if refused == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		stop := context.AfterFunc(f.abortContext, cancel) //nolint:contextcheck // canceled at the process's exit, not by the request
		defer stop()
		var response *targetResponse
		response, refused = f.sendWithRetries(ctx, c)
		if response != nil {
			c.shrinkBody(response)
			f.writeResponse(w, c, response)
			return
		}
	}
	if refused.bodyUnread {
		// A read that timed out has canceled the request's context, but the caller is still there.
		f.refuseUnread(w, r, func() { f.writeRefusal(w, c, refused) })
		return
	}
	if r.Context().Err() != nil {
		f.Metrics.recordCallerGone(c)
		f.logRefused(c, refused, "callerGone")
		panic(http.ErrAbortHandler)
	}
	f.writeRefusal(w, c, refused)
}

const (
	// initialLatency is the estimate for a route without responses yet.
	initialLatency = 200 * time.Millisecond
	// latencySmoothing is the inverse of the newest response time's weight.
	latencySmoothing = 16
)

// latency returns the average response time of a route. It is kept by route, since the
// work of requests to one service may differ by a large factor.
func (f *Front) latency(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if average := f.latencies[route]; average > 0 {
		return average
	}
	return initialLatency
}

func (f *Front) recordLatency(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	average := f.latencies[route]
	if average == 0 {
		average = initialLatency
	}
	f.latencies[route] = average + (took-average)/latencySmoothing
}

// sendWithRetries sends the request until there is a response to forward or no retry is
// allowed. In the latter case it returns a target's failure response, if there was one.
func (f *Front) sendWithRetries(ctx context.Context, c *call) (*targetResponse, *refusal) {
	var last *refusal
	if c.sharded && c.from == "" {
		f.Loads.Add(c.service, c.key, f.latency(c.route.Name))
	}
	for {
		response, failed := f.attempt(ctx, c)
		if response != nil {
			f.recordAnswer(c, response)
			return response, nil
		}
		if c.retryDenied && last != nil {
			return c.failure, last
		}
		c.mayHaveRun = c.mayHaveRun || failed.mayHaveRun
		if c.mayHaveRun {
			failed.mayHaveRun = true
		}
		if ctx.Err() != nil || !f.prepareRetry(ctx, c, failed) {
			return c.failure, failed
		}
		last = failed
	}
}

// prepareRetry reports whether a failed request may be retried. If its key's owner has
// to change first, it waits for that.
func (f *Front) prepareRetry(ctx context.Context, c *call, failed *refusal) bool {
	if failed.final || failed.mayHaveRun && !c.route.Idempotent() {
		return false
	}
	if c.runs >= c.route.MaxAttempts || c.sends >= maxSends {
		return false
	}
	if c.arrivals > 0 && !c.paid && !f.budget(c.service).CanWithdraw() {
		f.denyRetry(c)
		return false
	}
	if failed.awaitOwner {
		if !f.awaitOwner(ctx, c, failed.ownerTrialIn) {
			return false
		}
		c.excluded = nil
	}
	return true
}

const (
	// maxSends also limits attempts that did not run, such as refused connections.
	maxSends = 8
	// ownerWaitShare is the share of the route's objective for which a request waits
	// for its key's next owner, at most maxOwnerWait. Then it is refused, and its
	// caller may retry.
	ownerWaitShare = 0.7
	maxOwnerWait   = 1200 * time.Millisecond
	// grantRetryDelay is the delay before the first retry at the same owner, whose grant may not
	// have arrived yet. The scheduler of its slots decides when it is tried next; unless that says
	// when, it is asked after ownerRetryDelay.
	grantRetryDelay = 30 * time.Millisecond
	ownerRetryDelay = 240 * time.Millisecond
)

// awaitOwner waits until the key has another owner, or until the next trial of the current one is due:
// after trialIn, if that is not zero. It reports whether the request may be sent again.
func (f *Front) awaitOwner(ctx context.Context, c *call, trialIn time.Duration) bool {
	waitUntil := c.arrived.Add(min(maxOwnerWait, time.Duration(float64(c.route.Objective)*ownerWaitShare)))
	delay := trialIn
	if delay == 0 {
		delay = grantRetryDelay
		if c.ownerAttempts > 0 {
			delay = ownerRetryDelay << min(c.ownerAttempts-1, 4)
		}
		c.ownerAttempts++
	}
	delay = min(delay, time.Until(waitUntil))
	if delay <= 0 {
		return false
	}
	timer := time.NewTimer(delay)
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

// ownerChanged reports whether the key's owner differs from the target that the request
// was last sent to.
func (f *Front) ownerChanged(c *call) bool {
	a, newer := f.CurrentAssignment(c.service)
	c.assignmentChanged = newer
	if a == nil {
		return false
	}
	owner := a.Find(c.key).Owner
	return owner != "" && owner != c.lastTarget
}
