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

// headKeyPrefix begins the keys of all rows that a leader reads at every turn.
const headKeyPrefix = "head/"

// applyHeads takes in the rows of one reading.
func (d *Leader) applyHeads(ctx context.Context, res table.Result) {
	now := time.Now()
	d.applySeats(now, res)
	caughtUp := true
	for _, row := range res.Rows {
		if err := d.applyHead(ctx, row); err != nil {
			d.Log.Warn("not caught up", "row", row.Key, "error", err)
			caughtUp = false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zoneState == nil {
		return
	}
	d.applyAssignments()
	if caughtUp && !d.ready {
		d.ready = true
	}
	d.broadcast()
}

func (d *Leader) applySeats(now time.Time, res table.Result) {
	if row, ok := res.Row(seat.RowKey(planner.SeatName)); ok {
		d.Planner.Observe(now, &row)
	} else {
		d.Planner.Observe(now, nil)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range res.Rows {
		d.applyZoneSeat(now, row)
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
	d.updateTerm(before)
}

// applyZoneSeat keeps what was last read of every zone's seat.
func (d *Leader) applyZoneSeat(now time.Time, row table.Row) {
	name, ok := seat.NameFromRowKey(row.Key)
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

// updateTerm begins or ends a term. The zone's state never outlives a term.
func (d *Leader) updateTerm(before bool) {
	after := d.seat.Holding()
	r, _ := d.seat.Record()
	switch {
	case after && d.zoneState == nil:
		d.zoneState = &zone.Leader{Zone: d.Zone, PriorLeasesEnd: d.seat.PriorLeasesEnd()}
		d.ledger = &promise.Ledger{ConfirmFrom: time.Now().Add(lease.Wait(seat.LeaseDuration))}
		d.ready = false
		event.SeatGained.Log(d.Log, "seat", d.Zone, "term", r.Term)
	case before && !after:
		d.zoneState, d.ledger, d.ready = nil, nil, false
		d.broadcast()
		event.SeatLost.Log(d.Log, "seat", d.Zone, "holder", r.Holder, "term", r.Term)
	}
}

func (d *Leader) applyHead(ctx context.Context, row table.Row) error {
	if row.Key == config.HeadKey {
		return d.applyConfig(ctx, row)
	}
	service, ok := deltalog.ServiceFromHeadKey(row.Key)
	if !ok {
		return nil
	}
	l, ok := d.deltaLogs[service]
	if !ok {
		l = &deltalog.Log{Service: service, Table: d.Table, Objects: d.Objects, OnDamagedSnapshot: d.logDamagedSnapshot}
		d.deltaLogs[service] = l
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

func (d *Leader) logDamagedSnapshot(name string, err error) {
	event.SnapshotDamaged.Log(d.Log, "object", name, "error", err)
}

func (d *Leader) applyConfig(ctx context.Context, row table.Row) error {
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

// applyAssignments tells the zone's state about the targets in force.
func (d *Leader) applyAssignments() {
	for name, s := range d.View.Load().Services {
		d.zoneState.ApplyAssignment(s.Assignment)
		d.zoneState.DropDrains(name, oldestRelevantVersion(s))
	}
}

// oldestRelevantVersion is the version before which no drain can matter any more.
func oldestRelevantVersion(s *view.Service) uint64 {
	oldest := s.Assignment.Version
	for _, sh := range s.Assignment.Shards {
		if sh.MovingTo != "" {
			oldest = min(oldest, sh.OwnerSince)
		}
	}
	return oldest
}
