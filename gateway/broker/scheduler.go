package broker

import (
	"context"
	"errors"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
)

// remoteKey names a request of another instance.
type remoteKey struct {
	from, life string
	seq        uint64
}

// remote is a request of another instance that waits or has a slot. All but the
// context is guarded by the broker's lock.
type remote struct {
	cancel      context.CancelFunc
	reservation *dispatch.Reservation
	reply       *peers.ReserveResponse
	// replied is when the reply was sent.
	replied time.Time
}

// Receive takes in a datagram about slots, and tells whether it was one.
func (b *Broker) Receive(m *peers.Message) bool {
	switch {
	case m.ReserveRequest != nil:
		b.handleReserve(m)
	case m.ReserveResponse != nil:
		b.handleReserved(m.ReserveResponse)
	case m.Release != nil:
		b.handleRelease(m)
	default:
		return false
	}
	return true
}

func (b *Broker) handleReserved(r *peers.ReserveResponse) {
	b.mu.Lock()
	replies := b.pending[r.Seq]
	b.mu.Unlock()
	if replies == nil {
		// Nobody waits for it any more; whoever did has said so.
		return
	}
	select {
	case replies <- r:
	default:
	}
}

func (b *Broker) handleReserve(m *peers.Message) {
	key := remoteKey{m.From, m.Incarnation, m.ReserveRequest.Seq}
	b.mu.Lock()
	r := b.remotes[key]
	if r != nil {
		reply := r.reply
		b.mu.Unlock()
		if reply == nil {
			reply = &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, Queued: true}
		}
		b.Peers.Send(m.From, &peers.Message{ReserveResponse: reply})
		return
	}
	now := time.Now()
	a := decode(now, m.ReserveRequest)
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	r = &remote{cancel: cancel}
	b.remotes[key] = r
	a.OneWayDelay = b.transits[m.From]
	b.mu.Unlock()
	time.AfterFunc(time.Until(a.Deadline)+keptBeyond, func() { b.end(key, schedule.Abandoned) })
	b.group.Go(func() error {
		b.decide(ctx, key, r, a)
		return nil
	})
}

// decode returns the request that another instance asks a slot for.
func decode(now time.Time, m *peers.ReserveRequest) schedule.Request {
	a := schedule.Request{
		Service: m.Service, Kind: m.Kind, Target: m.Target, Zone: m.Zone, Priority: m.Priority, RejectLate: m.RejectLate,
		Objective: now.Add(time.Duration(m.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
	}
	if len(m.Excluded) > 0 {
		a.Excluded = map[string]bool{}
		for _, id := range m.Excluded {
			a.Excluded[id] = true
		}
	}
	return a
}

// decide finds a slot for another instance's request and tells it.
func (b *Broker) decide(ctx context.Context, key remoteKey, r *remote, a schedule.Request) {
	p, err := b.Dispatcher.Acquire(ctx, a)
	reply := &peers.ReserveResponse{Seq: key.seq}
	var busy *schedule.BusyError
	var none *schedule.NoTargetError
	switch {
	case err == nil:
		reply.Target, reply.Started = p.Target.ID, p.Target.Started
	case errors.As(err, &busy):
		reply.WaitMs, reply.QueueLength = busy.Wait.Milliseconds(), busy.Queued
	case errors.As(err, &none):
		reply.NoTarget = true
	}
	b.mu.Lock()
	if b.remotes[key] != r {
		// It was withdrawn meanwhile.
		b.mu.Unlock()
		if p != nil {
			p.Release(schedule.Abandoned)
		}
		return
	}
	r.reservation, r.reply, r.replied = p, reply, time.Now()
	b.mu.Unlock()
	b.Peers.Send(key.from, &peers.Message{ReserveResponse: reply})
}

func (b *Broker) handleRelease(m *peers.Message) {
	key, out := remoteKey{m.From, m.Incarnation, m.Release.Seq}, schedule.Result(m.Release.Result)
	if out == schedule.Answered {
		b.learnTransit(key, time.Duration(m.Release.HeldUs)*time.Microsecond)
	}
	b.end(key, out)
}

const (
	// transitShare is the weight of the newest message's time.
	transitShare = 0.1
	// mostTransit is taken for messages that were held up.
	mostTransit = 50 * time.Millisecond
)

// learnTransit learns how long a message to another instance takes: half of what
// a slot was away for beyond the time for which that instance had it.
func (b *Broker) learnTransit(key remoteKey, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.remotes[key]
	if r == nil || r.reservation == nil {
		return
	}
	transit := min(max(time.Since(r.replied)-took, 0)/2, mostTransit)
	known, ok := b.transits[key.from]
	if !ok {
		known = transit
	}
	b.transits[key.from] = known + time.Duration(transitShare*float64(transit-known))
}

// end gives back the slot of another instance's request.
func (b *Broker) end(key remoteKey, out schedule.Result) {
	b.mu.Lock()
	r := b.remotes[key]
	delete(b.remotes, key)
	b.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	if r.reservation != nil {
		r.reservation.Release(out)
	}
}
