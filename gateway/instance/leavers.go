package instance

import (
	"context"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/roster"
	"basilcross.example/gateway/peers"
)

const (
	// leaverReportInterval and leaverReports are how often a target that leaves is reported: a
	// datagram may get lost. The first report comes an interval or two after the target's answer, since
	// the platform mostly lists it as draining by then, and another instance may have reported it.
	leaverReportInterval = 250 * time.Millisecond
	leaverReports        = 3
	// maxReportedLeavers bounds the targets in a datagram.
	maxReportedLeavers = 16
)

// leavers reports to the hubs of all zones which targets state in their answers that they leave, if the platform does
// not list them as draining. Schedulers pass them over, and the coordinator moves their keys.
type leavers struct {
	*Instance

	mu sync.Mutex
	// reports are the numbers of reports that are due for each target, one more than leaverReports during the
	// wait before the first one.
	reports map[peers.LeavingTarget]int
}

// record records that a target has stated to this instance that it leaves.
func (l *leavers) record(t *roster.Target) {
	leaver := peers.LeavingTarget{Target: t.ID, Started: t.Started, Service: t.Service}
	l.mark(leaver, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = map[peers.LeavingTarget]int{}
	}
	l.reports[leaver] = leaverReports + 1
}

// mark makes this instance pass over a target that leaves. From is the instance that reported it.
func (l *leavers) mark(leaver peers.LeavingTarget, from string) {
	now := time.Now()
	incarnation := roster.Incarnation{ID: leaver.Target, Started: leaver.Started}
	l.state.roster.MarkLeaving(now, incarnation)
	first := l.withdrawn.Leave(now, &roster.Target{ID: leaver.Target, Started: leaver.Started, Service: leaver.Service})
	if first || from == "" {
		event.TargetLeaves.Log(l.log, "target", leaver.Target, "born", leaver.Started, "service", leaver.Service, "from", from)
	}
}

func (l *leavers) report(list []peers.LeavingTarget) {
	l.peers.BroadcastToHubs(&peers.Message{LeavingTargets: list})
}

// handleMessage handles what another instance knows of targets that leave, and reports whether m is about that.
func (l *leavers) handleMessage(m *peers.Message) bool {
	if m.LeavingTargets == nil {
		return false
	}
	l.mu.Lock()
	for _, leaver := range m.LeavingTargets {
		delete(l.reports, leaver)
	}
	l.mu.Unlock()
	for _, leaver := range m.LeavingTargets {
		l.mark(leaver, m.From)
	}
	if l.quarantiner.relays(m.From) {
		l.report(m.LeavingTargets)
	}
	return true
}

// Serve reports the targets that leave, until the context ends.
func (l *leavers) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, leaverReportInterval)
		if list := l.due(); len(list) > 0 {
			l.report(list)
		}
		var listed *roster.View
		if !l.replicator.thin.Load() {
			listed = l.state.roster.Load()
		}
		l.withdrawn.Prune(time.Now(), listed)
	}
	return ctx.Err()
}

// due returns the targets to report now.
func (l *leavers) due() (list []peers.LeavingTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.state.roster.Load()
	for leaver, left := range l.reports {
		t := view.Find(leaver.Target)
		switch {
		case t != nil && (t.Started != leaver.Started || t.ListedDraining()), left == 0:
			delete(l.reports, leaver)
			continue
		case len(list) == maxReportedLeavers:
			return list
		case left <= leaverReports:
			list = append(list, leaver)
		}
		l.reports[leaver]--
	}
	return list
}
