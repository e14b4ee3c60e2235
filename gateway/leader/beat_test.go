package leader_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/follower"
	"basilcross.example/gateway/leader"
	"basilcross.example/gateway/view"
	"gotest.tools/v3/assert"
)

// recordingPlanner is a planner that keeps what it hears.
type recordingPlanner struct {
	leader.Planner

	mu         sync.Mutex
	receivedAt map[uint64]time.Time
}

func (*recordingPlanner) Observe(time.Time, *table.Row) {}

func (*recordingPlanner) Address() string { return "" }

func (h *recordingPlanner) ReceiveHeartbeat(now time.Time, beat *control.BeatRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.receivedAt[beat.GetRenewals()]; !ok {
		h.receivedAt[beat.GetRenewals()] = now
	}
}

// slowTable takes writes at once, answers them late, and keeps when each renewal
// took effect.
type slowTable struct {
	table.Memory

	mu        sync.Mutex
	renewedAt map[uint64]time.Time
}

func (s *slowTable) Transact(ctx context.Context, tx table.Transaction) (table.Result, error) {
	res, err := s.Memory.Transact(ctx, tx)
	s.recordRenewals(tx, res)
	time.Sleep(300 * time.Millisecond)
	return res, err
}

func (s *slowTable) recordRenewals(tx table.Transaction, res table.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range tx.Puts {
		var r seat.Record
		if res.Committed && put.Key == seat.RowKey("graz") && json.Unmarshal(put.Value, &r) == nil && r.Renewals > 0 {
			s.renewedAt[r.Renewals] = time.Now()
		}
	}
}

// Guards against a renewal that took effect just before its zone was cut off and
// of which nobody was told: the zone's keys then wait a whole hold longer.
func TestRenewalIsAnnouncedBeforeItTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &slowTable{renewedAt: map[uint64]time.Time{}}
		heard := &recordingPlanner{receivedAt: map[uint64]time.Time{}}
		tokens := 0
		d := leader.New(leader.Options{
			Instance: "one", Incarnation: "1", Address: "127.0.0.1:1", Zone: "graz", Table: rows, Direct: rows,
			View: &view.View{}, Follower: &follower.Follower{}, Authority: &authority.Authority{}, Planner: heard,
			Log:      slog.New(slog.DiscardHandler),
			NewToken: func() string { tokens++; return strconv.Itoa(tokens) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = d.Serve(ctx) })
		group.Go(func() { _ = (&leader.HeartbeatSender{Leader: d}).Serve(ctx) })
		time.Sleep(10 * time.Second)
		cancel()
		group.Wait()
		assert.Assert(t, len(rows.renewedAt) > 10)
		for number, at := range rows.renewedAt {
			told, ok := heard.receivedAt[number]
			assert.Assert(t, ok && !told.After(at), "renewal %d took effect at %v and was told of at %v", number, at, told)
		}
	})
}
