package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/deltalog"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/promise"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/planner"
	"basilcross.example/gateway/view"
)

// headPrefix begins the keys of all rows that a leader reads at every turn.
const headPrefix = "head/"

// absorb takes in the rows of one reading.
func (d *Duty) absorb(ctx context.Context, res table.Result) {
	now := time.Now()
	d.absorbSeats(now, res)
	caughtUp := true
	for _, row := range res.Rows {
		if err := d.absorbHead(ctx, row); err != nil {
			d.Log.Warn("not caught up", "row", row.Key, "error", err)
			caughtUp = false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zone == nil {
		return
	}
	d.assign()
	if caughtUp && !d.ready {
		d.ready = true
	}
	d.broadcast()
}

func (d *Duty) absorbSeats(now time.Time, res table.Result) {
	if row, ok := res.Row(seat.RowKey(planner.SeatName)); ok {
		d.Planner.Observe(now, &row)
	} else {
		d.Planner.Observe(now, nil)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range res.Rows {
		d.watchSeat(now, row)
	}
	before := d.seat.Holding()
	var own *table.Row
	if row, ok := res.Row(seat.RowKey(d.Zone)); ok {
		own = &row
	}
	if err := d.seat.Observe(now, own); err != nil {
		d.Log.Error("seat row", "error", err)
	}
	if row, ok := res.Row(seat.TermKey(d.Zone)); ok {
		d.seat.ObserveTerm(row.Version)
	}
	d.noteHolding(before)
}

// watchSeat keeps what was last read of every zone's seat.
func (d *Duty) watchSeat(now time.Time, row table.Row) {
	name, ok := seat.NameOf(row.Key)
	if !ok || name == planner.SeatName {
		return
	}
	s, ok := d.seats[name]
	if !ok {
		s = &seat.Seat{Name: name}
		d.seats[name] = s
	}
	if err := s.Observe(now, &row); err != nil {
		d.Log.Error("seat row", "seat", name, "error", err)
	}
}

// noteHolding begins or ends a term. The zone's state never outlives a term.
func (d *Duty) noteHolding(before bool) {
	after := d.seat.Holding()
	r, _ := d.seat.Record()
	switch {
	case after && d.zone == nil:
		d.zone = &zone.Leader{Zone: d.Zone, UnknownUntil: d.seat.UnknownUntil()}
		d.book = &promise.Book{ConfirmFrom: time.Now().Add(lease.Wait(seat.Hold))}
		d.ready = false
		event.SeatGained.Log(d.Log, "seat", d.Zone, "term", r.Term)
	case before && !after:
		d.zone, d.book, d.ready = nil, nil, false
		d.broadcast()
		event.SeatLost.Log(d.Log, "seat", d.Zone, "holder", r.Holder, "term", r.Term)
	}
}

func (d *Duty) absorbHead(ctx context.Context, row table.Row) error {
	if row.Key == config.HeadKey {
		return d.absorbConfig(ctx, row)
	}
	service, ok := deltalog.ServiceFromHeadKey(row.Key)
	if !ok {
		return nil
	}
	l, ok := d.logs[service]
	if !ok {
		l = &deltalog.Log{Service: service, Table: d.Table, Objects: d.Objects, OnDamagedSnapshot: d.damaged}
		d.logs[service] = l
	}
	if row.Version <= l.HeadRowVersion() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	deltas, err := l.CatchUp(callCtx, row)
	if err != nil {
		return err
	}
	for _, delta := range deltas {
		if err := d.View.ApplyDelta(delta); err != nil {
			return err
		}
		event.AssignmentLoaded.Log(d.Log, "service", service, "version", delta.To)
	}
	return nil
}

func (d *Duty) damaged(name string, err error) {
	event.SnapshotDamaged.Log(d.Log, "object", name, "error", err)
}

func (d *Duty) absorbConfig(ctx context.Context, row table.Row) error {
	var head config.Head
	if err := table.Decode(row, &head); err != nil {
		return err
	}
	if current := d.View.Load().Config; current != nil && head.Version <= current.Version {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := config.VersionKey(head.Version)
	res, err := d.Table.Transact(callCtx, table.Transaction{ReadKeys: []string{key}})
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	versionRow, ok := res.Row(key)
	if !ok {
		return fmt.Errorf("read configuration: row %s is missing", key)
	}
	var doc config.Document
	if err := json.Unmarshal(versionRow.Value, &doc); err != nil {
		return fmt.Errorf("decode configuration %d: %w", head.Version, err)
	}
	err = d.View.SetConfig(&doc)
	var stale *view.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	if err == nil {
		event.ConfigInForce.Log(d.Log, "version", doc.Version)
	}
	return err
}

// assign tells the zone's state about the targets in force.
func (d *Duty) assign() {
	for name, s := range d.View.Load().Services {
		d.zone.Assign(s.Assignment)
		d.zone.Forget(name, oldestMove(s))
	}
}

// oldestMove is the version before which no drain can matter any more.
func oldestMove(s *view.Service) uint64 {
	oldest := s.Assignment.Version
	for _, sh := range s.Assignment.Shards {
		if sh.MovingTo != "" {
			oldest = min(oldest, sh.OwnerSince)
		}
	}
	return oldest
}
