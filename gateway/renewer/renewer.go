// Package renewer gives targets their leases and grants, as the zone leader
// directs, and sees whether they answer.
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
	// renewInterval lies between two renewals of a target.
	renewInterval = 250 * time.Millisecond
	// standbyInterval is that of the instance that only stands by. Should the
	// other one be lost, the lease may lapse for less than this.
	standbyInterval = time.Second
	// retryInterval lies between an unanswered renewal and the next.
	retryInterval = 80 * time.Millisecond
	// callTimeout bounds one renewal.
	callTimeout = 300 * time.Millisecond
	// TargetLease is the longest lease that a target gets. It bounds how long
	// a lost target's keys wait for their next owner.
	TargetLease = 750 * time.Millisecond
	// failingAfter is how many renewals in a row go unanswered before the
	// target is reported as failing.
	failingAfter = 2
	// aliveTimeout is how long an answer counts as a sign of life.
	aliveTimeout = time.Second
)

// Caller sends an order to a target.
type Caller interface {
	Order(ctx context.Context, address string, o grant.Order) (grant.Status, error)
}

// Options are what a Duty needs; all fields must be set.
type Options struct {
	Instance  string
	View      *view.View
	Authority *authority.Authority
	Caller    Caller
	Log       *slog.Logger
}

// Renewer renews the targets that its directive names.
type Renewer struct {
	Options

	mu        sync.Mutex
	directive zone.Directive
	targets   map[string]*targetState
	grants    grantIndex
	wake      chan struct{}
	reportDue chan struct{}
}

// targetState is what is known of one target.
type targetState struct {
	status grant.Status
	// statusAt is when the status with its stamp was received.
	statusAt time.Time
	// leasesEnd is when every lease that this instance gave has ended.
	leasesEnd time.Time
	failures  int
	nextCall  time.Time
	calling   bool
	callAgain bool
}

// New returns a duty without a directive.
func New(o Options) *Renewer {
	return &Renewer{
		Options:   o,
		targets:   map[string]*targetState{},
		wake:      make(chan struct{}, 1),
		reportDue: make(chan struct{}, 1),
	}
}

// SetDirective takes in the leader's order. When it returns, no renewal of a
// target that the directive leaves out will begin.
func (d *Renewer) SetDirective(next zone.Directive) {
	d.mu.Lock()
	d.directive = next
	d.mu.Unlock()
	signal(d.wake)
}

// ReportDue signals that a report is worth sending before its time.
func (d *Renewer) ReportDue() <-chan struct{} { return d.reportDue }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve renews until the context ends.
func (d *Renewer) Serve(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	tick := time.NewTicker(retryInterval / 2)
	defer tick.Stop()
	for {
		changed := d.View.Load().Changed
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-d.wake:
			d.makeAllDue()
		case <-changed:
			d.makeAllDue()
		}
		for _, id := range d.takeDue(time.Now()) {
			group.Go(func() error {
				d.callTarget(ctx, id)
				return nil
			})
		}
	}
}

// makeAllDue makes every target due at once.
func (d *Renewer) makeAllDue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.targets {
		l.nextCall = time.Time{}
		l.callAgain = l.calling
	}
}

// takeDue returns the targets whose turn it is, and marks them as busy.
func (d *Renewer) takeDue(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, id := range d.directiveTargets() {
		l, ok := d.targets[id]
		if !ok {
			l = &targetState{}
			d.targets[id] = l
		}
		if l.calling || now.Before(l.nextCall) {
			continue
		}
		l.calling = true
		ids = append(ids, id)
	}
	return ids
}

// directiveTargets returns the targets to renew and to probe.
func (d *Renewer) directiveTargets() []string {
	ids := slices.Clone(d.directive.Probe)
	for _, r := range d.directive.Renew {
		ids = append(ids, r.Target)
	}
	return ids
}

// callTarget sends one order, or two where the target lacks the grants.
func (d *Renewer) callTarget(ctx context.Context, id string) {
	defer d.scheduleNext(id)
	for range 2 {
		target, order, ok := d.prepareOrder(id, time.Now())
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := d.Caller.Order(callCtx, target.Address, order)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.recordFailure(id, err)
			return
		}
		if !d.recordStatus(id, order, status, time.Now()) {
			return
		}
	}
}

func (d *Renewer) scheduleNext(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.targets[id]
	l.calling = false
	l.nextCall = time.Now().Add(renewInterval)
	if d.isStandby(id) {
		l.nextCall = time.Now().Add(standbyInterval)
	}
	if l.failures > 0 {
		l.nextCall = time.Now().Add(retryInterval)
	}
	if l.callAgain {
		l.callAgain = false
		l.nextCall = time.Time{}
	}
}

func (d *Renewer) isStandby(id string) bool {
	r, ok := d.renewal(id)
	return ok && r.Standby
}

// failureThreshold is how many renewals in a row must go unanswered.
func (d *Renewer) failureThreshold(id string) int {
	if r, ok := d.renewal(id); ok && r.Urgent {
		return 1
	}
	return failingAfter
}

// renewal returns the directive's entry for a target.
func (d *Renewer) renewal(id string) (r zone.Renewal, ok bool) {
	i := slices.IndexFunc(d.directive.Renew, func(r zone.Renewal) bool { return r.Target == id })
	if i < 0 {
		return zone.Renewal{}, false
	}
	return d.directive.Renew[i], true
}

// prepareOrder works out the order and books its lease before it can be sent.
func (d *Renewer) prepareOrder(id string, now time.Time) (*assignment.Target, grant.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service, target := findTarget(d.View.Load(), id)
	if target == nil {
		return nil, grant.Order{}, false
	}
	l := d.targets[id]
	order := grant.Order{
		Incarnation: l.status.Incarnation,
		Stamp:       l.status.Stamp,
		Version:     target.GrantsVersion,
	}
	order.Lease = d.leaseLength(target, l, now)
	if order.Lease > 0 && l.status.Version != order.Version {
		order.Full = true
		order.Grants = d.grants.grantsOf(service, id)
	}
	return target, order, true
}

// leaseLength is the lease that may be given now; zero asks for the status only.
//
// The target counts from when it issued the stamp, which is before this
// instance received it. A lease of what the authority had left at that moment
// therefore ends within the authority.
func (d *Renewer) leaseLength(target *assignment.Target, l *targetState, now time.Time) time.Duration {
	r, renewed := d.renewal(target.ID)
	renewed = renewed && r.Generation == target.Generation
	left := d.Authority.Lease().Left(now)
	if !renewed || left == 0 || l.statusAt.IsZero() {
		return 0
	}
	length := min(TargetLease, left+now.Sub(l.statusAt))
	if end := l.statusAt.Add(length); end.After(l.leasesEnd) {
		l.leasesEnd = end
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

func (d *Renewer) recordFailure(id string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.targets[id]
	l.failures++
	if l.failures == d.failureThreshold(id) {
		event.TargetFailing.Log(d.Log, "target", id, "error", err)
		signal(d.reportDue)
	}
}

// recordStatus takes in a status and tells whether another order should follow at
// once: the target did not take the lease, or has news to be confirmed.
func (d *Renewer) recordStatus(id string, o grant.Order, s grant.Status, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.targets[id]
	if l.failures >= failingAfter {
		event.TargetAnswers.Log(d.Log, "target", id)
		signal(d.reportDue)
	}
	l.failures = 0
	if len(s.Drained) > 0 && !slices.Equal(s.Drained, l.status.Drained) {
		signal(d.reportDue)
	}
	l.status = s
	l.statusAt = now
	return !s.Renewed && s.Version <= o.Version
}

// Reports returns what is to be told to the leader, with the directive's
// version that it goes with. Targets that are renewed and well are left out:
// they are nearly all, and every poll would carry them.
func (d *Renewer) Reports(now time.Time) (directive uint64, reports []zone.TargetReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := d.View.Load()
	for id, l := range d.targets {
		r := zone.TargetReport{
			ID:        id,
			Failing:   l.failures >= d.failureThreshold(id),
			Alive:     l.failures == 0 && now.Sub(l.statusAt) < aliveTimeout,
			LeaseLeft: max(0, l.leasesEnd.Sub(now)),
			Drained:   completedDrains(snapshot, id, l.status),
		}
		if d.shouldReport(id, r) {
			reports = append(reports, r)
		}
	}
	return d.directive.Version, reports
}

func (d *Renewer) shouldReport(id string, r zone.TargetReport) bool {
	if slices.Contains(d.directive.Probe, id) {
		return true
	}
	if _, renewed := d.renewal(id); renewed {
		return r.Failing || len(r.Drained) > 0
	}
	return r.LeaseLeft > 0
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
