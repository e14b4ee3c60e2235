package leader

import (
	"context"
	"sync"
	"time"

	"basilcross.example/basilcross/quorum"
	"basilcross.example/basilcross/seat"
	"basilcross.example/gateway/control"
	"golang.org/x/sync/errgroup"
)

const (
	// extendInterval is the time between two rounds of extension requests.
	extendInterval = 150 * time.Millisecond
	// extendThreshold is the authority left below which extensions are requested.
	// A leader whose table calls succeed renews long before.
	extendThreshold = 650 * time.Millisecond
	extendTimeout   = 300 * time.Millisecond
)

// Extender keeps the leader's authority by extensions from the other zones' leaders
// while the table service is unreachable.
type Extender struct {
	Leader *Leader
}

// Serve extends the leader's authority when needed, until the context ends.
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

// extend requests an extension from all other leaders at once, if one is needed. The
// authority counts from before the first request was sent.
func (l *Leader) extend(ctx context.Context) {
	sent := time.Now()
	req, others, needed := l.extendRequest(sent)
	if req == nil {
		return
	}
	if l.requestExtensions(ctx, req, others) < needed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seat.Extend(sent) {
		l.broadcast()
	}
}

// extendRequest returns the request, nil if none is needed or allowed, and the quorum.
func (l *Leader) extendRequest(now time.Time) (req *control.ExtendRequest, others []seat.Record, needed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || l.stopping || !l.seat.Holding() || l.seat.Authority().Left(now) > extendThreshold {
		return nil, nil, 0
	}
	others = l.otherSeats()
	needed, ok := quorum.ExtendQuorum(len(others) + 1)
	if !ok {
		return nil, nil, 0
	}
	record, version := l.seat.Record()
	return &control.ExtendRequest{
		Zone: l.Zone, Holder: record.Holder, Incarnation: record.Incarnation, RowVersion: version,
	}, others, needed
}

// requestExtensions sends the request and returns how many leaders extended.
func (l *Leader) requestExtensions(ctx context.Context, req *control.ExtendRequest, others []seat.Record) int {
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
			res, err := l.Peers.Zone(r.Address).Extend(ctx, req)
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
		l.Log.Debug("request seat extension", "error", err)
	}
	return extended
}

// Extend grants another leader an extension of its seat: this one takes no part in its
// eviction for a seat.LeaseDuration.
func (l *Leader) Extend(_ context.Context, req *control.ExtendRequest) (*control.ExtendResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := &control.ExtendResponse{Zone: l.Zone}
	now := time.Now()
	if !l.leading(now) || req.GetZone() == l.Zone {
		return res, nil
	}
	var known seat.Record
	var version uint64
	if s, ok := l.seats[req.GetZone()]; ok {
		known, version = s.Record()
	}
	res.Extended = l.ledger.Extend(now, quorum.ExtendRequest{
		Zone: req.GetZone(), Holder: req.GetHolder(), Incarnation: req.GetIncarnation(), Version: req.GetRowVersion(),
	}, known, version)
	return res, nil
}

// Refrain promises to stop extending another zone's seat.
func (l *Leader) Refrain(_ context.Context, req *control.RefrainRequest) (*control.RefrainResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := &control.RefrainResponse{Zone: l.Zone}
	now := time.Now()
	if !l.leading(now) || req.GetZone() == l.Zone {
		return res, nil
	}
	left := l.ledger.Refrain(now, req.GetZone(), req.GetRowVersion())
	res.Confirmed = true
	res.LeftMs = uint32((left + time.Millisecond - 1).Milliseconds())
	return res, nil
}

// OtherLeaders returns the control addresses of other zones' leaders.
func (l *Leader) OtherLeaders() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, r := range l.otherSeats() {
		if r.Address != "" {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}
