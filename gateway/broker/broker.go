// Package broker reserves slots of targets for requests. For each target, and for
// each zone's targets of a service, one instance of that zone assigns the slots:
// the scheduler. Other instances send it requests by datagram. While a scheduler is
// unresponsive, each instance assigns slots by its own state.
package broker

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/ratelimit"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// resendInterval is the time after which a message without a reply is sent again:
	// several round-trip times between regions.
	resendInterval = 50 * time.Millisecond
	// queuedResendInterval replaces it once the scheduler has replied that the request
	// is queued: the scheduler sends the result too, and resending only covers its loss.
	queuedResendInterval = 300 * time.Millisecond
	// maxUnanswered is how many messages in a row without a reply mark a scheduler as
	// unresponsive.
	maxUnanswered = 3
	// minBackoff is how long an unresponsive scheduler is not used; the time doubles
	// with each failure, up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// fullTTL is how long another zone without free slots is skipped.
	fullTTL = 60 * time.Millisecond
	// releaseGrace is how long after its request's deadline a slot is released, in
	// case the release message is lost.
	releaseGrace = 200 * time.Millisecond
)

// Options are the dependencies of a Broker; all must be set.
type Options struct {
	Self peers.Instance
	// Placement returns the policy in force.
	Placement  func() *placement.Policy
	Peers      *peers.Peers
	Dispatcher *dispatch.Dispatcher
	Roster     *roster.Roster
	Log        *slog.Logger
	// Owner returns the usable owner of a key, or nothing, and when the key got it; zero if
	// that is not known. Needed by hubs only.
	Owner func(service string, key int) (id string, since time.Time)
	// Grant, if set, returns the grant by which a key's owner holds it; nil if it is not known.
	Grant func(service string, key int) *schedule.Grant
	// OnStatement, if set, is called with what the answers to requests that were scheduled here say about
	// their targets' rate limits.
	OnStatement func(t *roster.Target, s ratelimit.Statement)
	// Stopping, if set, reports whether this instance shuts down. The others have other schedulers then.
	Stopping func() bool
	// Thin, if set, reports whether this instance is thin.
	Thin func() bool
}

// Broker reserves slots at schedulers, and serves as one. Create it with New.
type Broker struct {
	Options

	group          errgroup.Group
	mu             sync.Mutex
	seq            uint64
	pending        map[uint64]chan *peers.ReserveResponse
	remoteRequests map[remoteKey]*remoteRequest
	unresponsive   map[string]backoff
	fullUntil      map[fullKey]time.Time
	// oneWayDelays are the estimated network delays of messages to other instances.
	oneWayDelays map[string]time.Duration
}

type fullKey struct {
	service, zone string
	kind          uint32
}

type backoff struct {
	until    time.Time
	duration time.Duration
}

// Reservation holds a target's slot for a request. Release must be called once.
type Reservation struct {
	Target *roster.Target
	// Slowness is the momentary slowness that the target reported; 0 if none. It is set
	// before Release.
	Slowness float64
	// OwnerSince is when the key got its present owner, as a hub reported it; zero if that is
	// not known.
	OwnerSince time.Time
	// RateLimit is the limit that the target's answer stated, in requests per second; nil if none, and
	// UnknownRateLimit if it was not understood. It is set before Release.
	RateLimit *float64
	release   func(outcome)
}

// UnknownRateLimit stands for a limit that a target stated in a form that is not known.
const UnknownRateLimit = -1.0

// outcome is how a request ended at its target, and what the target's answer said.
type outcome struct {
	result    schedule.Result
	slowness  float64
	rateLimit *float64
}

// Release returns the slot and reports how the request ended.
func (r *Reservation) Release(result schedule.Result) {
	r.release(outcome{result, r.Slowness, r.RateLimit})
}

// New returns a broker.
func New(o Options) *Broker {
	return &Broker{
		// Sequence numbers start at random: if each incarnation began with the same
		// ones, a reply to an earlier incarnation could match a request of this one.
		Options: o, seq: uint64(rand.Uint32()), pending: map[uint64]chan *peers.ReserveResponse{}, remoteRequests: map[remoteKey]*remoteRequest{},
		unresponsive: map[string]backoff{}, fullUntil: map[fullKey]time.Time{},
		oneWayDelays: map[string]time.Duration{},
	}
}

// Acquire reserves a slot for a request. If the request names no target (its service
// has no keys), those of the own zone are tried first, then those of the region, then
// others: traffic between zones is billed, so a farther zone is used only if a nearer
// one would answer too late. The error is a *schedule.BusyError, a *schedule.NoTargetError,
// a *schedule.RejectedError, a *placement.DeniedError or the context's.
func (b *Broker) Acquire(ctx context.Context, req schedule.Request) (*Reservation, error) {
	if req.Requester == "" {
		req.Requester = b.Self.Name
	}
	if req.Target != "" {
		t := b.Roster.Load().Find(req.Target)
		if t == nil {
			return nil, &schedule.NoTargetError{Service: req.Service}
		}
		if err := b.Check(t, &req); err != nil {
			return nil, err
		}
		req.Zone = t.Zone
		return b.acquireInZone(ctx, req)
	}
	zones := b.zonesByDistance(req.Service)
	if len(zones) == 0 {
		return nil, &schedule.NoTargetError{Service: req.Service}
	}
	zones, err := b.Placement().Filter(req.Service, zones, req.Regions)
	if err != nil {
		return nil, err
	}
	if res, err := b.acquireInTime(ctx, req, zones); res != nil || err != nil && ctx.Err() != nil {
		return res, err
	}
	req.Zone, req.RejectLate = zones[0], false
	return b.acquireInZone(ctx, req)
}

// acquireInTime reserves a slot in the first zone that can answer the request in time. The error is that of the last
// zone that was tried; both are nil if none was.
func (b *Broker) acquireInTime(ctx context.Context, req schedule.Request, zones []string) (res *Reservation, err error) {
	var busy *schedule.BusyError
	bounded := false
	for _, zone := range zones {
		if bounded && !b.inOwnRegion(zone) {
			// The own region could answer in time: what only its bound keeps out would fill the link
			// between the regions, large bodies first.
			break
		}
		if b.isFull(&req, zone) && zone != b.Self.Zone {
			continue
		}
		req.Zone, req.RejectLate = zone, true
		res, err = b.acquireInZone(ctx, req)
		if err == nil || ctx.Err() != nil {
			return res, err
		}
		if errors.As(err, &busy) {
			b.markFull(&req, zone)
			bounded = bounded || busy.InTime
		}
	}
	return nil, err
}

// evacuatedOwnerTTL is how long the owner of keys in an evacuated zone still gets requests,
// while its keys move to other zones. The users allow 5 s from the operator's write.
const evacuatedOwnerTTL = 1500 * time.Millisecond

// Check returns a *placement.DeniedError if the target must not get the request now.
func (b *Broker) Check(t *roster.Target, req *schedule.Request) error {
	policy := b.Placement()
	if req.Target != "" && policy.InRegions(t.Zone, req.Regions) && time.Since(policy.Evacuated[t.Zone]) < evacuatedOwnerTTL {
		return nil
	}
	return policy.Check(req.Service, t.Zone, req.Regions)
}

func (b *Broker) inOwnRegion(zone string) bool {
	regions := b.Placement().Regions
	return regions[zone] == regions[b.Self.Zone]
}

// zonesByDistance returns the zones with targets of the service, nearest first.
func (b *Broker) zonesByDistance(service string) []string {
	var tiers [3][]string
	regions := b.Placement().Regions
	view := b.Roster.Load()
	for _, zone := range view.Zones(service) {
		if !slices.ContainsFunc(view.InZone(service, zone), func(t *roster.Target) bool { return !t.Draining }) {
			continue
		}
		tier := 2
		switch {
		case zone == b.Self.Zone:
			tier = 0
		case regions[zone] == regions[b.Self.Zone]:
			tier = 1
		}
		tiers[tier] = append(tiers[tier], zone)
	}
	// Far zones are used evenly, not all by their names.
	for _, tier := range tiers {
		rand.Shuffle(len(tier), func(i, j int) { tier[i], tier[j] = tier[j], tier[i] })
	}
	return append(append(tiers[0], tiers[1]...), tiers[2]...)
}

func (b *Broker) isFull(req *schedule.Request, zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.fullUntil[fullKey{req.Service, zone, req.Kind}])
}

func (b *Broker) markFull(req *schedule.Request, zone string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fullUntil[fullKey{req.Service, zone, req.Kind}] = time.Now().Add(fullTTL)
}

// acquireInZone reserves a slot at the scheduler of the request's target or zone, or
// locally if this instance is the scheduler or the scheduler does not answer.
func (b *Broker) acquireInZone(ctx context.Context, req schedule.Request) (*Reservation, error) {
	scheduler := b.Scheduler(&req)
	if scheduler != "" && scheduler != b.Self.Name {
		res, err := b.reserveAt(ctx, scheduler, req)
		var unresponsive *UnresponsiveError
		if !errors.As(err, &unresponsive) {
			return res, err
		}
		b.markUnresponsive(scheduler)
	}
	req.Counting = b.counting(&req)
	return b.acquireHere(ctx, req)
}

// acquireHere reserves a slot by this instance's own state.
func (b *Broker) acquireHere(ctx context.Context, req schedule.Request) (*Reservation, error) {
	if req.Target != "" && b.Grant != nil {
		req.Grant = b.Grant(req.Service, req.Key)
	}
	res, err := b.Dispatcher.Acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	if req.Counting != schedule.CountsAll {
		b.sendCharge(res.Target)
	}
	start := time.Now()
	return &Reservation{Target: res.Target, release: func(o outcome) {
		b.recordRateLimit(res.Target, o, start)
		res.Slowness = o.slowness
		res.Release(o.result)
	}}, nil
}

// Scheduler returns the name of the instance that assigns the slots for a request. It
// is chosen by rendezvous hashing: if an instance leaves, only what it scheduled
// moves. Of a zone's targets of a service, the scheduler is an instance with the most
// cores, since all requests of the zone go to it.
func (b *Broker) Scheduler(req *schedule.Request) string { return b.chooseScheduler(req, true) }

// candidate is an instance that may schedule a request. Of a zone's targets of a service, those with the most
// cores precede others.
type candidate struct {
	name  string
	cores float64
	hash  uint64
}

func newCandidate(req *schedule.Request, i peers.Instance) candidate {
	if req.Target != "" {
		return candidate{name: i.Name, hash: xxhash.Sum64String(i.Name + "\x00" + req.Target)}
	}
	return candidate{name: i.Name, cores: i.Cores, hash: xxhash.Sum64String(i.Name + "\x00" + req.Service)}
}

func (c candidate) precedes(o candidate) bool {
	return o.name == "" || c.cores > o.cores || c.cores == o.cores && c.hash > o.hash
}

func (b *Broker) chooseScheduler(req *schedule.Request, responsive bool) string {
	now, stopping := time.Now(), b.Stopping != nil && b.Stopping()
	var best candidate
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range b.Peers.Hubs(req.Zone) {
		if responsive && len(b.unresponsive) > 0 && now.Before(b.unresponsive[i.Name].until) || stopping && i.Name == b.Self.Name {
			continue
		}
		if c := newCandidate(req, i); c.precedes(best) {
			best = c
		}
	}
	return best.name
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

// UnresponsiveError reports that a scheduler did not reply, or is none.
type UnresponsiveError struct{ Scheduler string }

func (e *UnresponsiveError) Error() string { return "broker: no reply from scheduler " + e.Scheduler }

// reserveAt reserves a slot at another instance. It sends the request again until the
// scheduler replies, counts as unresponsive or the context ends.
func (b *Broker) reserveAt(ctx context.Context, scheduler string, req schedule.Request) (*Reservation, error) {
	return b.exchange(ctx, scheduler, &req, encodeReserveRequest)
}

// exchange sends a request as encode encodes it.
func (b *Broker) exchange(
	ctx context.Context, scheduler string, req *schedule.Request, encode func(uint64, *schedule.Request) *peers.ReserveRequest,
) (*Reservation, error) {
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
	b.Peers.Send(scheduler, &peers.Message{ReserveRequest: encode(seq, req)})
	timer := time.NewTimer(resendInterval)
	defer timer.Stop()
	for unanswered := 0; ; {
		select {
		case r := <-replies:
			if b.isMisdirected(req, r) {
				continue
			}
			if r.NotHub {
				return nil, &UnresponsiveError{Scheduler: scheduler}
			}
			if !r.Queued {
				b.markResponsive(scheduler)
				return b.reservationFrom(scheduler, seq, req, r)
			}
			unanswered = 0
			timer.Reset(queuedResendInterval)
		case <-timer.C:
			if b.mustNotWait(req) {
				b.sendRelease(scheduler, seq, outcome{result: schedule.Abandoned}, 0)
				return nil, &schedule.NoTargetError{Service: req.Service}
			}
			if unanswered++; unanswered >= maxUnanswered {
				b.sendRelease(scheduler, seq, outcome{result: schedule.Abandoned}, 0)
				return nil, &UnresponsiveError{Scheduler: scheduler}
			}
			b.Peers.Send(scheduler, &peers.Message{ReserveRequest: encode(seq, req)})
			timer.Reset(resendInterval)
		case <-ctx.Done():
			b.sendRelease(scheduler, seq, outcome{result: schedule.Abandoned}, 0)
			return nil, ctx.Err()
		}
	}
}

// mustNotWait reports whether the target that a request names leaves, or does not own its key any more. The target's
// scheduler may not know that yet.
func (b *Broker) mustNotWait(req *schedule.Request) bool {
	if req.Target == "" {
		return false
	}
	t := b.Roster.Load().Find(req.Target)
	if t == nil || !t.Accepts(time.Now(), true) {
		return true
	}
	if b.Owner == nil {
		return false
	}
	owner, _ := b.Owner(req.Service, req.Key)
	return owner != "" && owner != req.Target
}

func (b *Broker) markResponsive(scheduler string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unresponsive, scheduler)
}

// isMisdirected reports whether a reply belongs to a request of an earlier incarnation
// of this instance with the same sequence number. Its target would run this request,
// since it is addressed by its own name, although it is of another service.
func (b *Broker) isMisdirected(req *schedule.Request, r *peers.ReserveResponse) bool {
	if r.Target == "" {
		return false
	}
	t := b.Roster.Load().Find(r.Target)
	return req.Target != "" && r.Target != req.Target || t != nil && t.Service != req.Service
}

func (b *Broker) reservationFrom(scheduler string, seq uint64, req *schedule.Request, r *peers.ReserveResponse) (*Reservation, error) {
	switch {
	case r.NoOwner && r.WaitMs > 0:
		return nil, &schedule.RejectedError{Service: req.Service, Wait: time.Duration(r.WaitMs) * time.Millisecond}
	case r.NoOwner:
		return nil, &NoOwnerError{Service: req.Service}
	case r.Denied:
		return nil, &placement.DeniedError{Service: req.Service, Regions: req.Regions, Evacuated: r.EvacuatedOrAdmission}
	case r.NoTarget:
		return nil, &schedule.NoTargetError{Service: req.Service}
	case r.Address != "":
		return b.delegatedReservation(scheduler, seq, req, r), nil
	case r.Target == "":
		busy := &schedule.BusyError{Service: req.Service, Wait: time.Duration(r.WaitMs) * time.Millisecond, Queued: r.QueueLength, RateLimited: r.RateLimited}
		a := r.Admission()
		busy.Reason, busy.Load, busy.Bound, busy.Place = schedule.Reason(a.Reason), a.Load, a.Bound, a.Place
		busy.InTime = a.InTime
		return nil, busy
	}
	t := b.Roster.Load().Find(r.Target)
	if t == nil || t.Started != r.Started || !t.Accepts(time.Now(), req.Target != "") {
		b.sendRelease(scheduler, seq, outcome{result: schedule.Abandoned}, 0)
		return nil, &schedule.NoTargetError{Service: req.Service}
	}
	start := time.Now()
	return &Reservation{Target: t, release: func(o outcome) { b.sendRelease(scheduler, seq, o, time.Since(start)) }}, nil
}

func (b *Broker) sendRelease(scheduler string, seq uint64, o outcome, held time.Duration) {
	m := &peers.Release{Seq: seq, HeldUs: held.Microseconds(), RateLimit: o.rateLimit}
	m.SetResult(int(o.result), o.slowness)
	b.Peers.Send(scheduler, &peers.Message{Release: m})
}

func encodeReserveRequest(seq uint64, req *schedule.Request) *peers.ReserveRequest {
	now := time.Now()
	msg := &peers.ReserveRequest{
		Seq: seq, Service: req.Service, Kind: req.Kind, Target: req.Target, Zone: req.Zone, Priority: req.Priority, RejectLate: req.RejectLate, Key: noKey,
		ObjectiveMs: req.Objective.Sub(now).Milliseconds(), DeadlineMs: req.Deadline.Sub(now).Milliseconds(),
	}
	if req.Target != "" {
		msg.Key = req.Key
	}
	for id := range req.Excluded {
		msg.Excluded = append(msg.Excluded, id)
	}
	return msg
}
