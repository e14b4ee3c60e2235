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
	// maxHeartbeatInterval is the longest time between two signs of life. A leader in
	// good health renews its seat, and tells of it, more often.
	maxHeartbeatInterval = 450 * time.Millisecond
	// heartbeatCheckInterval lies between two looks whether one is due.
	heartbeatCheckInterval = 50 * time.Millisecond
	// heartbeatTimeout bounds one sign of life.
	heartbeatTimeout = 300 * time.Millisecond
	// maxQueuedHeartbeats bounds the signs of life that wait to be sent.
	maxQueuedHeartbeats = 4
)

// HeartbeatSender is the duty of telling the other zones' leaders of each renewal. Any of
// them may have to plan next, if the planner is lost together with its zone; it
// then knows already how long every other seat is held.
type HeartbeatSender struct {
	Leader *Leader
}

// Serve sends signs of life until the context ends. It does not wait for their
// answers: a zone that is cut off must not hold up what the others are told.
func (b *HeartbeatSender) Serve(ctx context.Context) error {
	var group errgroup.Group
	tick := time.NewTicker(heartbeatCheckInterval)
	defer tick.Stop()
	var at time.Time
	for {
		var beat *control.BeatRequest
		select {
		case <-ctx.Done():
			return group.Wait()
		case beat = <-b.Leader.heartbeats:
		case <-tick.C:
			if time.Since(at) < maxHeartbeatInterval {
				continue
			}
			// Also without renewals, since a leader that cannot renew is alive.
			beat = b.Leader.heartbeat(time.Now())
		}
		if beat == nil {
			continue
		}
		at = time.Now()
		b.Leader.sendHeartbeat(ctx, &group, beat)
	}
}

// queueHeartbeat has the other leaders told of a renewal that is sent now, before it
// is known whether it takes effect: told afterwards, they would not know of one
// that took effect just before this zone was cut off, and would wait a whole
// Hold longer. It is called with the lock held.
func (d *Leader) queueHeartbeat(sent time.Time) {
	if !d.leading(sent) {
		return
	}
	record, _ := d.seat.Record()
	beat := &control.BeatRequest{
		Zone: d.Zone, Term: record.Term, Renewals: d.seat.RenewalNumber(),
		TableLeftUs: uint32(lease.New(sent, seat.LeaseDuration).Left(time.Now()).Microseconds()),
	}
	select {
	case d.heartbeats <- beat:
	default:
		// Who hears of it with the next one only, waits for as long as without it.
	}
}

// heartbeat composes the sign of life; nil if this instance does not lead.
func (d *Leader) heartbeat(now time.Time) *control.BeatRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading(now) {
		return nil
	}
	record, _ := d.seat.Record()
	return &control.BeatRequest{
		Zone: d.Zone, Term: record.Term, Renewals: record.Renewals, TableLeftUs: d.tableLeft(now),
	}
}

func (d *Leader) sendHeartbeat(ctx context.Context, group *errgroup.Group, beat *control.BeatRequest) {
	d.Planner.ReceiveHeartbeat(time.Now(), beat)
	for _, address := range d.OtherLeaders() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			if _, err := d.Peers.Zone(address).Beat(ctx, beat); err != nil {
				d.Log.Debug("beat", "error", err)
			}
			return nil
		})
	}
}

// Beat takes in another leader's sign of life.
func (d *Leader) Beat(_ context.Context, beat *control.BeatRequest) (*control.BeatResponse, error) {
	d.Planner.ReceiveHeartbeat(time.Now(), beat)
	return &control.BeatResponse{}, nil
}
