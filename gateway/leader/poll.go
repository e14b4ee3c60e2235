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

// maxPollWait bounds the wait that a poll may request.
const maxPollWait = time.Second

// Poll answers an instance of the zone, once there is a change or its wait is over.
func (l *Leader) Poll(ctx context.Context, req *control.PollRequest) (*control.PollResponse, error) {
	if req.GetZone() != l.Zone {
		return nil, twirp.InvalidArgumentError("zone", "this instance is in zone "+l.Zone)
	}
	if req.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPollWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	if !l.applyPoll(req) {
		return l.notLeading(), nil
	}
	for {
		res, changed := l.responseIfChanged(req)
		if res != nil {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return l.responseAtTimeout(req), nil
		case <-changed:
		}
	}
}

// applyPoll applies the instance's report; false if this instance does not lead.
func (l *Leader) applyPoll(req *control.PollRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.leading(now) {
		return false
	}
	before := l.zoneState.Version()
	l.zoneState.ApplyReport(now, l.decodeReport(req))
	l.loads.add(req.GetLoads(), req.GetHot())
	if l.zoneState.Version() != before {
		l.broadcast()
	}
	return true
}

// decodeReport drops the directive's version if it is of another term, since the
// versions start again in each term.
func (l *Leader) decodeReport(req *control.PollRequest) zone.Report {
	r := zone.Report{
		Instance:    req.GetInstance(),
		Incarnation: req.GetIncarnation(),
		Address:     req.GetAddress(),
		Versions:    decodeKnown(req.GetKnown()),
	}
	if record, _ := l.seat.Record(); req.GetTerm() == record.Term {
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

func (l *Leader) notLeading() *control.PollResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := l.seat.Record()
	res := &control.PollResponse{}
	if r.Address != l.Address {
		res.LeaderAddress = r.Address
	}
	return res
}

// responseIfChanged returns the answer if there is a change to send, else the channel that is
// closed at the next change.
func (l *Leader) responseIfChanged(req *control.PollRequest) (*control.PollResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.leading(now) {
		r, _ := l.seat.Record()
		return &control.PollResponse{LeaderAddress: r.Address}, nil
	}
	record, _ := l.seat.Record()
	// A renewal is a change too: it extends the instance's authority, and candidates
	// receive how long the seat is held.
	stale := req.GetTerm() != record.Term || req.GetDirective() != l.zoneState.Version() || req.GetRenewals() != record.Renewals
	if !stale && !hasNewer(l.View.Load(), req.GetKnown()) {
		return nil, l.changed
	}
	return l.buildResponse(now, req), nil
}

func (l *Leader) responseAtTimeout(req *control.PollRequest) *control.PollResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.leading(now) {
		return &control.PollResponse{}
	}
	return l.buildResponse(now, req)
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

// buildResponse grants the instance authority and adds the updates that it lacks.
func (l *Leader) buildResponse(now time.Time, req *control.PollRequest) *control.PollResponse {
	record, _ := l.seat.Record()
	left := l.seat.Authority().Left(now)
	l.zoneState.RecordAuthority(now, req.GetInstance(), left)
	res := &control.PollResponse{
		Leading:     true,
		Term:        record.Term,
		AuthorityUs: uint32(left.Microseconds()),
		Renewals:    record.Renewals,
		TableLeftUs: l.tableLeft(now),
		Updates:     l.missingUpdates(req.GetKnown()),
	}
	directive := l.zoneState.Directive(now, req.GetInstance())
	if req.GetTerm() == record.Term && req.GetDirective() == directive.Version {
		return res
	}
	res.Renews = true
	res.Directive = directive.Version
	res.Probe = directive.Probe
	for _, r := range directive.Renew {
		res.Renew = append(res.Renew, &control.Renewal{Target: r.Target, Generation: r.Generation, Standby: r.Standby, Urgent: r.Urgent})
	}
	for _, m := range l.zoneState.Members() {
		if m.Instance != l.Instance {
			res.Members = append(res.Members, m.Instance)
		}
	}
	return res
}

// tableLeft returns the authority left from the table, in microseconds.
func (l *Leader) tableLeft(now time.Time) uint32 {
	return uint32(lease.New(l.seat.RenewedAt(), seat.LeaseDuration).Left(now).Microseconds())
}

// missingUpdates returns the configuration and the deltas that the instance lacks.
func (l *Leader) missingUpdates(known []*control.Known) []*control.Update {
	has := decodeKnown(known)
	s := l.View.Load()
	var updates []*control.Update
	if s.Config != nil && s.Config.Version > has[view.ConfigName] {
		updates = append(updates, l.encodeUpdate(view.ConfigName, 0, s.Config.Version, s.Config))
	}
	for name := range s.Services {
		for _, delta := range l.View.DeltasSince(name, has[name]) {
			updates = append(updates, l.encodeUpdate(name, delta.From, delta.To, delta))
		}
	}
	return updates
}

func (l *Leader) encodeUpdate(name string, from, to uint64, v any) *control.Update {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		l.Log.Error("encode update", "name", name, "error", err)
	}
	// Writes to a bytes.Buffer do not fail.
	_ = w.Close()
	return &control.Update{Name: name, From: from, To: to, Body: b.Bytes()}
}

// Nudge makes the leader renew and read the heads at once.
func (l *Leader) Nudge(context.Context, *control.NudgeRequest) (*control.NudgeResponse, error) {
	select {
	case l.nudges <- struct{}{}:
	default:
	}
	return &control.NudgeResponse{}, nil
}

// Transact executes a table transaction for a leader that cannot reach the platform.
// It adds no authority: the caller counts from when it sent the request.
func (l *Leader) Transact(ctx context.Context, req *control.TransactRequest) (*control.TransactResponse, error) {
	var tx table.Transaction
	if err := json.Unmarshal(req.GetTransaction(), &tx); err != nil {
		return nil, twirp.InvalidArgumentError("transaction", err.Error())
	}
	res, err := l.Direct.Transact(ctx, tx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	content, err := json.Marshal(res)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &control.TransactResponse{Result: content}, nil
}

// nudgeTimeout bounds one NudgeAll.
const nudgeTimeout = 300 * time.Millisecond

// NudgeAll requests every zone's leader to read the table at once. A lost nudge only
// delays the update until that leader's next read.
func (l *Leader) NudgeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	res, err := l.Table.Transact(ctx, table.Transaction{ReadPrefixes: []string{seat.RowKey("")}})
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
			_, err := l.Peers.Zone(r.Address).Nudge(ctx, &control.NudgeRequest{})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		l.Log.Debug("nudge zone leaders", "error", err)
	}
}
