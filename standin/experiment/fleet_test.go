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

func simulateFleet(t *testing.T, f *Fleet, level float64) *FleetReport {
	t.Helper()
	r := f.Simulate(level, 1)
	o := r.Kinds[0]
	all := float64(o.Arrived)
	t.Logf("%d instances, load %.2f, %d retries, admission %v, waitlist %v: in time %.3f, late %.3f, refused %.3f; %.2f of %d refusals at once; %d of %d retries recognized, %d first attempts mistaken",
		f.Instances, level, f.Kinds[0].MaxRetries, f.Admission, f.Waitlist, float64(o.InTime)/all, float64(o.Late)/all, float64(o.Refused)/all,
		float64(r.RefusedAtOnce)/float64(max(1, r.Refusals)), r.Refusals, r.Recognized, r.Retries, r.Mistaken)
	return r
}

// Guards against a fleet that answers fewer requests in time than the plan requires, since its instances, zones and
// regions do not see all of the load.
func TestFleetKeepsRequestsInTimeInOverload(t *testing.T) {
	for _, c := range []struct {
		instances int
		level     float64
		retries   int
		required  float64
	}{{30, 1.03, 0, 0.90}, {30, 1.30, 0, 0.71}, {30, 1.20, 2, 0.74}, {91, 1.20, 2, 0.74}} {
		t.Run(fmt.Sprintf("%d instances, load %.2f, %d retries", c.instances, c.level, c.retries), func(t *testing.T) {
			t.Parallel()
			f := readFleet(t, c.instances, 240/c.instances+2, c.retries)
			r := simulateFleet(t, f, c.level)
			assert.Check(t, r.InTimeShare() >= c.required, "in time %.3f, want %.2f", r.InTimeShare(), c.required)
			assert.Check(t, 2*r.RefusedAtOnce >= r.Refusals)
			assert.Check(t, r.Mistaken*1000 <= r.Kinds[0].Arrived)
		})
	}
}

// Guards against caller retries that take the slots of requests that can be in time.
func TestRecognizedRetriesLeaveSlotsToOthers(t *testing.T) {
	f := readFleet(t, 30, 6, 2)
	with := simulateFleet(t, f, 1.2)
	f.retriesUnknown = true
	without := simulateFleet(t, f, 1.2)
	assert.Assert(t, with.InTimeShare() > without.InTimeShare())
	assert.Assert(t, with.Recognized*2 > with.Retries)
	assert.Equal(t, without.Recognized+without.Mistaken, 0)
}

// Guards against caller retries that take the slots of keys' owners, whose requests have no other target, and
// against urgent kinds that are worse off when their retries count as late.
func TestRecognizedRetriesHelpRequestsForKeys(t *testing.T) {
	t.Parallel()
	owners := readLoad(t, "confirm-retries")
	owners.Sharded, owners.Admission = true, false
	for _, l := range []*Load{owners, readLoad(t, "mixed-divided")} {
		with, without := *l, *l
		with.Waitlist, without.Waitlist = true, false
		got, before := with.Simulate(1, 1), without.Simulate(1, 1)
		t.Logf("%s: in time %.3f, without recognition %.3f; worth %.3f and %.3f", l.Name, got.InTimeShare(), before.InTimeShare(), got.WorthShare(), before.WorthShare())
		assert.Check(t, got.InTimeShare() > before.InTimeShare(), l.Name)
		assert.Check(t, got.WorthShare() > before.WorthShare(), l.Name)
	}
}

// Guards against requests of a fleet that are lost or counted twice, also while zones refuse them.
func TestEveryFleetRequestIsCountedOnce(t *testing.T) {
	f := readFleet(t, 30, 2, 2)
	for _, f := range []*Fleet{f, f.WithoutFeatures()} {
		o := f.Simulate(1.5, 2).Kinds[0]
		assert.Assert(t, o.Arrived > 0)
		assert.Equal(t, o.InTime+o.Late+o.Refused, o.Arrived)
	}
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
