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
	"basilcross.example/basilcross/quorum"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/planner"
	"basilcross.example/gateway/view"
)

// headKeyPrefix is the key prefix of all heads, the rows that a leader reads.
const headKeyPrefix = "head/"

func (l *Leader) applyHeads(ctx context.Context, res table.Result) {
	now := time.Now()
	l.applySeats(now, res)
	caughtUp := true
	for _, row := range res.Rows {
		if err := l.applyHead(ctx, row); err != nil {
			l.Log.Warn("apply head row", "row", row.Key, "error", err)
			caughtUp = false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zoneState == nil {
		return
	}
	l.applyAssignments()
	if caughtUp && !l.ready {
		l.ready = true
	}
	l.broadcast()
}

func (l *Leader) applySeats(now time.Time, res table.Result) {
	if row, ok := res.Row(seat.RowKey(planner.SeatName)); ok {
		l.Planner.Observe(now, &row)
	} else {
		l.Planner.Observe(now, nil)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range res.Rows {
		l.applyZoneSeat(now, row)
	}
	before := l.seat.Holding()
	var own *table.Row
	if row, ok := res.Row(seat.RowKey(l.Zone)); ok {
		own = &row
	}
	if err := l.seat.Observe(now, own); err != nil {
		l.Log.Error("apply own seat row", "error", err)
	}
	if row, ok := res.Row(seat.TermKey(l.Zone)); ok {
		l.seat.ObserveTerm(row.Version)
	}
	l.updateTerm(before)
}

func (l *Leader) applyZoneSeat(now time.Time, row table.Row) {
	name, ok := seat.NameFromRowKey(row.Key)
	if !ok || name == planner.SeatName {
		return
	}
	s, ok := l.seats[name]
	if !ok {
		s = &seat.Seat{Name: name}
		l.seats[name] = s
	}
	if err := s.Observe(now, &row); err != nil {
		l.Log.Error("apply seat row", "seat", name, "error", err)
	}
}

// updateTerm begins or ends this instance's term. The zone's state ends with the term.
func (l *Leader) updateTerm(before bool) {
	after := l.seat.Holding()
	r, _ := l.seat.Record()
	switch {
	case after && l.zoneState == nil:
		l.zoneState = &zone.Leader{Zone: l.Zone, PriorLeasesEnd: l.seat.PriorLeasesEnd()}
		l.ledger = &quorum.Ledger{ConfirmFrom: time.Now().Add(lease.Wait(seat.LeaseDuration))}
		l.ready = false
		event.SeatGained.Log(l.Log, "seat", l.Zone, "term", r.Term)
	case before && !after:
		l.zoneState, l.ledger, l.ready = nil, nil, false
		l.broadcast()
		event.SeatLost.Log(l.Log, "seat", l.Zone, "holder", r.Holder, "term", r.Term)
	}
}

func (l *Leader) applyHead(ctx context.Context, row table.Row) error {
	if row.Key == config.HeadKey {
		return l.applyConfig(ctx, row)
	}
	service, ok := deltalog.ServiceFromHeadKey(row.Key)
	if !ok {
		return nil
	}
	deltaLog, ok := l.deltaLogs[service]
	if !ok {
		deltaLog = &deltalog.Log{Service: service, Table: l.Table, Objects: l.Objects, OnDamagedSnapshot: l.logDamagedSnapshot}
		l.deltaLogs[service] = deltaLog
	}
	if row.Version <= deltaLog.HeadRowVersion() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	deltas, err := deltaLog.CatchUp(callCtx, row)
	if err != nil {
		return err
	}
	for _, delta := range deltas {
		if err := l.View.ApplyDelta(delta); err != nil {
			return err
		}
		event.AssignmentLoaded.Log(l.Log, "service", service, "version", delta.To)
	}
	return nil
}

func (l *Leader) logDamagedSnapshot(name string, err error) {
	event.SnapshotDamaged.Log(l.Log, "object", name, "error", err)
}

func (l *Leader) applyConfig(ctx context.Context, row table.Row) error {
	var head config.Head
	if err := table.Decode(row, &head); err != nil {
		return err
	}
	if current := l.View.Load().Config; current != nil && head.Version <= current.Version {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := config.VersionKey(head.Version)
	res, err := l.Table.Transact(callCtx, table.Transaction{ReadKeys: []string{key}})
	if err != nil {
		return fmt.Errorf("read configuration %d: %w", head.Version, err)
	}
	versionRow, ok := res.Row(key)
	if !ok {
		return fmt.Errorf("read configuration: row %s is missing", key)
	}
	var doc config.Document
	if err := json.Unmarshal(versionRow.Value, &doc); err != nil {
		return fmt.Errorf("decode configuration %d: %w", head.Version, err)
	}
	err = l.View.SetConfig(&doc)
	var stale *view.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	if err == nil {
		event.ConfigInForce.Log(l.Log, "version", doc.Version)
	}
	return err
}

// applyAssignments passes the assignments in force to the zone's state.
func (l *Leader) applyAssignments() {
	for name, s := range l.View.Load().Services {
		l.zoneState.ApplyAssignment(s.Assignment)
		l.zoneState.DropDrains(name, oldestRelevantVersion(s))
	}
}

// oldestRelevantVersion returns the assignment version before which drains are obsolete.
func oldestRelevantVersion(s *view.Service) uint64 {
	oldest := s.Assignment.Version
	for _, sh := range s.Assignment.Shards {
		if sh.MovingTo != "" {
			oldest = min(oldest, sh.OwnerSince)
		}
	}
	return oldest
}
