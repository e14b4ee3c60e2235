package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/fleet"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// reportEvery is the time between two reports to the coordinator.
	reportEvery = 500 * time.Millisecond
	// housekeepEvery is the time between two clearings of what is over.
	housekeepEvery = 2 * time.Second
	// catchUpEvery is how often copies are compared with what others told.
	catchUpEvery = 250 * time.Millisecond
	// behindFor is how long a copy may be behind others before something is
	// done: usually the feed brings the news a moment later.
	behindFor = 300 * time.Millisecond
	// askTimeout bounds a call to another instance.
	askTimeout = 800 * time.Millisecond
	// introduceRetry is the pause after a row could not be written.
	introduceRetry = 500 * time.Millisecond
	// introduceTimeout bounds the write of that row.
	introduceTimeout = 1500 * time.Millisecond
)

// introducer writes this instance's row, by which others find it.
type introducer struct{ *Instance }

// Serve writes the row once, and then has nothing to do.
func (i *introducer) Serve(ctx context.Context) error {
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
	// Whoever came before is read from the store; whoever comes later does the
	// same, and says hello.
	i.instances.Again()
	<-ctx.Done()
	return ctx.Err()
}

// greeter says hello to all instances known. Those forgot this one when it
// ended the last time, and without them it hears of nothing while the store is
// away, so it does not wait for its row to be written.
type greeter struct{ *Instance }

// helloAfter are the pauses between its words: datagrams may get lost, and
// others become known during the first seconds. In a large fleet that starts at
// once each word is a datagram from all to all, so there are few.
var helloAfter = []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second}

// Serve says hello a few times.
func (g *greeter) Serve(ctx context.Context) error {
	for _, pause := range helloAfter {
		sleep(ctx, pause)
		g.peers.Broadcast(&peers.Message{Hello: &g.peers.Self})
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
		reports := r.loads.Take()
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
	if i.broker.Receive(m) || i.sharer.receive(m) {
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
	case m.Report != nil && i.peers.All()[m.From].Name == "":
		i.instances.Again()
	}
	i.state.noteRevisions(m.From, m.Revisions)
	i.coordinator.Hear(m)
}

// takeBeat takes in a coordinator's sign of life.
func (i *Instance) takeBeat(m *peers.Message) {
	wasHeard := i.sharer.hearsCoordinator()
	i.noteLead(m.From, m.Beat.Members)
	if m.Beat.InDoubt {
		// Whoever listens to readers must not rely on its way to the store.
		i.beatAt.Store(nil)
		return
	}
	if wasHeard {
		return
	}
	// The store answers a coordinator again: what fails need not wait longer.
	for _, table := range i.mirrors {
		if table.Failing() {
			table.Again()
		}
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
		if !i.sharer.listens.Load() {
			i.assignments.Again()
		}
		// A listener asks a reader, once the next beat shows that it is behind.
		return
	}
	text, err := json.Marshal(next)
	if err != nil {
		event.RowUnusable.Log(i.log, "table", coordinator.AssignmentTable, "key", n.Service, "revision", n.Revision, "error", err)
		return
	}
	i.assignments.Inject(platform.Row{Table: coordinator.AssignmentTable, Key: n.Service, Value: text, Revision: n.Revision})
}

// told is what another instance said about how far its copies go.
type told struct {
	from      string
	revisions map[string]uint64
}

func (s *state) noteRevisions(from string, revisions map[string]uint64) {
	if revisions == nil {
		return
	}
	s.told.Store(&told{from, revisions})
}

// catchUp looks after copies that are behind others, or that the store does
// not serve.
type catchUp struct{ *Instance }

// Serve compares until the context ends.
func (c *catchUp) Serve(ctx context.Context) error {
	tick := time.NewTicker(catchUpEvery)
	defer tick.Stop()
	behind := map[string]time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-c.sharer.fetches:
			c.ask(ctx, c.peers.All()[f.from].Control, []*mirror.Mirror{f.of})
		case <-tick.C:
			if wanted := c.wanted(time.Now(), behind); len(wanted) > 0 {
				c.fetch(ctx, wanted)
			}
		}
	}
	return ctx.Err()
}

// wanted returns the copies that are to be asked for. Behind is since when each
// table's copy is behind.
func (c *catchUp) wanted(now time.Time, behind map[string]time.Time) (wanted []*mirror.Mirror) {
	for _, m := range c.mirrors {
		if !c.isBehind(m) {
			delete(behind, m.Table)
			continue
		}
		since, ok := behind[m.Table]
		switch {
		case !ok:
			behind[m.Table] = now
			if m.OnDemand && !c.sharer.listens.Load() {
				m.Again()
			}
		case now.Sub(since) >= behindFor, m.OnDemand && c.aheadOf(m) != "":
			behind[m.Table] = now
			wanted = append(wanted, m)
		}
	}
	return wanted
}

// aheadOf returns the address of a reader of the zone that has what others have
// told of a table; empty if there is none, or if this instance does not listen.
func (c *catchUp) aheadOf(m *mirror.Mirror) string {
	t := c.state.told.Load()
	if t == nil || !c.sharer.listens.Load() {
		return ""
	}
	return c.peers.All()[c.sharer.readerAhead(m.Table, t.revisions[m.Table])].Control
}

// isBehind tells of a copy that was never read, or that another instance has
// newer news of.
func (c *catchUp) isBehind(m *mirror.Mirror) bool {
	if m.Failing() && m.Newest() == 0 {
		return true
	}
	t := c.state.told.Load()
	return t != nil && t.revisions[m.Table] > m.Newest()
}

// fetch asks another instance for its copies. A reader of the zone that has them
// goes first: nothing is paid then. Without one the feeds are begun anew too.
func (c *catchUp) fetch(ctx context.Context, wanted []*mirror.Mirror) {
	var rest []*mirror.Mirror
	for _, m := range wanted {
		if near := c.aheadOf(m); near != "" {
			c.ask(ctx, near, []*mirror.Mirror{m})
			continue
		}
		// Also while it fails: a call that the store took while it was silent
		// is never answered, and is given up by this.
		m.Again()
		rest = append(rest, m)
	}
	if len(rest) > 0 {
		c.ask(ctx, c.askWhom(), rest)
	}
}

// ask asks the instance at an address for its copies.
func (c *catchUp) ask(ctx context.Context, address string, wanted []*mirror.Mirror) {
	if address == "" {
		return
	}
	request := &fleet.StateRequest{}
	for _, m := range wanted {
		request.Tables = append(request.Tables, m.Table)
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := fleet.NewFleetProtobufClient("http://"+address, c.calls).State(callCtx, request)
	if err != nil {
		event.StoreCallFailed.Log(c.log, "call", "state of "+address, "error", err)
		return
	}
	for _, t := range answer.Tables {
		c.take(t, address)
	}
}

// askWhom names an instance: the one that told of newer copies, or any of the
// nearest that are known; without any, a seed. Bytes between zones and regions
// are paid.
func (c *catchUp) askWhom() string {
	all := c.peers.All()
	if t := c.state.told.Load(); t != nil && all[t.from].Control != "" {
		return all[t.from].Control
	}
	var tiers [3][]string
	for name, p := range all {
		if name != c.settings.Instance {
			n := c.distance(p.Zone)
			tiers[n] = append(tiers[n], p.Control)
		}
	}
	for _, s := range c.tunable.Load().Seeds {
		if s != c.settings.ControlListen {
			tiers[2] = append(tiers[2], s)
		}
	}
	for _, addresses := range tiers {
		if len(addresses) > 0 {
			return addresses[rand.N(len(addresses))]
		}
	}
	return ""
}

// distance of a zone: 0 is this instance's own, 1 is of its region, 2 another.
func (c *catchUp) distance(zone string) int {
	switch {
	case zone == c.settings.Zone:
		return 0
	case c.settings.Regions[zone] == c.settings.Region:
		return 1
	}
	return 2
}

func (c *catchUp) take(t *fleet.Table, from string) {
	for _, m := range c.mirrors {
		if m.Table != t.Name {
			continue
		}
		s := mirror.State{Table: t.Name, Revision: t.Revision}
		for _, r := range t.Rows {
			s.Rows = append(s.Rows, platform.Row{Table: t.Name, Key: r.Key, Value: r.Value, Revision: r.Revision})
		}
		if m.Offer(s) {
			event.PeerStateTaken.Log(c.log, "table", t.Name, "revision", t.Revision, "rows", len(t.Rows), "from", from)
		}
	}
}

// State gives this instance's copies to another one.
func (i *Instance) State(_ context.Context, r *fleet.StateRequest) (*fleet.StateResponse, error) {
	answer := &fleet.StateResponse{}
	for _, name := range r.Tables {
		for _, m := range i.mirrors {
			if m.Table != name {
				continue
			}
			s, loaded := m.State()
			if !loaded {
				continue
			}
			t := &fleet.Table{Name: name, Revision: s.Revision}
			for _, row := range s.Rows {
				t.Rows = append(t.Rows, &fleet.Row{Key: row.Key, Value: row.Value, Revision: row.Revision})
			}
			answer.Tables = append(answer.Tables, t)
		}
	}
	return answer, nil
}

// housekeeper forgets targets that are gone.
type housekeeper struct{ *Instance }

// Serve looks after it until the context ends.
func (h *housekeeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, housekeepEvery)
		h.lanes.Keep(h.state.roster.Load())
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
	return mux
}
