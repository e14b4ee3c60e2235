// Package dispatch lets requests wait for slots at targets, as a schedule
// decides. One instance of a zone decides for a group of targets, so that the
// few slots of a target are shared out by somebody who knows them.
package dispatch

import (
	"context"
	"sync"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
)

// recheckInterval is how often waiting requests are looked at without any slot being
// given back: pauses end and targets come by themselves.
const recheckInterval = 50 * time.Millisecond

// Dispatcher shares out the slots of targets. Roster must be set.
type Dispatcher struct {
	Roster *roster.Roster

	mu        sync.Mutex
	scheduler schedule.Scheduler
	waiting   map[*schedule.Ticket]chan struct{}
}

// Reservation is a request's right to a target's slot. Release must be called
// once.
type Reservation struct {
	Target *roster.Target

	d      *Dispatcher
	ticket *schedule.Ticket
}

// Acquire returns a reservation, or waits for one. The error is a
// *schedule.BusyError, a *schedule.NoTargetError or the context's.
func (d *Dispatcher) Acquire(ctx context.Context, r schedule.Request) (*Reservation, error) {
	d.mu.Lock()
	d.scheduler.Roster = d.Roster
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
	again := time.NewTicker(recheckInterval)
	defer again.Stop()
	for {
		select {
		case <-ready:
			return d.reservation(t), nil
		case <-again.C:
			d.mu.Lock()
			d.notify(d.scheduler.Admit(time.Now(), t))
			d.mu.Unlock()
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

// expire ends the wait of a ticket, unless it goes on.
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

// cancel ends the wait of a ticket whose context is over. It may have got its
// slot at the same moment.
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

// notify tells requests that wait that they have a slot.
func (d *Dispatcher) notify(placed []*schedule.Ticket) {
	for _, t := range placed {
		d.waiting[t] <- struct{}{}
		delete(d.waiting, t)
	}
}

// Release gives the slot back.
func (r *Reservation) Release(out schedule.Result) {
	d := r.d
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notify(d.scheduler.Release(time.Now(), r.ticket, out))
}

// Prune drops what is known of lifetimes that are over.
func (d *Dispatcher) Prune() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster = d.Roster
	d.scheduler.Prune(time.Now())
}

// TargetLatencies returns what was learnt of targets.
func (d *Dispatcher) TargetLatencies() []schedule.TargetLatency {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Roster = d.Roster
	return d.scheduler.TargetLatencies()
}
