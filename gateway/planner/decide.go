package planner

import (
	"context"
	"strings"
	"sync"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/audit"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/plan"
	"basilcross.example/basilcross/platform"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/evictor"
	"golang.org/x/sync/errgroup"
)

// planServices plans every service and writes what changes in one transaction.
func (d *Planner) planServices(ctx context.Context) {
	doc := d.View.Load().Config
	if doc == nil || d.instances == nil {
		return
	}
	now := time.Now()
	evicted := d.advanceEvictions(ctx)
	balance := now.Sub(d.balancedAt) >= balanceInterval
	if balance {
		d.balancedAt = now
	}
	b := &batch{planner: d, tx: table.Transaction{Token: d.NewToken()}, splits: map[string][]plan.Split{}, merges: map[string][]plan.Merge{}}
	for _, service := range doc.Services {
		in := d.planInput(now, doc, service, evicted)
		in.Balance = balance
		decision := plan.Next(d.deltaLog(service.Name).Current(), in)
		if decision.Next == nil {
			continue
		}
		if err := b.add(ctx, decision, evicted); err != nil {
			d.Log.Error("plan", "service", service.Name, "error", err)
			return
		}
	}
	for name := range evicted {
		if err := b.addEviction(now, d.zoneSeats[name]); err != nil {
			d.Log.Error("evict", "zone", name, "error", err)
			return
		}
	}
	if len(b.tx.Puts) > 0 {
		b.write(ctx)
	}
}

// advanceEvictions works on the eviction of zones whose seat nobody renews or takes
// over, and returns those for which it is complete.
func (d *Planner) advanceEvictions(ctx context.Context) map[string]bool {
	lost := map[string]bool{}
	var none sync.Mutex
	for name, z := range d.zoneSeats {
		r, _ := z.Record()
		d.applyHints(name, z)
		suspect := z.HasHint() || z.UnchangedFor(time.Now()) >= evictor.SuspectAfter
		if r.Holder == "" || !suspect || d.leaderAlive(name) {
			continue
		}
		complete := d.Evictor.Step(ctx, &none, z, d.otherSeats(name))
		if complete && time.Since(z.TableLeaseEnd()) > zoneEvictionDelay {
			lost[name] = true
		}
	}
	return lost
}

// applyHints passes on what the zone's leader said of its seat.
func (d *Planner) applyHints(zone string, z *seat.Seat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hints[zone]; h != nil {
		z.SetHints(h.Clone())
	}
}

// leaderAlive tells whether the zone's leader has given a sign of life lately.
func (d *Planner) leaderAlive(zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.lastHeartbeat(zone)) <= heartbeatTimeout
}

func (d *Planner) otherSeats(zone string) []seat.Record {
	var others []seat.Record
	for name, z := range d.zoneSeats {
		if r, _ := z.Record(); name != zone {
			others = append(others, r)
		}
	}
	return others
}

// planInput gathers what a decision about a service rests on.
func (d *Planner) planInput(now time.Time, doc *config.Document, service config.Service, evicted map[string]bool) plan.Input {
	d.mu.Lock()
	defer d.mu.Unlock()
	in := plan.Input{
		Sharded:       service.Sharded,
		InitialShards: service.InitialShards(),
		ListComplete:  true,
		Draining:      map[string]bool{},
		EvictedZones:  evicted,
		LedZones:      map[string]bool{},
		StartupDone:   now.Sub(d.planningSince) > startupDelay,
		Loads:         d.loads.ratesOf(service.Name, now),
		LoadWindow:    loadWindow.Seconds(),
		HotKeys:       d.hot.top(service.Name),
	}
	for _, i := range d.instances {
		if i.Role != platform.TargetRole || i.Service != service.Name {
			continue
		}
		in.Listed = append(in.Listed, plan.ListedTarget{Target: listedTarget(i), Leaving: i.Leaving})
		rules := doc.Resolve(config.Scope{Service: i.Service, Zone: i.Zone, Target: i.ID}, now)
		in.Draining[i.ID] = *rules.Drain
	}
	reached := ^uint64(0)
	for name, r := range d.reports {
		if now.Sub(r.receivedAt) > maxReportAge || evicted[name] {
			continue
		}
		in.LedZones[name] = true
		in.Released = append(in.Released, decodeReleases(r.req.GetReleased())...)
		in.Returned = append(in.Returned, decodeReleases(r.req.GetReturned())...)
		in.Drained = append(in.Drained, decodeDrains(r.req.GetDrained())...)
		reached = min(reached, knownVersion(r.req.GetReached(), service.Name))
	}
	in.QuietVersion = d.quietVersionOf(now, service.Name, d.reachedByAllZones(in.LedZones, reached), doc)
	return in
}

// reachedByAllZones is zero while a zone whose gateways may have authority has
// not reported.
func (d *Planner) reachedByAllZones(led map[string]bool, reached uint64) uint64 {
	for name, z := range d.zoneSeats {
		if r, _ := z.Record(); r.Holder != "" && !led[name] {
			return 0
		}
	}
	return reached
}

func (d *Planner) quietVersionOf(now time.Time, service string, reached uint64, doc *config.Document) uint64 {
	q, ok := d.quietVersions[service]
	if !ok {
		q = &quietVersion{}
		d.quietVersions[service] = q
	}
	return q.record(now, reached, longestDeadline(doc, service, now)+pauseMargin)
}

func listedTarget(i platform.Instance) assignment.Target {
	return assignment.Target{
		ID:      i.ID,
		Service: i.Service,
		Zone:    i.Zone,
		Region:  i.Region,
		Address: i.Address,
		Fenced:  i.Fenced,
		Slots:   i.Slots,
	}
}

func decodeReleases(releases []*control.Release) []zone.Release {
	out := make([]zone.Release, 0, len(releases))
	for _, r := range releases {
		out = append(out, zone.Release{Target: r.GetTarget(), Generation: r.GetGeneration()})
	}
	return out
}

func decodeDrains(drains []*control.Drain) []zone.Drain {
	out := make([]zone.Drain, 0, len(drains))
	for _, r := range drains {
		out = append(out, zone.Drain{Service: r.GetService(), First: r.GetFirst(), Epoch: r.GetEpoch(), Version: r.GetVersion()})
	}
	return out
}

func knownVersion(known []*control.Known, name string) uint64 {
	for _, k := range known {
		if k.GetName() == name {
			return k.GetVersion()
		}
	}
	return 0
}

// batch is one transaction with the decisions of all services.
type batch struct {
	planner  *Planner
	tx       table.Transaction
	services []string
	causes   []string
	splits   map[string][]plan.Split
	merges   map[string][]plan.Merge
	evicted  []*seat.Seat
}

func (b *batch) add(ctx context.Context, decision plan.Decision, evicted map[string]bool) error {
	service := decision.Next.Service
	tx, err := b.planner.deltaLog(service).PrepareAppend(ctx, decision.Next, b.tx.Token)
	if err != nil {
		return err
	}
	b.tx.Puts = append(b.tx.Puts, tx.Puts...)
	b.tx.Conditions = append(b.tx.Conditions, tx.Conditions...)
	for _, name := range decision.Zones {
		if !evicted[name] {
			b.requireTerm(name)
		}
	}
	b.services = append(b.services, service)
	b.splits[service] = decision.Splits
	b.merges[service] = decision.Merges
	b.causes = append(b.causes, service+": "+strings.Join(decision.Causes, ", "))
	return nil
}

// requireTerm makes the write depend on the zone's leader still being the one
// that reported. The failure: a leader reports a target as released and loses
// its seat; the next leader, who knows nothing of that, renews the target
// while this write gives its shards away. With the condition one of the two
// sees the other: the write fails, or the new leader reads the new assignment.
func (b *batch) requireTerm(zone string) {
	b.planner.mu.Lock()
	version := b.planner.reports[zone].req.GetTermVersion()
	b.planner.mu.Unlock()
	for _, c := range b.tx.Conditions {
		if c.Key == seat.TermKey(zone) {
			return
		}
	}
	b.tx.Conditions = append(b.tx.Conditions, table.Condition{Key: seat.TermKey(zone), Version: version})
}

// addEviction takes the zone's seat away in the same transaction.
func (b *batch) addEviction(now time.Time, z *seat.Seat) error {
	tx, err := z.Evict(now, b.tx.Token)
	if err != nil {
		return err
	}
	b.tx.Puts = append(b.tx.Puts, tx.Puts...)
	b.tx.Conditions = append(b.tx.Conditions, tx.Conditions...)
	b.causes = append(b.causes, "zone "+z.Name+" evicted")
	b.evicted = append(b.evicted, z)
	return nil
}

// logEvictions tells of each zone taken away how long it had been silent.
func (b *batch) logEvictions() {
	now := time.Now()
	for _, z := range b.evicted {
		b.planner.mu.Lock()
		heard := b.planner.lastHeartbeat(z.Name)
		b.planner.mu.Unlock()
		event.ZoneEvicted.Log(b.planner.Log, "zone", z.Name, "heardMsAgo", now.Sub(heard).Milliseconds(),
			"planningMs", now.Sub(b.planner.planningSince).Milliseconds())
	}
}

func (b *batch) write(ctx context.Context) {
	d := b.planner
	callCtx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	if err := d.chain.PrepareAppend(&b.tx, audit.Record{
		At: time.Now(), Actor: d.Instance, Subject: "assignment", Reason: strings.Join(b.causes, "; "),
	}); err != nil {
		d.Log.Error("audit", "error", err)
		return
	}
	b.tx.ReadPrefixes = []string{"head/"}
	b.tx.ReadKeys = []string{audit.HeadKey(audit.System)}
	res, err := table.Settle(callCtx, d.Table, b.tx)
	if err != nil {
		d.Log.Warn("assignment not settled", "error", err)
		return
	}
	if !res.Committed {
		event.AssignmentRefused.Log(d.Log, "causes", b.causes)
		d.applyHeads(ctx, res)
		return
	}
	d.chain.ConfirmAppend(res.Revision)
	b.applySplitsAndMerges()
	for _, service := range b.services {
		delta := d.deltaLog(service).ConfirmAppend(res.Revision)
		if err := d.View.ApplyDelta(delta); err != nil {
			d.Log.Debug("own delta", "error", err)
		}
	}
	d.applyHeads(ctx, res)
	event.AssignmentWritten.Log(d.Log, "causes", b.causes)
	b.logEvictions()
	d.nudgeLeaders(ctx)
}

// applySplitsAndMerges books the loads of divided and joined shards anew.
func (b *batch) applySplitsAndMerges() {
	b.planner.mu.Lock()
	defer b.planner.mu.Unlock()
	for service, splits := range b.splits {
		for _, s := range splits {
			b.planner.loads.split(service, s)
		}
	}
	for service, merges := range b.merges {
		for _, m := range merges {
			b.planner.loads.merge(service, m)
		}
	}
}

// nudgeLeaders tells every zone's leader to read the table now.
func (d *Planner) nudgeLeaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	var group errgroup.Group
	for _, z := range d.zoneSeats {
		r, _ := z.Record()
		if r.Address == "" {
			continue
		}
		group.Go(func() error {
			// A lost nudge only delays the news until the leader's next turn.
			_, _ = d.Peers.Zone(r.Address).Nudge(ctx, &control.NudgeRequest{})
			return nil
		})
	}
	_ = group.Wait()
}
