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

// recordingPlanner is a planner that records when each renewal was first announced.
type recordingPlanner struct {
	leader.Planner

	mu         sync.Mutex
	receivedAt map[uint64]time.Time
}

func (*recordingPlanner) Observe(time.Time, *table.Row) {}

func (*recordingPlanner) Address() string { return "" }

func (p *recordingPlanner) ReceiveHeartbeat(now time.Time, beat *control.BeatRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.receivedAt[beat.GetRenewals()]; !ok {
		p.receivedAt[beat.GetRenewals()] = now
	}
}

// slowTable applies writes at once, delays its responses by 300 ms, and records when
// each renewal took effect.
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

// A renewal that took effect just before its zone was cut off must have been announced
// to the other leaders; otherwise the zone's keys wait a whole seat.LeaseDuration
// longer.
func TestRenewalIsAnnouncedBeforeItTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &slowTable{renewedAt: map[uint64]time.Time{}}
		recorder := &recordingPlanner{receivedAt: map[uint64]time.Time{}}
		tokens := 0
		l := leader.New(leader.Options{
			Instance: "one", Incarnation: "1", Address: "127.0.0.1:1", Zone: "graz", Table: rows, Direct: rows,
			View: &view.View{}, Follower: &follower.Follower{}, Authority: &authority.Authority{}, Planner: recorder,
			Log:      slog.New(slog.DiscardHandler),
			NewToken: func() string { tokens++; return strconv.Itoa(tokens) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = l.Serve(ctx) })
		group.Go(func() { _ = (&leader.HeartbeatSender{Leader: l}).Serve(ctx) })
		time.Sleep(10 * time.Second)
		cancel()
		group.Wait()
		assert.Assert(t, len(rows.renewedAt) > 10)
		for number, at := range rows.renewedAt {
			announced, ok := recorder.receivedAt[number]
			assert.Assert(t, ok && !announced.After(at), "renewal %d took effect at %v and was announced at %v", number, at, announced)
		}
	})
}
