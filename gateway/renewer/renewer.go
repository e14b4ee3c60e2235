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
	// interval lies between two renewals of a target.
	interval = 250 * time.Millisecond
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
	// aliveFor is how long an answer counts as a sign of life.
	aliveFor = time.Second
)

// Caller sends an order to a target.
type Caller interface {
	Order(ctx context.Context, address string, o grant.Order) (grant.Status, error)
}

// Options are what a Duty needs; all fields must be set.
type Options struct {
	Instance  string
	View      *view.View
	Authority *authority.Cell
	Caller    Caller
	Log       *slog.Logger
}

// Duty renews the targets that its directive names.
type Duty struct {
	Options

	mu        sync.Mutex
	directive zone.Directive
	lanes     map[string]*lane
	grants    grantIndex
	kick      chan struct{}
	news      chan struct{}
}

// lane is what is known of one target.
type lane struct {
	status grant.Status
	// stampAt is when the status with its stamp was received.
	stampAt time.Time
	// bound is when every lease that this instance gave has ended.
	bound    time.Time
	failures int
	next     time.Time
	busy     bool
	again    bool
}

// New returns a duty without a directive.
func New(o Options) *Duty {
	return &Duty{
		Options: o,
		lanes:   map[string]*lane{},
		kick:    make(chan struct{}, 1),
		news:    make(chan struct{}, 1),
	}
}

// SetDirective takes in the leader's order. When it returns, no renewal of a
// target that the directive leaves out will begin.
func (d *Duty) SetDirective(next zone.Directive) {
	d.mu.Lock()
	d.directive = next
	d.mu.Unlock()
	signal(d.kick)
}

// News signals that a report is worth sending before its time.
func (d *Duty) News() <-chan struct{} { return d.news }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve renews until the context ends.
func (d *Duty) Serve(ctx context.Context) error {
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
		case <-d.kick:
			d.hurry()
		case <-changed:
			d.hurry()
		}
		for _, id := range d.due(time.Now()) {
			group.Go(func() error {
				d.attend(ctx, id)
				return nil
			})
		}
	}
}

// hurry makes every target due at once.
func (d *Duty) hurry() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lanes {
		l.next = time.Time{}
		l.again = l.busy
	}
}

// due returns the targets whose turn it is, and marks them as busy.
func (d *Duty) due(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, id := range d.named() {
		l, ok := d.lanes[id]
		if !ok {
			l = &lane{}
			d.lanes[id] = l
		}
		if l.busy || now.Before(l.next) {
			continue
		}
		l.busy = true
		ids = append(ids, id)
	}
	return ids
}

// named returns the targets to renew and to probe.
func (d *Duty) named() []string {
	ids := slices.Clone(d.directive.Probe)
	for _, r := range d.directive.Renew {
		ids = append(ids, r.Target)
	}
	return ids
}

// attend sends one order, or two where the target lacks the grants.
func (d *Duty) attend(ctx context.Context, id string) {
	defer d.rest(id)
	for range 2 {
		target, order, ok := d.prepare(id, time.Now())
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
			d.unanswered(id, err)
			return
		}
		if !d.answered(id, order, status, time.Now()) {
			return
		}
	}
}

func (d *Duty) rest(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lanes[id]
	l.busy = false
	l.next = time.Now().Add(interval)
	if d.standsBy(id) {
		l.next = time.Now().Add(standbyInterval)
	}
	if l.failures > 0 {
		l.next = time.Now().Add(retryInterval)
	}
	if l.again {
		l.again = false
		l.next = time.Time{}
	}
}

func (d *Duty) standsBy(id string) bool {
	r, ok := d.renewal(id)
	return ok && r.Standby
}

// threshold is how many renewals in a row must go unanswered.
func (d *Duty) threshold(id string) int {
	if r, ok := d.renewal(id); ok && r.Urgent {
		return 1
	}
	return failingAfter
}

// renewal returns the directive's entry for a target.
func (d *Duty) renewal(id string) (r zone.Renewal, ok bool) {
	i := slices.IndexFunc(d.directive.Renew, func(r zone.Renewal) bool { return r.Target == id })
	if i < 0 {
		return zone.Renewal{}, false
	}
	return d.directive.Renew[i], true
}

// prepare works out the order and books its lease before it can be sent.
func (d *Duty) prepare(id string, now time.Time) (*assignment.Target, grant.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service, target := findTarget(d.View.Load(), id)
	if target == nil {
		return nil, grant.Order{}, false
	}
	l := d.lanes[id]
	order := grant.Order{
		Incarnation: l.status.Incarnation,
		Stamp:       l.status.Stamp,
		Version:     target.GrantsVersion,
	}
	order.Lease = d.length(target, l, now)
	if order.Lease > 0 && l.status.Version != order.Version {
		order.Full = true
		order.Grants = d.grants.of(service, id)
	}
	return target, order, true
}

// length is the lease that may be given now; zero asks for the status only.
//
// The target counts from when it issued the stamp, which is before this
// instance received it. A lease of what the authority had left at that moment
// therefore ends within the authority.
func (d *Duty) length(target *assignment.Target, l *lane, now time.Time) time.Duration {
	r, renewed := d.renewal(target.ID)
	renewed = renewed && r.Generation == target.Generation
	left := d.Authority.Lease().Left(now)
	if !renewed || left == 0 || l.stampAt.IsZero() {
		return 0
	}
	length := min(TargetLease, left+now.Sub(l.stampAt))
	if end := l.stampAt.Add(length); end.After(l.bound) {
		l.bound = end
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

func (d *Duty) unanswered(id string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lanes[id]
	l.failures++
	if l.failures == d.threshold(id) {
		event.TargetFailing.Log(d.Log, "target", id, "error", err)
		signal(d.news)
	}
}

// answered takes in a status and tells whether another order should follow at
// once: the target did not take the lease, or has news to be confirmed.
func (d *Duty) answered(id string, o grant.Order, s grant.Status, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lanes[id]
	if l.failures >= failingAfter {
		event.TargetAnswers.Log(d.Log, "target", id)
		signal(d.news)
	}
	l.failures = 0
	if len(s.Drained) > 0 && !slices.Equal(s.Drained, l.status.Drained) {
		signal(d.news)
	}
	l.status = s
	l.stampAt = now
	return !s.Renewed && s.Version <= o.Version
}

// Reports returns what is to be told to the leader, with the directive's
// version that it goes with. Targets that are renewed and well are left out:
// they are nearly all, and every poll would carry them.
func (d *Duty) Reports(now time.Time) (directive uint64, reports []zone.TargetReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := d.View.Load()
	for id, l := range d.lanes {
		r := zone.TargetReport{
			ID:        id,
			Failing:   l.failures >= d.threshold(id),
			Alive:     l.failures == 0 && now.Sub(l.stampAt) < aliveFor,
			LeaseLeft: max(0, l.bound.Sub(now)),
			Drained:   drains(snapshot, id, l.status),
		}
		if d.worthTelling(id, r) {
			reports = append(reports, r)
		}
	}
	return d.directive.Version, reports
}

func (d *Duty) worthTelling(id string, r zone.TargetReport) bool {
	if slices.Contains(d.directive.Probe, id) {
		return true
	}
	if _, renewed := d.renewal(id); renewed {
		return r.Failing || len(r.Drained) > 0
	}
	return r.LeaseLeft > 0
}

func drains(s *view.Snapshot, id string, status grant.Status) []zone.Drain {
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
