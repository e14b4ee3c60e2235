package coordinator

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// SpeedTable has a row for each sharded service, with the estimates of its targets' speeds.
const SpeedTable = "speed"

const (
	// speedInterval is the time between two updates of the managers' speeds.
	speedInterval = 500 * time.Millisecond
	// speedWriteInterval is the shortest time between two writes of a service's row.
	speedWriteInterval = 10 * time.Second
	// speedReadRetryDelay is the delay before the rows are read again after a read has failed.
	speedReadRetryDelay = 5 * time.Second
	// speedRefusedDelay is the delay before rows are written again after the store refused some.
	speedRefusedDelay = 10 * time.Minute
	// speedStateTTL is how long after the end of a term its estimates are used in the next one of the
	// same instance: it ends whenever the store is away.
	speedStateTTL = 5 * time.Minute
	// unlistedSpeedTTL is how long after the beginning of a term estimates of targets that are not
	// listed are kept: the list may arrive later.
	unlistedSpeedTTL = time.Minute
	// newSchedulerAnswers is the number of responses below which an instance has only begun to schedule
	// a target.
	newSchedulerAnswers = 8
	// minSentCertainty and minSentDeviation, in natural logarithm, bound what is sent to a scheduler that
	// starts: it takes all targets to be average.
	minSentCertainty = 0.4
	minSentDeviation = 0.1
	// speedsPerDatagram bounds the speeds in one datagram.
	speedsPerDatagram = 36
	// slowBelow and fastAbove are the relative speeds that bound the classes of SpeedStatus.
	slowBelow = 0.8
	fastAbove = 1.25
)

// SpeedClass is a class of targets by their speed.
type SpeedClass int

// The classes.
const (
	Slow SpeedClass = iota
	Average
	Fast
)

func (c SpeedClass) String() string { return [...]string{"slow", "average", "fast"}[c] }

// SpeedStatus summarizes the targets of the sharded services, for metrics.
type SpeedStatus struct {
	// Certainty is the mean certainty of the targets' estimates; 0 if there are no targets.
	Certainty float64
	// LoadPerSlot is the load per slot of each class; 0 for one without targets.
	LoadPerSlot [Fast + 1]float64
}

// speedState is what the coordinator knows of targets' speeds. It is used by the goroutine of Serve
// alone, except status.
type speedState struct {
	services map[string]*serviceSpeeds
	// began is when the term began, and ended when this instance's last one did.
	began, ended time.Time
	// read is set once the rows were read in this term, and reading while they are.
	read, reading bool
	nextRead      time.Time
	nextUpdate    time.Time
	nextWrite     time.Time
	// sent has the incarnations of the instances that were sent the speeds in this term.
	sent   map[string]string
	status atomic.Pointer[SpeedStatus]
}

type serviceSpeeds struct {
	table speed.Table
	// kept is the content of the service's row; foreign is set if its version is not known, so that it
	// must not be replaced.
	kept     []speed.Estimate
	foreign  bool
	relative map[roster.Incarnation]speed.Relative
}

func (s *speedState) of(service string) *serviceSpeeds {
	if s.services == nil {
		s.services = map[string]*serviceSpeeds{}
	}
	if s.services[service] == nil {
		s.services[service] = &serviceSpeeds{}
	}
	return s.services[service]
}

// begin begins a term.
func (s *speedState) begin(now time.Time) {
	if now.Sub(s.ended) > speedStateTTL {
		s.services = nil
	}
	s.began, s.read, s.reading = now, false, false
	s.nextRead, s.nextUpdate, s.nextWrite = time.Time{}, time.Time{}, now.Add(speedWriteInterval)
	s.sent = map[string]string{}
}

func (s *speedState) end(now time.Time) {
	s.ended = now
	s.status.Store(nil)
}

// SpeedStatus returns the status of the targets' speeds; it is zero if this instance does not lead.
func (c *Coordinator) SpeedStatus() SpeedStatus {
	if status := c.speeds.status.Load(); status != nil {
		return *status
	}
	return SpeedStatus{}
}

// stepSpeeds does the work on speeds that is due in a term.
func (c *Coordinator) stepSpeeds(ctx context.Context, now time.Time) {
	if !c.Speeds {
		return
	}
	c.readSpeeds(ctx, now)
	if c.leadership.recorded == nil || now.Before(c.speeds.nextUpdate) {
		return
	}
	c.speeds.nextUpdate = now.Add(speedInterval)
	view := c.Roster.Load()
	status := &speedStatusBuilder{}
	for name, manager := range c.leadership.managers {
		s := c.speeds.of(name)
		s.table.Retain(func(target roster.Incarnation) bool {
			t := view.Find(target.ID)
			if t == nil {
				return now.Sub(c.speeds.began) < unlistedSpeedTTL
			}
			return t.Started == target.Started
		})
		s.relative = speed.RelativeSpeeds(listedEstimates(view, s.table.Estimates()))
		manager.SetSpeeds(s.relative)
		status.add(view.OfService(name), s.relative, manager.OwnerLoads(now))
	}
	c.speeds.status.Store(status.build())
	c.tellSpeeds(c.Self)
}

func listedEstimates(view *roster.View, estimates []speed.Estimate) (listed []speed.Estimate) {
	for _, e := range estimates {
		if t := view.Find(e.Target.ID); t != nil && t.Started == e.Target.Started {
			listed = append(listed, e)
		}
	}
	return listed
}

type speedStatusBuilder struct {
	certainty, targets float64
	load, slots        [Fast + 1]float64
}

func (b *speedStatusBuilder) add(targets []*roster.Target, relative map[roster.Incarnation]speed.Relative, loads map[string]float64) {
	for _, t := range targets {
		r := relative[t.Incarnation()]
		class := Average
		switch s := r.Shrunk(); {
		case s < slowBelow:
			class = Slow
		case s > fastAbove:
			class = Fast
		}
		b.targets++
		b.certainty += r.Certainty
		b.slots[class] += float64(t.Slots)
		b.load[class] += loads[t.ID]
	}
}

func (b *speedStatusBuilder) build() *SpeedStatus {
	s := &SpeedStatus{}
	if b.targets > 0 {
		s.Certainty = b.certainty / b.targets
	}
	for class, slots := range b.slots {
		if slots > 0 {
			s.LoadPerSlot[class] = b.load[class] / slots
		}
	}
	return s
}

// recordSpeeds records the estimates that an instance reports.
func (c *Coordinator) recordSpeeds(now time.Time, from string, reported []peers.TargetSpeed) {
	if !c.Speeds {
		return
	}
	view, starting := c.Roster.Load(), false
	for _, r := range reported {
		t := view.Find(r.Target)
		if r.Answers <= 0 || t == nil || t.Started != r.Started || c.leadership.managers[t.Service] == nil {
			continue
		}
		c.speeds.of(t.Service).table.Record(now, from, speed.Estimate{Target: t.Incarnation(), Seconds: float64(r.Us) / 1e6, Answers: float64(r.Answers)})
		starting = starting || r.Answers < newSchedulerAnswers
	}
	if starting {
		if other := c.Peers.Find(from); other.Name != "" {
			c.tellSpeeds(other)
		}
	}
}

// tellSpeeds sends the speeds of the targets in its zone to an instance that may have started, once a term.
func (c *Coordinator) tellSpeeds(to peers.Instance) {
	if !c.Speeds || c.speeds.sent[to.Name] == to.Incarnation {
		return
	}
	isTo := func(i peers.Instance) bool { return i.Name == to.Name }
	if to.Name != c.Self.Name && !slices.ContainsFunc(c.Peers.Hubs(to.Zone), isTo) {
		// A thin instance schedules nothing.
		return
	}
	var list []peers.TargetSpeed
	view := c.Roster.Load()
	for name := range c.leadership.managers {
		for _, t := range view.InZone(name, to.Zone) {
			r := c.speeds.of(name).relative[t.Incarnation()]
			if r.Certainty < minSentCertainty || math.Abs(math.Log(r.Shrunk())) < minSentDeviation {
				continue
			}
			list = append(list, peers.TargetSpeed{Target: t.ID, Started: t.Started, Us: int64(math.Round(1e6 / r.Shrunk()))})
		}
	}
	if len(list) == 0 {
		return
	}
	c.speeds.sent[to.Name] = to.Incarnation
	if to.Name == c.Self.Name {
		c.OnSpeeds(list)
		return
	}
	for len(list) > 0 {
		n := min(len(list), speedsPerDatagram)
		c.Peers.Send(to.Name, &peers.Message{Report: &peers.Report{Speeds: list[:n]}})
		list = list[n:]
	}
}

// readSpeeds reads the rows that the last coordinator kept, once a term. A term begins without them if
// the store does not answer this call.
func (c *Coordinator) readSpeeds(ctx context.Context, now time.Time) {
	s, l := &c.speeds, c.leadership
	if s.read || s.reading || now.Before(s.nextRead) {
		return
	}
	s.reading = true
	c.group.Go(func() error {
		rows, err := c.loadSpeeds(l.ctx) //nolint:contextcheck // the term's context cancels the call
		c.enqueue(ctx, func() {
			if c.leadership == l {
				c.onSpeedsRead(rows, err)
			}
		})
		return nil
	})
}

func (c *Coordinator) loadSpeeds(ctx context.Context) (rows []platform.Row, err error) {
	for after := ""; ; {
		response, err := c.Store.Range(ctx, attemptTimeout, SpeedTable, "", after)
		if err != nil {
			return nil, err
		}
		rows = append(rows, response.Rows...)
		if !response.More || len(response.Rows) == 0 {
			return rows, nil
		}
		after = response.Rows[len(response.Rows)-1].Key
	}
}

func (c *Coordinator) onSpeedsRead(rows []platform.Row, err error) {
	s := &c.speeds
	s.reading = false
	if err != nil {
		s.nextRead = time.Now().Add(speedReadRetryDelay)
		c.logStoreFailure("read speeds", err)
		return
	}
	s.read, s.nextUpdate = true, time.Time{}
	for _, service := range s.services {
		service.kept, service.foreign = nil, false
	}
	for _, row := range rows {
		estimates, err := speed.Decode(row.Value)
		if err != nil {
			var version *speed.VersionError
			s.of(row.Key).foreign = errors.As(err, &version)
			event.SpeedsUnusable.Log(c.Log, "service", row.Key, "bytes", len(row.Value), "error", err)
			continue
		}
		service := s.of(row.Key)
		service.kept = estimates
		for _, e := range estimates {
			service.table.Restore(e)
		}
		event.SpeedsRestored.Log(c.Log, "service", row.Key, "targets", len(estimates), "listed", len(listedEstimates(c.Roster.Load(), estimates)), "revision", row.Revision)
	}
}

// speedRows returns the rows that are due to be written, with the estimates in them. They are written
// together with the lease, which takes no further call of the store and whose condition excludes an
// earlier coordinator's writes.
func (c *Coordinator) speedRows(now time.Time) (set []platform.Write, kept map[string][]speed.Estimate) {
	s := &c.speeds
	if !c.Speeds || !s.read || now.Before(s.nextWrite) {
		return nil, nil
	}
	kept = map[string][]speed.Estimate{}
	for name := range c.leadership.managers {
		service := s.of(name)
		estimates := service.table.Estimates()
		if service.foreign || !speed.Changed(service.kept, estimates) {
			continue
		}
		kept[name] = estimates
		set = append(set, platform.Write{Table: SpeedTable, Key: name, Value: speed.Encode(estimates)})
	}
	if len(set) > 0 {
		s.nextWrite = now.Add(speedWriteInterval)
	}
	return set, kept
}

// onSpeedsWritten applies the result of a write with speeds.
func (c *Coordinator) onSpeedsWritten(now time.Time, kept map[string][]speed.Estimate, result writeResult) {
	if result.invalid && len(kept) > 0 {
		c.speeds.nextWrite = now.Add(speedRefusedDelay)
	}
	if !result.ok {
		return
	}
	for name, estimates := range kept {
		c.speeds.of(name).kept = estimates
	}
}
