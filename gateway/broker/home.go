package broker

import (
	"context"
	"errors"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
)

// heldKey names an ask of another instance.
type heldKey struct {
	from, life string
	seq        uint64
}

// held is an ask of another instance that waits or has a place. All but the
// context is guarded by the broker's lock.
type held struct {
	cancel context.CancelFunc
	place  *dispatch.Reservation
	reply  *peers.Reply
	// replied is when the reply was sent.
	replied time.Time
}

// Receive takes in a datagram about places, and tells whether it was one.
func (b *Broker) Receive(m *peers.Message) bool {
	switch {
	case m.Ask != nil:
		b.takeAsk(m)
	case m.Reply != nil:
		b.takeReply(m.Reply)
	case m.Done != nil:
		b.takeDone(m)
	default:
		return false
	}
	return true
}

func (b *Broker) takeReply(r *peers.Reply) {
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

func (b *Broker) takeAsk(m *peers.Message) {
	key := heldKey{m.From, m.Life, m.Ask.Seq}
	b.mu.Lock()
	h := b.held[key]
	if h != nil {
		reply := h.reply
		b.mu.Unlock()
		if reply == nil {
			reply = &peers.Reply{Seq: m.Ask.Seq, Queued: true}
		}
		b.Peers.Send(m.From, &peers.Message{Reply: reply})
		return
	}
	now := time.Now()
	deadline := now.Add(time.Duration(m.Ask.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	h = &held{cancel: cancel}
	b.held[key] = h
	transit := b.transits[m.From]
	b.mu.Unlock()
	time.AfterFunc(time.Until(deadline)+heldBeyond, func() { b.end(key, schedule.Abandoned) })
	a := schedule.Request{
		Service: m.Ask.Service, Kind: m.Ask.Kind, Target: m.Ask.Target, Zone: m.Ask.Zone, Priority: m.Ask.Priority, OnTime: m.Ask.OnTime,
		Objective: now.Add(time.Duration(m.Ask.ObjectiveMs) * time.Millisecond), Deadline: deadline,
		Transit: transit,
	}
	if len(m.Ask.Excluded) > 0 {
		a.Excluded = map[string]bool{}
		for _, id := range m.Ask.Excluded {
			a.Excluded[id] = true
		}
	}
	b.group.Go(func() error {
		b.decide(ctx, key, h, a)
		return nil
	})
}

// decide finds a place for another instance's request and tells it.
func (b *Broker) decide(ctx context.Context, key heldKey, h *held, a schedule.Request) {
	p, err := b.Dispatcher.Acquire(ctx, a)
	reply := &peers.Reply{Seq: key.seq}
	var busy *schedule.BusyError
	var none *schedule.NoTargetError
	switch {
	case err == nil:
		reply.Target, reply.Born = p.Target.ID, p.Target.Born
	case errors.As(err, &busy):
		reply.WaitMs, reply.Waiting = busy.Wait.Milliseconds(), busy.Queued
	case errors.As(err, &none):
		reply.NoTarget = true
	}
	b.mu.Lock()
	if b.held[key] != h {
		// It was withdrawn meanwhile.
		b.mu.Unlock()
		if p != nil {
			p.Release(schedule.Abandoned)
		}
		return
	}
	h.place, h.reply, h.replied = p, reply, time.Now()
	b.mu.Unlock()
	b.Peers.Send(key.from, &peers.Message{Reply: reply})
}

func (b *Broker) takeDone(m *peers.Message) {
	key, out := heldKey{m.From, m.Life, m.Done.Seq}, schedule.Result(m.Done.Result)
	if out == schedule.Answered {
		b.learnTransit(key, time.Duration(m.Done.TookUs)*time.Microsecond)
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
func (b *Broker) learnTransit(key heldKey, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[key]
	if h == nil || h.place == nil {
		return
	}
	transit := min(max(time.Since(h.replied)-took, 0)/2, mostTransit)
	known, ok := b.transits[key.from]
	if !ok {
		known = transit
	}
	b.transits[key.from] = known + time.Duration(transitShare*float64(transit-known))
}

// end gives back the place of another instance's request.
func (b *Broker) end(key heldKey, out schedule.Result) {
	b.mu.Lock()
	h := b.held[key]
	delete(b.held, key)
	b.mu.Unlock()
	if h == nil {
		return
	}
	h.cancel()
	if h.place != nil {
		h.place.Release(out)
	}
}
