package leader

import (
	"context"
	"time"

	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/control"
)

const (
	// reportCheckInterval lies between two looks whether there is news to report.
	reportCheckInterval = 50 * time.Millisecond
	// maxReportInterval is the longest time between two reports.
	maxReportInterval = 2 * time.Second
	// keepAliveInterval is the longest time between two signs of life, which are
	// reports without the parts that are sums.
	keepAliveInterval = 400 * time.Millisecond
	reportTimeout     = 300 * time.Millisecond
)

// Reporter is the duty of telling the planner what the zone's leader knows.
type Reporter struct {
	Leader *Leader
}

// Serve reports until the context ends.
func (r *Reporter) Serve(ctx context.Context) error {
	var sent, beat time.Time
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
		news := urgentPart(req)
		full := news != last || now.Sub(sent) >= maxReportInterval
		if !full && now.Sub(beat) < keepAliveInterval {
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
		beat = now
		if full {
			sent, last = now, news
		}
	}
}

// keepAliveReport is a sign of life.
func keepAliveReport(req *control.ReportRequest) *control.ReportRequest {
	return &control.ReportRequest{
		Zone: req.GetZone(), Instance: req.GetInstance(), Term: req.GetTerm(), Beat: true,
	}
}

// urgentPart is what a planner should hear of at once.
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

// report composes the report; nil if this instance does not lead.
func (d *Leader) report(now time.Time) *control.ReportRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading(now) {
		return nil
	}
	record, _ := d.seat.Record()
	req := &control.ReportRequest{
		Zone:        d.Zone,
		Instance:    d.Instance,
		Term:        record.Term,
		TermVersion: d.seat.TermVersion(),
		Released:    encodeReleases(d.zoneState.Released(now)),
		Returned:    encodeReleases(d.zoneState.Returned()),
	}
	for _, drained := range d.zoneState.Drained(now) {
		req.Drained = append(req.Drained, &control.Drain{
			Service: drained.Service, First: drained.First, Epoch: drained.Epoch, Version: drained.Version,
		})
	}
	for name := range d.View.Load().Versions() {
		req.Reached = append(req.Reached, &control.Known{Name: name, Version: d.zoneState.ReachedVersion(now, name)})
	}
	sortKnown(req.Reached)
	return req
}

// addTotals adds what is worth telling only now and then.
func (d *Leader) addTotals(now time.Time, req *control.ReportRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zoneState == nil {
		return
	}
	req.Loads, req.Hot = d.loads.totals()
	for _, m := range d.zoneState.Members() {
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

// sendReport brings the report to the planner, and books the loads as told.
func (d *Leader) sendReport(ctx context.Context, req *control.ReportRequest) bool {
	address := d.Planner.Address()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := d.plannerAt(address).Report(ctx, req)
	if err != nil || !res.GetPlanning() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportAcceptedAt = time.Now()
	d.loads.subtract(req.GetLoads(), req.GetHot())
	return true
}

func (d *Leader) plannerAt(address string) control.Planner {
	if address == d.Address {
		return d.Planner
	}
	return d.Peers.Planner(address)
}
