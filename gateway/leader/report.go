package leader

import (
	"context"
	"time"

	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/control"
)

const (
	// reportCheck lies between two looks whether there is news to report.
	reportCheck = 50 * time.Millisecond
	// reportInterval is the longest time between two reports.
	reportInterval = 2 * time.Second
	// beatInterval is the longest time between two signs of life, which are
	// reports without the parts that are sums.
	beatInterval  = 400 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
)

// Reporter is the duty of telling the planner what the zone's leader knows.
type Reporter struct {
	Leader *Duty
}

// Serve reports until the context ends.
func (r *Reporter) Serve(ctx context.Context) error {
	var sent, beat time.Time
	var last string
	tick := time.NewTicker(reportCheck)
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
		news := newsOf(req)
		full := news != last || now.Sub(sent) >= reportInterval
		if !full && now.Sub(beat) < beatInterval {
			continue
		}
		if full {
			r.Leader.addSums(now, req)
		} else {
			req = beatOf(req)
		}
		if !r.Leader.send(ctx, req) {
			continue
		}
		beat = now
		if full {
			sent, last = now, news
		}
	}
}

// beatOf is a sign of life.
func beatOf(req *control.ReportRequest) *control.ReportRequest {
	return &control.ReportRequest{
		Zone: req.GetZone(), Instance: req.GetInstance(), Term: req.GetTerm(), Beat: true,
	}
}

// newsOf is what a planner should hear of at once.
func newsOf(req *control.ReportRequest) string {
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
func (d *Duty) report(now time.Time) *control.ReportRequest {
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
		Released:    encodeReleases(d.zone.Released(now)),
		Returned:    encodeReleases(d.zone.Returned()),
	}
	for _, drained := range d.zone.Drained(now) {
		req.Drained = append(req.Drained, &control.Drain{
			Service: drained.Service, First: drained.First, Epoch: drained.Epoch, Version: drained.Version,
		})
	}
	for name := range d.View.Load().Versions() {
		req.Reached = append(req.Reached, &control.Known{Name: name, Version: d.zone.ReachedVersion(now, name)})
	}
	sortKnown(req.Reached)
	return req
}

// addSums adds what is worth telling only now and then.
func (d *Duty) addSums(now time.Time, req *control.ReportRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zone == nil {
		return
	}
	req.Loads, req.Hot = d.loads.peek()
	for _, m := range d.zone.Members() {
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

// send brings the report to the planner, and books the loads as told.
func (d *Duty) send(ctx context.Context, req *control.ReportRequest) bool {
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
	d.told = time.Now()
	d.loads.clear(req.GetLoads(), req.GetHot())
	return true
}

func (d *Duty) plannerAt(address string) control.Planner {
	if address == d.Address {
		return d.Planner
	}
	return d.Peers.Planner(address)
}
