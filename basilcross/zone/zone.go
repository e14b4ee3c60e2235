// Package zone decides, for the leader of an availability zone, which
// instances renew which targets and when a target has surely lost its lease.
//
// The leader never talks to targets. Its instances report by polls, and every
// answer gives them authority for a time. To take a target's lease away, the
// leader stops its renewal and waits until each instance that might still
// renew it has either confirmed or lost its authority.
package zone

import (
	"slices"
	"strings"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/lease"
	"github.com/cespare/xxhash/v2"
)

const (
	// RenewersPerTarget is how many instances renew each target, so that the loss of
	// one instance costs no target its lease.
	RenewersPerTarget = 2
	// memberTimeout is the silence after which an instance gets no targets
	// to renew. Its authority is waited out all the same.
	memberTimeout = 700 * time.Millisecond
	// dropMemberAfter drops instances from the list; it exceeds every authority.
	dropMemberAfter = 10 * time.Second
)

// TargetReport is what one renewer saw of one target.
type TargetReport struct {
	ID string
	// Failing is set after several renewals in a row went unanswered.
	Failing bool
	// Alive is set by an answer within the last interval.
	Alive bool
	// LeaseLeft bounds the lease that this instance last gave the target.
	LeaseLeft time.Duration
	// Drained lists shards whose revocation the target has completed.
	Drained []Drain
}

// Drain says that a target has finished with a shard that is on the move.
type Drain struct {
	Service string
	First   uint64
	Epoch   uint64
	// Version is the assignment version under which it was revoked.
	Version uint64
}

// Report is one poll of an instance. Targets that it renews and does not name
// are well.
type Report struct {
	Instance    string
	Incarnation string
	Address     string
	// Directive is the version last carried out.
	Directive uint64
	Targets   []TargetReport
	// Versions is what the instance has in force, by service; "config" for
	// the configuration.
	Versions map[string]uint64
}

// Renewal tells an instance to renew a target's lease while the assignment
// shows the target in this generation.
type Renewal struct {
	Target     string
	Generation uint64
	// Standby asks for a renewal now and then only: another instance does
	// the most of it, and this one is ready to take its place.
	Standby bool
	// Urgent is set while another instance has found the target failing: one
	// unanswered renewal is then enough to agree.
	Urgent bool
}

// Directive is the leader's order to one instance.
type Directive struct {
	Version uint64
	Renew   []Renewal
	// Probe lists targets to ask for signs of life without giving a lease.
	Probe []string
}

// Release says that a target holds no lease and will get none until its
// generation in the assignment has grown.
type Release struct {
	Target     string
	Generation uint64
}

// Member is an instance that polls this leader.
type Member struct {
	Instance    string
	Incarnation string
	Address     string
	Seen        time.Time
	Versions    map[string]uint64

	appliedDirective uint64
	authority        lease.Lease
}

type targetState struct {
	target    assignment.Target
	suspended bool
	// suspendedVersion is the directive version that stopped the renewal.
	suspendedVersion uint64
	reportedLeaseEnd time.Time
	released         bool
	alive            bool
	failedAt         map[string]time.Time
	drains           map[Drain]bool
}

// Leader is the state of a zone's leader. Create one per term: it must not
// outlive the holding of the seat. It is not safe for concurrent use.
type Leader struct {
	Zone string
	// PriorLeasesEnd is when leases given under the previous term have ended.
	PriorLeasesEnd time.Time

	version uint64
	members map[string]*Member
	targets map[string]*targetState
}

// ApplyAssignment takes in the targets of a service from an assignment. It resumes
// targets whose generation the planner has moved on.
func (l *Leader) ApplyAssignment(a *assignment.Assignment) {
	if l.targets == nil {
		l.targets = map[string]*targetState{}
	}
	for _, t := range a.Targets {
		if t.Zone == l.Zone {
			l.applyTarget(t)
		}
	}
	for id, ts := range l.targets {
		if ts.target.Service != a.Service {
			continue
		}
		if _, ok := a.Target(id); !ok {
			delete(l.targets, id)
			l.version++
		}
	}
}

func (l *Leader) applyTarget(t assignment.Target) {
	ts, ok := l.targets[t.ID]
	if !ok {
		l.targets[t.ID] = &targetState{target: t, suspended: t.State == assignment.Lost}
		l.version++
		return
	}
	if t == ts.target {
		return
	}
	if t.Generation > ts.target.Generation {
		ts.released = false
		ts.suspended = t.State == assignment.Lost
		ts.alive = false
		ts.failedAt = nil
		ts.suspendedVersion = l.version + 1
	}
	ts.target = t
	l.version++
}

// ApplyReport takes in an instance's report. The answer's authority begins when the
// instance sent the poll; grant is what the leader has left now.
func (l *Leader) ApplyReport(now time.Time, r Report) {
	if l.members == nil {
		l.members = map[string]*Member{}
	}
	m, ok := l.members[r.Instance]
	if !ok || m.Incarnation != r.Incarnation {
		// An earlier incarnation's authority may still be running, so it is
		// kept as the bound until the new one confirms a directive.
		fresh := &Member{Instance: r.Instance, Incarnation: r.Incarnation}
		if ok {
			fresh.authority = m.authority
		}
		l.members[r.Instance] = fresh
		m = fresh
		l.version++
	}
	returned := now.Sub(m.Seen) > memberTimeout
	m.Seen = now
	m.Address = r.Address
	m.Versions = r.Versions
	m.appliedDirective = r.Directive
	if returned {
		l.version++
	}
	named := make(map[string]bool, len(r.Targets))
	for _, t := range r.Targets {
		named[t.ID] = true
	}
	for id, ts := range l.targets {
		if !named[id] {
			l.clearFailing(ts, m.Instance)
		}
	}
	for _, t := range r.Targets {
		l.applyTargetReport(now, m, t)
	}
}

// RecordAuthority records the authority given to an instance in the answer to a poll.
func (l *Leader) RecordAuthority(now time.Time, instance string, length time.Duration) {
	if m, ok := l.members[instance]; ok {
		m.authority = m.authority.Later(lease.Lease{Sent: now, Length: lease.Wait(length)})
	}
}

func (l *Leader) applyTargetReport(now time.Time, m *Member, r TargetReport) {
	ts, ok := l.targets[r.ID]
	if !ok {
		return
	}
	if ts.suspended && m.appliedDirective >= ts.suspendedVersion {
		ts.reportedLeaseEnd = later(ts.reportedLeaseEnd, now.Add(lease.Wait(r.LeaseLeft)))
	}
	for _, d := range r.Drained {
		if ts.drains == nil {
			ts.drains = map[Drain]bool{}
		}
		ts.drains[d] = true
	}
	l.recordHealth(now, ts, m.Instance, r)
	switch {
	case ts.suspended && ts.alive && !ts.released && ts.target.State != assignment.Lost:
		l.resume(ts)
	case !ts.suspended && l.allFailing(now, ts):
		l.suspend(ts)
	}
}

func (l *Leader) recordHealth(now time.Time, ts *targetState, instance string, r TargetReport) {
	if ts.failedAt == nil {
		ts.failedAt = map[string]time.Time{}
	}
	if r.Failing {
		if len(ts.failedAt) == 0 {
			// The standby must try too, and at once.
			l.version++
		}
		ts.failedAt[instance] = now
		ts.alive = false
		return
	}
	if r.Alive {
		l.clearFailing(ts, instance)
		ts.alive = true
	}
}

// clearFailing takes a failure back; the others may then go easy again.
func (l *Leader) clearFailing(ts *targetState, instance string) {
	if _, failing := ts.failedAt[instance]; failing {
		delete(ts.failedAt, instance)
		l.version++
	}
}

// allFailing tells whether every live renewer of the target has failed.
func (l *Leader) allFailing(now time.Time, ts *targetState) bool {
	renewers := l.renewers(now, ts.target.ID)
	for _, id := range renewers {
		if _, failing := ts.failedAt[id]; !failing {
			return false
		}
	}
	return len(renewers) > 0
}

func (l *Leader) suspend(ts *targetState) {
	l.version++
	ts.suspended = true
	ts.suspendedVersion = l.version
	ts.reportedLeaseEnd = time.Time{}
}

func (l *Leader) resume(ts *targetState) {
	l.version++
	ts.suspended = false
	ts.failedAt = nil
}

// Version returns the version of the current directives.
func (l *Leader) Version() uint64 { return l.version }

// Directive returns the order for an instance.
func (l *Leader) Directive(now time.Time, instance string) Directive {
	d := Directive{Version: l.version}
	for _, id := range l.targetIDs() {
		ts := l.targets[id]
		renewers := l.renewers(now, id)
		if !slices.Contains(renewers, instance) {
			continue
		}
		if ts.suspended {
			d.Probe = append(d.Probe, id)
			continue
		}
		d.Renew = append(d.Renew, Renewal{
			Target:     id,
			Generation: ts.target.Generation,
			Standby:    instance != renewers[0] && len(ts.failedAt) == 0,
			Urgent:     ts.othersFailing(instance),
		})
	}
	return d
}

func (ts *targetState) othersFailing(instance string) bool {
	for id := range ts.failedAt {
		if id != instance {
			return true
		}
	}
	return false
}

func (l *Leader) targetIDs() []string {
	ids := make([]string, 0, len(l.targets))
	for id := range l.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// renewers picks the instances for a target by rendezvous hashing, so that a
// change of membership moves only the renewals of the instance concerned.
func (l *Leader) renewers(now time.Time, target string) []string {
	var live []string
	for id, m := range l.members {
		if now.Sub(m.Seen) <= memberTimeout {
			live = append(live, id)
		}
	}
	slices.SortFunc(live, func(a, b string) int {
		x, y := weight(a, target), weight(b, target)
		if x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return live[:min(len(live), RenewersPerTarget)]
}

func weight(instance, target string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + target)
}

// Released returns the targets without a lease. From then on each stays
// without one until Assign sees a higher generation: a planner may already be
// writing their shards to other targets.
func (l *Leader) Released(now time.Time) []Release {
	var released []Release
	for _, id := range l.targetIDs() {
		ts := l.targets[id]
		if !ts.suspended || ts.target.State == assignment.Lost {
			continue
		}
		if !ts.released && now.Before(l.leaseBound(now, ts)) {
			continue
		}
		ts.released = true
		released = append(released, Release{Target: id, Generation: ts.target.Generation})
	}
	return released
}

// leaseBound is when the suspended target's lease has surely ended. An
// instance that has not confirmed the suspension may renew the target up to
// the end of its own authority, and the lease it gives ends there too.
func (l *Leader) leaseBound(now time.Time, ts *targetState) time.Time {
	bound := later(ts.reportedLeaseEnd, l.PriorLeasesEnd)
	for _, m := range l.members {
		if m.appliedDirective < ts.suspendedVersion {
			bound = later(bound, now.Add(m.authority.Left(now)))
		}
	}
	return bound
}

// Returned lists targets that the assignment has as lost, or that were
// released, and that answer probes again.
func (l *Leader) Returned() []Release {
	var back []Release
	for _, id := range l.targetIDs() {
		ts := l.targets[id]
		if ts.alive && (ts.target.State == assignment.Lost || ts.released) {
			back = append(back, Release{Target: id, Generation: ts.target.Generation})
		}
	}
	return back
}

// Drained returns completed revocations that no instance can undo: every
// instance with authority already has the version that revokes them. One that
// lagged behind could otherwise grant the shard again to a target that was
// restarted and forgot the revocation.
func (l *Leader) Drained(now time.Time) []Drain {
	var done []Drain
	for _, id := range l.targetIDs() {
		ts := l.targets[id]
		for d := range ts.drains {
			if now.Before(l.PriorLeasesEnd) || l.ReachedVersion(now, d.Service) < d.Version {
				continue
			}
			done = append(done, d)
		}
	}
	slices.SortFunc(done, func(a, b Drain) int { return strings.Compare(a.Service, b.Service) })
	return done
}

// DropDrains drops drains of versions before the given one of a service.
func (l *Leader) DropDrains(service string, version uint64) {
	for _, ts := range l.targets {
		for d := range ts.drains {
			if d.Service == service && d.Version < version {
				delete(ts.drains, d)
			}
		}
	}
}

// ReachedVersion returns the lowest version of a service that an instance with
// authority has in force; the highest number if there is no such instance.
func (l *Leader) ReachedVersion(now time.Time, service string) uint64 {
	reached := ^uint64(0)
	for id, m := range l.members {
		if now.Sub(m.Seen) > dropMemberAfter {
			delete(l.members, id)
			continue
		}
		if m.authority.Valid(now) {
			reached = min(reached, m.Versions[service])
		}
	}
	return reached
}

// Members returns the instances known, by identifier.
func (l *Leader) Members() []Member {
	members := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return members
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
