// Package follower polls the zone's leader: reports go up, authority,
// directives, assignments and the configuration come back.
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
	"basilcross.example/gateway/peer"
	"basilcross.example/gateway/renewer"
	"basilcross.example/gateway/view"
)

const (
	// pollWait is how long the leader may hold a poll back. It is taken off the
	// authority that the answer brings.
	pollWait = 450 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = pollWait + 150*time.Millisecond
	// retryDelay lies between two polls that failed.
	retryDelay = 60 * time.Millisecond
	// authorityLossDelay is the time without an answer after which it is logged.
	authorityLossDelay = 1500 * time.Millisecond
)

// Loads gives the loads since the last call, for the report.
type Loads interface {
	Take(now time.Time) (shards []*control.ShardLoad, hot []*control.HotKey)
}

// Follower polls the leader. All fields up to Log are set by the owner.
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
	// OnRenewal is told of the leader's renewals and of what it had left.
	OnRenewal func(now time.Time, term, renewals uint64, left time.Duration)
	Caller    *peer.Caller
	Log       *slog.Logger

	mu            sync.Mutex
	leader        string
	members       []string
	term          uint64
	renewals      uint64
	nextPeer      int
	authorityLost bool
}

// SetLeader tells where the leader is, as read from the seat's row.
func (d *Follower) SetLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = address
}

// Members returns the zone's instances in the order in which they may take the
// leader's seat, as last heard.
func (d *Follower) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

// Leader returns the leader's address as far as known.
func (d *Follower) Leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// Serve polls until the context ends.
func (d *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.poll(ctx) {
			continue
		}
		d.logAuthorityLoss()
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return ctx.Err()
}

func (d *Follower) logAuthorityLoss() {
	if d.authorityLost || time.Since(d.Authority.LastContact()) < authorityLossDelay {
		return
	}
	d.authorityLost = true
	event.AuthorityLapsed.Log(d.Log, "leader", d.Leader())
}

// pollAddress returns the address to poll: the leader, or a peer that may know it.
func (d *Follower) pollAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	if len(d.PeerAddresses) == 0 {
		return ""
	}
	d.nextPeer++
	return d.PeerAddresses[d.nextPeer%len(d.PeerAddresses)]
}

// poll carries out one poll and tells whether the leader answered it.
func (d *Follower) poll(ctx context.Context) bool {
	address := d.pollAddress()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	stop := d.cancelWhenReportDue(ctx, cancel)
	defer stop()
	req := d.buildRequest()
	sent := time.Now()
	res, err := d.Caller.Zone(address).Poll(ctx, req)
	if err != nil {
		d.dropLeader(address, err)
		return false
	}
	if !res.GetLeading() {
		d.SetLeader(res.GetLeaderAddress())
		return false
	}
	d.applyResponse(sent, address, res)
	return true
}

// cancelWhenReportDue ends a poll that waits at the leader when there is news to report.
func (d *Follower) cancelWhenReportDue(ctx context.Context, cancel func()) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-d.Renewer.ReportDue():
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

// dropLeader drops a leader that cannot be reached, so that its address is asked
// for again. A poll that was cut short says nothing about it.
func (d *Follower) dropLeader(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address && time.Since(d.Authority.LastContact()) > pollTimeout {
		d.leader = ""
	}
}

func (d *Follower) buildRequest() *control.PollRequest {
	now := time.Now()
	directive, reports := d.Renewer.Reports(now)
	req := &control.PollRequest{
		Instance:    d.Instance,
		Incarnation: d.Incarnation,
		Address:     d.Address,
		Zone:        d.Zone,
		Term:        d.term,
		Directive:   directive,
		Renewals:    d.renewals,
		WaitMs:      uint32(pollWait.Milliseconds()),
	}
	for _, r := range reports {
		req.Targets = append(req.Targets, encodeReport(r))
	}
	for name, version := range d.View.Load().Versions() {
		req.Known = append(req.Known, &control.Known{Name: name, Version: version})
	}
	req.Loads, req.Hot = d.Loads.Take(now)
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

// applyResponse puts an answer in force. The directive goes before the authority: under
// the new authority the old directive may no longer hold.
func (d *Follower) applyResponse(sent time.Time, address string, res *control.PollResponse) {
	for _, u := range res.GetUpdates() {
		if err := d.applyUpdate(u); err != nil {
			d.Log.Warn("update refused", "name", u.GetName(), "error", err)
		}
	}
	if res.GetRenews() {
		d.Renewer.SetDirective(decodeDirective(res))
	}
	now := time.Now()
	left := time.Duration(res.GetAuthorityUs()) * time.Microsecond
	d.Authority.Extend(sent, left, now)
	d.OnRenewal(now, res.GetTerm(), res.GetRenewals(), time.Duration(res.GetTableLeftUs())*time.Microsecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = address
	d.term = res.GetTerm()
	d.renewals = res.GetRenewals()
	if res.GetRenews() {
		d.members = res.GetMembers()
	}
	if d.authorityLost {
		d.authorityLost = false
		event.AuthorityBack.Log(d.Log, "leader", address)
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

func (d *Follower) applyUpdate(u *control.Update) error {
	content, err := gunzip(u.GetBody())
	if err != nil {
		return err
	}
	if u.GetName() == view.ConfigName {
		var doc config.Document
		if err := json.Unmarshal(content, &doc); err != nil {
			return fmt.Errorf("decode configuration: %w", err)
		}
		return d.setConfig(&doc)
	}
	var delta assignment.Delta
	if err := json.Unmarshal(content, &delta); err != nil {
		return fmt.Errorf("decode delta: %w", err)
	}
	return d.View.ApplyDelta(delta)
}

func (d *Follower) setConfig(doc *config.Document) error {
	if err := d.View.SetConfig(doc); err != nil {
		var stale *view.StaleError
		if errors.As(err, &stale) && stale.Offered == stale.InForce {
			return nil
		}
		return err
	}
	event.ConfigInForce.Log(d.Log, "version", doc.Version)
	return nil
}

// maxUpdateBytes bounds an unpacked update, whatever its sender claims.
const maxUpdateBytes = 64 << 20

func gunzip(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("unzip update: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes))
	if err != nil {
		return nil, fmt.Errorf("unzip update: %w", err)
	}
	return plain, nil
}
