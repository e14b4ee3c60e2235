package leader

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/planner"
	"basilcross.example/gateway/view"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
)

// maxPollWait bounds how long a poll may be held back, whatever it asks for.
const maxPollWait = time.Second

// Poll answers an instance of the zone. It waits until there is news.
func (d *Leader) Poll(ctx context.Context, req *control.PollRequest) (*control.PollResponse, error) {
	if req.GetZone() != d.Zone {
		return nil, twirp.InvalidArgumentError("zone", "this instance is in zone "+d.Zone)
	}
	if req.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPollWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	if !d.applyPoll(req) {
		return d.notLeading(), nil
	}
	for {
		res, news := d.tryAnswer(req)
		if res != nil {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return d.answerAtTimeout(req), nil
		case <-news:
		}
	}
}

// applyPoll takes in the report; false if this instance does not lead.
func (d *Leader) applyPoll(req *control.PollRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.leading(now) {
		return false
	}
	before := d.zoneState.Version()
	d.zoneState.ApplyReport(now, d.decodeReport(req))
	d.loads.add(req.GetLoads(), req.GetHot())
	if d.zoneState.Version() != before {
		d.broadcast()
	}
	return true
}

// decodeReport drops the directive's version if it is of another term: those
// versions are counted anew in each.
func (d *Leader) decodeReport(req *control.PollRequest) zone.Report {
	r := zone.Report{
		Instance:    req.GetInstance(),
		Incarnation: req.GetIncarnation(),
		Address:     req.GetAddress(),
		Versions:    decodeKnown(req.GetKnown()),
	}
	if record, _ := d.seat.Record(); req.GetTerm() == record.Term {
		r.Directive = req.GetDirective()
	}
	for _, t := range req.GetTargets() {
		report := zone.TargetReport{
			ID:        t.GetId(),
			Failing:   t.GetFailing(),
			Alive:     t.GetAlive(),
			LeaseLeft: time.Duration(t.GetLeaseLeftMs()) * time.Millisecond,
		}
		for _, drained := range t.GetDrained() {
			report.Drained = append(report.Drained, zone.Drain{
				Service: drained.GetService(), First: drained.GetFirst(),
				Epoch: drained.GetEpoch(), Version: drained.GetVersion(),
			})
		}
		r.Targets = append(r.Targets, report)
	}
	return r
}

func decodeKnown(known []*control.Known) map[string]uint64 {
	versions := make(map[string]uint64, len(known))
	for _, k := range known {
		versions[k.GetName()] = k.GetVersion()
	}
	return versions
}

func (d *Leader) notLeading() *control.PollResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, _ := d.seat.Record()
	res := &control.PollResponse{}
	if r.Address != d.Address {
		res.LeaderAddress = r.Address
	}
	return res
}

// tryAnswer returns the answer if there is news, else the channel that tells of
// the next.
func (d *Leader) tryAnswer(req *control.PollRequest) (*control.PollResponse, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.leading(now) {
		r, _ := d.seat.Record()
		return &control.PollResponse{LeaderAddress: r.Address}, nil
	}
	record, _ := d.seat.Record()
	// A renewal is news too: candidates then know how long the seat is held,
	// and the authority is fresh.
	stale := req.GetTerm() != record.Term || req.GetDirective() != d.zoneState.Version() || req.GetRenewals() != record.Renewals
	if !stale && !hasNewer(d.View.Load(), req.GetKnown()) {
		return nil, d.changed
	}
	return d.buildResponse(now, req), nil
}

func (d *Leader) answerAtTimeout(req *control.PollRequest) *control.PollResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.leading(now) {
		return &control.PollResponse{}
	}
	return d.buildResponse(now, req)
}

func hasNewer(s *view.Snapshot, known []*control.Known) bool {
	has := decodeKnown(known)
	for name, version := range s.Versions() {
		if version > has[name] {
			return true
		}
	}
	return false
}

// buildResponse gives the instance authority and what it lacks.
func (d *Leader) buildResponse(now time.Time, req *control.PollRequest) *control.PollResponse {
	record, _ := d.seat.Record()
	left := d.seat.Authority().Left(now)
	d.zoneState.RecordAuthority(now, req.GetInstance(), left)
	res := &control.PollResponse{
		Leading:     true,
		Term:        record.Term,
		AuthorityUs: uint32(left.Microseconds()),
		Renewals:    record.Renewals,
		TableLeftUs: d.tableLeft(now),
		Updates:     d.missingUpdates(req.GetKnown()),
	}
	directive := d.zoneState.Directive(now, req.GetInstance())
	if req.GetTerm() == record.Term && req.GetDirective() == directive.Version {
		return res
	}
	res.Renews = true
	res.Directive = directive.Version
	res.Probe = directive.Probe
	for _, r := range directive.Renew {
		res.Renew = append(res.Renew, &control.Renewal{Target: r.Target, Generation: r.Generation, Standby: r.Standby, Urgent: r.Urgent})
	}
	for _, m := range d.zoneState.Members() {
		if m.Instance != d.Instance {
			res.Members = append(res.Members, m.Instance)
		}
	}
	return res
}

// tableLeft is what the leader has left from the table, in microseconds.
func (d *Leader) tableLeft(now time.Time) uint32 {
	return uint32(lease.New(d.seat.RenewedAt(), seat.LeaseDuration).Left(now).Microseconds())
}

// missingUpdates returns the configuration and the deltas that the instance lacks.
func (d *Leader) missingUpdates(known []*control.Known) []*control.Update {
	has := decodeKnown(known)
	s := d.View.Load()
	var updates []*control.Update
	if s.Config != nil && s.Config.Version > has[view.ConfigName] {
		updates = append(updates, d.encodeUpdate(view.ConfigName, 0, s.Config.Version, s.Config))
	}
	for name := range s.Services {
		for _, delta := range d.View.DeltasSince(name, has[name]) {
			updates = append(updates, d.encodeUpdate(name, delta.From, delta.To, delta))
		}
	}
	return updates
}

func (d *Leader) encodeUpdate(name string, from, to uint64, v any) *control.Update {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		d.Log.Error("pack update", "name", name, "error", err)
	}
	// A buffer's writes do not fail.
	_ = w.Close()
	return &control.Update{Name: name, From: from, To: to, Body: b.Bytes()}
}

// Nudge makes the next turn come at once.
func (d *Leader) Nudge(context.Context, *control.NudgeRequest) (*control.NudgeResponse, error) {
	select {
	case d.nudges <- struct{}{}:
	default:
	}
	return &control.NudgeResponse{}, nil
}

// Transact carries out a table transaction for a leader that is cut off from
// the platform. It adds no authority: the caller counts from its own sending.
func (d *Leader) Transact(ctx context.Context, req *control.TransactRequest) (*control.TransactResponse, error) {
	var tx table.Transaction
	if err := json.Unmarshal(req.GetTransaction(), &tx); err != nil {
		return nil, twirp.InvalidArgumentError("transaction", err.Error())
	}
	res, err := d.Direct.Transact(ctx, tx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	content, err := json.Marshal(res)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &control.TransactResponse{Result: content}, nil
}

// nudgeTimeout bounds the telling of other zones' leaders.
const nudgeTimeout = 300 * time.Millisecond

// NudgeAll tells the leader of every zone to read the table now. A lost nudge
// only delays the news until that leader's next turn.
func (d *Leader) NudgeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	res, err := d.Table.Transact(ctx, table.Transaction{ReadPrefixes: []string{seat.RowKey("")}})
	if err != nil {
		return
	}
	var group errgroup.Group
	for _, row := range res.Rows {
		var r seat.Record
		if err := table.Decode(row, &r); err != nil || r.Address == "" || r.Zone == planner.SeatName {
			continue
		}
		group.Go(func() error {
			_, err := d.Peers.Zone(r.Address).Nudge(ctx, &control.NudgeRequest{})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		d.Log.Debug("nudge", "error", err)
	}
}
