// Package broker reserves targets' slots for requests. For each target, and for
// each zone's targets of a service, one instance of that zone decides: its
// scheduler. Others ask it by datagram. While a scheduler does not answer, each
// instance decides for itself, with what it knows.
package broker

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// resendInterval is when a message without a reply is sent again: several times
	// the way there and back between regions.
	resendInterval = 50 * time.Millisecond
	// queuedResendInterval is the same once the scheduler has said that the request
	// waits: it replies by itself, so this only covers the loss of that datagram.
	queuedResendInterval = 300 * time.Millisecond
	// maxUnanswered is how many messages without any reply make a scheduler suspect.
	maxUnanswered = 3
	// minBackoff is how long a silent scheduler is not asked; it doubles each
	// time up to lastSuspicion.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// fullTTL is how long a zone that had no room is not asked again.
	fullTTL = 60 * time.Millisecond
	// releaseGrace is how long a slot is kept after its request's time is over,
	// in case the word of its end is lost.
	releaseGrace = 200 * time.Millisecond
)

// Options are what a Broker needs; all must be set.
type Options struct {
	Self       peers.Instance
	Regions    map[string]string
	Peers      *peers.Peers
	Dispatcher *dispatch.Dispatcher
	Roster     *roster.Roster
	Log        *slog.Logger
}

// Broker asks schedulers, and is one. Create it with New.
type Broker struct {
	Options

	group          errgroup.Group
	mu             sync.Mutex
	seq            uint64
	pending        map[uint64]chan *peers.ReserveResponse
	remoteRequests map[remoteKey]*remoteRequest
	unresponsive   map[string]backoff
	fullUntil      map[fullKey]time.Time
	// oneWayDelays are the times of a message to other instances, one way.
	oneWayDelays map[string]time.Duration
}

type fullKey struct{ service, zone string }

type backoff struct {
	until    time.Time
	duration time.Duration
}

// Reservation is a request's right to a target's slot. Release must be called once.
type Reservation struct {
	Target  *roster.Target
	release func(schedule.Result)
}

// Release gives the slot back.
func (p *Reservation) Release(r schedule.Result) { p.release(r) }

// New returns a broker.
func New(o Options) *Broker {
	return &Broker{
		// Numbers that begin anew with each life would let replies to a former
		// one find a request of this one.
		Options: o, seq: uint64(rand.Uint32()), pending: map[uint64]chan *peers.ReserveResponse{}, remoteRequests: map[remoteKey]*remoteRequest{},
		unresponsive: map[string]backoff{}, fullUntil: map[fullKey]time.Time{},
		oneWayDelays: map[string]time.Duration{},
	}
}

// Acquire returns a reservation for a request. Of a service without keys the zone's
// own targets come first, then those of the region, then others: bytes between
// them are paid, so they are used only for what would be late nearer by. The
// error is a *schedule.BusyError, a *schedule.NoTargetError or the context's.
func (b *Broker) Acquire(ctx context.Context, a schedule.Request) (*Reservation, error) {
	if a.Target != "" {
		t := b.Roster.Load().Targets[a.Target]
		if t == nil {
			return nil, &schedule.NoTargetError{Service: a.Service}
		}
		a.Zone = t.Zone
		return b.acquireInZone(ctx, a)
	}
	zones := b.zonesByDistance(a.Service)
	if len(zones) == 0 {
		return nil, &schedule.NoTargetError{Service: a.Service}
	}
	var busy *schedule.BusyError
	for _, zone := range zones {
		if b.isFull(a.Service, zone) && zone != b.Self.Zone {
			continue
		}
		a.Zone, a.RejectLate = zone, true
		p, err := b.acquireInZone(ctx, a)
		if err == nil || ctx.Err() != nil {
			return p, err
		}
		if errors.As(err, &busy) {
			b.markFull(a.Service, zone)
		}
	}
	a.Zone, a.RejectLate = zones[0], false
	return b.acquireInZone(ctx, a)
}

// zonesByDistance returns the zones that have targets of the service, the nearest first.
func (b *Broker) zonesByDistance(service string) []string {
	var tiers [3][]string
	seen := map[string]bool{}
	for _, t := range b.Roster.Load().ByService[service] {
		if t.Draining || seen[t.Zone] {
			continue
		}
		seen[t.Zone] = true
		tier := 2
		switch {
		case t.Zone == b.Self.Zone:
			tier = 0
		case b.Regions[t.Zone] == b.Regions[b.Self.Zone]:
			tier = 1
		}
		tiers[tier] = append(tiers[tier], t.Zone)
	}
	return append(append(tiers[0], tiers[1]...), tiers[2]...)
}

func (b *Broker) isFull(service, zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.fullUntil[fullKey{service, zone}])
}

func (b *Broker) markFull(service, zone string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fullUntil[fullKey{service, zone}] = time.Now().Add(fullTTL)
}

// acquireInZone asks the scheduler of the request's target, or of its zone.
func (b *Broker) acquireInZone(ctx context.Context, a schedule.Request) (*Reservation, error) {
	scheduler := b.Scheduler(&a)
	if scheduler != "" && scheduler != b.Self.Name {
		p, err := b.reserveAt(ctx, scheduler, a)
		var silent *UnresponsiveError
		if !errors.As(err, &silent) {
			return p, err
		}
		b.markUnresponsive(scheduler)
	}
	p, err := b.Dispatcher.Acquire(ctx, a)
	if err != nil {
		return nil, err
	}
	return &Reservation{Target: p.Target, release: p.Release}, nil
}

// Scheduler names the instance that decides, by rendezvous hashing: if one goes,
// only what it decided moves. A zone's targets of a service are decided for by
// one with the most of a processor, since all the zone's requests ask it.
func (b *Broker) Scheduler(a *schedule.Request) string {
	key := a.Target
	if key == "" {
		key = a.Service
	}
	now := time.Now()
	best, most, cores := "", uint64(0), 0.0
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range b.Peers.Zone(a.Zone) {
		if len(b.unresponsive) > 0 && now.Before(b.unresponsive[i.Name].until) {
			continue
		}
		strength := 0.0
		if a.Target == "" {
			strength = i.Cores
		}
		h := xxhash.Sum64String(i.Name + "\x00" + key)
		if best == "" || strength > cores || strength == cores && h > most {
			best, most, cores = i.Name, h, strength
		}
	}
	return best
}

func (b *Broker) markUnresponsive(scheduler string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := b.unresponsive[scheduler]
	if now.Before(s.until) {
		return
	}
	s.duration = min(max(minBackoff, 2*s.duration), maxBackoff)
	s.until = now.Add(s.duration)
	b.unresponsive[scheduler] = s
	event.SchedulerSilent.Log(b.Log, "scheduler", scheduler, "forMs", s.duration.Milliseconds())
}

// UnresponsiveError says that a scheduler did not answer.
type UnresponsiveError struct{ Scheduler string }

func (e *UnresponsiveError) Error() string { return "broker: no reply from " + e.Scheduler }

// reserveAt asks another instance, and asks again until it replies.
func (b *Broker) reserveAt(ctx context.Context, scheduler string, a schedule.Request) (*Reservation, error) {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	replies := make(chan *peers.ReserveResponse, 4)
	b.pending[seq] = replies
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.pending, seq)
		b.mu.Unlock()
	}()
	b.Peers.Send(scheduler, &peers.Message{ReserveRequest: encodeReserveRequest(seq, &a)})
	timer := time.NewTimer(resendInterval)
	defer timer.Stop()
	for silent := 0; ; {
		select {
		case r := <-replies:
			if b.isMisdirected(&a, r) {
				continue
			}
			if !r.Queued {
				b.markResponsive(scheduler)
				return b.reservationFrom(scheduler, seq, &a, r)
			}
			silent = 0
			timer.Reset(queuedResendInterval)
		case <-timer.C:
			if silent++; silent >= maxUnanswered {
				b.sendRelease(scheduler, seq, schedule.Abandoned, 0)
				return nil, &UnresponsiveError{Scheduler: scheduler}
			}
			b.Peers.Send(scheduler, &peers.Message{ReserveRequest: encodeReserveRequest(seq, &a)})
			timer.Reset(resendInterval)
		case <-ctx.Done():
			b.sendRelease(scheduler, seq, schedule.Abandoned, 0)
			return nil, ctx.Err()
		}
	}
}

func (b *Broker) markResponsive(scheduler string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unresponsive, scheduler)
}

// isMisdirected tells whether a reply answers another request: of this instance's former
// life, under the same number. Its target would run the request, since it is
// called by its own name, though the request's service has no part in it.
func (b *Broker) isMisdirected(a *schedule.Request, r *peers.ReserveResponse) bool {
	if r.Target == "" {
		return false
	}
	t := b.Roster.Load().Targets[r.Target]
	return a.Target != "" && r.Target != a.Target || t != nil && t.Service != a.Service
}

func (b *Broker) reservationFrom(scheduler string, seq uint64, a *schedule.Request, r *peers.ReserveResponse) (*Reservation, error) {
	switch {
	case r.NoTarget:
		return nil, &schedule.NoTargetError{Service: a.Service}
	case r.Target == "":
		return nil, &schedule.BusyError{Service: a.Service, Wait: time.Duration(r.WaitMs) * time.Millisecond, Queued: r.QueueLength}
	}
	t := b.Roster.Load().Targets[r.Target]
	if t == nil || t.Started != r.Started || a.Target == "" && t.Draining {
		b.sendRelease(scheduler, seq, schedule.Abandoned, 0)
		return nil, &schedule.NoTargetError{Service: a.Service}
	}
	began := time.Now()
	return &Reservation{Target: t, release: func(out schedule.Result) { b.sendRelease(scheduler, seq, out, time.Since(began)) }}, nil
}

func (b *Broker) sendRelease(scheduler string, seq uint64, out schedule.Result, took time.Duration) {
	b.Peers.Send(scheduler, &peers.Message{Release: &peers.Release{Seq: seq, Result: int(out), HeldUs: took.Microseconds()}})
}

func encodeReserveRequest(seq uint64, a *schedule.Request) *peers.ReserveRequest {
	now := time.Now()
	w := &peers.ReserveRequest{
		Seq: seq, Service: a.Service, Kind: a.Kind, Target: a.Target, Zone: a.Zone, Priority: a.Priority, RejectLate: a.RejectLate,
		ObjectiveMs: a.Objective.Sub(now).Milliseconds(), DeadlineMs: a.Deadline.Sub(now).Milliseconds(),
	}
	for id := range a.Excluded {
		w.Excluded = append(w.Excluded, id)
	}
	return w
}
