package judge_test

import (
	"testing"
	"time"

	"basilcross.example/standin/judge"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func validHistory() *judge.History {
	h := &judge.History{}
	h.AddHold(judge.Hold{Target: "t1", Service: "menus", First: 0, Last: 99, Epoch: 1, From: at(0), Until: at(500)})
	h.AddHold(judge.Hold{Target: "t1", Service: "menus", First: 0, Last: 99, Epoch: 1, From: at(500), Until: at(1000)})
	h.AddHold(judge.Hold{Target: "t2", Service: "menus", First: 0, Last: 99, Epoch: 2, From: at(1000), Until: at(2000)})
	h.AddRun(judge.Run{Request: "r1", Target: "t1", Service: "menus", Hash: 5, At: at(100), Write: true})
	h.AddCall(judge.Call{Request: "r1", Outcome: judge.Answered, Valid: true, Executed: true, Write: true})
	h.AddCall(judge.Call{Request: "r2", Outcome: judge.DidNotRun, Write: true})
	h.AddCall(judge.Call{Request: "r3", Outcome: judge.ConnectionBroken, Gateway: "g1", Due: at(100), Done: at(200)})
	h.AddLeaving(judge.Leaving{Target: "t3", At: at(0)})
	h.AddRun(judge.Run{Request: "r4", Target: "t3", At: at(2000)})
	return h
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	assert.Equal(t, validHistory().CountViolations(), judge.Violations{})
}

// Guards against a violation that is not counted, or counted as another one: each is added
// alone to a valid history.
func TestEachViolationIsCounted(t *testing.T) {
	tests := map[string]struct {
		add  func(*judge.History)
		want judge.Violations
	}{
		"two owners": {func(h *judge.History) {
			h.AddHold(judge.Hold{Target: "t9", Service: "menus", First: 50, Last: 60, From: at(1999), Until: at(2001)})
		}, judge.Violations{TwoOwners: 1}},
		"executed by a former owner that does not check grants": {func(h *judge.History) {
			h.AddRun(judge.Run{Request: "r6", Target: "t8", Service: "menus", Hash: 5, At: at(1200), Unfenced: true})
		}, judge.Violations{TwoOwners: 1}},
		"executed twice": {func(h *judge.History) {
			h.AddRun(judge.Run{Request: "r1", Target: "t2", At: at(1200), Write: true})
		}, judge.Violations{RanTwice: 1}},
		"executed although refused as not executed": {func(h *judge.History) {
			h.AddRun(judge.Run{Request: "r2", Target: "t2", At: at(1200), Write: true})
		}, judge.Violations{RefusalUntrue: 1}},
		"invalid response": {func(h *judge.History) {
			h.AddCall(judge.Call{Request: "r1", Outcome: judge.Answered, Executed: true})
		}, judge.Violations{WrongOrCutAnswer: 1}},
		"acknowledged but not executed": {func(h *judge.History) {
			h.AddCall(judge.Call{Request: "r9", Outcome: judge.Answered, Valid: true, Executed: true})
		}, judge.Violations{AcknowledgedLost: 1}},
		"configuration reverted": {func(h *judge.History) {
			h.AddConfigReversion()
		}, judge.Violations{ConfigReverted: 1}},
		"executed too long after leaving": {func(h *judge.History) {
			h.AddRun(judge.Run{Request: "r5", Target: "t3", At: at(3001)})
		}, judge.Violations{WorkAfterLeaving: 1}},
		"connection broken during shutdown": {func(h *judge.History) {
			h.AddShutdown(judge.Shutdown{Gateway: "g1", At: at(150), Ended: at(300)})
		}, judge.Violations{CutAtShutdown: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			tt.add(h)
			assert.Equal(t, h.CountViolations(), tt.want)
		})
	}
}

// Guards against a stale read that goes unnoticed: after w2 was read, a later read returns
// the overwritten w1, as from the memory of a former owner.
func TestStaleReadIsNotLinearizable(t *testing.T) {
	h := &judge.History{}
	call := func(request string, from, until int, write bool, value string, outcome judge.Outcome) {
		h.AddCall(judge.Call{Request: request, Service: "menus", Key: "k", Write: write, Value: value, Due: at(from), Done: at(until), Outcome: outcome})
	}
	call("w1", 0, 10, true, "", judge.Answered)
	call("r1", 20, 30, false, "w1", judge.Answered)
	call("w2", 25, 90, true, "", judge.Unknown)
	call("r2", 40, 50, false, "w2", judge.Answered)
	ok, complete := h.Linearizable()
	assert.Assert(t, ok && complete)
	call("r3", 60, 70, false, "w1", judge.Answered)
	ok, _ = h.Linearizable()
	assert.Assert(t, !ok)
}
