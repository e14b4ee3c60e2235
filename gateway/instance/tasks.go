package instance

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	reportInterval       = 500 * time.Millisecond
	housekeepingInterval = 2 * time.Second
	registerRetryDelay   = 500 * time.Millisecond
	// registerTimeout bounds the write of this instance's row: the store writes the
	// rows of a fleet one after the other.
	registerTimeout = 1500 * time.Millisecond
)

// registrar writes this instance's row to the store, by which other instances find it. Thin
// instances have none: they send their hubs a hello.
type registrar struct{ *Instance }

// Serve writes the row, unless this instance is thin, and then waits until the context
// ends.
func (r *registrar) Serve(ctx context.Context) error {
	if r.settings.Bootstrap {
		r.awaitStrongerInstances(ctx)
	}
	if (r.settings.Bootstrap || r.awaitInstances(ctx)) && r.peers.SelfIsThin() {
		r.registered.Store(true)
		<-ctx.Done()
		return ctx.Err()
	}
	if err := r.writeRow(ctx); err != nil {
		return err
	}
	r.registered.Store(true)
	// Instances that registered earlier are read from the store; later ones do the
	// same and announce themselves. A list that has the row of an earlier
	// incarnation of this instance is complete.
	if r.settings.Bootstrap || !r.awaitInstances(ctx) || r.peers.Find(r.peers.Self.Name).Name == "" {
		r.instances.Refresh()
	}
	if r.settings.Bootstrap {
		r.readLateRows(ctx)
	}
	<-ctx.Done()
	return ctx.Err()
}

// writeRow writes the row, retrying until it is stored or the context ends.
func (r *registrar) writeRow(ctx context.Context) error {
	row, err := json.Marshal(r.peers.Self)
	if err != nil {
		return err
	}
	tx := platform.Transaction{Set: []platform.Write{{
		Table: coordinator.InstanceTable, Key: r.peers.Self.RowKey(), Value: row,
	}}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := r.store.Transact(callCtx, tx)
		cancel()
		if err == nil {
			return nil
		}
		event.StoreCallFailed.Log(r.log, "call", "introduce", "error", err)
		sleep(ctx, registerRetryDelay/2+rand.N(registerRetryDelay))
	}
	return ctx.Err()
}

// helloRelays is how many instances of another zone get a hello and relay it to their zone.
// When a large fleet starts, hellos from all to all would fill the links between regions.
const helloRelays = 3

// sendHello sends this instance's description to its zone, and to other zones, directly if
// they are small and by relays otherwise.
func (a *announcer) sendHello() {
	zones := map[string]bool{}
	for _, i := range a.peers.All() {
		zones[i.Zone] = true
	}
	var to []string
	thin := a.replicator.thin.Load()
	for zone := range zones {
		list := a.peers.Hubs(zone)
		switch own := zone == a.settings.Zone; {
		case thin && !own:
			continue
		case own && !thin:
			list = a.peers.Zone(zone)
		case !own && len(list) > maxSingleReaderZone:
			list = list[:helloRelays]
		}
		for _, i := range list {
			if i.Name != a.settings.Instance {
				to = append(to, i.Name)
			}
		}
	}
	a.peers.SendAll(to, &peers.Message{Hello: &a.peers.Self})
}

// receiveHello adds an instance to the list. A hello that came from the instance itself and
// changed the list is relayed: to the hubs if it is another zone's, and to the thin instances,
// by the zone's feed readers, if it is a hub's. A thin instance gets the hubs' from these: it may
// have read the rows before all of them were written.
func (i *Instance) receiveHello(m *peers.Message) {
	if !i.peers.Add(*m.Hello) {
		return
	}
	if !i.replicator.thin.Load() {
		i.quarantiner.introduce(m.Hello.Name)
		i.limiter.introduce(m.Hello.Name)
	}
	own := m.Hello.Zone == i.settings.Zone
	switch {
	case i.replicator.thin.Load() && own:
		// A hub that has restarted does not list this instance.
		i.peers.Send(m.Hello.Name, &peers.Message{Hello: &i.peers.Self})
	case m.From != m.Hello.Name:
	case !own && i.replicator.zoneSize() > maxSingleReaderZone:
		i.replicator.sendToHubs(&peers.Message{Hello: m.Hello})
	case !own || i.replicator.passive.Load():
	case i.replicator.isHub(m.Hello.Name):
		i.replicator.sendToThin(&peers.Message{Hello: m.Hello})
	default:
		i.replicator.introduceHubs(m.Hello.Name)
	}
}

// announcer sends a hello to all listed instances. They removed this one when its
// last incarnation ended, and it receives no updates from them until they list it
// again. It does not wait for its row to be written: the store may be unreachable.
type announcer struct{ *Instance }

// helloDelays are the pauses before the hello is repeated: datagrams may get lost, and
// other instances are added to the list during the first seconds. In a large fleet that
// starts at once each repetition is a datagram from all to all, so there are few.
var helloDelays = []time.Duration{900 * time.Millisecond, 2 * time.Second}

// Serve sends the hello once the list of instances has arrived, repeats it once, and
// again if this instance's row is still not in the store.
func (a *announcer) Serve(ctx context.Context) error {
	a.awaitInstances(ctx)
	a.sendHello()
	for n, delay := range helloDelays {
		sleep(ctx, delay)
		if n == 0 || !a.registered.Load() {
			a.sendHello()
		}
	}
	for ctx.Err() == nil {
		sleep(ctx, thinHelloInterval)
		if a.replicator.thin.Load() {
			a.sendHello()
		}
	}
	return ctx.Err()
}

// thinHelloInterval is the time between the hellos of a thin instance: it has no row by which
// a hub that missed one could find it.
const thinHelloInterval = 2 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reporter sends the coordinator this instance's loads. The reports also count
// the instance as a member.
type reporter struct {
	*Instance
	// selection chooses the speeds to report, and reportedTo is the coordinator that got the last ones.
	selection  speed.Selection
	reportedTo string
}

// Serve sends reports until the context ends. While the coordinator is unknown or
// this instance coordinates, they go to the local coordinator.
func (r *reporter) Serve(ctx context.Context) error {
	rounds := 0
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		reports := r.loads.TakeReports()
		if len(reports) == 0 {
			reports = []*peers.Report{{}}
		}
		if r.replicator.thin.Load() {
			r.reportToHub(reports)
			continue
		}
		members := r.replicator.countThin(time.Now())
		for _, report := range reports {
			report.Members = members
		}
		if rounds++; rounds%latencyReportEvery == 0 {
			reports[0].Latencies = r.targetLatencies()
			if r.features.Speeds {
				reports = append(reports, r.speedReport(time.Now(), members)...)
			}
		}
		if list := r.quarantiner.unrepeated(time.Now()); len(list) > 0 {
			reports = append(reports, &peers.Report{Quarantined: list})
		}
		name := r.coordinatorName.Load()
		for _, report := range reports {
			if name == nil || *name == r.settings.Instance {
				r.coordinator.ApplyReport(report)
				continue
			}
			r.peers.Send(*name, &peers.Message{Report: report})
		}
	}
	return ctx.Err()
}

// reportToHub sends the reports to a hub of the zone, which passes the loads on.
func (r *reporter) reportToHub(reports []*peers.Report) {
	hubs := r.peers.Hubs(r.settings.Zone)
	if len(hubs) == 0 {
		return
	}
	hub := hubs[r.replicator.nameHash()%uint64(len(hubs))]
	for _, report := range reports {
		report.Thin = true
		r.peers.Send(hub.Name, &peers.Message{Report: report})
	}
}

const (
	// latencyReportEvery is the number of report rounds per round with latencies.
	latencyReportEvery = 2
	// maxReportedLatencies bounds the latencies in one datagram.
	maxReportedLatencies = 12
)

// targetLatencies returns those of a random selection of sharded services' targets.
func (r *reporter) targetLatencies() []peers.TargetLatency {
	routes := r.state.routes.Load()
	if routes == nil {
		return nil
	}
	var list []peers.TargetLatency
	for _, l := range r.dispatcher.TargetLatencies() {
		if service := routes.Service(l.Service); service == nil || !service.Sharded {
			continue
		}
		list = append(list, peers.TargetLatency{Service: l.Service, Target: l.Target, Ms: int(l.Latency.Milliseconds())})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxReportedLatencies)]
}

// maxReportedSpeeds bounds the speeds in one datagram.
const maxReportedSpeeds = 36

// speedReport returns a report with the speeds of sharded services' targets that the coordinator should
// get next, if there are any.
func (r *reporter) speedReport(now time.Time, members int) []*peers.Report {
	routes := r.state.routes.Load()
	if routes == nil {
		return nil
	}
	if name := r.coordinatorName.Load(); name != nil && *name != r.reportedTo {
		r.reportedTo = *name
		r.selection.Reset()
	}
	var estimates []speed.Estimate
	for name, list := range r.dispatcher.SpeedEstimates() {
		if service := routes.Service(name); service != nil && service.Sharded {
			estimates = append(estimates, list...)
		}
	}
	report := &peers.Report{Members: members}
	for _, e := range r.selection.Take(now, estimates, maxReportedSpeeds) {
		report.Speeds = append(report.Speeds, peers.TargetSpeed{
			Target: e.Target.ID, Started: e.Target.Started, Us: int64(math.Round(e.Seconds * 1e6)), Answers: int64(e.Answers),
		})
	}
	if len(report.Speeds) == 0 {
		return nil
	}
	return []*peers.Report{report}
}

// takeKnownSpeeds takes what the coordinator tells this instance of targets that it schedules.
func (i *Instance) takeKnownSpeeds(known []peers.TargetSpeed) {
	if !i.features.Speeds {
		return
	}
	view := i.state.roster.Load()
	services := map[string]map[roster.Incarnation]float64{}
	for _, k := range known {
		t := view.Find(k.Target)
		if t == nil || t.Started != k.Started || k.Answers != 0 {
			continue
		}
		if services[t.Service] == nil {
			services[t.Service] = map[roster.Incarnation]float64{}
		}
		services[t.Service][t.Incarnation()] = float64(k.Us) / 1e6
	}
	for service, slowness := range services {
		i.dispatcher.SetKnownSlowness(service, slowness)
	}
}

func (i *Instance) receive(m *peers.Message) {
	if i.broker.Receive(m) || i.replicator.handleMessage(m) || i.quarantiner.handleMessage(m) || i.limiter.handleMessage(m) || i.leavers.handleMessage(m) {
		return
	}
	if m.Heartbeat != nil && i.replicator.thin.Load() {
		return
	}
	if m.Heartbeat != nil && !m.Heartbeat.Resigned {
		i.receiveCoordinatorHeartbeat(m)
	}
	switch {
	case m.AssignmentUpdate != nil:
		i.applyAssignmentUpdate(m.AssignmentUpdate)
	case m.Hello != nil:
		i.receiveHello(m)
	case m.Leaving:
		i.peers.Remove(m.From)
	case m.Report != nil && i.takeReport(m):
		return
	}
	i.state.recordRevisions(m.From, m.Revisions)
	i.coordinator.Receive(m)
}

// takeReport handles an instance's report, and reports whether the coordinator does not need it: a
// thin instance's loads are passed on with those of this one.
func (i *Instance) takeReport(m *peers.Message) bool {
	i.quarantiner.merge(time.Now(), m.Report.Quarantined)
	if speeds := m.Report.Speeds; len(speeds) > 0 && speeds[0].Answers == 0 {
		i.takeKnownSpeeds(speeds)
		return true
	}
	if !m.Report.Thin {
		if i.peers.Find(m.From).Name == "" {
			i.instances.Refresh()
		}
		return false
	}
	i.replicator.recordThin(m.From)
	if i.replicator.isCoordinator() {
		return false
	}
	i.loads.AddReport(m.Report)
	return true
}

func (i *Instance) receiveCoordinatorHeartbeat(m *peers.Message) {
	wasAlive := i.replicator.coordinatorAlive()
	i.recordCoordinator(m.From, m.Heartbeat.Members)
	i.quarantiner.receiveHeartbeat(m.Heartbeat.Quarantined)
	if m.Heartbeat.InDoubt {
		// The coordinator's connection to the store confirms nothing any more.
		i.lastHeartbeat.Store(nil)
		return
	}
	if wasAlive || i.replicator.rank() >= readerCount(i.replicator.zoneSize()) {
		return
	}
	// The store answers a coordinator again, so the zone's feed readers end their
	// retry pauses. Passive instances receive their updates.
	for _, t := range i.mirrors {
		if t.Failing() {
			t.Refresh()
		}
	}
}

// recordLeading records that this instance coordinates. While the store does not
// answer, its lease does not confirm that its mirrors are fresh.
func (i *Instance) recordLeading(members int, storeAnswers bool) {
	i.recordCoordinator(i.settings.Instance, members)
	if !storeAnswers {
		i.lastHeartbeat.Store(nil)
	}
}

// recordCoordinator records a heartbeat; members is the number of instances that report.
func (i *Instance) recordCoordinator(name string, members int) {
	now := time.Now()
	i.coordinatorName.Store(&name)
	i.lastHeartbeat.Store(&now)
	i.coordinatorHeard.Store(&now)
	i.memberCount.Store(int64(members))
	i.mostMembers.record(now, members)
}

// applyAssignmentUpdate applies an update of an assignment that was recorded in the
// store. If its base is missing here, the assignments are read from the store.
func (i *Instance) applyAssignmentUpdate(u *peers.AssignmentUpdate) {
	next, handled := i.state.withUpdate(u)
	if handled {
		return
	}
	if next == nil {
		if !i.replicator.passive.Load() {
			i.assignments.Refresh()
		}
		// A passive instance fetches it from a feed reader, once the next heartbeat
		// shows that its mirror is behind.
		return
	}
	i.state.setAssignment(u.Service, next, u.Revision)
	i.assignments.ApplyRow(platform.Row{Table: coordinator.AssignmentTable, Key: u.Service, Revision: u.Revision})
}

type housekeeper struct{ *Instance }

// Serve drops the connections and the state of ended targets and instances until the context ends.
func (h *housekeeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, housekeepingInterval)
		if h.replicator.thin.Load() {
			h.pools.PruneUnused(time.Now())
		} else {
			h.pools.Prune(h.state.roster.Load())
		}
		h.forwarder.Prune(time.Now())
		h.dispatcher.Prune()
		h.state.targetLines.flush(h.log, time.Now())
	}
	return ctx.Err()
}

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
