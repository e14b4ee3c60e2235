package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// reportInterval is the time between two reports to the coordinator.
	reportInterval = 500 * time.Millisecond
	// housekeepingInterval is the time between two clearings of what is over.
	housekeepingInterval = 2 * time.Second
	// registerRetryDelay is the pause after a row could not be written.
	registerRetryDelay = 500 * time.Millisecond
	// registerTimeout bounds the write of that row: a fleet's rows are written one
	// after the other.
	registerTimeout = 1500 * time.Millisecond
)

// registrar writes this instance's row, by which others find it.
type registrar struct{ *Instance }

// Serve writes the row once, and then has nothing to do.
func (i *registrar) Serve(ctx context.Context) error {
	text, err := json.Marshal(i.peers.Self)
	if err != nil {
		return err
	}
	tx := platform.Transaction{Set: []platform.Write{{
		Table: coordinator.InstanceTable, Key: i.peers.Self.Name, Value: text,
	}}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := i.store.Transact(callCtx, tx)
		cancel()
		if err == nil {
			break
		}
		event.StoreCallFailed.Log(i.log, "call", "introduce", "error", err)
		sleep(ctx, registerRetryDelay/2+rand.N(registerRetryDelay))
	}
	i.registered.Store(true)
	// Whoever came before is read from the store; whoever comes later does the
	// same, and says hello. A list with the row of a former life has all others.
	if i.settings.Bootstrap || !i.awaitInstances(ctx) || i.peers.Find(i.peers.Self.Name).Name == "" {
		i.instances.Refresh()
	}
	<-ctx.Done()
	return ctx.Err()
}

// announcer says hello to all instances known. Those forgot this one when it
// ended the last time, and without them it hears of nothing while the store is
// away, so it does not wait for its row to be written.
type announcer struct{ *Instance }

// helloDelays are the pauses between its hellos: datagrams may get lost, and
// others become known during the first seconds. In a large fleet that starts at
// once each is a datagram from all to all, so there are few.
var helloDelays = []time.Duration{900 * time.Millisecond, 2 * time.Second}

// Serve says hello as soon as others are known, and again while the platform's
// table may not have told them of this instance.
func (g *announcer) Serve(ctx context.Context) error {
	g.awaitInstances(ctx)
	g.peers.Broadcast(&peers.Message{Hello: &g.peers.Self})
	for n, pause := range helloDelays {
		sleep(ctx, pause)
		if n == 0 || !g.registered.Load() {
			g.peers.Broadcast(&peers.Message{Hello: &g.peers.Self})
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reporter tells the coordinator of this instance and its loads.
type reporter struct{ *Instance }

// Serve reports until the context ends.
func (r *reporter) Serve(ctx context.Context) error {
	rounds := 0
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		reports := r.loads.TakeReports()
		if len(reports) == 0 {
			reports = []*peers.Report{{}}
		}
		if rounds++; rounds%latencyReportEvery == 0 {
			reports[0].Latencies = r.targetLatencies()
		}
		lead := r.coordinatorName.Load()
		for _, report := range reports {
			if lead == nil || *lead == r.settings.Instance {
				r.coordinator.ApplyReport(report)
				continue
			}
			r.peers.Send(*lead, &peers.Message{Report: report})
		}
	}
	return ctx.Err()
}

const (
	// latencyReportEvery is how many reports come with speeds.
	latencyReportEvery = 2
	// maxReportedLatencies bounds the speeds in one datagram.
	maxReportedLatencies = 12
)

// targetLatencies returns the speeds of the targets of sharded services.
func (r *reporter) targetLatencies() []peers.TargetLatency {
	table := r.state.routes.Load()
	if table == nil {
		return nil
	}
	var list []peers.TargetLatency
	for _, s := range r.dispatcher.TargetLatencies() {
		if service := table.Service(s.Service); service == nil || !service.Sharded {
			continue
		}
		list = append(list, peers.TargetLatency{Service: s.Service, Target: s.Target, Ms: int(s.Latency.Milliseconds())})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxReportedLatencies)]
}

// receive takes in a datagram.
func (i *Instance) receive(m *peers.Message) {
	if i.broker.Receive(m) || i.replicator.handleMessage(m) {
		return
	}
	if m.Heartbeat != nil && !m.Heartbeat.Resigned {
		i.receiveCoordinatorHeartbeat(m)
	}
	switch {
	case m.AssignmentUpdate != nil:
		i.applyAssignmentUpdate(m.AssignmentUpdate)
	case m.Hello != nil:
		i.peers.Add(*m.Hello)
	case m.Leaving:
		i.peers.Remove(m.From)
	case m.Report != nil && i.peers.Find(m.From).Name == "":
		i.instances.Refresh()
	}
	i.state.recordRevisions(m.From, m.Revisions)
	i.coordinator.Receive(m)
}

// receiveCoordinatorHeartbeat takes in a coordinator's sign of life.
func (i *Instance) receiveCoordinatorHeartbeat(m *peers.Message) {
	wasHeard := i.replicator.coordinatorAlive()
	i.recordCoordinator(m.From, m.Heartbeat.Members)
	if m.Heartbeat.InDoubt {
		// Whoever listens to readers must not rely on its way to the store.
		i.lastHeartbeat.Store(nil)
		return
	}
	if wasHeard || i.replicator.rank() >= readerCount(i.replicator.zoneSize()) {
		return
	}
	// The store answers a coordinator again: what fails at those who read for the
	// zone need not wait longer. The others hear them.
	for _, table := range i.mirrors {
		if table.Failing() {
			table.Refresh()
		}
	}
}

// recordLeading notes that this instance coordinates. While the store does not answer, its
// authority proves nothing of its copies.
func (i *Instance) recordLeading(members int, answers bool) {
	i.recordCoordinator(i.settings.Instance, members)
	if !answers {
		i.lastHeartbeat.Store(nil)
	}
}

// recordCoordinator notes who coordinates, and how many instances report to it.
func (i *Instance) recordCoordinator(name string, members int) {
	now := time.Now()
	i.coordinatorName.Store(&name)
	i.lastHeartbeat.Store(&now)
	i.memberCount.Store(int64(members))
}

// applyAssignmentUpdate lays a recorded change over the assignment that it is a change of.
func (i *Instance) applyAssignmentUpdate(n *peers.AssignmentUpdate) {
	next, known := i.state.withUpdate(n)
	if known {
		return
	}
	if next == nil {
		if !i.replicator.passive.Load() {
			i.assignments.Refresh()
		}
		// A listener asks a reader, once the next beat shows that it is behind.
		return
	}
	i.state.setAssignment(n.Service, next, n.Revision)
	i.assignments.ApplyRow(platform.Row{Table: coordinator.AssignmentTable, Key: n.Service, Revision: n.Revision})
}

// housekeeper forgets targets that are gone.
type housekeeper struct{ *Instance }

// Serve looks after it until the context ends.
func (h *housekeeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, housekeepingInterval)
		h.pools.Prune(h.state.roster.Load())
		h.dispatcher.Prune()
	}
	return ctx.Err()
}

// readinessHandler answers the platform's question.
func (i *Instance) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusServiceUnavailable
		switch {
		case r.URL.Path != platform.ReadyPath:
			status = http.StatusNotFound
		case i.Ready():
			status = http.StatusOK
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(status)
	})
}

// metricsHandler serves what monitoring asks for.
func (i *Instance) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	if i.settings.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}
