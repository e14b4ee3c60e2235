package leader

import (
	"context"
	"time"

	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/control"
)

const (
	// reportCheckInterval is the time between two checks whether a report is due.
	reportCheckInterval = 50 * time.Millisecond
	// maxReportInterval is the longest time between two full reports.
	maxReportInterval = 2 * time.Second
	// keepAliveInterval is the longest time between two reports of any sort; between
	// full reports, keep-alive reports without contents are sent.
	keepAliveInterval = 400 * time.Millisecond
	reportTimeout     = 300 * time.Millisecond
)

// Reporter sends the reports of the zone's leader to the planner.
type Reporter struct {
	Leader *Leader
}

// Serve sends reports until the context ends.
func (r *Reporter) Serve(ctx context.Context) error {
	var lastFull, lastSent time.Time
	var last string
	tick := time.NewTicker(reportCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		req := r.Leader.report(now)
		if req == nil {
			continue
		}
		urgent := urgentPart(req)
		full := urgent != last || now.Sub(lastFull) >= maxReportInterval
		if !full && now.Sub(lastSent) < keepAliveInterval {
			continue
		}
		if full {
			r.Leader.addTotals(now, req)
		} else {
			req = keepAliveReport(req)
		}
		if !r.Leader.sendReport(ctx, req) {
			continue
		}
		lastSent = now
		if full {
			lastFull, last = now, urgent
		}
	}
}

// keepAliveReport returns a report without contents: the last full one is still valid.
func keepAliveReport(req *control.ReportRequest) *control.ReportRequest {
	return &control.ReportRequest{
		Zone: req.GetZone(), Instance: req.GetInstance(), Term: req.GetTerm(), Beat: true,
	}
}

// urgentPart returns the fields whose changes are reported at once, as text.
func urgentPart(req *control.ReportRequest) string {
	short := &control.ReportRequest{
		Term:     req.GetTerm(),
		Released: req.GetReleased(),
		Returned: req.GetReturned(),
		Drained:  req.GetDrained(),
		Reached:  req.GetReached(),
	}
	return short.String()
}

// report returns the report without totals; nil if this instance does not lead.
func (l *Leader) report(now time.Time) *control.ReportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading(now) {
		return nil
	}
	record, _ := l.seat.Record()
	req := &control.ReportRequest{
		Zone:        l.Zone,
		Instance:    l.Instance,
		Term:        record.Term,
		TermVersion: l.seat.TermVersion(),
		Released:    encodeReleases(l.zoneState.Released(now)),
		Returned:    encodeReleases(l.zoneState.Returned()),
	}
	for _, drained := range l.zoneState.Drained(now) {
		req.Drained = append(req.Drained, &control.Drain{
			Service: drained.Service, First: drained.First, Epoch: drained.Epoch, Version: drained.Version,
		})
	}
	for name := range l.View.Load().Versions() {
		req.Reached = append(req.Reached, &control.Known{Name: name, Version: l.zoneState.ReachedVersion(now, name)})
	}
	sortKnown(req.Reached)
	return req
}

// addTotals adds the loads and the members, whose changes are not urgent.
func (l *Leader) addTotals(now time.Time, req *control.ReportRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zoneState == nil {
		return
	}
	req.Loads, req.Hot = l.loads.totals()
	for _, m := range l.zoneState.Members() {
		req.Members = append(req.Members, encodeMember(now, m))
	}
}

func encodeMember(now time.Time, m zone.Member) *control.MemberState {
	out := &control.MemberState{
		Instance: m.Instance,
		Address:  m.Address,
		SilentMs: uint32(now.Sub(m.Seen).Milliseconds()),
	}
	for name, version := range m.Versions {
		out.Known = append(out.Known, &control.Known{Name: name, Version: version})
	}
	sortKnown(out.Known)
	return out
}

func encodeReleases(releases []zone.Release) []*control.Release {
	out := make([]*control.Release, 0, len(releases))
	for _, r := range releases {
		out = append(out, &control.Release{Target: r.Target, Generation: r.Generation})
	}
	return out
}

// sendReport sends the report and, once the planner accepted it, subtracts its loads.
func (l *Leader) sendReport(ctx context.Context, req *control.ReportRequest) bool {
	address := l.Planner.Address()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := l.plannerAt(address).Report(ctx, req)
	if err != nil || !res.GetPlanning() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportAcceptedAt = time.Now()
	l.loads.subtract(req.GetLoads(), req.GetHot())
	return true
}

func (l *Leader) plannerAt(address string) control.Planner {
	if address == l.Address {
		return l.Planner
	}
	return l.Peers.Planner(address)
}
