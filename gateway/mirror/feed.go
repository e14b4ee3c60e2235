package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/platform"
)

// pollFeed waits for changes up to the given time, applies them and forwards them.
// It returns the pause before the next step.
func (m *Mirror) pollFeed(ctx context.Context, wait time.Duration) (delay time.Duration, err error) {
	m.mu.Lock()
	after, passive, failing, checking, probe := m.revision, m.passive, !m.failingSince.IsZero(), m.checkingFreshness, m.probeFreshness
	m.probeFreshness = false
	m.mu.Unlock()
	grace := feedGrace
	switch {
	case probe:
		wait, grace = 0, probeGrace
	case failing:
		wait, grace = min(wait, probeWait), probeGrace
	case checking:
		wait, grace = min(wait, freshnessWait), probeGrace
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var arriving atomic.Bool
	if !passive {
		stop := m.cancelOnRefresh(ctx, cancel, &arriving)
		defer stop()
		defer m.watchSuperseded(cancel, &arriving)()
	}
	got, err := m.Store.Feed(ctx, wait+grace, m.Table, after, wait, func() { arriving.Store(true) })
	var compacted *platform.CompactedError
	if errors.As(err, &compacted) {
		event.HistoryLost.Log(m.Log, "table", m.Table, "after", after)
		return m.BatchDelay, m.readTable(ctx)
	}
	if err != nil {
		return 0, err
	}
	from := after
	if m.PeersComplete {
		// The changes that other instances forwarded meanwhile are not forwarded again.
		m.mu.Lock()
		got.Rows, from = m.newRows(got.Rows), m.revision
		m.mu.Unlock()
	}
	major, minor := m.majorChanges(got.Rows)
	m.apply(Update{Rows: got.Rows, Revision: got.Revision, minor: minor})
	if m.Forward != nil && !passive {
		// Also without rows: passive mirrors advance their revision by it.
		to := max(from, got.Revision)
		m.Forward(ForwardedUpdate{From: from, To: to, NewestChange: min(m.NewestChange(), to), Rows: major})
	}
	switch {
	case len(got.Rows) == 0, len(got.Rows) >= pageRows:
		return 0, nil
	case len(major) == 0:
		return m.MinorDelay, nil
	}
	return m.BatchDelay, nil
}

// newRows returns the rows of an update that this mirror does not have: other instances may have
// forwarded some while a feed response arrived. m.mu must be locked.
func (m *Mirror) newRows(rows []platform.Row) []platform.Row {
	return slices.DeleteFunc(slices.Clone(rows), func(r platform.Row) bool { return r.Revision <= m.revision })
}

// cancelOnRefresh calls cancel when Refresh is called, unless the response is arriving: it has what the
// refresh is for, and would begin with its first byte again. The caller must call stop when the feed
// call has ended.
func (m *Mirror) cancelOnRefresh(ctx context.Context, cancel func(), arriving *atomic.Bool) (stop func()) {
	done := make(chan struct{})
	group := &sync.WaitGroup{}
	group.Go(func() {
		for {
			select {
			case <-m.refreshRequests:
				if !arriving.Load() {
					cancel()
					return
				}
			case <-ctx.Done():
				return
			case <-done:
				return
			}
		}
	})
	return func() { close(done); group.Wait() }
}

// supersededDelay is how long a response may keep arriving though another instance's changes were
// applied meanwhile: that of a small one ends within it, and costs no further call.
const supersededDelay = 100 * time.Millisecond

// watchSuperseded lets other instances' changes end a feed response that takes long to arrive: it holds
// what they had, and fills the link. The caller must call stop when the feed call has ended.
func (m *Mirror) watchSuperseded(cancel func(), arriving *atomic.Bool) (stop func()) {
	var timer *time.Timer
	m.mu.Lock()
	defer m.mu.Unlock()
	m.supersede = func() {
		if timer == nil {
			timer = time.AfterFunc(supersededDelay, func() {
				if arriving.Load() {
					cancel()
				}
			})
		}
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.supersede = nil
		if timer != nil {
			timer.Stop()
		}
	}
}
