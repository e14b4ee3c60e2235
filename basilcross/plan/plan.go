// Package plan decides the next version of a service's assignment. It is a
// pure function of what is known: the same input gives the same decision.
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

// ListedTarget is a target as the platform's instance list shows it.
type ListedTarget struct {
	Target  assignment.Target
	Leaving bool
}

// Input is all that a decision rests on.
type Input struct {
	Sharded bool
	// InitialShards is the number a divided service starts with.
	InitialShards int
	// Listed are the service's targets; Complete says that the list was read
	// and that absent targets are gone.
	Listed       []ListedTarget
	ListComplete bool
	// Draining names targets that an operator's exception drains.
	Draining map[string]bool
	// Released and Returned are reports of zone leaders, valid in the term
	// that the write is conditional on.
	Released []zone.Release
	Returned []zone.Release
	Drained  []zone.Drain
	// LedZones names the zones with a leader that reports; targets elsewhere get no
	// shards, since nobody would renew their leases. Nil means all.
	LedZones map[string]bool
	// StartupDone is set when the reports of every leader should be in. Before,
	// a new service is not divided yet, lest it all go to the first zone.
	StartupDone bool
	// Balance allows moves for balance alone.
	Balance bool
	// EvictedZones names zones whose seat is taken away in the same transaction.
	EvictedZones map[string]bool
	// QuietVersion is the version that every gateway has had in force for longer
	// than any request sent under an earlier one can take.
	QuietVersion uint64
	// Loads are work units per second by the first hash of each shard, smoothed.
	Loads map[uint64]float64
	// LoadWindow is the time over which Loads were averaged, in seconds. It bounds
	// what of a difference may be chance; 0 takes the loads as exact.
	LoadWindow float64
	// HotKeys are keys whose work is known one by one; it is also part of Loads.
	HotKeys []HotKey
	// Limits bound the moves; see Limits.
	Limits Limits
}

// Decision is the outcome of Next.
type Decision struct {
	// Next is nil if nothing changes.
	Next *assignment.Assignment
	// Zones are those whose releases the decision rests on. The write must
	// be conditional on their terms.
	Zones []string
	// Splits are the shards that were divided, for whoever keeps the loads.
	Splits []Split
	// Merges are the shards that were joined to the one before them.
	Merges []Merge
	// Causes are short sentences for the audit trail.
	Causes []string
}

// planner carries one decision while it is made.
type planner struct {
	in             Input
	next           *assignment.Assignment
	conditionZones map[string]bool
	// causes also serves as the mark that something changed.
	causes        []string
	splits        []Split
	merges        []Merge
	targetIndex   map[string]int
	targetLoad    []float64
	meanShardLoad float64
}

// Next returns the decision for the version that follows a.
func Next(a *assignment.Assignment, in Input) Decision {
	p := &planner{in: in, next: a.Clone(), conditionZones: map[string]bool{}}
	p.indexTargets()
	p.in.Limits = in.Limits.withDefaults()
	if in.Balance {
		// Divided shards divide their loads too, and the input is the caller's.
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

// markChangedGrants notes this version at every target whose grants it changes.
func (p *planner) markChangedGrants(before *assignment.Assignment) {
	old, now := grantHashes(before), grantHashes(p.next)
	for i := range p.next.Targets {
		t := &p.next.Targets[i]
		if old[t.ID] != now[t.ID] || t.GrantsVersion == 0 {
			t.GrantsVersion = p.next.Version
		}
	}
}

// grantHashes returns a hash of what each target is granted.
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

// syncTargets follows the platform's list and the operators' drains.
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
		gone := !listed[t.ID] && !owns[t.ID]
		if gone {
			p.addCause("target %s is no longer listed", t.ID)
		}
		return gone
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

// indexTargets notes where each target stands.
func (p *planner) indexTargets() {
	p.targetIndex = make(map[string]int, len(p.next.Targets))
	for i, t := range p.next.Targets {
		p.targetIndex[t.ID] = i
	}
}

func (p *planner) setState(t *assignment.Target, s assignment.State, why string) {
	t.State = s
	t.StateSince = p.next.Version
	p.addCause("target %s is %s: %s", t.ID, s, why)
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
// shards are free at once. A target that does not check may still get requests
// from gateways that have not heard; its shards wait for Quiet.
func (p *planner) markLost(t *assignment.Target, why string) {
	t.Generation++
	p.conditionZones[t.Zone] = true
	p.setState(t, assignment.Lost, why)
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

// isReassignable tells whether a target's shards may go to another at once.
func (p *planner) isReassignable(t *assignment.Target) bool {
	return t == nil || t.State == assignment.Lost && (t.Fenced || p.in.QuietVersion >= t.StateSince)
}

// finishMoves gives shards whose revocation is complete to their next owner.
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

// placeOrphans gives every free shard to the least loaded target.
func (p *planner) placeOrphans() {
	p.computeLoads()
	var orphans []*shard.Shard
	for i := range p.next.Shards {
		s := &p.next.Shards[i]
		if p.isReassignable(p.target(s.Owner)) {
			orphans = append(orphans, s)
		}
	}
	// The heaviest first: the light ones then even out what is left.
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
