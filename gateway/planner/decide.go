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

// planServices plans every service and writes all changes in one transaction.
func (p *Planner) planServices(ctx context.Context) {
	doc := p.View.Load().Config
	if doc == nil || p.instances == nil {
		return
	}
	now := time.Now()
	evicted := p.advanceEvictions(ctx)
	balance := now.Sub(p.balancedAt) >= balanceInterval
	if balance {
		p.balancedAt = now
	}
	b := &batch{planner: p, tx: table.Transaction{Token: p.NewToken()}, splits: map[string][]plan.Split{}, merges: map[string][]plan.Merge{}}
	for _, service := range doc.Services {
		in := p.planInput(now, doc, service, evicted)
		in.Balance = balance
		decision := plan.Next(p.deltaLog(service.Name).Current(), in)
		if decision.Next == nil {
			continue
		}
		if err := b.add(ctx, decision, evicted); err != nil {
			p.Log.Error("prepare assignment", "service", service.Name, "error", err)
			return
		}
	}
	for name := range evicted {
		if err := b.addEviction(now, p.zoneSeats[name]); err != nil {
			p.Log.Error("prepare zone eviction", "zone", name, "error", err)
			return
		}
	}
	if len(b.tx.Puts) > 0 {
		b.write(ctx)
	}
}

// advanceEvictions advances the eviction of zones whose seat is neither renewed nor
// claimed, and returns the zones for which it is complete.
func (p *Planner) advanceEvictions(ctx context.Context) map[string]bool {
	evicted := map[string]bool{}
	var unused sync.Mutex
	for name, z := range p.zoneSeats {
		r, _ := z.Record()
		p.applyAnnouncements(name, z)
		suspect := z.HasAnnouncement() || z.UnchangedFor(time.Now()) >= evictor.SuspectAfter
		if r.Holder == "" || !suspect || p.leaderAlive(name) {
			continue
		}
		complete := p.Evictor.Step(ctx, &unused, z, p.otherSeats(name))
		if complete && time.Since(z.TableLeaseEnd()) > zoneEvictionDelay {
			evicted[name] = true
		}
	}
	return evicted
}

// applyAnnouncements copies the renewals that the zone's leader announced to its seat.
func (p *Planner) applyAnnouncements(zone string, z *seat.Seat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.announcements[zone]; a != nil {
		z.SetAnnouncements(a.Clone())
	}
}

// leaderAlive reports whether the zone's leader has sent a heartbeat lately.
func (p *Planner) leaderAlive(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastHeartbeat(zone)) <= heartbeatTimeout
}

func (p *Planner) otherSeats(zone string) []seat.Record {
	var others []seat.Record
	for name, z := range p.zoneSeats {
		if r, _ := z.Record(); name != zone {
			others = append(others, r)
		}
	}
	return others
}

func (p *Planner) planInput(now time.Time, doc *config.Document, service config.Service, evicted map[string]bool) plan.Input {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := plan.Input{
		Sharded:       service.Sharded,
		InitialShards: service.InitialShards(),
		ListComplete:  true,
		Draining:      map[string]bool{},
		EvictedZones:  evicted,
		LedZones:      map[string]bool{},
		StartupDone:   now.Sub(p.planningSince) > startupDelay,
		Loads:         p.loads.ratesOf(service.Name, now),
		LoadWindow:    loadWindow.Seconds(),
		HotKeys:       p.hot.top(service.Name),
	}
	for _, i := range p.instances {
		if i.Role != platform.TargetRole || i.Service != service.Name {
			continue
		}
		in.Listed = append(in.Listed, plan.ListedTarget{Target: listedTarget(i), Leaving: i.Leaving})
		rules := doc.Resolve(config.Scope{Service: i.Service, Zone: i.Zone, Target: i.ID}, now)
		in.Draining[i.ID] = *rules.Drain
	}
	reached := ^uint64(0)
	for name, r := range p.reports {
		if now.Sub(r.receivedAt) > maxReportAge || evicted[name] {
			continue
		}
		in.LedZones[name] = true
		in.Released = append(in.Released, decodeReleases(r.req.GetReleased())...)
		in.Returned = append(in.Returned, decodeReleases(r.req.GetReturned())...)
		in.Drained = append(in.Drained, decodeDrains(r.req.GetDrained())...)
		reached = min(reached, knownVersion(r.req.GetReached(), service.Name))
	}
	in.QuietVersion = p.quietVersionOf(now, service.Name, p.reachedByAllZones(in.LedZones, reached), doc)
	return in
}

// reachedByAllZones returns reached, or zero while a zone whose gateways may have
// authority has no current report.
func (p *Planner) reachedByAllZones(led map[string]bool, reached uint64) uint64 {
	for name, z := range p.zoneSeats {
		if r, _ := z.Record(); r.Holder != "" && !led[name] {
			return 0
		}
	}
	return reached
}

func (p *Planner) quietVersionOf(now time.Time, service string, reached uint64, doc *config.Document) uint64 {
	q, ok := p.quietVersions[service]
	if !ok {
		q = &quietVersion{}
		p.quietVersions[service] = q
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

// batch collects the decisions of all services in one transaction.
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

// requireTerm makes the write conditional on the zone's term being the one of the
// report. Otherwise a leader could report a target as released and lose its seat,
// and the next leader renew the target while this write reassigns its shards. With
// the condition either the write fails or the next leader reads the new assignment.
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

// addEviction adds the eviction of the zone's seat to the transaction.
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

func (b *batch) logEvictions() {
	now := time.Now()
	for _, z := range b.evicted {
		b.planner.mu.Lock()
		lastSeen := b.planner.lastHeartbeat(z.Name)
		b.planner.mu.Unlock()
		event.ZoneEvicted.Log(b.planner.Log, "zone", z.Name, "heardMsAgo", now.Sub(lastSeen).Milliseconds(),
			"planningMs", now.Sub(b.planner.planningSince).Milliseconds())
	}
}

func (b *batch) write(ctx context.Context) {
	p := b.planner
	callCtx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	if err := p.chain.PrepareAppend(&b.tx, audit.Record{
		At: time.Now(), Actor: p.Instance, Subject: "assignment", Reason: strings.Join(b.causes, "; "),
	}); err != nil {
		p.Log.Error("prepare audit record of assignment", "error", err)
		return
	}
	b.tx.ReadPrefixes = []string{"head/"}
	b.tx.ReadKeys = []string{audit.HeadKey(audit.System)}
	res, err := table.Settle(callCtx, p.Table, b.tx)
	if err != nil {
		p.Log.Warn("write assignment: outcome unknown", "error", err)
		return
	}
	if !res.Committed {
		event.AssignmentRefused.Log(p.Log, "causes", b.causes)
		p.applyHeads(ctx, res)
		return
	}
	p.chain.ConfirmAppend(res.Revision)
	b.applySplitsAndMerges()
	for _, service := range b.services {
		delta := p.deltaLog(service).ConfirmAppend(res.Revision)
		if err := p.View.ApplyDelta(delta); err != nil {
			p.Log.Debug("apply own assignment delta", "error", err)
		}
	}
	p.applyHeads(ctx, res)
	event.AssignmentWritten.Log(p.Log, "causes", b.causes)
	b.logEvictions()
	p.nudgeLeaders(ctx)
}

// applySplitsAndMerges moves the loads of split and merged shards to the new shards.
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

// nudgeLeaders makes every zone's leader read the table at once.
func (p *Planner) nudgeLeaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	var group errgroup.Group
	for _, z := range p.zoneSeats {
		r, _ := z.Record()
		if r.Address == "" {
			continue
		}
		group.Go(func() error {
			// A lost nudge only delays the update until the leader's next read.
			_, _ = p.Peers.Zone(r.Address).Nudge(ctx, &control.NudgeRequest{})
			return nil
		})
	}
	_ = group.Wait()
}
