package leader

import (
	"context"
	"time"

	"basilcross.example/gateway/control"
	"golang.org/x/sync/errgroup"
)

const (
	// beatCheck lies between two looks whether the seat was renewed.
	beatCheck = 50 * time.Millisecond
	// beatTimeout bounds one sign of life.
	beatTimeout = 300 * time.Millisecond
)

// Beater is the duty of telling the other zones' leaders of each renewal. Any of
// them may have to plan next, if the planner is lost together with its zone; it
// then knows already how long every other seat is held.
type Beater struct {
	Leader *Duty
}

// Serve sends signs of life until the context ends.
func (b *Beater) Serve(ctx context.Context) error {
	tick := time.NewTicker(beatCheck)
	defer tick.Stop()
	told := &control.BeatRequest{}
	var at time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		beat := b.Leader.beat(now)
		same := beat.GetTerm() == told.GetTerm() && beat.GetRenewals() == told.GetRenewals()
		// Also without renewals, since a leader that cannot renew is alive.
		if beat == nil || same && now.Sub(at) < beatInterval {
			continue
		}
		told, at = beat, now
		b.Leader.tellAll(ctx, beat)
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

func (d *Duty) tellAll(ctx context.Context, beat *control.BeatRequest) {
	d.Planner.Hear(time.Now(), beat)
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var group errgroup.Group
	for _, address := range d.OtherLeaders() {
		group.Go(func() error {
			_, err := d.Peers.Zone(address).Beat(ctx, beat)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		d.Log.Debug("beat", "error", err)
	}
}

// Beat takes in another leader's sign of life.
func (d *Duty) Beat(_ context.Context, beat *control.BeatRequest) (*control.BeatResponse, error) {
	d.Planner.Hear(time.Now(), beat)
	return &control.BeatResponse{}, nil
}
