// Package zone decides, for the leader of an availability zone, which instances
// renew which targets, and when a target's lease has ended for certain.
//
// The leader sends no requests to targets. Its instances poll it with reports,
// and every response gives them authority for a time. To revoke a target's
// lease, the leader stops its renewal and waits until each instance that might
// still renew it has either confirmed this or lost its authority.
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
	// RenewersPerTarget is how many instances can renew each target, so that
	// no target loses its lease when one instance fails.
	RenewersPerTarget = 2
	// memberTimeout is the time without a poll after which an instance gets no
	// targets to renew. The leader still waits until its authority has ended.
	memberTimeout = 700 * time.Millisecond
	// dropMemberAfter is the time without a poll after which an instance is
	// removed; it is longer than any authority.
	dropMemberAfter = 10 * time.Second
)

// TargetReport is one renewer's report on one target.
type TargetReport struct {
	ID string
	// Failing is set after several consecutive renewals got no response.
	Failing bool
	// Alive is set by a response within the last interval.
	Alive bool
	// LeaseLeft bounds what is left of the lease last given by this instance.
	LeaseLeft time.Duration
	// Drained lists shards whose revocation the target has completed.
	Drained []Drain
}

// Drain says that a target has completed the revocation of a moving shard.
type Drain struct {
	Service string
	First   uint64
	Epoch   uint64
	// Version is the assignment version that revoked the shard.
	Version uint64
}

// Report is what an instance sends with one poll. Targets that it renews and
// that are not in the report are healthy.
type Report struct {
	Instance    string
	Incarnation string
	Address     string
	// Directive is the version of the directive last applied.
	Directive uint64
	Targets   []TargetReport
	// Versions are the assignment versions in force at the instance, by
	// service, and that of the configuration under "config".
	Versions map[string]uint64
}

// Renewal orders an instance to renew a target's lease while the target has
// this generation in the assignment.
type Renewal struct {
	Target     string
	Generation uint64
	// Standby limits this instance to infrequent renewals: another one is the main
	// renewer, which this one can replace.
	Standby bool
	// Urgent is set while another instance reports the target as failing: one
	// renewal without a response is then enough to report the same.
	Urgent bool
}

// Directive is the leader's order to one instance.
type Directive struct {
	Version uint64
	Renew   []Renewal
	// Probe lists targets to send probes to, which give no lease.
	Probe []string
}

// Release says that a target has no lease and gets none until its generation
// in the assignment has increased.
type Release struct {
	Target     string
	Generation uint64
}

// Member is an instance that polls this leader, last at Seen.
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
	// suspendedVersion is the directive version that suspended the renewal.
	suspendedVersion uint64
	reportedLeaseEnd time.Time
	released         bool
	alive            bool
	failedAt         map[string]time.Time
	drains           map[Drain]bool
}

// Leader is the state of a zone's leader for one term; it must not be used
// after the seat is lost. It is not safe for concurrent use.
type Leader struct {
	Zone string
	// PriorLeasesEnd is when leases given in earlier terms have ended.
	PriorLeasesEnd time.Time

	version uint64
	members map[string]*Member
	targets map[string]*targetState
}

// ApplyAssignment applies the targets of a service's assignment. It resumes the
// renewal of targets whose generation the planner has increased.
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

// ApplyReport applies an instance's report, received at now.
func (l *Leader) ApplyReport(now time.Time, r Report) {
	if l.members == nil {
		l.members = map[string]*Member{}
	}
	m, ok := l.members[r.Instance]
	if !ok || m.Incarnation != r.Incarnation {
		// An earlier incarnation's authority may still be valid, so it is
		// kept as the bound until the new one confirms a directive.
		restarted := &Member{Instance: r.Instance, Incarnation: r.Incarnation}
		if ok {
			restarted.authority = m.authority
		}
		l.members[r.Instance] = restarted
		m = restarted
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
	reported := make(map[string]bool, len(r.Targets))
	for _, t := range r.Targets {
		reported[t.ID] = true
	}
	for id, ts := range l.targets {
		if !reported[id] {
			l.clearFailing(ts, m.Instance)
		}
	}
	for _, t := range r.Targets {
		l.applyTargetReport(now, m, t)
	}
}

// RecordAuthority records the authority given to an instance in the response to
// a poll: length is what the leader has left at now. The instance counts it from
// when it sent the poll.
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
			// The standby must send a renewal too, at once.
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

// clearFailing withdraws an instance's failure report, so that the renewals of
// the others are no longer urgent.
func (l *Leader) clearFailing(ts *targetState, instance string) {
	if _, failing := ts.failedAt[instance]; failing {
		delete(ts.failedAt, instance)
		l.version++
	}
}

// allFailing reports whether every current renewer reports the target as failing.
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

// Directive returns the current directive for an instance.
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

// renewers selects the instances for a target by rendezvous hashing, so that
// adding or removing an instance affects only that instance's renewals.
func (l *Leader) renewers(now time.Time, target string) []string {
	var ids []string
	for id, m := range l.members {
		if now.Sub(m.Seen) <= memberTimeout {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := weight(a, target), weight(b, target)
		if x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ids[:min(len(ids), RenewersPerTarget)]
}

func weight(instance, target string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + target)
}

// Released returns the suspended targets whose lease has ended. Each gets no
// lease until ApplyAssignment receives a higher generation, since a planner may
// already be assigning its shards to other targets.
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

// leaseBound is when the suspended target's lease has ended for certain. An
// instance that has not confirmed the suspension may renew the target until
// its own authority ends, and the lease that it gives ends then too.
func (l *Leader) leaseBound(now time.Time, ts *targetState) time.Time {
	bound := later(ts.reportedLeaseEnd, l.PriorLeasesEnd)
	for _, m := range l.members {
		if m.appliedDirective < ts.suspendedVersion {
			bound = later(bound, now.Add(m.authority.Left(now)))
		}
	}
	return bound
}

// Returned lists targets that are lost in the assignment, or were released, and
// that respond again.
func (l *Leader) Returned() []Release {
	var returned []Release
	for _, id := range l.targetIDs() {
		ts := l.targets[id]
		if ts.alive && (ts.target.State == assignment.Lost || ts.released) {
			returned = append(returned, Release{Target: id, Generation: ts.target.Generation})
		}
	}
	return returned
}

// Drained returns the completed revocations that are final, because every
// instance with authority has the version that revokes the shard. An instance
// with an earlier version could grant the shard again to a target that was
// restarted and has no record of the revocation.
func (l *Leader) Drained(now time.Time) []Drain {
	var final []Drain
	for _, id := range l.targetIDs() {
		ts := l.targets[id]
		for d := range ts.drains {
			if now.Before(l.PriorLeasesEnd) || l.ReachedVersion(now, d.Service) < d.Version {
				continue
			}
			final = append(final, d)
		}
	}
	slices.SortFunc(final, func(a, b Drain) int { return strings.Compare(a.Service, b.Service) })
	return final
}

// DropDrains removes the drains of a service's versions before version.
func (l *Leader) DropDrains(service string, version uint64) {
	for _, ts := range l.targets {
		for d := range ts.drains {
			if d.Service == service && d.Version < version {
				delete(ts.drains, d)
			}
		}
	}
}

// ReachedVersion returns the lowest version of a service in force at any
// instance with authority; the maximum uint64 if there is no such instance.
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

// Members returns the instances that poll this leader, sorted by ID.
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
