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

// Listing is a target as the platform's instance list shows it.
type Listing struct {
	Target  assignment.Target
	Leaving bool
}

// Input is all that a decision rests on.
type Input struct {
	Divided bool
	// Shards is the number a divided service starts with.
	Shards int
	// Listed are the service's targets; Complete says that the list was read
	// and that absent targets are gone.
	Listed   []Listing
	Complete bool
	// Draining names targets that an operator's exception drains.
	Draining map[string]bool
	// Released and Returned are reports of zone leaders, valid in the term
	// that the write is conditional on.
	Released []zone.Release
	Returned []zone.Release
	Drained  []zone.Drain
	// Led names the zones with a leader that reports; targets elsewhere get no
	// shards, since nobody would renew their leases. Nil means all.
	Led map[string]bool
	// Settled is set when the reports of every leader should be in. Before,
	// a new service is not divided yet, lest it all go to the first zone.
	Settled bool
	// Balance allows moves for balance alone.
	Balance bool
	// Evicted names zones whose seat is taken away in the same transaction.
	Evicted map[string]bool
	// Quiet is the version that every gateway has had in force for longer
	// than any request sent under an earlier one can take.
	Quiet uint64
	// Loads are work units per second by the first hash of each shard, smoothed.
	Loads map[uint64]float64
	// Window is the time over which Loads were averaged, in seconds. It bounds
	// what of a difference may be chance; 0 takes the loads as exact.
	Window float64
	// Hot are keys whose work is known one by one; it is also part of Loads.
	Hot []HotKey
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
	in    Input
	next  *assignment.Assignment
	zones map[string]bool
	// causes also serves as the mark that something changed.
	causes []string
	splits []Split
	merges []Merge
	index  map[string]int
	load   []float64
	mean   float64
}

// Next returns the decision for the version that follows a.
func Next(a *assignment.Assignment, in Input) Decision {
	p := &planner{in: in, next: a.Clone(), zones: map[string]bool{}}
	p.reindex()
	p.in.Limits = in.Limits.orDefaults()
	if in.Balance {
		// Divided shards divide their loads too, and the input is the caller's.
		p.in.Loads = maps.Clone(in.Loads)
	}
	p.next.Version++
	p.syncTargets()
	p.takeReleased()
	p.takeEvicted()
	p.takeReturned()
	if in.Divided {
		p.split()
		p.finishMoves()
		p.placeOrphans()
		p.startDrains()
		if in.Balance {
			p.isolate()
			p.rebalance()
			p.join()
		}
	}
	if len(p.causes) == 0 {
		return Decision{}
	}
	p.markGrants(a)
	p.next.Cause = strings.Join(p.causes, "; ")
	return Decision{Next: p.next, Zones: sortedKeys(p.zones), Splits: p.splits, Merges: p.merges, Causes: p.causes}
}

// markGrants notes this version at every target whose grants it changes.
func (p *planner) markGrants(before *assignment.Assignment) {
	old, now := grantSums(before), grantSums(p.next)
	for i := range p.next.Targets {
		t := &p.next.Targets[i]
		if old[t.ID] != now[t.ID] || t.GrantsVersion == 0 {
			t.GrantsVersion = p.next.Version
		}
	}
}

// grantSums returns a hash of what each target is granted.
func grantSums(a *assignment.Assignment) map[string]uint64 {
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

func (p *planner) because(format string, args ...any) {
	p.causes = append(p.causes, fmt.Sprintf(format, args...))
}

// syncTargets follows the platform's list and the operators' drains.
func (p *planner) syncTargets() {
	listed := map[string]bool{}
	for _, l := range p.in.Listed {
		listed[l.Target.ID] = true
		p.syncTarget(l)
	}
	if !p.in.Complete {
		return
	}
	owns := map[string]bool{}
	for _, s := range p.next.Shards {
		owns[s.Owner] = true
	}
	p.next.Targets = slices.DeleteFunc(p.next.Targets, func(t assignment.Target) bool {
		gone := !listed[t.ID] && !owns[t.ID]
		if gone {
			p.because("target %s is no longer listed", t.ID)
		}
		return gone
	})
	p.reindex()
	for i := range p.next.Targets {
		if t := &p.next.Targets[i]; !listed[t.ID] && t.State == assignment.Active {
			p.setState(t, assignment.Draining, "no longer listed")
		}
	}
}

func (p *planner) syncTarget(l Listing) {
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
		p.index[t.ID] = len(p.next.Targets) - 1
		p.because("target %s joined", t.ID)
		return
	}
	if have.State != assignment.Lost && have.State != want {
		p.setState(p.target(have.ID), want, "listed so")
	}
	if t := p.target(have.ID); t.Address != l.Target.Address || t.Slots != l.Target.Slots || t.Fenced != l.Target.Fenced {
		t.Address, t.Slots, t.Fenced = l.Target.Address, l.Target.Slots, l.Target.Fenced
		p.because("target %s changed its listing", t.ID)
	}
}

func (p *planner) target(id string) *assignment.Target {
	i, ok := p.index[id]
	if !ok {
		return nil
	}
	return &p.next.Targets[i]
}

// reindex notes where each target stands.
func (p *planner) reindex() {
	p.index = make(map[string]int, len(p.next.Targets))
	for i, t := range p.next.Targets {
		p.index[t.ID] = i
	}
}

func (p *planner) setState(t *assignment.Target, s assignment.State, why string) {
	t.State = s
	t.StateSince = p.next.Version
	p.because("target %s is %s: %s", t.ID, s, why)
}

func (p *planner) takeReleased() {
	for _, r := range p.in.Released {
		t := p.target(r.Target)
		if t == nil || t.Generation != r.Generation || t.State == assignment.Lost {
			continue
		}
		p.lose(t, "its lease ended")
	}
}

func (p *planner) takeEvicted() {
	for i := range p.next.Targets {
		t := &p.next.Targets[i]
		if p.in.Evicted[t.Zone] && t.State != assignment.Lost {
			p.lose(t, "zone "+t.Zone+" evicted")
		}
	}
}

// lose marks a target as lost. A fenced target has no lease any more, so its
// shards are free at once. A target that does not check may still get requests
// from gateways that have not heard; its shards wait for Quiet.
func (p *planner) lose(t *assignment.Target, why string) {
	t.Generation++
	p.zones[t.Zone] = true
	p.setState(t, assignment.Lost, why)
}

func (p *planner) takeReturned() {
	for _, r := range p.in.Returned {
		t := p.target(r.Target)
		if t == nil || t.Generation != r.Generation || p.in.Evicted[t.Zone] {
			continue
		}
		t.Generation++
		p.zones[t.Zone] = true
		p.setState(t, assignment.Active, "answers again")
	}
}

func (p *planner) split() {
	if len(p.next.Shards) > 0 || len(p.active()) == 0 {
		return
	}
	if !p.in.Settled && len(p.active()) < len(p.next.Targets) {
		return
	}
	p.next.Shards = shard.Split(max(1, p.in.Shards))
	p.because("divided into %d shards", len(p.next.Shards))
}

// free tells whether a target's shards may go to another at once.
func (p *planner) free(t *assignment.Target) bool {
	return t == nil || t.State == assignment.Lost && (t.Fenced || p.in.Quiet >= t.StateSince)
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
			drained = p.in.Quiet >= s.OwnerSince
		}
		if drained {
			p.give(s, s.MovingTo)
			p.because("shard %#x moved to %s", s.First, s.Owner)
		}
	}
}

func (p *planner) give(s *shard.Shard, to string) {
	if t := p.target(to); t == nil || !p.placeable(t) {
		to = ""
	}
	s.Owner = to
	s.MovingTo = ""
	s.Epoch++
	s.OwnerSince = p.next.Version
}

// placeOrphans gives every free shard to the least loaded target.
func (p *planner) placeOrphans() {
	p.weigh()
	var orphans []*shard.Shard
	for i := range p.next.Shards {
		s := &p.next.Shards[i]
		if p.free(p.target(s.Owner)) {
			orphans = append(orphans, s)
		}
	}
	// The heaviest first: the light ones then even out what is left.
	slices.SortStableFunc(orphans, func(x, y *shard.Shard) int {
		return cmp.Compare(p.weight(*y), p.weight(*x))
	})
	placed := 0
	for _, s := range orphans {
		to := p.least()
		if to == nil {
			if s.Owner != "" {
				p.give(s, "")
				placed++
			}
			continue
		}
		p.give(s, to.ID)
		p.load[p.index[to.ID]] += p.weight(*s)
		placed++
	}
	if placed > 0 {
		p.because("%d shards without an owner placed", placed)
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
		if to := p.least(); to != nil {
			p.move(s, to)
			moving++
		}
	}
	if moving > 0 {
		p.because("%d shards leave draining targets", moving)
	}
}

func (p *planner) move(s *shard.Shard, to *assignment.Target) {
	s.MovingTo = to.ID
	s.OwnerSince = p.next.Version
	p.load[p.index[to.ID]] += p.weight(*s)
	if from, ok := p.index[s.Owner]; ok {
		p.load[from] -= p.weight(*s)
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
