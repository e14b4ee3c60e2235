package experiment

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func readLoad(t *testing.T, name string) *Load {
	t.Helper()
	l, err := Read("loads/" + name + ".json")
	assert.NilError(t, err)
	return l
}

// checkInTime compares the share of requests that are answered in time with what the users' plan requires
// at a level, and that half of the refusals are sent at once. It averages over the seeds from 1 on.
func checkInTime(t *testing.T, l *Load, seeds uint64, level, required float64) {
	t.Helper()
	inTime, refused, atOnce := 0.0, 0, 0
	for seed := range seeds {
		r := l.Simulate(level, seed+1)
		inTime += r.InTimeShare() / float64(seeds)
		for _, o := range r.Kinds {
			refused += o.RefusedAttempts
			atOnce += o.RefusedAtOnce
		}
	}
	t.Logf("%s at %.2f: in time %.3f, %d of %d refusals at once", l.Name, level, inTime, atOnce, refused)
	assert.Check(t, inTime >= required, "%s at %.2f: in time %.3f, want %.2f", l.Name, level, inTime, required)
	assert.Check(t, 2*atOnce >= refused, "%s at %.2f: %d of %d refusals at once", l.Name, level, atOnce, refused)
}

// Guards against a queue that makes every request wait until the limit of its objective in an overload.
func TestAdmissionKeepsRequestsInTimeInOverload(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "confirm")
	checkInTime(t, l, 2, 1.03, 0.90)
	checkInTime(t, l, 2, 1.30, 0.71)
}

// Guards against a bound that does not allow for messages between regions, or only suits small pools.
func TestAdmissionKeepsRequestsInTimeBetweenRegions(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "confirm-regions")
	checkInTime(t, l, 1, 1.03, 0.90)
	checkInTime(t, l, 1, 1.30, 0.71)
}

// Guards against admission that refuses requests which a pool below its capacity can serve in time.
func TestAdmissionDoesNotHarmBelowCapacity(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "confirm")
	with := l.Simulate(0.9, 1)
	l.Admission, l.Waitlist = false, false
	without := l.Simulate(0.9, 1)
	t.Logf("in time %.3f, without admission %.3f", with.InTimeShare(), without.InTimeShare())
	assert.Check(t, with.InTimeShare() >= without.InTimeShare()-0.01)
}

// Guards against callers on the waitlist that take the slots of requests that can be in time, if it is
// known when their first attempt was.
func TestKnownCallerRetriesLeaveOthersInTime(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "confirm-retries")
	l.FirstAttemptKnown = true
	checkInTime(t, l, 2, 1.20, 0.74)
}

// Guards against caller retries that take the slots of requests that can be in time.
func TestCallerRetriesLeaveOthersInTime(t *testing.T) {
	t.Parallel()
	checkInTime(t, readLoad(t, "confirm-retries"), 2, 1.20, 0.74)
}

// Guards against a less urgent kind that is served more often than an urgent one, since its objective
// allows it a longer wait, and against one that starves.
func TestAdmissionServesUrgentKindsFirst(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "two-priorities")
	mostlyUrgent := *l
	mostlyUrgent.Kinds = slices.Clone(l.Kinds)
	// The urgent kind alone is more than the targets can serve.
	mostlyUrgent.Kinds[0].Share, mostlyUrgent.Kinds[1].Share = 0.9, 0.1
	for _, c := range []struct {
		load  *Load
		level float64
	}{{l, 0.8}, {l, 1}, {l, 1.2}, {l, 1.5}, {&mostlyUrgent, 1.6}, {&mostlyUrgent, 2}} {
		level := c.level
		r := c.load.Simulate(level, 1)
		urgent, other := r.Kinds[0], r.Kinds[1]
		assert.Check(t, urgent.AnsweredShare() >= other.AnsweredShare(), "at %.2f: urgent %.3f, others %.3f", level, urgent.AnsweredShare(), other.AnsweredShare())
		all := float64(urgent.InTime+urgent.Late+other.InTime+other.Late) / float64(urgent.Arrived+other.Arrived)
		assert.Check(t, other.AnsweredShare() > all/4, "at %.2f: less urgent %.3f of %.3f", level, other.AnsweredShare(), all)
		t.Logf("at %.2f: urgent in time %d, late %d, refused %d; others %d, %d, %d", level, urgent.InTime, urgent.Late, urgent.Refused, other.InTime, other.Late, other.Refused)
	}
}

// Guards against refusals that go on after a burst, and a queue that stays as long as the burst made it.
func TestQueueOfBurstIsGoneSoon(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "confirm")
	l.Bursts = []Burst{{Start: 20_000, Duration: 3_000, Factor: 2.5}}
	late, arrived := 0, 0
	l.observe = func(r *request, inTime bool) {
		// A second after the burst's end.
		if r.arrival >= millis(24_000) && r.arrival < millis(34_000) {
			arrived++
			if !inTime {
				late++
			}
		}
	}
	l.Simulate(0.8, 1)
	t.Logf("%d of %d requests after the burst not in time", late, arrived)
	assert.Check(t, float64(late) <= 0.05*float64(arrived), "%d of %d", late, arrived)
}

// Guards against requests of loads with features that are counted twice, or not at all, and randomness that
// does not derive from the seed.
func TestLoadsWithFeaturesAreCountedOnce(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"confirm", "confirm-retries", "two-priorities"} {
		l := readLoad(t, name)
		l.Seconds = 10
		r := l.Simulate(1.2, 2)
		assert.Equal(t, r.WorthShare(), l.Simulate(1.2, 2).WorthShare())
		for _, o := range r.Kinds {
			assert.Check(t, o.Arrived == o.InTime+o.Late+o.Refused, "%s, %s", name, o.Kind.Name)
		}
	}
}
