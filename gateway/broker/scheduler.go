package broker

import (
	"context"
	"time"

	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
)

type remoteKey struct {
	from, incarnation string
	seq               uint64
}

// remoteRequest is a request of another instance that waits for a slot or has one.
// Broker.mu guards all fields but cancel.
type remoteRequest struct {
	cancel      context.CancelFunc
	reservation *Reservation
	reply       *peers.ReserveResponse
	repliedAt   time.Time
}

// Receive handles a message about slots, and reports whether it was one.
func (b *Broker) Receive(m *peers.Message) bool {
	switch {
	case m.ReserveRequest != nil:
		b.handleReserveRequest(m)
	case m.ReserveResponse != nil:
		b.handleReserveResponse(m.ReserveResponse)
	case m.Release != nil:
		b.handleRelease(m)
	case m.RateLimits != nil:
		b.handleCharges(m.RateLimits)
		return false
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
		// The request has had a reply already, or it was abandoned with a release.
		return
	}
	select {
	case replies <- r:
	default:
	}
}

func (b *Broker) handleReserveRequest(m *peers.Message) {
	if b.Thin != nil && b.Thin() {
		b.Peers.Send(m.From, &peers.Message{ReserveResponse: &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, NotHub: true}})
		return
	}
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
	req := decodeReserveRequest(now, m.ReserveRequest)
	req.Requester = m.From
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	r = &remoteRequest{cancel: cancel}
	b.remoteRequests[key] = r
	req.OneWayDelay = b.oneWayDelays[m.From]
	b.mu.Unlock()
	time.AfterFunc(time.Until(req.Deadline)+releaseGrace, func() { b.releaseRemote(key, outcome{result: schedule.Abandoned}) })
	b.group.Go(func() error {
		b.reserveFor(ctx, key, r, req, m.ReserveRequest)
		return nil
	})
}

func decodeReserveRequest(now time.Time, m *peers.ReserveRequest) schedule.Request {
	req := schedule.Request{
		Key:     m.Key,
		Service: m.Service, Kind: m.Kind, Target: m.Target, Zone: m.Zone, Regions: m.Regions, Priority: m.Priority, RejectLate: m.RejectLate,
		Objective: now.Add(time.Duration(m.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(m.DeadlineMs) * time.Millisecond),
	}
	if len(m.Excluded) > 0 {
		req.Excluded = map[string]bool{}
		for _, id := range m.Excluded {
			req.Excluded[id] = true
		}
	}
	return req
}

func (b *Broker) reserveFor(ctx context.Context, key remoteKey, r *remoteRequest, req schedule.Request, m *peers.ReserveRequest) {
	reply := &peers.ReserveResponse{Seq: key.seq}
	var res *Reservation
	var err error
	if m.Delegated {
		res, err = b.reserveDelegated(ctx, req, m, reply)
	} else {
		req.Counting = b.counting(&req)
		res, err = b.acquireHere(ctx, req)
	}
	if err != nil {
		setRefusal(reply, err)
	} else {
		reply.Target, reply.Started = res.Target.ID, res.Target.Started
	}
	b.mu.Lock()
	if b.remoteRequests[key] != r {
		// The request was canceled in the meantime.
		b.mu.Unlock()
		if res != nil {
			res.Release(schedule.Abandoned)
		}
		return
	}
	r.reservation, r.reply, r.repliedAt = res, reply, time.Now()
	b.mu.Unlock()
	b.Peers.Send(key.from, &peers.Message{ReserveResponse: reply})
}

func (b *Broker) handleRelease(m *peers.Message) {
	key := remoteKey{m.From, m.Incarnation, m.Release.Seq}
	number, slowness := m.Release.Result()
	result := schedule.Result(number)
	if result == schedule.Answered {
		b.updateOneWayDelay(key, time.Duration(m.Release.HeldUs)*time.Microsecond)
	}
	b.releaseRemote(key, outcome{result, slowness, m.Release.RateLimit})
}

const (
	// oneWayDelayWeight is the weight of the newest sample in the moving average.
	oneWayDelayWeight = 0.1
	// maxOneWayDelay bounds a sample, for messages that were delayed.
	maxOneWayDelay = 50 * time.Millisecond
)

// updateOneWayDelay updates the estimated one-way network delay of messages to another
// instance. A sample is half of the time between reply and release that exceeds the
// time for which that instance held the slot.
func (b *Broker) updateOneWayDelay(key remoteKey, held time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.remoteRequests[key]
	if r == nil || r.reservation == nil {
		return
	}
	delay := min(max(time.Since(r.repliedAt)-held, 0)/2, maxOneWayDelay)
	average, ok := b.oneWayDelays[key.from]
	if !ok {
		average = delay
	}
	b.oneWayDelays[key.from] = average + time.Duration(oneWayDelayWeight*float64(delay-average))
}

// releaseRemote releases the slot of another instance's request, or cancels it.
func (b *Broker) releaseRemote(key remoteKey, o outcome) {
	b.mu.Lock()
	r := b.remoteRequests[key]
	delete(b.remoteRequests, key)
	b.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	if r.reservation != nil {
		r.reservation.release(o)
	}
}
