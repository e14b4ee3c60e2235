package leader

import (
	"context"
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/seat"
	"basilcross.example/gateway/control"
	"golang.org/x/sync/errgroup"
)

const (
	// maxHeartbeatInterval is the longest time between two heartbeats. A healthy
	// leader sends one with each renewal, which is more often.
	maxHeartbeatInterval = 450 * time.Millisecond
	// heartbeatCheckInterval is the time between two checks whether one is due.
	heartbeatCheckInterval = 50 * time.Millisecond
	// heartbeatTimeout bounds the call that sends one heartbeat.
	heartbeatTimeout = 300 * time.Millisecond
	// maxQueuedHeartbeats bounds the heartbeats that wait to be sent.
	maxQueuedHeartbeats = 4
)

// HeartbeatSender announces each renewal to the other zones' leaders. Any of them may
// have to plan next, if the planner is lost together with its zone; it then has
// already received how long every other seat is held.
type HeartbeatSender struct {
	Leader *Leader
}

// Serve sends heartbeats until the context ends. It does not wait for the responses,
// so that an unreachable zone does not delay the heartbeats to the others.
func (h *HeartbeatSender) Serve(ctx context.Context) error {
	var group errgroup.Group
	tick := time.NewTicker(heartbeatCheckInterval)
	defer tick.Stop()
	var at time.Time
	for {
		var beat *control.BeatRequest
		select {
		case <-ctx.Done():
			return group.Wait()
		case beat = <-h.Leader.heartbeats:
		case <-tick.C:
			if time.Since(at) < maxHeartbeatInterval {
				continue
			}
			// Sent without renewals too: a leader that cannot renew is still alive.
			beat = h.Leader.heartbeat(time.Now())
		}
		if beat == nil {
			continue
		}
		at = time.Now()
		h.Leader.sendHeartbeat(ctx, &group, beat)
	}
}

// queueHeartbeat announces a renewal when it is sent, before its outcome is known.
// Otherwise the other leaders would not receive a renewal that took effect just before
// this zone was cut off, and would wait a whole seat.LeaseDuration longer. Callers hold
// the lock.
func (l *Leader) queueHeartbeat(sent time.Time) {
	if !l.leading(sent) {
		return
	}
	record, _ := l.seat.Record()
	beat := &control.BeatRequest{
		Zone: l.Zone, Term: record.Term, Renewals: l.seat.RenewalNumber(),
		TableLeftUs: uint32(lease.New(sent, seat.LeaseDuration).Left(time.Now()).Microseconds()),
	}
	select {
	case l.heartbeats <- beat:
	default:
		// Dropped: the others then wait as long as without it.
	}
}

// heartbeat returns nil if this instance does not lead.
func (l *Leader) heartbeat(now time.Time) *control.BeatRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading(now) {
		return nil
	}
	record, _ := l.seat.Record()
	return &control.BeatRequest{
		Zone: l.Zone, Term: record.Term, Renewals: record.Renewals, TableLeftUs: l.tableLeft(now),
	}
}

func (l *Leader) sendHeartbeat(ctx context.Context, group *errgroup.Group, beat *control.BeatRequest) {
	l.Planner.ReceiveHeartbeat(time.Now(), beat)
	for _, address := range l.OtherLeaders() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			if _, err := l.Peers.Zone(address).Beat(ctx, beat); err != nil {
				l.Log.Debug("send heartbeat", "error", err)
			}
			return nil
		})
	}
}

// Beat receives another leader's heartbeat.
func (l *Leader) Beat(_ context.Context, beat *control.BeatRequest) (*control.BeatResponse, error) {
	l.Planner.ReceiveHeartbeat(time.Now(), beat)
	return &control.BeatResponse{}, nil
}
