package experiment

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// readFleet reads the load of a number of instances, shortened to some seconds. Callers retry that often.
func readFleet(t *testing.T, instances, seconds, retries int) *Fleet {
	t.Helper()
	f, err := ReadFleet(fmt.Sprintf("loads/fleets/%d.json", instances))
	assert.NilError(t, err)
	f.Seconds, f.Kinds[0].MaxRetries = seconds, retries
	return f
}

func simulateFleet(t *testing.T, f *Fleet, level float64, recognize bool) *FleetReport {
	t.Helper()
	r := f.Simulate(level, 1, recognize)
	o := r.Kinds[0]
	all := float64(o.Arrived)
	t.Logf("%d instances, load %.2f, %d retries, recognized: %v: in time %.3f, late %.3f, refused %.3f; %.2f of %d refusals at once; %d of %d retries recognized, %d first attempts mistaken",
		f.Instances, level, f.Kinds[0].MaxRetries, recognize, float64(o.InTime)/all, float64(o.Late)/all, float64(o.Refused)/all,
		float64(r.RefusedAtOnce)/float64(max(1, r.Refusals)), r.Refusals, r.Recognized, r.Retries, r.Mistaken)
	return r
}

// Guards against caller retries that take the slots of requests that can be in time, and against first attempts
// that are taken as retries.
func TestRecognizedRetriesLeaveSlotsToOthers(t *testing.T) {
	f := readFleet(t, 30, 6, 2)
	without := simulateFleet(t, f, 1.2, false)
	with := simulateFleet(t, f, 1.2, true)
	assert.Assert(t, with.InTimeShare() > without.InTimeShare())
	assert.Assert(t, with.Recognized*2 > with.Retries)
	assert.Assert(t, with.Mistaken*1000 <= with.Kinds[0].Arrived)
	assert.Equal(t, without.Recognized+without.Mistaken, 0)
}

// Guards against requests of a fleet that are lost or counted twice, also while zones refuse them.
func TestEveryFleetRequestIsCountedOnce(t *testing.T) {
	f := readFleet(t, 30, 2, 2)
	o := f.Simulate(1.5, 2, true).Kinds[0]
	assert.Assert(t, o.Arrived > 0)
	assert.Equal(t, o.InTime+o.Late+o.Refused, o.Arrived)
}

func TestInvalidFleetFieldsAreNamed(t *testing.T) {
	f := readFleet(t, 30, 2, 2)
	f.Instances, f.Regions, f.Sharded = -1, nil, true
	err := f.Validate()
	var field *FieldError
	assert.Assert(t, errors.As(err, &field))
	for _, name := range []string{"instances", "regionOfZone", "divided"} {
		assert.ErrorContains(t, err, name)
	}
}
