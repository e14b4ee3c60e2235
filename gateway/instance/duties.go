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
	// reportEvery is the time between two reports to the coordinator.
	reportEvery = 500 * time.Millisecond
	// housekeepEvery is the time between two clearings of what is over.
	housekeepEvery = 2 * time.Second
	// introduceRetry is the pause after a row could not be written.
	introduceRetry = 500 * time.Millisecond
	// introduceTimeout bounds the write of that row: a fleet's rows are written one
	// after the other.
	introduceTimeout = 1500 * time.Millisecond
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
		callCtx, cancel := context.WithTimeout(ctx, introduceTimeout)
		_, err := i.store.Transact(callCtx, tx)
		cancel()
		if err == nil {
			break
		}
		event.StoreCallFailed.Log(i.log, "call", "introduce", "error", err)
		sleep(ctx, introduceRetry/2+rand.N(introduceRetry))
	}
	i.registered.Store(true)
	// Whoever came before is read from the store; whoever comes later does the
	// same, and says hello. A list with the row of a former life has all others.
	if i.settings.Bootstrap || !i.awaitInstances(ctx) || i.peers.Find(i.peers.Self.Name).Name == "" {
		i.instances.Again()
	}
	<-ctx.Done()
	return ctx.Err()
}

// announcer says hello to all instances known. Those forgot this one when it
// ended the last time, and without them it hears of nothing while the store is
// away, so it does not wait for its row to be written.
type announcer struct{ *Instance }

// helloAgain are the pauses between its hellos: datagrams may get lost, and
// others become known during the first seconds. In a large fleet that starts at
// once each is a datagram from all to all, so there are few.
var helloAgain = []time.Duration{900 * time.Millisecond, 2 * time.Second}

// Serve says hello as soon as others are known, and again while the platform's
// table may not have told them of this instance.
func (g *announcer) Serve(ctx context.Context) error {
	g.awaitInstances(ctx)
	g.peers.Broadcast(&peers.Message{Hello: &g.peers.Self})
	for n, pause := range helloAgain {
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
		sleep(ctx, reportEvery)
		reports := r.loads.TakeReports()
		if len(reports) == 0 {
			reports = []*peers.Report{{}}
		}
		if rounds++; rounds%speedsEvery == 0 {
			reports[0].Speeds = r.speeds()
		}
		lead := r.lead.Load()
		for _, report := range reports {
			if lead == nil || *lead == r.settings.Instance {
				r.coordinator.TakeLoads(report)
				continue
			}
			r.peers.Send(*lead, &peers.Message{Report: report})
		}
	}
	return ctx.Err()
}

const (
	// speedsEvery is how many reports come with speeds.
	speedsEvery = 2
	// speedsAtOnce bounds the speeds in one datagram.
	speedsAtOnce = 12
)

// speeds returns the speeds of the targets of sharded services.
func (r *reporter) speeds() []peers.Speed {
	table := r.state.table.Load()
	if table == nil {
		return nil
	}
	var list []peers.Speed
	for _, s := range r.dispatcher.Speeds() {
		if service := table.Service(s.Service); service == nil || !service.Sharded {
			continue
		}
		list = append(list, peers.Speed{Service: s.Service, Target: s.Target, Ms: int(s.Latency.Milliseconds())})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), speedsAtOnce)]
}

// receive takes in a datagram.
func (i *Instance) receive(m *peers.Message) {
	if i.broker.Receive(m) || i.replicator.receive(m) {
		return
	}
	if m.Beat != nil && !m.Beat.Resigned {
		i.takeBeat(m)
	}
	switch {
	case m.News != nil:
		i.takeNews(m.News)
	case m.Hello != nil:
		i.peers.Add(*m.Hello)
	case m.Bye:
		i.peers.Remove(m.From)
	case m.Report != nil && i.peers.Find(m.From).Name == "":
		i.instances.Again()
	}
	i.state.noteRevisions(m.From, m.Revisions)
	i.coordinator.Hear(m)
}

// takeBeat takes in a coordinator's sign of life.
func (i *Instance) takeBeat(m *peers.Message) {
	wasHeard := i.replicator.hearsCoordinator()
	i.noteLead(m.From, m.Beat.Members)
	if m.Beat.InDoubt {
		// Whoever listens to readers must not rely on its way to the store.
		i.beatAt.Store(nil)
		return
	}
	if wasHeard || i.replicator.rank() >= readersOf(i.replicator.zoneSize()) {
		return
	}
	// The store answers a coordinator again: what fails at those who read for the
	// zone need not wait longer. The others hear them.
	for _, table := range i.mirrors {
		if table.Failing() {
			table.Again()
		}
	}
}

// leads notes that this instance coordinates. While the store does not answer, its
// authority proves nothing of its copies.
func (i *Instance) leads(members int, answers bool) {
	i.noteLead(i.settings.Instance, members)
	if !answers {
		i.beatAt.Store(nil)
	}
}

// noteLead notes who coordinates, and how many instances report to it.
func (i *Instance) noteLead(name string, members int) {
	now := time.Now()
	i.lead.Store(&name)
	i.beatAt.Store(&now)
	i.members.Store(int64(members))
}

// takeNews lays a recorded change over the assignment that it is a change of.
func (i *Instance) takeNews(n *peers.News) {
	next, known := i.state.changed(n)
	if known {
		return
	}
	if next == nil {
		if !i.replicator.listens.Load() {
			i.assignments.Again()
		}
		// A listener asks a reader, once the next beat shows that it is behind.
		return
	}
	i.state.putAssignment(n.Service, next, n.Revision)
	i.assignments.Inject(platform.Row{Table: coordinator.AssignmentTable, Key: n.Service, Revision: n.Revision})
}

// rowCollector forgets targets that are gone.
type rowCollector struct{ *Instance }

// Serve looks after it until the context ends.
func (h *rowCollector) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, housekeepEvery)
		h.pools.Prune(h.state.roster.Load())
		h.dispatcher.Forget()
	}
	return ctx.Err()
}

// readiness answers the platform's question.
func (i *Instance) readiness() http.Handler {
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

// metrics serves what monitoring asks for.
func (i *Instance) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	if i.settings.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}
