package instance

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/logsink"
	"basilcross.example/gateway/peers"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// speedInstance returns an instance with targets of a sharded service, each of which has answered a few
// requests, and of one that is not sharded.
func speedInstance(t *testing.T, targets int, features ...string) *Instance {
	t.Helper()
	s := Defaults()
	s.Features = features
	sink := logsink.New(io.Discard)
	i := New(s, slog.New(slog.NewJSONHandler(sink, nil)), sink)
	i.state.routes.Store(routing.New(&routing.Config{Version: 1, Services: []routing.Service{{Name: "sharded", Sharded: true}, {Name: "other"}}}))
	var list []*roster.Target
	for n := range targets {
		list = append(list, &roster.Target{ID: fmt.Sprintf("i-0123456789%03d", n), Started: 1_796_000_000_000, Service: "sharded", Zone: i.settings.Zone, Slots: 3, Address: fmt.Sprint("a:", n)})
	}
	list = append(list, &roster.Target{ID: "other", Started: 1_796_000_000_000, Service: "other", Zone: i.settings.Zone, Slots: 3, Address: "b:1"})
	i.state.roster.Replace(time.Now().Add(-time.Hour), list, 1)
	for _, target := range list {
		for range 3 {
			answer(t, i, target)
		}
	}
	return i
}

func answer(t *testing.T, i *Instance, target *roster.Target) {
	t.Helper()
	now := time.Now()
	r, err := i.dispatcher.Acquire(t.Context(), schedule.Request{
		Service: target.Service, Kind: 1, Target: target.ID, Zone: target.Zone, Objective: now.Add(time.Second), Deadline: now.Add(time.Second), Requester: "i",
	})
	assert.NilError(t, err)
	r.Release(schedule.Answered)
}

// All targets of a sharded service must be reported within a few seconds, in datagrams that fit into a
// packet, and again only once they have answered again.
func TestSpeedsOfAllTargetsAreReported(t *testing.T) {
	i := speedInstance(t, 220, "speeds")
	r := &reporter{Instance: i}
	now, reported := time.Now(), map[string]bool{}
	for round := range 7 {
		for _, report := range r.speedReport(now.Add(time.Duration(round)*time.Second), 3) {
			assert.Equal(t, report.Members, 3)
			assert.Equal(t, len(report.Loads)+len(report.Latencies), 0)
			text, err := cbor.Marshal(&peers.Message{From: "front-west-innsbruck-100", Incarnation: "ABCDEFGH", Revisions: map[string]uint64{"assignment": 1 << 40, "operator": 1 << 40, "targets": 1 << 40}, Report: report})
			assert.NilError(t, err)
			assert.Assert(t, len(text) <= 1400, "%d bytes", len(text))
			for _, s := range report.Speeds {
				assert.Assert(t, s.Answers > 0 && s.Us > 0)
				reported[s.Target] = true
			}
		}
	}
	assert.Equal(t, len(reported), 220)
	assert.Assert(t, !reported["other"])
	assert.Equal(t, len(r.speedReport(now.Add(time.Minute), 3)), 0)
	name := "successor"
	i.coordinatorName.Store(&name)
	assert.Equal(t, len(r.speedReport(now.Add(time.Minute), 3)), 1, "a new coordinator gets all of them")
}

// Without the feature no estimates may be kept, and what a coordinator tells must change nothing.
func TestSpeedsAreNotReportedWithoutTheFeature(t *testing.T) {
	i := speedInstance(t, 3)
	assert.Equal(t, len(i.dispatcher.SpeedEstimates()), 0)
	before := i.dispatcher.TargetLatencies()
	i.receive(reportedSpeeds(3_000_000))
	assert.Equal(t, len(i.dispatcher.TargetLatencies()), len(before))
	for _, l := range i.dispatcher.TargetLatencies() {
		assert.Assert(t, l.Latency < 100*time.Millisecond)
	}
}

func reportedSpeeds(us int64) *peers.Message {
	return &peers.Message{From: "coordinator", Report: &peers.Report{Speeds: []peers.TargetSpeed{
		{Target: "i-0123456789001", Started: 1_796_000_000_000, Us: us},
		{Target: "i-0123456789002", Started: 1_700_000_000_000, Us: us},
	}}}
}

// A scheduler that has started must take a target to be as slow as it is known to be, unless that was an
// earlier incarnation.
func TestSchedulerAppliesReportedSpeeds(t *testing.T) {
	i := speedInstance(t, 3, "speeds")
	latency := func() map[string]time.Duration {
		m := map[string]time.Duration{}
		for _, l := range i.dispatcher.TargetLatencies() {
			m[l.Target] = l.Latency
		}
		return m
	}
	before := latency()
	i.receive(reportedSpeeds(3_000_000))
	after := latency()
	ratio := float64(after["i-0123456789001"]) / float64(after["i-0123456789002"])
	ratioBefore := float64(before["i-0123456789001"]) / float64(before["i-0123456789002"])
	assert.Assert(t, ratio > 2*ratioBefore, "%v, before %v", ratio, ratioBefore)
}

// Guards against metrics of the feature that docs/METRICS.md does not list.
func TestSpeedMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	families, err := speedInstance(t, 1, "speeds").registry.Gather()
	assert.NilError(t, err)
	series := 0
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "basilcross_target_") && f.GetName() != "basilcross_target_rejections_total" {
			series += len(f.GetMetric())
			assert.Assert(t, strings.Contains(string(page), "`"+f.GetName()+"`"), f.GetName())
		}
	}
	assert.Equal(t, series, 4)
}
