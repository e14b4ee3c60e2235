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
	from, incarnation string
	seq               uint64
}

// remoteRequest is a request of another instance that waits or has a slot. All but the
// context is guarded by the broker's lock.
type remoteRequest struct {
	cancel      context.CancelFunc
	reservation *dispatch.Reservation
	reply       *peers.ReserveResponse
	// repliedAt is when the reply was sent.
	repliedAt time.Time
}

// Receive takes in a datagram about slots, and tells whether it was one.
func (b *Broker) Receive(m *peers.Message) bool {
	switch {
	case m.ReserveRequest != nil:
		b.handleReserveRequest(m)
	case m.ReserveResponse != nil:
		b.handleReserveResponse(m.ReserveResponse)
	case m.Release != nil:
		b.handleRelease(m)
	default:
		return false
	}
	return true
}

func (b *Broker) handleReserveResponse(r *peers.ReserveResponse) {
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

func (b *Broker) handleReserveRequest(m *peers.Message) {
	key := remoteKey{m.From, m.Incarnation, m.ReserveRequest.Seq}
	b.mu.Lock()
	r := b.remoteRequests[key]
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
	a := decodeReserveRequest(now, m.ReserveRequest)
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	r = &remoteRequest{cancel: cancel}
	b.remoteRequests[key] = r
	a.OneWayDelay = b.oneWayDelays[m.From]
	b.mu.Unlock()
	time.AfterFunc(time.Until(a.Deadline)+releaseGrace, func() { b.releaseRemote(key, schedule.Abandoned) })
	b.group.Go(func() error {
		b.reserveFor(ctx, key, r, a)
		return nil
	})
}

// decodeReserveRequest returns the request that another instance asks a slot for.
func decodeReserveRequest(now time.Time, m *peers.ReserveRequest) schedule.Request {
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

// reserveFor finds a slot for another instance's request and tells it.
func (b *Broker) reserveFor(ctx context.Context, key remoteKey, r *remoteRequest, a schedule.Request) {
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
	if b.remoteRequests[key] != r {
		// It was withdrawn meanwhile.
		b.mu.Unlock()
		if p != nil {
			p.Release(schedule.Abandoned)
		}
		return
	}
	r.reservation, r.reply, r.repliedAt = p, reply, time.Now()
	b.mu.Unlock()
	b.Peers.Send(key.from, &peers.Message{ReserveResponse: reply})
}

func (b *Broker) handleRelease(m *peers.Message) {
	key, out := remoteKey{m.From, m.Incarnation, m.Release.Seq}, schedule.Result(m.Release.Result)
	if out == schedule.Answered {
		b.updateOneWayDelay(key, time.Duration(m.Release.HeldUs)*time.Microsecond)
	}
	b.releaseRemote(key, out)
}

const (
	// oneWayDelayWeight is the weight of the newest message's time.
	oneWayDelayWeight = 0.1
	// maxOneWayDelay is taken for messages that were held up.
	maxOneWayDelay = 50 * time.Millisecond
)

// updateOneWayDelay learns how long a message to another instance takes: half of what
// a slot was away for beyond the time for which that instance had it.
func (b *Broker) updateOneWayDelay(key remoteKey, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.remoteRequests[key]
	if r == nil || r.reservation == nil {
		return
	}
	transit := min(max(time.Since(r.repliedAt)-took, 0)/2, maxOneWayDelay)
	known, ok := b.oneWayDelays[key.from]
	if !ok {
		known = transit
	}
	b.oneWayDelays[key.from] = known + time.Duration(oneWayDelayWeight*float64(transit-known))
}

// releaseRemote gives back the slot of another instance's request.
func (b *Broker) releaseRemote(key remoteKey, out schedule.Result) {
	b.mu.Lock()
	r := b.remoteRequests[key]
	delete(b.remoteRequests, key)
	b.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	if r.reservation != nil {
		r.reservation.Release(out)
	}
}
