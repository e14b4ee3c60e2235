package schedule

import (
	"maps"
	"math"
	"time"

	"basilcross.example/basilcross/responsetime"
	"basilcross.example/basilcross/waitlist"
)

const (
	// variationFactor is the bound of the wait by the variation of slot releases, as a multiple of the mean
	// response time / sqrt(slots).
	variationFactor = 2.0
	// acceptedLoss is by how much a wait may lower a request's probability of being in time.
	acceptedLoss = 0.01
	// minResponses is how many responses of a kind must be known for its distribution, and for its share of
	// the load, to count.
	minResponses = 20
	// overloadThreshold is the load above which late requests are refused at once: the slots that they would
	// use are missing for requests that can be in time. The overload is over below recoveredThreshold.
	overloadThreshold  = 1.1
	recoveredThreshold = 1.0
	// waitlistThreshold is the load above which refused callers get places. Below it a caller that retries
	// quickly can still be in time.
	waitlistThreshold = 1.15
	// minWaitlistShare is the share of the capacity that callers on the waitlist get at least.
	minWaitlistShare = 0.05
	// retryWaitDivisor limits a caller's wait before a retry to a third of its time left.
	retryWaitDivisor = 3
	// minServedShare is the share of the average that a kind is served at least, however much work of more
	// urgent kinds arrives. maxOwed bounds what it may save up.
	minServedShare = 0.25
	maxOwed        = 2.0
	// loadHalfLife is the half-life of an arrival in the load of a pool.
	loadHalfLife = 3 * time.Second
	// overloadCheckInterval is the time between the checks whether an overload is over.
	overloadCheckInterval = time.Second
	// loadPause is the time without arrivals after which the load is measured from the next one on: what came
	// before has decayed to a thousandth.
	loadPause = 10 * loadHalfLife
	// minLoadTime is the shortest time over which the load is averaged: after a start, the few requests of
	// the first moment would look like a very high one.
	minLoadTime = time.Second
)

// Admission bounds the wait for slots of a pool, that is of any target of a zone. The zero value has no
// options set.
type Admission struct {
	// OnOverload, if set, is called when the overload of a pool begins and when it is over.
	OnOverload func(Overload)
}

// Overload is the state of a pool whose load exceeds its capacity, or did.
type Overload struct {
	Service string
	Zone    string
	// Load is the work of the requests that arrive per second, as a multiple of what the slots can do.
	Load  float64
	Slots float64
	// Over is set if the overload is over. Duration is how long it lasted, and Refused how many requests
	// were refused.
	Over     bool
	Duration time.Duration
	Refused  int
}

// Reason says why admission refused a request.
type Reason string

// The reasons.
const (
	// ReasonOverload: the pool's load is above its capacity, so the request would only displace others.
	ReasonOverload Reason = "overload"
	// ReasonLateQueue: as many late requests wait as there are slots.
	ReasonLateQueue Reason = "lateQueue"
	// ReasonLate: it could not be answered soon enough to be of use, even late.
	ReasonLate Reason = "late"
)

// poolState is what admission and the waitlist know of a pool.
type poolState struct {
	// since is when the first request arrived, or the first one after a long pause, and lastArrival when the
	// last one did.
	since, lastArrival time.Time
	// slots and slowness are those of the pool for a request that may go to any of its targets; zero before
	// the first such request.
	slots, slowness float64

	arrivals  map[uint32]*poolArrivals
	responses map[uint32]*responsetime.Distribution
	waitlist  waitlist.List
	// overloadedSince is zero while the pool is not overloaded. refused requests are counted since then. The
	// load was checked last at checked, with the capacity last.
	overloadedSince time.Time
	refused         int
	checked         time.Time
	last            capacity
}

// poolArrivals are the arrivals of one kind's requests at a pool, each counted with loadHalfLife.
type poolArrivals struct {
	priority     int
	decayedCount float64
	updated      time.Time
	// owed is how many requests of the kind are to be served before more urgent ones.
	owed float64
}

func newPoolState(now time.Time) *poolState {
	return &poolState{since: now, arrivals: map[uint32]*poolArrivals{}, responses: map[uint32]*responsetime.Distribution{}}
}

// poolFor returns the state of the ticket's pool; nil if the request has one acceptable target, or neither
// admission nor the waitlist is on.
func (s *Scheduler) poolFor(now time.Time, t *Ticket) *poolState {
	if t.Request.Target != "" || s.Admission == nil && !s.Waitlist {
		return nil
	}
	if t.queue.pool == nil {
		t.queue.pool = newPoolState(now)
	}
	return t.queue.pool
}

// recordArrival counts the ticket's request. An attempt after its first was counted before.
func (p *poolState) recordArrival(now time.Time, t *Ticket, avail capacity) {
	r := &t.Request
	if p == nil || len(r.Excluded) > 0 {
		return
	}
	if now.Sub(p.lastArrival) > loadPause {
		p.since = now
	}
	p.lastArrival = now
	a := p.arrivals[r.Kind]
	if a == nil {
		a = &poolArrivals{updated: now}
		p.arrivals[r.Kind] = a
	}
	a.decayedCount = a.decayedCount*loadDecay(now.Sub(a.updated)) + 1
	a.updated, a.priority = now, r.Priority
	if len(t.queue.waiting) > 0 {
		a.owed = min(a.owed+minServedShare/max(1, p.load(now, t.service, math.MaxInt, avail)), maxOwed)
	}
}

// recordCapacity records the pool's capacity as a request sees it that may go to any of its targets.
func (p *poolState) recordCapacity(r *Request, avail capacity) {
	if p != nil && len(r.Excluded) == 0 {
		p.slots, p.slowness = avail.slots, avail.slowness
	}
}

// recordServed records that the ticket got a slot.
func (p *poolState) recordServed(t *Ticket) {
	if p == nil {
		return
	}
	if a := p.arrivals[t.Request.Kind]; a != nil {
		a.owed = max(0, a.owed-1)
	}
}

// isNext reports whether a new ticket would be served before more urgent ones.
func (p *poolState) isNext(t *Ticket) bool {
	a := p.arrivals[t.Request.Kind]
	if a == nil || a.owed < 1 {
		return false
	}
	waiting := 0
	for _, o := range t.queue.waiting {
		if o.Request.Kind == t.Request.Kind {
			waiting++
		}
	}
	return float64(waiting)+1 <= a.owed
}

// owed returns the waiting ticket that precedes one of the same or a higher priority, since its kind would not be served often
// enough otherwise; nil if there is none.
func (p *poolState) owed(now time.Time, q *queue, next *Ticket, slowness float64) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if a := p.arrivals[t.Request.Kind]; a == nil || a.owed < 1 || t.Request.Priority < next.Request.Priority {
			continue
		}
		if best == nil || t.precedes(best, now, slowness) {
			best = t
		}
	}
	return best
}

func loadDecay(d time.Duration) float64 { return math.Exp2(-d.Seconds() / loadHalfLife.Seconds()) }

// load returns the work of the requests of a priority or a higher one that arrive per second, as a multiple
// of what the pool's slots can do in it. It is 0 while too few responses are known.
func (p *poolState) load(now time.Time, s *service, priority int, avail capacity) float64 {
	slots, slowness := p.slots, p.slowness
	if slots <= 0 {
		slots, slowness = avail.slots, avail.slowness
	}
	if !s.knowsWork() || slots <= 0 {
		return 0
	}
	work := 0.0
	for kind, a := range p.arrivals {
		if a.priority <= priority {
			work += a.decayedCount * loadDecay(now.Sub(a.updated)) * s.establishedWork(kind)
		}
	}
	// The counts are those of the time since the first arrival, the oldest with the lowest weight.
	averaged := max(now.Sub(p.since), minLoadTime)
	weight := loadHalfLife.Seconds() / math.Ln2 * (1 - loadDecay(averaged))
	return work / weight * slowness / slots
}

// knowsWork reports whether any kind's work is estimated from enough responses.
func (s *service) knowsWork() bool {
	for _, k := range s.kinds {
		if k.answers >= minResponses {
			return true
		}
	}
	return false
}

// establishedWork is workOf, except for kinds with few responses, one of which may have taken very long.
func (s *service) establishedWork(kind uint32) float64 {
	if k := s.kinds[kind]; k != nil && k.answers >= minResponses {
		return k.work
	}
	return s.averageWork()
}

// recordResponse records the response time of a request that was sent to a target of the pool.
func (p *poolState) recordResponse(now time.Time, t *Ticket) {
	if t.poolLatency <= 0 || t.startedAt.IsZero() {
		return
	}
	d := p.responses[t.Request.Kind]
	if d == nil {
		d = &responsetime.Distribution{}
		p.responses[t.Request.Kind] = d
	}
	took := max(now.Sub(t.startedAt)-2*t.Request.OneWayDelay, minWork)
	d.Record(now, took.Seconds()/t.poolLatency)
}

// waitBound returns how long a request may wait for a slot if it is to be answered in time.
func (p *poolState) waitBound(now time.Time, t *Ticket, avail capacity) time.Duration {
	bound := variationFactor * avail.latency / math.Sqrt(max(1, avail.slots))
	if d := p.responses[t.Request.Kind]; d != nil && d.Count(now) >= minResponses {
		budget := (t.Request.Objective.Sub(now) - answerMessages*t.Request.OneWayDelay).Seconds()
		inTime := d.Share(budget / avail.latency)
		bound = max(bound, budget-d.Quantile(inTime-acceptedLoss)*avail.latency)
	}
	return seconds(bound)
}

// setWaitInPool sets WaitUntil if the request can be answered in time after a wait within the bound, or
// late without harm to others; otherwise it returns an error.
func (t *Ticket) setWaitInPool(now time.Time, avail capacity) *BusyError {
	wait := t.queue.waitInTime(t, avail)
	if t.queue.pool.isNext(t) {
		wait = avail.freeIn
	}
	t.WaitUntil = t.latestStart(avail)
	// A request whose objective is near the response time may wait as long as keeps the slots busy:
	// otherwise it would be refused in favor of less urgent ones, which may wait.
	least := now.Add(seconds(variationFactor * avail.latency / math.Sqrt(max(1, avail.slots))))
	budget := t.Request.Objective.Sub(now) - answerMessages*t.Request.OneWayDelay
	if t.WaitUntil.Before(least) && budget >= seconds(avail.latency) {
		t.WaitUntil = least
	}
	t.bound = min(t.queue.pool.waitBound(now, t, avail), t.WaitUntil.Sub(now))
	if wait <= t.bound {
		return nil
	}
	inTime := !now.Add(wait).After(t.WaitUntil)
	err := t.setLateWait(now, wait, avail)
	if err != nil {
		err.InTime = inTime
	}
	return err
}

// setLateWait sets WaitUntil for a request that cannot be answered in time, or may not wait for that. It
// returns an error if the request may not wait as a late one. wait is the expected one.
func (t *Ticket) setLateWait(now time.Time, wait time.Duration, avail capacity) *BusyError {
	reason := ReasonLate
	load := t.queue.pool.load(now, t.service, t.Request.Priority, avail)
	switch {
	case t.Request.RejectLate:
	case load > overloadThreshold:
		reason = ReasonOverload
	case avail.targets > 0 && float64(t.queue.lateCount(t)) >= avail.slots:
		reason = ReasonLateQueue
	case t.waitPastObjective(now, avail) == nil:
		return nil
	}
	err := t.busyError(wait, avail)
	err.Reason, err.Load, err.Bound = reason, load, max(0, t.bound)
	return err
}

// waitInTime estimates the wait for a slot of a request that can be answered in time: late requests of
// its priority are behind it.
func (q *queue) waitInTime(t *Ticket, avail capacity) time.Duration {
	ahead := 0.0
	for _, o := range q.waiting {
		if o != t && (o.Request.Priority < t.Request.Priority || o.Request.Priority == t.Request.Priority && !o.late) {
			ahead += o.service.workOf(o.Request.Kind) * avail.slowness
		}
	}
	return avail.freeIn + seconds(ahead/max(1, avail.slots))
}

// lateCount returns how many late requests of the ticket's priority or a higher one wait.
func (q *queue) lateCount(t *Ticket) (count int) {
	for _, o := range q.waiting {
		if o != t && o.late && o.Request.Priority <= t.Request.Priority {
			count++
		}
	}
	return count
}

// boundsWait reports whether the wait of the ticket is bounded. Where all targets state how many requests per
// second they accept, slots are released at that rate, whatever the load is.
func (s *Scheduler) boundsWait(t *Ticket, avail capacity) bool {
	return s.Admission != nil && t.queue.pool != nil && !avail.allLimited()
}

// setPlace gives the caller a place on the waitlist while the pool is overloaded.
func (p *poolState) setPlace(now time.Time, t *Ticket, avail capacity, err *BusyError) {
	load := p.load(now, t.service, t.Request.Priority, avail)
	if load <= waitlistThreshold || t.Request.RejectLate || avail.slots <= 0 || avail.allLimited() {
		return
	}
	share := max(minWaitlistShare, 1-load)
	c := waitlist.Caller{Priority: t.Request.Priority, Earliest: now.Add(err.Wait), Latest: now.Add(t.Request.Deadline.Sub(now) / retryWaitDivisor)}
	err.Place = p.waitlist.Place(c, seconds(avail.latency/(share*avail.slots))).Sub(now)
}

// refused completes the error of a refused request, and begins an overload if that is the reason.
func (s *Scheduler) refused(now time.Time, t *Ticket, avail capacity, err *BusyError) *BusyError {
	p := t.queue.pool
	if p == nil {
		return err
	}
	if s.Waitlist {
		p.setPlace(now, t, avail, err)
	}
	if err.Reason == "" || t.Request.RejectLate {
		return err
	}
	if err.Reason == ReasonOverload && p.overloadedSince.IsZero() {
		p.overloadedSince, p.checked, p.refused, p.last = now, now, 0, avail
		s.reportOverload(Overload{Service: t.service.name, Zone: t.Request.Zone, Load: err.Load, Slots: avail.slots})
	}
	p.refused++
	return err
}

func (s *Scheduler) reportOverload(o Overload) {
	if s.Admission != nil && s.Admission.OnOverload != nil {
		s.Admission.OnOverload(o)
	}
}

// checkOverload ends the pool's overload if its load is lower again.
func (s *Scheduler) checkOverload(now time.Time, svc *service, zone string, p *poolState, avail capacity) {
	if p == nil || p.overloadedSince.IsZero() || now.Sub(p.checked) < overloadCheckInterval || avail.targets == 0 {
		return
	}
	p.checked, p.last = now, avail
	load := p.load(now, svc, math.MaxInt, avail)
	if load >= recoveredThreshold {
		return
	}
	s.reportOverload(Overload{
		Service: svc.name, Zone: zone, Load: load, Slots: avail.slots,
		Over: true, Duration: now.Sub(p.overloadedSince), Refused: p.refused,
	})
	p.overloadedSince = time.Time{}
}

// prune drops what is known of kinds not used for kindTTL.
func (p *poolState) prune(now time.Time) {
	maps.DeleteFunc(p.arrivals, func(_ uint32, a *poolArrivals) bool { return now.Sub(a.updated) > kindTTL })
	maps.DeleteFunc(p.responses, func(kind uint32, _ *responsetime.Distribution) bool { return p.arrivals[kind] == nil })
}
