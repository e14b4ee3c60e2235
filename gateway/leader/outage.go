package leader

import (
	"context"
	"sync"
	"time"

	"basilcross.example/basilcross/promise"
	"basilcross.example/basilcross/seat"
	"basilcross.example/gateway/control"
	"golang.org/x/sync/errgroup"
)

const (
	// extendInterval lies between two rounds of requests for extension.
	extendInterval = 150 * time.Millisecond
	// extendThreshold is the authority left below which the table is suspect. A
	// leader in good health renews long before.
	extendThreshold = 650 * time.Millisecond
	extendTimeout   = 300 * time.Millisecond
)

// Extender is the duty of keeping the leader's authority while the table
// service is out of reach, on the word of the other zones' leaders.
type Extender struct {
	Leader *Leader
}

// Serve extends when it is needed until the context ends.
func (e *Extender) Serve(ctx context.Context) error {
	tick := time.NewTicker(extendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			e.Leader.extend(ctx)
		}
	}
}

// extend asks all other leaders at once. Authority counts from before the
// first request was sent.
func (d *Leader) extend(ctx context.Context) {
	sent := time.Now()
	req, others, needed := d.extendRequest(sent)
	if req == nil {
		return
	}
	if d.requestExtensions(ctx, req, others) < needed {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seat.Extend(sent) {
		d.broadcast()
	}
}

// extendRequest returns the request to send, nil if none is needed or allowed.
func (d *Leader) extendRequest(now time.Time) (req *control.ExtendRequest, others []seat.Record, needed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready || d.stopping || !d.seat.Holding() || d.seat.Authority().Left(now) > extendThreshold {
		return nil, nil, 0
	}
	others = d.otherSeats()
	needed, ok := promise.ExtendQuorum(len(others) + 1)
	if !ok {
		return nil, nil, 0
	}
	record, version := d.seat.Record()
	return &control.ExtendRequest{
		Zone: d.Zone, Holder: record.Holder, Incarnation: record.Incarnation, RowVersion: version,
	}, others, needed
}

// requestExtensions returns how many leaders extend.
func (d *Leader) requestExtensions(ctx context.Context, req *control.ExtendRequest, others []seat.Record) int {
	ctx, cancel := context.WithTimeout(ctx, extendTimeout)
	defer cancel()
	extended := 0
	var mu sync.Mutex
	var group errgroup.Group
	for _, r := range others {
		if r.Address == "" {
			continue
		}
		group.Go(func() error {
			res, err := d.Peers.Zone(r.Address).Extend(ctx, req)
			if err != nil || !res.GetExtended() || res.GetZone() != r.Zone {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			extended++
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		d.Log.Debug("extend", "error", err)
	}
	return extended
}

// Extend promises another zone's leader to take no part in its eviction.
func (d *Leader) Extend(_ context.Context, req *control.ExtendRequest) (*control.ExtendResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	res := &control.ExtendResponse{Zone: d.Zone}
	now := time.Now()
	if !d.leading(now) || req.GetZone() == d.Zone {
		return res, nil
	}
	var known seat.Record
	var version uint64
	if s, ok := d.seats[req.GetZone()]; ok {
		known, version = s.Record()
	}
	res.Extended = d.ledger.Extend(now, promise.ExtendRequest{
		Zone: req.GetZone(), Holder: req.GetHolder(), Incarnation: req.GetIncarnation(), Version: req.GetRowVersion(),
	}, known, version)
	return res, nil
}

// Refrain promises to extend another zone's seat no more.
func (d *Leader) Refrain(_ context.Context, req *control.RefrainRequest) (*control.RefrainResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	res := &control.RefrainResponse{Zone: d.Zone}
	now := time.Now()
	if !d.leading(now) || req.GetZone() == d.Zone {
		return res, nil
	}
	left := d.ledger.Refrain(now, req.GetZone(), req.GetRowVersion())
	res.Confirmed = true
	res.LeftMs = uint32((left + time.Millisecond - 1).Milliseconds())
	return res, nil
}

// OtherLeaders returns the control addresses of other zones' leaders.
func (d *Leader) OtherLeaders() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, r := range d.otherSeats() {
		if r.Address != "" {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}
