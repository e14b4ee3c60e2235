package broker

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
	"github.com/cespare/xxhash/v2"
)

// noKey is the key of requests to services without keys.
const noKey = -1

// maxHubs bounds the hubs that a request is sent to, one after the other.
const maxHubs = 3

// NoOwnerError is returned for a key that has no usable owner at the moment.
type NoOwnerError struct{ Service string }

func (e *NoOwnerError) Error() string { return "broker: no owner of the key of service " + e.Service }

// AcquireByHub reserves a slot through a hub of the zone, which also finds the target; key is
// nil for a service without keys. A thin instance lists no targets itself. The error is as
// Acquire's, or a *NoOwnerError.
func (b *Broker) AcquireByHub(ctx context.Context, req schedule.Request, key *int) (*Reservation, error) {
	encode := func(seq uint64, req *schedule.Request) *peers.ReserveRequest {
		msg := encodeReserveRequest(seq, req)
		msg.Delegated, msg.Regions = true, req.Regions
		if key != nil {
			msg.Key = *key
		}
		return msg
	}
	for range maxHubs {
		hub := b.chooseHub(req.Service, key)
		if hub == "" {
			break
		}
		res, err := b.exchange(ctx, hub, &req, encode)
		var unresponsive *UnresponsiveError
		if !errors.As(err, &unresponsive) {
			return res, err
		}
		b.markUnresponsive(hub)
	}
	return nil, &schedule.NoTargetError{Service: req.Service}
}

// chooseHub returns the hub for a request: the scheduler of a service without keys, so that it
// need not ask another one. Requests with keys are spread over all hubs.
func (b *Broker) chooseHub(service string, key *int) string {
	if key == nil {
		return b.chooseScheduler(&schedule.Request{Service: service, Zone: b.Self.Zone}, true)
	}
	now := time.Now()
	text := service + "\x00" + strconv.Itoa(*key)
	best, bestHash := "", uint64(0)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.Peers.Hubs(b.Self.Zone) {
		if now.Before(b.unresponsive[h.Name].until) {
			continue
		}
		if hash := xxhash.Sum64String(h.Name + "\x00" + text); best == "" || hash > bestHash {
			best, bestHash = h.Name, hash
		}
	}
	return best
}

func (b *Broker) delegatedReservation(hub string, seq uint64, req *schedule.Request, r *peers.ReserveResponse) *Reservation {
	start := time.Now()
	res := &Reservation{
		Target:  &roster.Target{ID: r.Target, Started: r.Started, Service: req.Service, Address: r.Address, Zone: r.TargetZone},
		release: func(o outcome) { b.sendRelease(hub, seq, o, time.Since(start)) },
	}
	if r.MovedMs > 0 {
		res.OwnerSince = start.Add(-time.Duration(r.MovedMs) * time.Millisecond)
	}
	return res
}

// reserveDelegated reserves a slot for a thin instance's request, and adds what that instance
// needs of the target to the reply.
func (b *Broker) reserveDelegated(ctx context.Context, req schedule.Request, m *peers.ReserveRequest, reply *peers.ReserveResponse) (*Reservation, error) {
	if m.Key != noKey {
		owner, since := b.Owner(req.Service, m.Key)
		if owner == "" {
			return nil, &NoOwnerError{Service: req.Service}
		}
		req.Target = owner
		if !since.IsZero() {
			reply.MovedMs = max(1, time.Since(since).Milliseconds())
		}
	}
	res, err := b.Acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	reply.Address, reply.TargetZone = res.Target.Address, res.Target.Zone
	return res, nil
}

// setRefusal sets the reply to a request that got no slot.
func setRefusal(reply *peers.ReserveResponse, err error) {
	var busy *schedule.BusyError
	var noTarget *schedule.NoTargetError
	var noOwner *NoOwnerError
	var denied *placement.DeniedError
	var rejected *schedule.RejectedError
	switch {
	case errors.As(err, &busy):
		reply.WaitMs, reply.QueueLength, reply.RateLimited = busy.Wait.Milliseconds(), busy.Queued, busy.RateLimited
		if busy.Reason != "" || busy.Place > 0 {
			reply.SetAdmission(peers.Admission{Reason: string(busy.Reason), Load: busy.Load, Bound: busy.Bound, Place: busy.Place, InTime: busy.InTime})
		}
	case errors.As(err, &noTarget):
		reply.NoTarget = true
	case errors.As(err, &noOwner):
		reply.NoOwner = true
	case errors.As(err, &rejected):
		reply.NoOwner, reply.WaitMs = true, max(1, rejected.Wait.Milliseconds())
	case errors.As(err, &denied):
		reply.Denied, reply.EvacuatedOrAdmission = true, slices.Clone(denied.Evacuated)
	}
}
