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
	// wait is how long the leader may hold a poll back. It is taken off the
	// authority that the answer brings.
	wait = 450 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = wait + 150*time.Millisecond
	// retryPause lies between two polls that failed.
	retryPause = 60 * time.Millisecond
	// lapsedAfter is the time without an answer after which it is logged.
	lapsedAfter = 1500 * time.Millisecond
)

// Loads gives the loads since the last call, for the report.
type Loads interface {
	Take(now time.Time) (shards []*control.ShardLoad, hot []*control.HotKey)
}

// Duty polls the leader. All fields up to Log are set by the owner.
type Duty struct {
	Instance    string
	Incarnation string
	Address     string
	Zone        string
	Peers       []string
	View        *view.View
	Authority   *authority.Cell
	Renewer     *renewer.Duty
	Loads       Loads
	// Hint is told of the leader's renewals and of what it had left.
	Hint  func(now time.Time, term, renewals uint64, left time.Duration)
	Calls *peer.Caller
	Log   *slog.Logger

	mu       sync.Mutex
	leader   string
	members  []string
	term     uint64
	renewals uint64
	peer     int
	lapsed   bool
}

// SetLeader tells where the leader is, as read from the seat's row.
func (d *Duty) SetLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = address
}

// Members returns the zone's instances in the order in which they may take the
// leader's seat, as last heard.
func (d *Duty) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

// Leader returns the leader's address as far as known.
func (d *Duty) Leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// Serve polls until the context ends.
func (d *Duty) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.poll(ctx) {
			continue
		}
		d.noteLapse()
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return ctx.Err()
}

func (d *Duty) noteLapse() {
	if d.lapsed || time.Since(d.Authority.Contact()) < lapsedAfter {
		return
	}
	d.lapsed = true
	event.AuthorityLapsed.Log(d.Log, "leader", d.Leader())
}

// next returns the address to poll: the leader, or a peer that may know it.
func (d *Duty) next() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	if len(d.Peers) == 0 {
		return ""
	}
	d.peer++
	return d.Peers[d.peer%len(d.Peers)]
}

// poll carries out one poll and tells whether the leader answered it.
func (d *Duty) poll(ctx context.Context) bool {
	address := d.next()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	stop := d.cutShort(ctx, cancel)
	defer stop()
	req := d.request()
	sent := time.Now()
	res, err := d.Calls.Zone(address).Poll(ctx, req)
	if err != nil {
		d.forget(address, err)
		return false
	}
	if !res.GetLeading() {
		d.SetLeader(res.GetLeaderAddress())
		return false
	}
	d.take(sent, address, res)
	return true
}

// cutShort ends a poll that waits at the leader when there is news to report.
func (d *Duty) cutShort(ctx context.Context, cancel func()) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-d.Renewer.News():
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

// forget drops a leader that cannot be reached, so that its address is asked
// for again. A poll that was cut short says nothing about it.
func (d *Duty) forget(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address && time.Since(d.Authority.Contact()) > pollTimeout {
		d.leader = ""
	}
}

func (d *Duty) request() *control.PollRequest {
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
		WaitMs:      uint32(wait.Milliseconds()),
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

// take puts an answer in force. The directive goes before the authority: under
// the new authority the old directive may no longer hold.
func (d *Duty) take(sent time.Time, address string, res *control.PollResponse) {
	for _, u := range res.GetUpdates() {
		if err := d.update(u); err != nil {
			d.Log.Warn("update refused", "name", u.GetName(), "error", err)
		}
	}
	if res.GetRenews() {
		d.Renewer.SetDirective(decodeDirective(res))
	}
	now := time.Now()
	left := time.Duration(res.GetAuthorityUs()) * time.Microsecond
	d.Authority.Extend(sent, left, now)
	d.Hint(now, res.GetTerm(), res.GetRenewals(), time.Duration(res.GetTableLeftUs())*time.Microsecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = address
	d.term = res.GetTerm()
	d.renewals = res.GetRenewals()
	if res.GetRenews() {
		d.members = res.GetMembers()
	}
	if d.lapsed {
		d.lapsed = false
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

func (d *Duty) update(u *control.Update) error {
	content, err := unzip(u.GetBody())
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

func (d *Duty) setConfig(doc *config.Document) error {
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

// maxUpdate bounds an unpacked update, whatever its sender claims.
const maxUpdate = 64 << 20

func unzip(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("unzip update: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUpdate))
	if err != nil {
		return nil, fmt.Errorf("unzip update: %w", err)
	}
	return plain, nil
}
