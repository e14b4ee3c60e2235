// Package planner is the duty of deciding assignments for the whole fleet,
// carried out by the zone leader that holds the planner's seat. Losing the
// seat in the middle of a decision harms nothing: each decision is one
// conditional write.
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
	"basilcross.example/gateway/peer"
	"basilcross.example/gateway/view"
)

const (
	// SeatName is the name of the planner's seat; no zone may have it.
	SeatName = "$planner"
	// planInterval lies between two looks at what there is to decide.
	planInterval = 100 * time.Millisecond
	// renewInterval lies between two renewals of the planner's seat.
	renewInterval = 400 * time.Millisecond
	// plannerTimeout is how long the planner's row stands still before another
	// leader takes the seat.
	plannerTimeout = 700 * time.Millisecond
	// readInterval lies between two readings of the heads while every zone's
	// leader gives signs of life, alarmInterval while one does not.
	readInterval     = 2 * time.Second
	fastReadInterval = 150 * time.Millisecond
	// heartbeatTimeout is the silence of a zone's leader that raises the alarm.
	heartbeatTimeout = 600 * time.Millisecond
	// instanceListInterval lies between two readings of the platform's list.
	instanceListInterval = time.Second
	// balanceInterval lies between two decisions for balance.
	balanceInterval = time.Second
	// startupDelay is how long a new planner waits for reports.
	startupDelay = 2 * time.Second
	// zoneEvictionDelay is what a silent zone's own candidates get after its seat
	// became free, before the whole zone counts as lost.
	zoneEvictionDelay = 250 * time.Millisecond
	// maxReportAge is the silence after which a zone counts as not led.
	maxReportAge = 4 * time.Second
	tableTimeout = 800 * time.Millisecond
	nudgeTimeout = 300 * time.Millisecond
)

// Options are what a Duty needs; all fields must be set.
type Options struct {
	Instance    string
	Incarnation string
	Address     string
	Table       table.Client
	Objects     object.Client
	View        *view.View
	Peers       *peer.Caller
	Log         *slog.Logger
	NewToken    func() string
	// Instances reads the platform's list.
	Instances func(ctx context.Context) ([]platform.Instance, error)
	// Leading tells whether this instance leads a zone; only those plan.
	Leading func(now time.Time) bool
	// PlannerUnresponsive tells whether the present planner has taken no report lately.
	PlannerUnresponsive func() bool
	Evictor             *evictor.Evictor
}

// Planner plans while its instance holds the planner's seat.
type Planner struct {
	Options

	mu       sync.Mutex
	seat     seat.Seat
	reports  map[string]zoneReport
	hints    map[string]*seat.Hints
	wake     chan struct{}
	loads    loadAverage
	hot      hotKeys
	stopping bool

	// The rest belongs to Serve alone.
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

// New returns a duty without the seat.
func New(o Options) *Planner {
	return &Planner{
		Options: o,
		seat: seat.Seat{Name: SeatName, Self: seat.Record{
			Holder: o.Instance, Incarnation: o.Incarnation, Address: o.Address,
		}},
		reports:       map[string]zoneReport{},
		hints:         map[string]*seat.Hints{},
		wake:          make(chan struct{}, 1),
		chain:         audit.Chain{Stream: audit.System},
		deltaLogs:     map[string]*deltalog.Log{},
		zoneSeats:     map[string]*seat.Seat{},
		quietVersions: map[string]*quietVersion{},
	}
}

// Observe takes in the planner seat's row.
func (d *Planner) Observe(now time.Time, row *table.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.seat.Observe(now, row); err != nil {
		d.Log.Error("planner seat", "error", err)
	}
}

// Address returns where the planner is, as far as known.
func (d *Planner) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, _ := d.seat.Record()
	return r.Address
}

// Planning tells whether this instance plans at now.
func (d *Planner) Planning(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seat.Holding() && d.seat.Authority().Valid(now)
}

// ReceiveHeartbeat takes in a zone's leader's sign of life, whether this instance plans or
// not: it may have to, should the planner be lost together with its zone.
func (d *Planner) ReceiveHeartbeat(now time.Time, beat *control.BeatRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hints[beat.GetZone()]
	if h == nil {
		h = &seat.Hints{}
		d.hints[beat.GetZone()] = h
	}
	h.Add(now, beat.GetTerm(), beat.GetRenewals(), time.Duration(beat.GetTableLeftUs())*time.Microsecond)
}

// lastHeartbeat is when a zone's leader last gave a sign of life. It is called with the
// lock held.
func (d *Planner) lastHeartbeat(zone string) time.Time {
	if h := d.hints[zone]; h != nil {
		return h.ReceivedAt()
	}
	return time.Time{}
}

// Report takes in what a zone's leader knows.
func (d *Planner) Report(_ context.Context, req *control.ReportRequest) (*control.ReportResponse, error) {
	now := time.Now()
	if !d.Planning(now) {
		return &control.ReportResponse{}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.reports[req.GetZone()]; ok && req.GetBeat() && last.req.GetTerm() == req.GetTerm() {
		last.receivedAt = now
		d.reports[req.GetZone()] = last
		return &control.ReportResponse{Planning: true}, nil
	}
	if req.GetBeat() {
		// A planner that is new wants the whole report.
		return &control.ReportResponse{}, nil
	}
	d.reports[req.GetZone()] = zoneReport{receivedAt: now, req: req}
	d.loads.add(req.GetLoads())
	d.hot.add(now, req.GetHot())
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return &control.ReportResponse{Planning: true}, nil
}

// Serve plans until the context ends.
func (d *Planner) Serve(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-d.wake:
		}
		d.runOnce(ctx)
	}
}

func (d *Planner) runOnce(ctx context.Context) {
	now := time.Now()
	if !d.Leading(now) {
		d.planningSince = time.Time{}
		return
	}
	if now.Sub(d.renewedAt) >= renewInterval || d.shouldClaimSeat(now) {
		d.renewedAt = now
		d.renewOrClaimSeat(ctx, now)
	}
	d.readHeads(ctx, now)
	if !d.Planning(time.Now()) {
		d.planningSince = time.Time{}
		return
	}
	if d.planningSince.IsZero() {
		d.planningSince = now
		event.SeatGained.Log(d.Log, "seat", SeatName)
	}
	d.refreshInstances(ctx, now)
	d.planServices(ctx)
}

// renewOrClaimSeat renews the planner's seat, or takes it when it is free, and reads
// the heads in the same round trip.
func (d *Planner) renewOrClaimSeat(ctx context.Context, now time.Time) {
	d.mu.Lock()
	var tx table.Transaction
	var err error
	switch {
	case d.stopping:
	case d.seat.Holding():
		tx, err = d.seat.Renew(now, d.NewToken())
	case d.seat.Free() || d.seat.Expired(now) || d.plannerLost(now):
		// Two planners for a moment do no harm, since every decision is one
		// conditional write; so nobody waits for the old one's authority.
		tx, err = d.seat.Claim(now, d.NewToken())
	}
	d.mu.Unlock()
	if err != nil || len(tx.Puts) == 0 {
		return
	}
	tx.ReadKeys = []string{seat.RowKey(SeatName)}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := d.Table.Transact(callCtx, tx)
	if err != nil {
		return
	}
	d.applyHeads(ctx, res)
}

// readHeads reads the heads: seldom while all zones' leaders give signs of life, and
// often while one is silent, since its seat may have to be taken.
func (d *Planner) readHeads(ctx context.Context, now time.Time) {
	interval := readInterval
	if d.anyLeaderUnresponsive(now) {
		interval = fastReadInterval
	}
	if now.Sub(d.headsReadAt) < interval || !d.Planning(now) {
		return
	}
	d.headsReadAt = now
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := d.Table.Transact(callCtx, table.Transaction{ReadPrefixes: []string{"head/"}, ReadKeys: []string{audit.HeadKey(audit.System)}})
	if err != nil {
		return
	}
	d.applyHeads(ctx, res)
}

// shouldClaimSeat tells whether the planner's seat should be taken now.
func (d *Planner) shouldClaimSeat(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.seat.Holding() && d.plannerLost(now)
}

// plannerLost tells whether the planner takes no reports and its row stands still. One
// of the two alone may only mean that the table is slow, or a way is cut.
func (d *Planner) plannerLost(now time.Time) bool {
	return d.PlannerUnresponsive() && d.seat.Observed() && d.seat.UnchangedFor(now) > plannerTimeout
}

func (d *Planner) anyLeaderUnresponsive(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.zoneSeats) == 0 {
		return true
	}
	for name, z := range d.zoneSeats {
		r, _ := z.Record()
		if r.Holder != "" && now.Sub(d.lastHeartbeat(name)) > heartbeatTimeout {
			return true
		}
	}
	return false
}

// applyHeads takes in a reading of all heads.
func (d *Planner) applyHeads(ctx context.Context, res table.Result) {
	now := time.Now()
	if row, ok := res.Row(audit.HeadKey(audit.System)); ok {
		if err := d.chain.Observe(&row); err != nil {
			d.Log.Error("audit head", "error", err)
		}
	}
	for _, row := range res.Rows {
		if name, ok := seat.NameFromRowKey(row.Key); ok {
			d.applySeat(now, name, row)
			continue
		}
		if service, ok := deltalog.ServiceFromHeadKey(row.Key); ok {
			d.applyAssignment(ctx, service, row)
		}
	}
}

func (d *Planner) applySeat(now time.Time, name string, row table.Row) {
	if name == SeatName {
		d.Observe(now, &row)
		return
	}
	z, ok := d.zoneSeats[name]
	if !ok {
		z = &seat.Seat{Name: name}
		d.zoneSeats[name] = z
	}
	if err := z.Observe(now, &row); err != nil {
		d.Log.Error("seat row", "seat", name, "error", err)
	}
}

func (d *Planner) deltaLog(service string) *deltalog.Log {
	l, ok := d.deltaLogs[service]
	if !ok {
		l = &deltalog.Log{Service: service, Table: d.Table, Objects: d.Objects}
		l.OnDamagedSnapshot = func(name string, err error) {
			event.SnapshotDamaged.Log(d.Log, "object", name, "error", err)
		}
		d.deltaLogs[service] = l
	}
	return l
}

func (d *Planner) applyAssignment(ctx context.Context, service string, row table.Row) {
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if _, err := d.deltaLog(service).CatchUp(callCtx, row); err != nil {
		d.Log.Warn("planner not caught up", "service", service, "error", err)
	}
}

// refreshInstances reads the platform's instance list. It lags and may fail; the last one
// read is used on.
func (d *Planner) refreshInstances(ctx context.Context, now time.Time) {
	if now.Sub(d.instancesReadAt) < instanceListInterval {
		return
	}
	d.instancesReadAt = now
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	listed, err := d.Instances(callCtx)
	if err != nil {
		return
	}
	d.instances = listed
}

// Stop hands the planner's seat over before the instance shuts down.
func (d *Planner) Stop(ctx context.Context) {
	d.mu.Lock()
	d.stopping = true
	if !d.seat.Holding() {
		d.mu.Unlock()
		return
	}
	tx, err := d.seat.HandOver(time.Now(), d.NewToken())
	d.mu.Unlock()
	if err == nil {
		_, err = d.Table.Transact(ctx, tx)
	}
	if err != nil {
		d.Log.Warn("planner's seat not handed over", "error", err)
		return
	}
	event.SeatHandedOver.Log(d.Log, "seat", SeatName)
}
