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
	// quietInterval is the longest time between two signs of life. A leader in
	// good health renews its seat, and tells of it, more often.
	quietInterval = 450 * time.Millisecond
	// beatCheck lies between two looks whether one is due.
	beatCheck = 50 * time.Millisecond
	// beatTimeout bounds one sign of life.
	beatTimeout = 300 * time.Millisecond
	// beatRoom bounds the signs of life that wait to be sent.
	beatRoom = 4
)

// Beater is the duty of telling the other zones' leaders of each renewal. Any of
// them may have to plan next, if the planner is lost together with its zone; it
// then knows already how long every other seat is held.
type Beater struct {
	Leader *Duty
}

// Serve sends signs of life until the context ends. It does not wait for their
// answers: a zone that is cut off must not hold up what the others are told.
func (b *Beater) Serve(ctx context.Context) error {
	var group errgroup.Group
	tick := time.NewTicker(beatCheck)
	defer tick.Stop()
	var at time.Time
	for {
		var beat *control.BeatRequest
		select {
		case <-ctx.Done():
			return group.Wait()
		case beat = <-b.Leader.beats:
		case <-tick.C:
			if time.Since(at) < quietInterval {
				continue
			}
			// Also without renewals, since a leader that cannot renew is alive.
			beat = b.Leader.beat(time.Now())
		}
		if beat == nil {
			continue
		}
		at = time.Now()
		b.Leader.tellAll(ctx, &group, beat)
	}
}

// announce has the other leaders told of a renewal that is sent now, before it
// is known whether it takes effect: told afterwards, they would not know of one
// that took effect just before this zone was cut off, and would wait a whole
// Hold longer. It is called with the lock held.
func (d *Duty) announce(sent time.Time) {
	if !d.leading(sent) {
		return
	}
	record, _ := d.seat.Record()
	beat := &control.BeatRequest{
		Zone: d.Zone, Term: record.Term, Renewals: d.seat.RenewalNumber(),
		TableLeftUs: uint32(lease.New(sent, seat.LeaseDuration).Left(time.Now()).Microseconds()),
	}
	select {
	case d.beats <- beat:
	default:
		// Who hears of it with the next one only, waits for as long as without it.
	}
}

// beat composes the sign of life; nil if this instance does not lead.
func (d *Duty) beat(now time.Time) *control.BeatRequest {
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

func (d *Duty) tellAll(ctx context.Context, group *errgroup.Group, beat *control.BeatRequest) {
	d.Planner.Hear(time.Now(), beat)
	for _, address := range d.OtherLeaders() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, beatTimeout)
			defer cancel()
			if _, err := d.Peers.Zone(address).Beat(ctx, beat); err != nil {
				d.Log.Debug("beat", "error", err)
			}
			return nil
		})
	}
}

// Beat takes in another leader's sign of life.
func (d *Duty) Beat(_ context.Context, beat *control.BeatRequest) (*control.BeatResponse, error) {
	d.Planner.Hear(time.Now(), beat)
	return &control.BeatResponse{}, nil
}
