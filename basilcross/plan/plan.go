// Package plan computes the next version of a service's assignment. It is
// deterministic: the same input gives the same decision.
package plan

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/shard"
	"basilcross.example/basilcross/zone"
	"github.com/cespare/xxhash/v2"
)

// ListedTarget is an entry of the platform's list of targets.
type ListedTarget struct {
	Target  assignment.Target
	Leaving bool
}

// Input is everything that a decision depends on.
type Input struct {
	Sharded bool
	// InitialShards is the number of shards that a sharded service starts with.
	InitialShards int
	// Listed are the service's targets. ListComplete says that the list was
	// read, so that targets missing from it no longer exist.
	Listed       []ListedTarget
	ListComplete bool
	// Draining has the IDs of targets that an operator's exception drains.
	Draining map[string]bool
	// Released and Returned are reports of zone leaders, valid in the terms
	// that the write is conditional on.
	Released []zone.Release
	Returned []zone.Release
	Drained  []zone.Drain
	// LedZones are the zones with a leader that reports; targets elsewhere get
	// no shards, since their leases would not be renewed. Nil means all.
	LedZones map[string]bool
	// StartupDone is set when every leader has had time to report. Until then a
	// new service may get no shards, or the first zone would get all of them.
	StartupDone bool
	// Balance allows moves that only balance the load.
	Balance bool
	// EvictedZones are zones whose leader is evicted in the same transaction.
	EvictedZones map[string]bool
	// QuietVersion is the version that every gateway has had in force for
	// longer than any request sent under an earlier one can take.
	QuietVersion uint64
	// Loads are smoothed work units per second by the first hash of each shard.
	Loads map[uint64]float64
	// LoadWindow is the time over which Loads were averaged, in seconds. The
	// random variation is estimated from it; 0 takes the loads as exact.
	LoadWindow float64
	// HotKeys are keys whose own work was measured; Loads include it.
	HotKeys []HotKey
	Limits  Limits
}

// Decision is the outcome of Next.
type Decision struct {
	// Next is nil if nothing changes.
	Next *assignment.Assignment
	// Zones are those whose leaders' reports, or whose eviction, the decision
	// depends on. The write must be conditional on their terms.
	Zones []string
	// Splits and Merges are the shards that were split, and those merged into
	// the one before, so that the caller can adjust its loads.
	Splits []Split
	Merges []Merge
	// Causes are short sentences for the audit log.
	Causes []string
}

type planner struct {
	in             Input
	next           *assignment.Assignment
	conditionZones map[string]bool
	// causes is empty if nothing changed.
	causes        []string
	splits        []Split
	merges        []Merge
	targetIndex   map[string]int
	targetLoad    []float64
	meanShardLoad float64
}

// Next decides on the version that follows a.
func Next(a *assignment.Assignment, in Input) Decision {
	p := &planner{in: in, next: a.Clone(), conditionZones: map[string]bool{}}
	p.indexTargets()
	p.in.Limits = in.Limits.withDefaults()
	if in.Balance {
		// Splits and merges change the loads, and the input is the caller's.
		p.in.Loads = maps.Clone(in.Loads)
	}
	p.next.Version++
	p.syncTargets()
	p.applyReleased()
	p.applyEvicted()
	p.applyReturned()
	if in.Sharded {
		p.createShards()
		p.finishMoves()
		p.placeOrphans()
		p.startDrains()
		if in.Balance {
			p.isolateHotKeys()
			p.rebalance()
			p.mergeShards()
		}
	}
	if len(p.causes) == 0 {
		return Decision{}
	}
	p.markChangedGrants(a)
	p.next.Cause = strings.Join(p.causes, "; ")
	return Decision{Next: p.next, Zones: sortedKeys(p.conditionZones), Splits: p.splits, Merges: p.merges, Causes: p.causes}
}

// markChangedGrants records this version at every target whose grants it changes.
func (p *planner) markChangedGrants(before *assignment.Assignment) {
	previous, current := grantHashes(before), grantHashes(p.next)
	for i := range p.next.Targets {
		t := &p.next.Targets[i]
		if previous[t.ID] != current[t.ID] || t.GrantsVersion == 0 {
			t.GrantsVersion = p.next.Version
		}
	}
}

func grantHashes(a *assignment.Assignment) map[string]uint64 {
	sums := make(map[string]uint64, len(a.Targets))
	var field [8]byte
	for _, s := range a.Shards {
		moving := uint64(0)
		if s.MovingTo != "" {
			moving = 1
		}
		sum := sums[s.Owner]
		for _, n := range [...]uint64{s.First, s.Last, s.Epoch, moving} {
			binary.LittleEndian.PutUint64(field[:], n^sum)
			sum = xxhash.Sum64(field[:])
		}
		sums[s.Owner] = sum
	}
	return sums
}

func (p *planner) addCause(format string, args ...any) {
	p.causes = append(p.causes, fmt.Sprintf(format, args...))
}

// syncTargets applies the platform's list and the operators' drains.
func (p *planner) syncTargets() {
	listed := map[string]bool{}
	for _, l := range p.in.Listed {
		listed[l.Target.ID] = true
		p.syncTarget(l)
	}
	if !p.in.ListComplete {
		return
	}
	owns := map[string]bool{}
	for _, s := range p.next.Shards {
		owns[s.Owner] = true
	}
	p.next.Targets = slices.DeleteFunc(p.next.Targets, func(t assignment.Target) bool {
		remove := !listed[t.ID] && !owns[t.ID]
		if remove {
			p.addCause("target %s is no longer listed", t.ID)
		}
		return remove
	})
	p.indexTargets()
	for i := range p.next.Targets {
		if t := &p.next.Targets[i]; !listed[t.ID] && t.State == assignment.Active {
			p.setState(t, assignment.Draining, "no longer listed")
		}
	}
}

func (p *planner) syncTarget(l ListedTarget) {
	want := assignment.Active
	if l.Leaving || p.in.Draining[l.Target.ID] {
		want = assignment.Draining
	}
	have, ok := p.next.Target(l.Target.ID)
	if !ok {
		t := l.Target
		t.State = want
		t.Generation = 1
		t.StateSince = p.next.Version
		p.next.SetTarget(t)
		p.targetIndex[t.ID] = len(p.next.Targets) - 1
		p.addCause("target %s joined", t.ID)
		return
	}
	if have.State != assignment.Lost && have.State != want {
		p.setState(p.target(have.ID), want, "listed so")
	}
	if t := p.target(have.ID); t.Address != l.Target.Address || t.Slots != l.Target.Slots || t.Fenced != l.Target.Fenced {
		t.Address, t.Slots, t.Fenced = l.Target.Address, l.Target.Slots, l.Target.Fenced
		p.addCause("target %s changed its listing", t.ID)
	}
}

func (p *planner) target(id string) *assignment.Target {
	i, ok := p.targetIndex[id]
	if !ok {
		return nil
	}
	return &p.next.Targets[i]
}

func (p *planner) indexTargets() {
	p.targetIndex = make(map[string]int, len(p.next.Targets))
	for i, t := range p.next.Targets {
		p.targetIndex[t.ID] = i
	}
}

func (p *planner) setState(t *assignment.Target, s assignment.State, reason string) {
	t.State = s
	t.StateSince = p.next.Version
	p.addCause("target %s is %s: %s", t.ID, s, reason)
}

func (p *planner) applyReleased() {
	for _, r := range p.in.Released {
		t := p.target(r.Target)
		if t == nil || t.Generation != r.Generation || t.State == assignment.Lost {
			continue
		}
		p.markLost(t, "its lease ended")
	}
}

func (p *planner) applyEvicted() {
	for i := range p.next.Targets {
		t := &p.next.Targets[i]
		if p.in.EvictedZones[t.Zone] && t.State != assignment.Lost {
			p.markLost(t, "zone "+t.Zone+" evicted")
		}
	}
}

// markLost marks a target as lost. A fenced target has no lease any more, so its
// shards can be reassigned at once. One that is not fenced may get requests from
// gateways with an earlier version, so its shards wait for QuietVersion.
func (p *planner) markLost(t *assignment.Target, reason string) {
	t.Generation++
	p.conditionZones[t.Zone] = true
	p.setState(t, assignment.Lost, reason)
}

func (p *planner) applyReturned() {
	for _, r := range p.in.Returned {
		t := p.target(r.Target)
		if t == nil || t.Generation != r.Generation || p.in.EvictedZones[t.Zone] {
			continue
		}
		t.Generation++
		p.conditionZones[t.Zone] = true
		p.setState(t, assignment.Active, "answers again")
	}
}

func (p *planner) createShards() {
	if len(p.next.Shards) > 0 || len(p.activeTargets()) == 0 {
		return
	}
	if !p.in.StartupDone && len(p.activeTargets()) < len(p.next.Targets) {
		return
	}
	p.next.Shards = shard.Split(max(1, p.in.InitialShards))
	p.addCause("divided into %d shards", len(p.next.Shards))
}

// isReassignable reports whether a target's shards may get another owner at once.
func (p *planner) isReassignable(t *assignment.Target) bool {
	return t == nil || t.State == assignment.Lost && (t.Fenced || p.in.QuietVersion >= t.StateSince)
}

// finishMoves assigns shards whose revocation is complete to their next owner.
func (p *planner) finishMoves() {
	done := map[zone.Drain]bool{}
	for _, d := range p.in.Drained {
		if d.Service == p.next.Service {
			done[zone.Drain{First: d.First, Epoch: d.Epoch}] = true
		}
	}
	for i := range p.next.Shards {
		s := &p.next.Shards[i]
		if s.MovingTo == "" {
			continue
		}
		drained := done[zone.Drain{First: s.First, Epoch: s.Epoch}]
		if owner := p.target(s.Owner); owner != nil && !owner.Fenced {
			drained = p.in.QuietVersion >= s.OwnerSince
		}
		if drained {
			p.setOwner(s, s.MovingTo)
			p.addCause("shard %#x moved to %s", s.First, s.Owner)
		}
	}
}

func (p *planner) setOwner(s *shard.Shard, to string) {
	if t := p.target(to); t == nil || !p.canTakeShards(t) {
		to = ""
	}
	s.Owner = to
	s.MovingTo = ""
	s.Epoch++
	s.OwnerSince = p.next.Version
}

// placeOrphans assigns every shard without a usable owner to the least loaded target.
func (p *planner) placeOrphans() {
	p.computeLoads()
	var orphans []*shard.Shard
	for i := range p.next.Shards {
		s := &p.next.Shards[i]
		if p.isReassignable(p.target(s.Owner)) {
			orphans = append(orphans, s)
		}
	}
	// Heaviest first, so that the lighter shards even out the differences.
	slices.SortStableFunc(orphans, func(x, y *shard.Shard) int {
		return cmp.Compare(p.shardWeight(*y), p.shardWeight(*x))
	})
	placed := 0
	for _, s := range orphans {
		to := p.leastLoaded()
		if to == nil {
			if s.Owner != "" {
				p.setOwner(s, "")
				placed++
			}
			continue
		}
		p.setOwner(s, to.ID)
		p.targetLoad[p.targetIndex[to.ID]] += p.shardWeight(*s)
		placed++
	}
	if placed > 0 {
		p.addCause("%d shards without an owner placed", placed)
	}
}

// startDrains marks every shard of a draining target as moving.
func (p *planner) startDrains() {
	moving := 0
	for i := range p.next.Shards {
		s := &p.next.Shards[i]
		owner := p.target(s.Owner)
		if owner == nil || owner.State != assignment.Draining || s.MovingTo != "" {
			continue
		}
		if to := p.leastLoaded(); to != nil {
			p.startMove(s, to)
			moving++
		}
	}
	if moving > 0 {
		p.addCause("%d shards leave draining targets", moving)
	}
}

func (p *planner) startMove(s *shard.Shard, to *assignment.Target) {
	s.MovingTo = to.ID
	s.OwnerSince = p.next.Version
	p.targetLoad[p.targetIndex[to.ID]] += p.shardWeight(*s)
	if from, ok := p.targetIndex[s.Owner]; ok {
		p.targetLoad[from] -= p.shardWeight(*s)
	}
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
