// Package evictor executes evictions: it writes the intent, requests the other zones'
// leaders to refrain from extensions, and reports when the seat may be claimed.
package evictor

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/eviction"
	"basilcross.example/basilcross/quorum"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/peerclient"
	"golang.org/x/sync/errgroup"
)

// SuspectAfter is how long a row must be unchanged before its holder's eviction may
// begin. Attempts against healthy holders would leave other leaders refusing to extend
// them in the next outage.
const SuspectAfter = 700 * time.Millisecond

const (
	tableTimeout   = 800 * time.Millisecond
	refrainTimeout = 300 * time.Millisecond
)

// Evictor executes evictions. All exported fields must be set.
type Evictor struct {
	Instance string
	Table    table.Client
	Peers    *peerclient.Caller
	NewToken func() string
	Log      *slog.Logger

	mu       sync.Mutex
	attempts map[string]*eviction.Eviction
}

// Step advances the eviction of a seat's holder and reports whether the seat may be
// claimed now. lock guards the seat; others are the other zones' seats.
func (e *Evictor) Step(ctx context.Context, lock sync.Locker, s *seat.Seat, others []seat.Record) bool {
	lock.Lock()
	record, version := s.Record()
	tableLeaseEnd := s.TableLeaseEnd()
	outageLimitPassed := s.OutageLimitPassed(time.Now())
	lock.Unlock()
	if outageLimitPassed {
		return true
	}
	if record.Intent == "" {
		e.writeIntent(ctx, lock, s)
		return false
	}
	attempt := e.attemptFor(s.Name)
	attempt.Begin(version, tableLeaseEnd)
	e.requestRefrain(ctx, attempt, s.Name, others)
	return attempt.Complete(time.Now(), quorum.EvictQuorum(len(others)+1))
}

func (e *Evictor) attemptFor(name string) *eviction.Eviction {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts == nil {
		e.attempts = map[string]*eviction.Eviction{}
	}
	a, ok := e.attempts[name]
	if !ok {
		a = &eviction.Eviction{}
		e.attempts[name] = a
	}
	return a
}

// writeIntent writes the intent into the seat's row. The next reader of the row
// continues the eviction, so a lost response costs only time.
func (e *Evictor) writeIntent(ctx context.Context, lock sync.Locker, s *seat.Seat) {
	lock.Lock()
	tx, err := s.DeclareIntent(time.Now(), e.NewToken(), e.Instance)
	lock.Unlock()
	if err != nil {
		e.Log.Error("prepare eviction intent", "seat", s.Name, "error", err)
		return
	}
	key := seat.RowKey(s.Name)
	tx.ReadKeys = []string{key}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := e.Table.Transact(callCtx, tx)
	if err != nil {
		return
	}
	row, ok := res.Row(key)
	if !ok {
		return
	}
	lock.Lock()
	defer lock.Unlock()
	now := time.Now()
	if err := s.Observe(now, &row); err != nil {
		e.Log.Error("apply seat row", "seat", s.Name, "error", err)
		return
	}
	record, _ := s.Record()
	event.EvictionBegan.Log(e.Log, "seat", s.Name, "term", record.Term, "committed", res.Committed, "holder", record.Holder,
		"unchangedMs", s.UnchangedFor(now).Milliseconds(), "told", s.HasAnnouncement(), "authorityLeftMs", s.TableLeaseEnd().Sub(now).Milliseconds())
}

// requestRefrain sends the request to every leader that has not confirmed yet.
func (e *Evictor) requestRefrain(ctx context.Context, attempt *eviction.Eviction, zone string, others []seat.Record) {
	ctx, cancel := context.WithTimeout(ctx, refrainTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	version := attempt.Version()
	for _, r := range others {
		if r.Address == "" || attempt.HasConfirmed(r.Zone) {
			continue
		}
		group.Go(func() error {
			c := e.Peers.Zone(r.Address)
			res, err := c.Refrain(ctx, &control.RefrainRequest{Zone: zone, RowVersion: version})
			if err != nil || !res.GetConfirmed() || res.GetZone() != r.Zone {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			attempt.Confirm(time.Now(), r.Zone, version, time.Duration(res.GetLeftMs())*time.Millisecond)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		e.Log.Debug("request refrain", "seat", zone, "error", err)
	}
}
