// Package follower polls the zone's leader: it sends reports, and receives authority,
// directives, assignments and the configuration.
package follower

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/peerclient"
	"basilcross.example/gateway/renewer"
	"basilcross.example/gateway/view"
)

const (
	// pollWait is how long the leader may delay the response to a poll. It reduces
	// the authority that the response brings.
	pollWait = 450 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = pollWait + 150*time.Millisecond
	// retryDelay is the pause after a failed poll.
	retryDelay = 60 * time.Millisecond
	// authorityLossDelay is the time without a response after which the loss is logged.
	authorityLossDelay = 1500 * time.Millisecond
)

// Loads adds up the loads of requests; TakeReport returns those due for a report, and
// resets them.
type Loads interface {
	TakeReport(now time.Time) (shards []*control.ShardLoad, hot []*control.HotKey)
}

// Follower polls the leader. All fields up to Log must be set.
type Follower struct {
	Instance      string
	Incarnation   string
	Address       string
	Zone          string
	PeerAddresses []string
	View          *view.View
	Authority     *authority.Authority
	Renewer       *renewer.Renewer
	Loads         Loads
	// OnRenewal receives the leader's renewal and what it had left from the table.
	OnRenewal func(now time.Time, term, renewals uint64, left time.Duration)
	Caller    *peerclient.Caller
	Log       *slog.Logger

	mu            sync.Mutex
	leader        string
	members       []string
	term          uint64
	renewals      uint64
	nextPeer      int
	authorityLost bool
}

// SetLeader sets the leader's address; empty if unknown.
func (f *Follower) SetLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
}

// Members returns the zone's instances in the order in which they may claim the
// leader's seat, as last received.
func (f *Follower) Members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// Leader returns the leader's address; empty if unknown.
func (f *Follower) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// Serve polls until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.poll(ctx) {
			continue
		}
		f.logAuthorityLoss()
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return ctx.Err()
}

func (f *Follower) logAuthorityLoss() {
	if f.authorityLost || time.Since(f.Authority.LastContact()) < authorityLossDelay {
		return
	}
	f.authorityLost = true
	event.AuthorityLapsed.Log(f.Log, "leader", f.Leader())
}

// pollAddress returns the address to poll: the leader's, or a peer's that may return it.
func (f *Follower) pollAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	if len(f.PeerAddresses) == 0 {
		return ""
	}
	f.nextPeer++
	return f.PeerAddresses[f.nextPeer%len(f.PeerAddresses)]
}

// poll sends one poll and reports whether the leader responded.
func (f *Follower) poll(ctx context.Context) bool {
	address := f.pollAddress()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	stop := f.cancelWhenReportDue(ctx, cancel)
	defer stop()
	req := f.buildRequest()
	sent := time.Now()
	res, err := f.Caller.Zone(address).Poll(ctx, req)
	if err != nil {
		f.dropLeader(address, err)
		return false
	}
	if !res.GetLeading() {
		f.SetLeader(res.GetLeaderAddress())
		return false
	}
	f.applyResponse(sent, address, res)
	return true
}

// cancelWhenReportDue cancels a poll that waits at the leader when a report is due.
func (f *Follower) cancelWhenReportDue(ctx context.Context, cancel func()) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-f.Renewer.ReportDue():
			cancel()
		case <-done:
		case <-ctx.Done():
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// dropLeader drops the address of an unreachable leader, so that peers are polled for
// the new one. A poll canceled by cancelWhenReportDue is no evidence.
func (f *Follower) dropLeader(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == address && time.Since(f.Authority.LastContact()) > pollTimeout {
		f.leader = ""
	}
}

func (f *Follower) buildRequest() *control.PollRequest {
	now := time.Now()
	directive, reports := f.Renewer.Reports(now)
	req := &control.PollRequest{
		Instance:    f.Instance,
		Incarnation: f.Incarnation,
		Address:     f.Address,
		Zone:        f.Zone,
		Term:        f.term,
		Directive:   directive,
		Renewals:    f.renewals,
		WaitMs:      uint32(pollWait.Milliseconds()),
	}
	for _, r := range reports {
		req.Targets = append(req.Targets, encodeReport(r))
	}
	for name, version := range f.View.Load().Versions() {
		req.Known = append(req.Known, &control.Known{Name: name, Version: version})
	}
	req.Loads, req.Hot = f.Loads.TakeReport(now)
	return req
}

func encodeReport(r zone.TargetReport) *control.TargetReport {
	out := &control.TargetReport{
		Id:          r.ID,
		Failing:     r.Failing,
		Alive:       r.Alive,
		LeaseLeftMs: uint32((r.LeaseLeft + time.Millisecond - 1).Milliseconds()),
	}
	for _, drained := range r.Drained {
		out.Drained = append(out.Drained, &control.Drain{
			Service: drained.Service, First: drained.First, Epoch: drained.Epoch, Version: drained.Version,
		})
	}
	return out
}

// applyResponse applies the directive before the authority, since the old directive may
// be invalid under the new authority.
func (f *Follower) applyResponse(sent time.Time, address string, res *control.PollResponse) {
	for _, u := range res.GetUpdates() {
		if err := f.applyUpdate(u); err != nil {
			f.Log.Warn("apply update", "name", u.GetName(), "error", err)
		}
	}
	if res.GetRenews() {
		f.Renewer.SetDirective(decodeDirective(res))
	}
	now := time.Now()
	left := time.Duration(res.GetAuthorityUs()) * time.Microsecond
	f.Authority.Extend(sent, left, now)
	f.OnRenewal(now, res.GetTerm(), res.GetRenewals(), time.Duration(res.GetTableLeftUs())*time.Microsecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
	f.term = res.GetTerm()
	f.renewals = res.GetRenewals()
	if res.GetRenews() {
		f.members = res.GetMembers()
	}
	if f.authorityLost {
		f.authorityLost = false
		event.AuthorityBack.Log(f.Log, "leader", address)
	}
}

func decodeDirective(res *control.PollResponse) zone.Directive {
	directive := zone.Directive{Version: res.GetDirective(), Probe: res.GetProbe()}
	for _, r := range res.GetRenew() {
		directive.Renew = append(directive.Renew, zone.Renewal{
			Target: r.GetTarget(), Generation: r.GetGeneration(), Standby: r.GetStandby(), Urgent: r.GetUrgent(),
		})
	}
	return directive
}

func (f *Follower) applyUpdate(u *control.Update) error {
	content, err := gunzip(u.GetBody())
	if err != nil {
		return err
	}
	if u.GetName() == view.ConfigName {
		var doc config.Document
		if err := json.Unmarshal(content, &doc); err != nil {
			return fmt.Errorf("decode configuration: %w", err)
		}
		return f.setConfig(&doc)
	}
	var delta assignment.Delta
	if err := json.Unmarshal(content, &delta); err != nil {
		return fmt.Errorf("decode assignment delta of %q: %w", u.GetName(), err)
	}
	return f.View.ApplyDelta(delta)
}

func (f *Follower) setConfig(doc *config.Document) error {
	if err := f.View.SetConfig(doc); err != nil {
		var stale *view.StaleError
		if errors.As(err, &stale) && stale.Offered == stale.InForce {
			return nil
		}
		return err
	}
	event.ConfigInForce.Log(f.Log, "version", doc.Version)
	return nil
}

// maxUpdateBytes bounds the size of an unpacked update, whatever its sender states.
const maxUpdateBytes = 64 << 20

func gunzip(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("read gzip header of update: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes))
	if err != nil {
		return nil, fmt.Errorf("unzip update: %w", err)
	}
	return plain, nil
}
