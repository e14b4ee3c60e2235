// Package renewer sends targets their leases and grants, as the zone leader's
// directive requires, and detects unresponsive targets.
package renewer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/view"
	"golang.org/x/sync/errgroup"
)

const (
	// renewInterval is the time between two renewals of a target.
	renewInterval = 250 * time.Millisecond
	// standbyInterval replaces renewInterval on a standby instance. If the other
	// instance is lost, the target may lack a lease for less than this.
	standbyInterval = time.Second
	// retryInterval is the time between an unanswered renewal and the next.
	retryInterval = 80 * time.Millisecond
	// callTimeout bounds one renewal.
	callTimeout = 300 * time.Millisecond
	// TargetLease is the longest lease given to a target. It bounds how long a
	// lost target's keys wait for their next owner.
	TargetLease = 750 * time.Millisecond
	// failingAfter is the number of consecutive unanswered renewals after which
	// the target is reported as failing.
	failingAfter = 2
	// aliveTimeout is how long a target counts as alive after a response.
	aliveTimeout = time.Second
)

// Caller sends an order to a target.
type Caller interface {
	Order(ctx context.Context, address string, o grant.Order) (grant.Status, error)
}

// Options configure a Renewer; all fields must be set.
type Options struct {
	Instance  string
	View      *view.View
	Authority *authority.Authority
	Caller    Caller
	Log       *slog.Logger
}

// Renewer renews the leases of the targets in its directive, and probes others.
type Renewer struct {
	Options

	mu        sync.Mutex
	directive zone.Directive
	targets   map[string]*targetState
	grants    grantIndex
	wake      chan struct{}
	reportDue chan struct{}
}

// targetState is a target's last status, and when to call the target next.
type targetState struct {
	status grant.Status
	// statusAt is when status, with its stamp, was received.
	statusAt time.Time
	// leasesEnd is when all leases that this instance gave have expired.
	leasesEnd time.Time
	failures  int
	nextCall  time.Time
	calling   bool
	callAgain bool
}

// New returns a Renewer without a directive.
func New(o Options) *Renewer {
	return &Renewer{
		Options:   o,
		targets:   map[string]*targetState{},
		wake:      make(chan struct{}, 1),
		reportDue: make(chan struct{}, 1),
	}
}

// SetDirective replaces the leader's directive. When it returns, no renewal of a
// target that is not in the directive will begin.
func (r *Renewer) SetDirective(next zone.Directive) {
	r.mu.Lock()
	r.directive = next
	r.mu.Unlock()
	signal(r.wake)
}

// ReportDue signals that a report should be sent before the next poll is due.
func (r *Renewer) ReportDue() <-chan struct{} { return r.reportDue }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve renews until the context ends.
func (r *Renewer) Serve(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	tick := time.NewTicker(retryInterval / 2)
	defer tick.Stop()
	for {
		changed := r.View.Load().Changed
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-r.wake:
			r.makeAllDue()
		case <-changed:
			r.makeAllDue()
		}
		for _, id := range r.takeDue(time.Now()) {
			group.Go(func() error {
				r.callTarget(ctx, id)
				return nil
			})
		}
	}
}

func (r *Renewer) makeAllDue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.targets {
		state.nextCall = time.Time{}
		state.callAgain = state.calling
	}
}

// takeDue returns the targets that are due, and marks them as being called.
func (r *Renewer) takeDue(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range r.directiveTargets() {
		state, ok := r.targets[id]
		if !ok {
			state = &targetState{}
			r.targets[id] = state
		}
		if state.calling || now.Before(state.nextCall) {
			continue
		}
		state.calling = true
		ids = append(ids, id)
	}
	return ids
}

// directiveTargets returns the targets to renew and to probe.
func (r *Renewer) directiveTargets() []string {
	ids := slices.Clone(r.directive.Probe)
	for _, renewal := range r.directive.Renew {
		ids = append(ids, renewal.Target)
	}
	return ids
}

// callTarget sends one order, and another if the target did not apply the lease, for
// instance because it lacks the grants.
func (r *Renewer) callTarget(ctx context.Context, id string) {
	defer r.scheduleNext(id)
	for range 2 {
		target, order, ok := r.prepareOrder(id, time.Now())
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := r.Caller.Order(callCtx, target.Address, order)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.recordFailure(id, err)
			return
		}
		if !r.recordStatus(id, order, status, time.Now()) {
			return
		}
	}
}

func (r *Renewer) scheduleNext(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targets[id]
	state.calling = false
	state.nextCall = time.Now().Add(renewInterval)
	if r.isStandby(id) {
		state.nextCall = time.Now().Add(standbyInterval)
	}
	if state.failures > 0 {
		state.nextCall = time.Now().Add(retryInterval)
	}
	if state.callAgain {
		state.callAgain = false
		state.nextCall = time.Time{}
	}
}

func (r *Renewer) isStandby(id string) bool {
	renewal, ok := r.renewal(id)
	return ok && renewal.Standby
}

// failureThreshold returns how many consecutive failures make the target failing.
func (r *Renewer) failureThreshold(id string) int {
	if renewal, ok := r.renewal(id); ok && renewal.Urgent {
		return 1
	}
	return failingAfter
}

// renewal returns the directive's entry for a target.
func (r *Renewer) renewal(id string) (renewal zone.Renewal, ok bool) {
	i := slices.IndexFunc(r.directive.Renew, func(x zone.Renewal) bool { return x.Target == id })
	if i < 0 {
		return zone.Renewal{}, false
	}
	return r.directive.Renew[i], true
}

// prepareOrder returns the next order, and records its lease before it can be sent.
func (r *Renewer) prepareOrder(id string, now time.Time) (*assignment.Target, grant.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	service, target := findTarget(r.View.Load(), id)
	if target == nil {
		return nil, grant.Order{}, false
	}
	state := r.targets[id]
	order := grant.Order{
		Incarnation: state.status.Incarnation,
		Stamp:       state.status.Stamp,
		Version:     target.GrantsVersion,
	}
	order.Lease = r.leaseLength(target, state, now)
	if order.Lease > 0 && state.status.Version != order.Version {
		order.Full = true
		order.Grants = r.grants.grantsOf(service, id)
	}
	return target, order, true
}

// leaseLength returns the lease that may be given now; zero requests the status only.
//
// The target counts from when it issued the stamp, which is before this
// instance received it. A lease of what the authority had left at that moment
// therefore ends within the authority.
func (r *Renewer) leaseLength(target *assignment.Target, state *targetState, now time.Time) time.Duration {
	renewal, renewed := r.renewal(target.ID)
	renewed = renewed && renewal.Generation == target.Generation
	left := r.Authority.Lease().Left(now)
	if !renewed || left == 0 || state.statusAt.IsZero() {
		return 0
	}
	length := min(TargetLease, left+now.Sub(state.statusAt))
	if end := state.statusAt.Add(length); end.After(state.leasesEnd) {
		state.leasesEnd = end
	}
	return length
}

func findTarget(s *view.Snapshot, id string) (*view.Service, *assignment.Target) {
	for _, service := range s.Services {
		if t, ok := service.Targets[id]; ok {
			return service, t
		}
	}
	return nil, nil
}

func (r *Renewer) recordFailure(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targets[id]
	state.failures++
	if state.failures == r.failureThreshold(id) {
		event.TargetFailing.Log(r.Log, "target", id, "error", err)
		signal(r.reportDue)
	}
}

// recordStatus records the response to an order and reports whether another order should
// follow at once, since the target did not apply the lease.
func (r *Renewer) recordStatus(id string, o grant.Order, s grant.Status, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targets[id]
	if state.failures >= failingAfter {
		event.TargetAnswers.Log(r.Log, "target", id)
		signal(r.reportDue)
	}
	state.failures = 0
	if len(s.Drained) > 0 && !slices.Equal(s.Drained, state.status.Drained) {
		signal(r.reportDue)
	}
	state.status = s
	state.statusAt = now
	return !s.Renewed && s.Version <= o.Version
}

// Reports returns the target reports for the leader, and the version of the directive
// that they belong to. Renewed targets without failures or drains are omitted: they
// are nearly all, and every poll would carry them.
func (r *Renewer) Reports(now time.Time) (directive uint64, reports []zone.TargetReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.View.Load()
	for id, state := range r.targets {
		report := zone.TargetReport{
			ID:        id,
			Failing:   state.failures >= r.failureThreshold(id),
			Alive:     state.failures == 0 && now.Sub(state.statusAt) < aliveTimeout,
			LeaseLeft: max(0, state.leasesEnd.Sub(now)),
			Drained:   completedDrains(snapshot, id, state.status),
		}
		if r.shouldReport(id, report) {
			reports = append(reports, report)
		}
	}
	return r.directive.Version, reports
}

func (r *Renewer) shouldReport(id string, report zone.TargetReport) bool {
	if slices.Contains(r.directive.Probe, id) {
		return true
	}
	if _, renewed := r.renewal(id); renewed {
		return report.Failing || len(report.Drained) > 0
	}
	return report.LeaseLeft > 0
}

func completedDrains(s *view.Snapshot, id string, status grant.Status) []zone.Drain {
	service, target := findTarget(s, id)
	if target == nil {
		return nil
	}
	var done []zone.Drain
	for _, drained := range status.Drained {
		done = append(done, zone.Drain{
			Service: service.Assignment.Service,
			First:   drained.First,
			Epoch:   drained.Epoch,
			Version: status.Version,
		})
	}
	return done
}
