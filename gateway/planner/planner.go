// Package planner decides the assignments of the whole fleet, on the zone leader
// that holds the planner's seat. Losing the seat during a decision is harmless,
// since each decision is one conditional write.
package planner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/audit"
	"basilcross.example/basilcross/deltalog"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/platform"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/evictor"
	"basilcross.example/gateway/peerclient"
	"basilcross.example/gateway/view"
)

const (
	// SeatName is the name of the planner's seat; no zone may have it.
	SeatName = "$planner"
	// planInterval is the time between two planning rounds.
	planInterval = 100 * time.Millisecond
	// renewInterval is the time between two renewals of the planner's seat.
	renewInterval = 400 * time.Millisecond
	// plannerTimeout is how long the planner's row must be unchanged before
	// another leader claims the seat.
	plannerTimeout = 700 * time.Millisecond
	// readInterval is the time between two reads of the heads while every zone's
	// leader sends heartbeats, fastReadInterval while one is unresponsive.
	readInterval     = 2 * time.Second
	fastReadInterval = 150 * time.Millisecond
	// heartbeatTimeout is the time without heartbeats after which a zone's leader
	// counts as unresponsive.
	heartbeatTimeout = 600 * time.Millisecond
	// instanceListInterval is the time between two reads of the platform's list.
	instanceListInterval = time.Second
	// balanceInterval is the time between two load balancing decisions.
	balanceInterval = time.Second
	// startupDelay is how long a new planner waits for reports.
	startupDelay = 2 * time.Second
	// zoneEvictionDelay is how long an unresponsive zone's own candidates may claim
	// its free seat before the whole zone counts as lost.
	zoneEvictionDelay = 250 * time.Millisecond
	// maxReportAge is the age of its last report after which a zone counts as
	// having no leader.
	maxReportAge = 4 * time.Second
	tableTimeout = 800 * time.Millisecond
	nudgeTimeout = 300 * time.Millisecond
)

// Options configure a Planner; all fields must be set.
type Options struct {
	Instance    string
	Incarnation string
	Address     string
	Table       table.Client
	Objects     object.Client
	View        *view.View
	Peers       *peerclient.Caller
	Log         *slog.Logger
	NewToken    func() string
	// Instances reads the platform's instance list.
	Instances func(ctx context.Context) ([]platform.Instance, error)
	// Leading reports whether this instance leads a zone; only leaders plan.
	Leading func(now time.Time) bool
	// PlannerUnresponsive reports whether the current planner has accepted no
	// report lately.
	PlannerUnresponsive func() bool
	Evictor             *evictor.Evictor
}

// Planner plans the assignments while its instance holds the planner's seat. Every
// instance has one.
type Planner struct {
	Options

	mu            sync.Mutex
	seat          seat.Seat
	reports       map[string]zoneReport
	announcements map[string]*seat.Announcements
	wake          chan struct{}
	loads         loadAverage
	hot           hotKeys
	stopping      bool

	// The fields below are used by Serve only.
	chain           audit.Chain
	deltaLogs       map[string]*deltalog.Log
	zoneSeats       map[string]*seat.Seat
	instances       []platform.Instance
	instancesReadAt time.Time
	renewedAt       time.Time
	headsReadAt     time.Time
	balancedAt      time.Time
	planningSince   time.Time
	quietVersions   map[string]*quietVersion
}

// zoneReport is the last report of a zone's leader.
type zoneReport struct {
	receivedAt time.Time
	req        *control.ReportRequest
}

// New returns a Planner that does not hold the seat.
func New(o Options) *Planner {
	return &Planner{
		Options: o,
		seat: seat.Seat{Name: SeatName, Self: seat.Record{
			Holder: o.Instance, Incarnation: o.Incarnation, Address: o.Address,
		}},
		reports:       map[string]zoneReport{},
		announcements: map[string]*seat.Announcements{},
		wake:          make(chan struct{}, 1),
		chain:         audit.Chain{Stream: audit.System},
		deltaLogs:     map[string]*deltalog.Log{},
		zoneSeats:     map[string]*seat.Seat{},
		quietVersions: map[string]*quietVersion{},
	}
}

// Observe applies the planner seat's row, as read from the table at now.
func (p *Planner) Observe(now time.Time, row *table.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.seat.Observe(now, row); err != nil {
		p.Log.Error("apply planner seat row", "error", err)
	}
}

// Address returns the planner's control address; empty if unknown.
func (p *Planner) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, _ := p.seat.Record()
	return r.Address
}

// Planning reports whether this instance has the planner's authority at now.
func (p *Planner) Planning(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seat.Holding() && p.seat.Authority().Valid(now)
}

// ReceiveHeartbeat records a zone leader's heartbeat, also on instances that do not
// plan: they may have to, if the planner is lost together with its zone.
func (p *Planner) ReceiveHeartbeat(now time.Time, beat *control.BeatRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.announcements[beat.GetZone()]
	if a == nil {
		a = &seat.Announcements{}
		p.announcements[beat.GetZone()] = a
	}
	a.Add(now, beat.GetTerm(), beat.GetRenewals(), time.Duration(beat.GetTableLeftUs())*time.Microsecond)
}

// lastHeartbeat returns when the zone leader's last heartbeat was received. It is
// called with the lock held.
func (p *Planner) lastHeartbeat(zone string) time.Time {
	if a := p.announcements[zone]; a != nil {
		return a.ReceivedAt()
	}
	return time.Time{}
}

// Report applies a zone leader's report, if this instance plans.
func (p *Planner) Report(_ context.Context, req *control.ReportRequest) (*control.ReportResponse, error) {
	now := time.Now()
	if !p.Planning(now) {
		return &control.ReportResponse{}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.reports[req.GetZone()]; ok && req.GetBeat() && last.req.GetTerm() == req.GetTerm() {
		last.receivedAt = now
		p.reports[req.GetZone()] = last
		return &control.ReportResponse{Planning: true}, nil
	}
	if req.GetBeat() {
		// A new planner needs the full report.
		return &control.ReportResponse{}, nil
	}
	p.reports[req.GetZone()] = zoneReport{receivedAt: now, req: req}
	p.loads.add(req.GetLoads())
	p.hot.add(now, req.GetHot())
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return &control.ReportResponse{Planning: true}, nil
}

// Serve plans until the context ends.
func (p *Planner) Serve(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-p.wake:
		}
		p.runOnce(ctx)
	}
}

func (p *Planner) runOnce(ctx context.Context) {
	now := time.Now()
	if !p.Leading(now) {
		p.planningSince = time.Time{}
		return
	}
	if now.Sub(p.renewedAt) >= renewInterval || p.shouldClaimSeat(now) {
		p.renewedAt = now
		p.renewOrClaimSeat(ctx, now)
	}
	p.readHeads(ctx, now)
	if !p.Planning(time.Now()) {
		p.planningSince = time.Time{}
		return
	}
	if p.planningSince.IsZero() {
		p.planningSince = now
		event.SeatGained.Log(p.Log, "seat", SeatName)
	}
	p.refreshInstances(ctx, now)
	p.planServices(ctx)
}

// renewOrClaimSeat renews the planner's seat, or claims it if it is free, and reads
// the heads in the same round trip.
func (p *Planner) renewOrClaimSeat(ctx context.Context, now time.Time) {
	p.mu.Lock()
	var tx table.Transaction
	var err error
	switch {
	case p.stopping:
	case p.seat.Holding():
		tx, err = p.seat.Renew(now, p.NewToken())
	case p.seat.Free() || p.seat.Expired(now) || p.plannerLost(now):
		// Two planners at a time are harmless, since every decision is one
		// conditional write; so the old one's authority need not expire first.
		tx, err = p.seat.Claim(now, p.NewToken())
	}
	p.mu.Unlock()
	if err != nil || len(tx.Puts) == 0 {
		return
	}
	tx.ReadKeys = []string{seat.RowKey(SeatName)}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := p.Table.Transact(callCtx, tx)
	if err != nil {
		return
	}
	p.applyHeads(ctx, res)
}

// readHeads reads the heads when due, and more often while a zone's leader is
// unresponsive, since its seat may have to be evicted.
func (p *Planner) readHeads(ctx context.Context, now time.Time) {
	interval := readInterval
	if p.anyLeaderUnresponsive(now) {
		interval = fastReadInterval
	}
	if now.Sub(p.headsReadAt) < interval || !p.Planning(now) {
		return
	}
	p.headsReadAt = now
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := p.Table.Transact(callCtx, table.Transaction{ReadPrefixes: []string{"head/"}, ReadKeys: []string{audit.HeadKey(audit.System)}})
	if err != nil {
		return
	}
	p.applyHeads(ctx, res)
}

// shouldClaimSeat reports whether the planner's seat should be claimed at once.
func (p *Planner) shouldClaimSeat(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.seat.Holding() && p.plannerLost(now)
}

// plannerLost reports whether the planner accepts no reports and its row is unchanged.
// One of the two alone may only mean a slow table or a broken connection.
func (p *Planner) plannerLost(now time.Time) bool {
	return p.PlannerUnresponsive() && p.seat.Observed() && p.seat.UnchangedFor(now) > plannerTimeout
}

func (p *Planner) anyLeaderUnresponsive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.zoneSeats) == 0 {
		return true
	}
	for name, z := range p.zoneSeats {
		r, _ := z.Record()
		if r.Holder != "" && now.Sub(p.lastHeartbeat(name)) > heartbeatTimeout {
			return true
		}
	}
	return false
}

func (p *Planner) applyHeads(ctx context.Context, res table.Result) {
	now := time.Now()
	if row, ok := res.Row(audit.HeadKey(audit.System)); ok {
		if err := p.chain.Observe(&row); err != nil {
			p.Log.Error("apply audit head row", "error", err)
		}
	}
	for _, row := range res.Rows {
		if name, ok := seat.NameFromRowKey(row.Key); ok {
			p.applySeat(now, name, row)
			continue
		}
		if service, ok := deltalog.ServiceFromHeadKey(row.Key); ok {
			p.applyAssignment(ctx, service, row)
		}
	}
}

func (p *Planner) applySeat(now time.Time, name string, row table.Row) {
	if name == SeatName {
		p.Observe(now, &row)
		return
	}
	z, ok := p.zoneSeats[name]
	if !ok {
		z = &seat.Seat{Name: name}
		p.zoneSeats[name] = z
	}
	if err := z.Observe(now, &row); err != nil {
		p.Log.Error("apply seat row", "seat", name, "error", err)
	}
}

func (p *Planner) deltaLog(service string) *deltalog.Log {
	l, ok := p.deltaLogs[service]
	if !ok {
		l = &deltalog.Log{Service: service, Table: p.Table, Objects: p.Objects}
		l.OnDamagedSnapshot = func(name string, err error) {
			event.SnapshotDamaged.Log(p.Log, "object", name, "error", err)
		}
		p.deltaLogs[service] = l
	}
	return l
}

func (p *Planner) applyAssignment(ctx context.Context, service string, row table.Row) {
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if _, err := p.deltaLog(service).CatchUp(callCtx, row); err != nil {
		p.Log.Warn("catch up with assignment deltas", "service", service, "error", err)
	}
}

// refreshInstances reads the platform's instance list when due. The list lags; if the
// read fails, the last one stays in use.
func (p *Planner) refreshInstances(ctx context.Context, now time.Time) {
	if now.Sub(p.instancesReadAt) < instanceListInterval {
		return
	}
	p.instancesReadAt = now
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	listed, err := p.Instances(callCtx)
	if err != nil {
		p.Log.Warn("read instance list", "error", err)
		return
	}
	p.instances = listed
}

// Stop hands the planner's seat over on shutdown, so that another leader can claim it at
// once.
func (p *Planner) Stop(ctx context.Context) {
	p.mu.Lock()
	p.stopping = true
	if !p.seat.Holding() {
		p.mu.Unlock()
		return
	}
	tx, err := p.seat.HandOver(time.Now(), p.NewToken())
	p.mu.Unlock()
	if err == nil {
		_, err = p.Table.Transact(ctx, tx)
	}
	if err != nil {
		p.Log.Warn("hand over planner seat", "error", err)
		return
	}
	event.SeatHandedOver.Log(p.Log, "seat", SeatName)
}
