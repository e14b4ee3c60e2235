package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// A version without speeds would drop every report, and with them the loads, if the encoding of one
// without speeds differed from before.
func TestReportWithoutSpeedsIsEncodedAsBefore(t *testing.T) {
	r := Report{
		Loads: []KeyLoad{{Service: "s", Key: 7, Ms: 20}}, Latencies: []TargetLatency{{Service: "s", Target: "t", Ms: 30}},
		Thin: true, Members: 3, Quarantined: []Quarantined{{Fingerprint: []byte{1}, LeftMs: 2, DurationMs: 3}},
	}
	text, err := cbor.Marshal(&Message{From: "a", Report: &r})
	assert.NilError(t, err)
	type formerMessage struct {
		_ struct{} `cbor:",toarray"`

		From             string
		Incarnation      string
		Revisions        map[string]uint64
		Heartbeat        *Heartbeat
		Report           *baseReport
		AssignmentUpdate *AssignmentUpdate
		Hello            *Instance
		ReserveRequest   *ReserveRequest
		ReserveResponse  *ReserveResponse
		Release          *Release
		Leaving          bool
		ReaderHeartbeat  *ReaderHeartbeat
		TableUpdate      *TableUpdate
		PoisonReport     *PoisonReport
		RateLimits       []RateLimit
		LeavingTargets   []LeavingTarget
	}
	former := formerMessage{From: "a", Report: &baseReport{Loads: r.Loads, Latencies: r.Latencies, Thin: true, Members: 3, Quarantined: r.Quarantined}}
	before, err := cbor.Marshal(&former)
	assert.NilError(t, err)
	assert.DeepEqual(t, text, before)
	text, err = cbor.Marshal(&Message{From: "a"})
	assert.NilError(t, err)
	without, err := cbor.Marshal(&formerMessage{From: "a"})
	assert.NilError(t, err)
	assert.DeepEqual(t, text, without)
	m := Message{}
	assert.NilError(t, cbor.Unmarshal(before, &m))
	assert.DeepEqual(t, m.Report.Loads[0].Key, 7)
	assert.Equal(t, m.Report.Members, 3)
	assert.Assert(t, m.Report.Speeds == nil)
}

// Speeds that were lost on the way would leave the coordinator without any, and it would not show.
func TestReportWithSpeedsIsDecoded(t *testing.T) {
	sent := []TargetSpeed{{Target: "t", Started: 17, Us: 260_000, Answers: 40}, {Target: "u", Us: 1, Answers: 0}}
	text, err := cbor.Marshal(&Message{From: "a", Report: &Report{Speeds: sent}})
	assert.NilError(t, err)
	m := Message{}
	assert.NilError(t, cbor.Unmarshal(text, &m))
	assert.Equal(t, len(m.Report.Speeds), 2)
	assert.Equal(t, m.Report.Speeds[0], sent[0])
	assert.Equal(t, m.Report.Speeds[1], sent[1])
	assert.Assert(t, m.Heartbeat == nil)
}
