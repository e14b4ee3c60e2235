// Package timelimit recognizes requests that callers send again after a refusal: they have less time left
// than the callers of their route usually have.
package timelimit

import (
	"container/list"
	"sync"
	"time"

	"basilcross.example/basilcross/retry"
)

const (
	// minSamples is how many requests of a route are taken as new until its range is learnt.
	minSamples = 50
	// window is how many of a route's last requests its range is learnt from.
	window = 128
	// fitInterval is how many requests the learnt range is used for.
	fitInterval = 8
	// maxRoutes bounds the routes that are remembered, those that were requested last: more than the 5,600
	// that docs/CAPACITY.md plans for.
	maxRoutes = 8192
	// retriesPerRefusal and maxRetries bound the requests that are taken as caller retries: each follows
	// a refusal, but mostly one by another instance, so the numbers at one instance vary.
	retriesPerRefusal = 2
	maxRetries        = 64
)

// Learner learns the range of callers' time limits of each route. The zero value is ready to use, and safe
// for concurrent use. It keeps at most 8,192 routes and 128 limits of each.
type Learner struct {
	mu     sync.Mutex
	routes map[string]*list.Element
	// recent has the routes, as *route, the one that was requested last first.
	recent list.List
}

type route struct {
	name string
	// limits are the time limits of the last requests, in ms; next is the index of the oldest once there
	// are as many as the window has.
	limits []uint32
	next   int
	// unfitted counts the requests since the range was computed; usual is nil if nothing is assumed.
	unfitted int
	usual    *Range
	// lastRefusal is when a request was refused last, longest the longest usual limit, after which its caller
	// does not retry any more, and quiet how many requests were recorded since then. quietRange is the range of
	// a window without retries; nil before there was one.
	lastRefusal time.Time
	longest     time.Duration
	quiet       int
	quietRange  *Range
	// retries limits the requests that are taken as retries, by the refusals.
	retries retry.Budget
}

// Age records a request of a route that arrives now with the time that its caller has left, and returns how
// long ago the caller's first attempt was, by estimate; 0 if the request is taken as new.
func (l *Learner) Age(now time.Time, name string, left time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.use(name)
	known := len(r.limits) >= minSamples
	if known && r.unfitted >= fitInterval {
		r.fit()
	}
	r.record(now, left)
	if !known || r.usual == nil || left >= r.usual.Lower || !r.retries.TryWithdraw() {
		return 0
	}
	return r.usual.Middle() - left
}

// Refused records that a request of a route is refused now, so that its caller may send it again. While nothing
// is refused there are no caller retries: requests with little time left come from callers with short limits.
func (l *Learner) Refused(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.use(name)
	r.retries.Deposit()
	r.lastRefusal, r.quiet = now, 0
}

// Usual returns the range of time limits that is learnt of a route; ok is false while nothing is assumed.
func (l *Learner) Usual(name string) (usual Range, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.routes[name]
	if e == nil {
		return Range{}, false
	}
	r, _ := e.Value.(*route)
	if len(r.limits) >= minSamples {
		r.fit()
	}
	if r.usual == nil {
		return Range{}, false
	}
	return *r.usual, true
}

// Recognizes reports whether caller retries of a route are recognized: its range is learnt. What one instance
// has learnt, the others will soon have learnt, too.
func (l *Learner) Recognizes(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.routes[name]
	if e == nil {
		return false
	}
	r, _ := e.Value.(*route)
	return len(r.limits) >= minSamples && r.usual != nil
}

// Retain forgets the routes that do not exist any more.
func (l *Learner) Retain(exists func(name string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.routes {
		if !exists(name) {
			l.recent.Remove(e)
			delete(l.routes, name)
		}
	}
}

// use returns a route as the one that was requested last. l.mu must be held.
func (l *Learner) use(name string) *route {
	if e := l.routes[name]; e != nil {
		l.recent.MoveToFront(e)
		r, _ := e.Value.(*route)
		return r
	}
	if l.routes == nil {
		l.routes = map[string]*list.Element{}
	}
	if len(l.routes) >= maxRoutes {
		oldest, _ := l.recent.Remove(l.recent.Back()).(*route)
		delete(l.routes, oldest.name)
	}
	r := &route{name: name}
	r.retries.Set(retriesPerRefusal, maxRetries)
	r.retries.Clear()
	l.routes[name] = l.recent.PushFront(r)
	return r
}

func (r *route) record(now time.Time, left time.Duration) {
	// A caller whose request was refused has given up when its time limit is over.
	if r.lastRefusal.IsZero() || r.longest > 0 && now.Sub(r.lastRefusal) > r.longest {
		r.quiet++
	}
	ms := uint32(min(max(0, left), maxLimit).Milliseconds())
	r.unfitted++
	if len(r.limits) < window {
		r.limits = append(r.limits, ms)
		return
	}
	r.limits[r.next] = ms
	r.next = (r.next + 1) % window
}

func (r *route) fit() {
	r.unfitted = 0
	r.usual = nil
	all := span(r.limits)
	r.longest = all.Upper
	if r.quiet >= window {
		r.quietRange = &all
	}
	usual, ok := fit(r.limits)
	if ok && r.quietRange != nil {
		usual, ok = usual.extend(*r.quietRange)
	}
	if ok {
		r.usual = &usual
	}
}
