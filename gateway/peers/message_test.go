package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// earlierResponse is a ReserveResponse of the versions before admission.
type earlierResponse struct {
	_ struct{} `cbor:",toarray"`

	Seq         uint64
	Target      string
	Started     int64
	Queued      bool
	NoTarget    bool
	WaitMs      int64
	QueueLength int
	Address     string
	TargetZone  string
	MovedMs     int64
	NoOwner     bool
	Denied      bool
	Evacuated   []string
	NotHub      bool
	RateLimited bool
}

// Guards against a refusal by admission that earlier versions cannot decode: its requester would take the
// scheduler for unresponsive. It also guards against a changed encoding of other responses.
func TestEarlierVersionsDecodeRefusalsByAdmission(t *testing.T) {
	refusal := &ReserveResponse{Seq: 7, WaitMs: 40, QueueLength: 3}
	plain, err := cbor.Marshal(refusal)
	assert.NilError(t, err)
	want, err := cbor.Marshal(&earlierResponse{Seq: 7, WaitMs: 40, QueueLength: 3})
	assert.NilError(t, err)
	assert.DeepEqual(t, plain, want)

	refusal.SetAdmission(Admission{"overload", 1.256, 41 * time.Millisecond, 1700 * time.Millisecond, true})
	text, err := cbor.Marshal(refusal)
	assert.NilError(t, err)
	var earlier earlierResponse
	assert.NilError(t, cbor.Unmarshal(text, &earlier))
	assert.Assert(t, earlier.Seq == 7 && earlier.WaitMs == 40 && earlier.QueueLength == 3 && !earlier.Denied && earlier.Target == "" && earlier.Address == "")
	var decoded ReserveResponse
	assert.NilError(t, cbor.Unmarshal(text, &decoded))
	assert.DeepEqual(t, decoded.Admission(), Admission{"overload", 1.26, 41 * time.Millisecond, 1700 * time.Millisecond, true})
}

// Guards against evacuated zones that are read as the reason of a refusal by admission.
func TestEvacuatedZonesAreNoReason(t *testing.T) {
	for _, r := range []*ReserveResponse{{}, {Denied: true, EvacuatedOrAdmission: []string{"a", "b", "c", "d", "e"}}} {
		assert.DeepEqual(t, r.Admission(), Admission{})
	}
}
