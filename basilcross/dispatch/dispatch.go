// Package dispatch blocks requests until a scheduler assigns them slots at targets. One
// instance of a zone dispatches for a group of targets, so that it tracks all requests
// that compete for their few slots.
package dispatch

import (
	"context"
	"sync"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/basilcross/speed"
)

// recheckInterval is how often slots are assigned to waiting requests even if none was
// released: backoffs end and targets are added without a call of Release.
const recheckInterval = 50 * time.Millisecond

// Dispatcher assigns the slots of targets to requests. Roster must be set. It is safe
// for concurrent use.
type Dispatcher struct {
	Roster *roster.Roster
	// ColdRate is used as in schedule.Scheduler.
	ColdRate func(now time.Time, t *roster.Target) (rate float64, cold bool)
	// RateLimit is used as in schedule.Scheduler.
	RateLimit func(t roster.Incarnation) (perSecond float64, limited bool)
	// IsBound and HasAlternative are used as in schedule.Scheduler.
	IsBound        func(kind uint32) bool
	HasAlternative func(r *schedule.Request) bool
	// Speeds is used as in schedule.Scheduler.
	Speeds bool
	// OnBackoff is used as in schedule.Scheduler. It must not call the Dispatcher.
	OnBackoff func(schedule.Backoff)
	// Admission and Waitlist are used as in schedule.Scheduler. Admission.OnOverload must not call the
	// Dispatcher.
	Admission *schedule.Admission
	Waitlist  bool
	// Pace and OnPace are used as in schedule.Scheduler. OnPace must not call the Dispatcher.
	Pace   bool
	OnPace func(schedule.PaceChange)

	// OwnerOf, if set, returns the owner of a key; nothing if it is not known. A request stops waiting for a
	// target that its key has left. It must not call the Dispatcher.
	OwnerOf func(service string, key int) string

	mu        sync.Mutex
	scheduler schedule.Scheduler
	waiting   map[*schedule.Ticket]chan struct{}
}

// Reservation is a slot of a target that a request holds. Release must be called once.
type Reservation struct {
	Target *roster.Target
	// Slowness is the momentary slowness that the target reported; 0 if none. It is set
	// before Release.
	Slowness float64

	d      *Dispatcher
	ticket *schedule.Ticket
}

// Acquire waits for a slot and returns its reservation. The error is a
// *schedule.BusyError, a *schedule.NoTargetError, a *schedule.RejectedError or the context's.
func (d *Dispatcher) Acquire(ctx context.Context, r schedule.Request) (*Reservation, error) {
	d.mu.Lock()
	d.scheduler.Roster, d.scheduler.ColdRate = d.Roster, d.ColdRate
	d.scheduler.IsBound, d.scheduler.HasAlternative = d.IsBound, d.HasAlternative
	d.scheduler.OnBackoff, d.scheduler.RateLimit = d.OnBackoff, d.RateLimit
	d.scheduler.Admission, d.scheduler.Waitlist = d.Admission, d.Waitlist
	d.scheduler.Speeds = d.Speeds
	d.scheduler.Pace, d.scheduler.OnPace = d.Pace, d.OnPace
	t, err := d.scheduler.Submit(time.Now(), r)
	if err != nil || t.Target != nil {
		d.mu.Unlock()
		if err != nil {
			return nil, err
		}
		return d.reservation(t), nil
	}
	if d.waiting == nil {
		d.waiting = map[*schedule.Ticket]chan struct{}{}
	}
	ready := make(chan struct{}, 1)
	d.waiting[t] = ready
	d.mu.Unlock()
	return d.wait(ctx, t, ready)
}

func (d *Dispatcher) reservation(t *schedule.Ticket) *Reservation {
	return &Reservation{Target: t.Target, d: d, ticket: t}
}

func (d *Dispatcher) wait(ctx context.Context, t *schedule.Ticket, ready <-chan struct{}) (*Reservation, error) {
	timer := time.NewTimer(time.Until(t.WaitUntil))
	defer timer.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-ready:
			return d.reservation(t), nil
		case <-recheck.C:
			if err := d.recheck(t); err != nil {
				return nil, err
			}
		case <-timer.C:
			if err := d.expire(t); err != nil {
				return nil, err
			}
			timer.Reset(time.Until(t.WaitUntil))
		case <-ctx.Done():
			return d.cancel(ctx, t)
		}
	}
}

// recheck assigns slots to the tickets in the queue of the given one. It returns an error if that one
// does not wait any longer.
func (d *Dispatcher) recheck(t *schedule.Ticket) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notify(d.scheduler.Admit(time.Now(), t))
	if t.Target != nil {
		return nil
	}
	err := d.scheduler.CheckWaiting(time.Now(), t)
	if err == nil && d.hasMoved(&t.Request) {
		d.scheduler.Cancel(t)
		err = &schedule.NoTargetError{Service: t.Request.Service}
	}
	if err != nil {
		delete(d.waiting, t)
	}
	return err
}

// hasMoved reports whether the request's key has another owner than the target that it names.
func (d *Dispatcher) hasMoved(r *schedule.Request) bool {
	if r.Target == "" || d.OwnerOf == nil {
		return false
	}
	owner := d.OwnerOf(r.Service, r.Key)
	return owner != "" && owner != r.Target
}

// expire is called when a ticket's WaitUntil has passed. It returns an error if the
// ticket does not wait any longer.
func (d *Dispatcher) expire(t *schedule.Ticket) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Target != nil {
		return nil
	}
	err := d.scheduler.Expire(time.Now(), t)
	if err != nil {
		delete(d.waiting, t)
	}
	return err
}

// cancel ends the wait of a ticket whose context is done. If it got its slot at the same
// moment, its reservation is returned.
func (d *Dispatcher) cancel(ctx context.Context, t *schedule.Ticket) (*Reservation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Target != nil {
		return d.reservation(t), nil
	}
	delete(d.waiting, t)
	d.scheduler.Cancel(t)
	return nil, ctx.Err()
}

// notify unblocks the requests whose tickets got a slot.
func (d *Dispatcher) notify(admitted []*schedule.Ticket) {
	for _, t := range admitted {
		d.waiting[t] <- struct{}{}
		delete(d.waiting, t)
	}
}

// Release frees the slot and records how the request ended.
func (r *Reservation) Release(result schedule.Result) {
	d := r.d
	d.mu.Lock()
	defer d.mu.Unlock()
	r.ticket.ReportedSlowness = r.Slowness
	d.notify(d.scheduler.Release(time.Now(), r.ticket, result))
}

// Charge records a request that another instance has sent to a target, as schedule.Scheduler.Charge.
func (d *Dispatcher) Charge(t *roster.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Charge(t)
}

// Prune drops the state of ended incarnations, as schedule.Scheduler.Prune.
func (d *Dispatcher) Prune() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster = d.Roster
	d.scheduler.Prune(time.Now())
}

// SpeedEstimates returns the estimates of targets' speeds, by service, as schedule.Scheduler does.
func (d *Dispatcher) SpeedEstimates() map[string][]speed.Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster = d.Roster
	return d.scheduler.SpeedEstimates()
}

// SetKnownSlowness sets the slowness of targets that other instances know, as in schedule.Scheduler.
func (d *Dispatcher) SetKnownSlowness(service string, known map[roster.Incarnation]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster, d.scheduler.Speeds = d.Roster, d.Speeds
	d.scheduler.SetKnownSlowness(service, known)
}

// TargetLatencies returns the estimated response times of targets.
func (d *Dispatcher) TargetLatencies() []schedule.TargetLatency {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster = d.Roster
	return d.scheduler.TargetLatencies()
}

// PacedTargets returns the number of targets that are paced here.
func (d *Dispatcher) PacedTargets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster = d.Roster
	return d.scheduler.PacedTargets()
}
