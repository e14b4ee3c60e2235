package speed_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
	"gotest.tools/v3/assert"
)

func incarnation(id string) roster.Incarnation { return roster.Incarnation{ID: id, Started: 1} }

// answer returns the ratio of a response of a target with a speed: lognormal work, of which one in a
// hundred takes 3 to 5 times as long, three times slower for a fifth of the responses.
func answer(random *rand.Rand, speed float64) float64 {
	x := math.Exp(0.7*random.NormFloat64()) / speed
	if random.IntN(100) == 0 {
		x *= 3 + 2*random.Float64()
	}
	if random.IntN(5) == 0 {
		x *= 3
	}
	return x
}

func relativeOf(estimates []speed.Estimate, id string) speed.Relative {
	return speed.RelativeSpeeds(estimates)[incarnation(id)]
}

// Noise must not make a target look slower or faster than it is: equal targets differ by chance alone,
// and the few requests that take many times as long do not count more than others.
func TestNoiseDoesNotBiasEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var e speed.Estimator
	speeds := []float64{0.6, 1, 1.4}
	for i := range 60 {
		for range 300 {
			e.Record(incarnation(fmt.Sprint(i)), answer(random, speeds[i%3]))
		}
	}
	means, deviation := [3]float64{}, 0.0
	estimates := e.Estimates()
	for i := range 60 {
		r := relativeOf(estimates, fmt.Sprint(i))
		means[i%3] += math.Log(r.Speed) / 20
		deviation += math.Pow(math.Log(r.Speed/speeds[i%3]), 2) / 60
	}
	t.Logf("fast to average %.3f, slow to average %.3f, deviation %.3f", math.Exp(means[2]-means[1]), math.Exp(means[0]-means[1]), math.Sqrt(deviation))
	assert.Assert(t, math.Abs(means[2]-means[1]-math.Log(1.4)) < 0.05)
	assert.Assert(t, math.Abs(means[0]-means[1]-math.Log(0.6)) < 0.05)
}

// The first responses of a target say little: with a few long ones it must count as nearly average.
func TestUncertainTargetCountsAsAverage(t *testing.T) {
	var e speed.Estimator
	for i := range 10 {
		for range 200 {
			e.Record(incarnation(fmt.Sprint(i)), 1)
		}
	}
	assert.Equal(t, relativeOf(e.Estimates(), "new").Shrunk(), 1.0)
	e.Record(incarnation("new"), 3)
	one := relativeOf(e.Estimates(), "new").Shrunk()
	for range 100 {
		e.Record(incarnation("new"), 3)
	}
	many := relativeOf(e.Estimates(), "new").Shrunk()
	assert.Assert(t, one > 0.85, "%v", one)
	assert.Assert(t, many < 0.4, "%v", many)
}

// A target that becomes slower or faster for good must be known within seconds, and a slow period of some
// responses must not count as that.
func TestLastingChangeIsDetected(t *testing.T) {
	for _, factor := range []float64{1.0 / 3, 3} {
		random := rand.New(rand.NewPCG(2, 1))
		var e speed.Estimator
		for range 400 {
			e.Record(incarnation("a"), answer(random, 1))
		}
		before, _ := e.Find(incarnation("a"))
		for range 6 {
			e.Record(incarnation("a"), 3*answer(random, 1))
		}
		during, _ := e.Find(incarnation("a"))
		assert.Assert(t, during.Seconds < 1.2*before.Seconds)
		for range 60 {
			e.Record(incarnation("a"), answer(random, factor))
		}
		after, _ := e.Find(incarnation("a"))
		change := before.Seconds / after.Seconds
		t.Logf("speed x %.2f: estimated x %.2f after 60 responses", factor, change)
		assert.Assert(t, math.Abs(math.Log(change/factor)) < 0.35)
	}
}

func TestUnusableRatiosAreIgnored(t *testing.T) {
	var e speed.Estimator
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		e.Record(incarnation("a"), ratio)
	}
	assert.Equal(t, len(e.Estimates()), 0)
}

var reportedAt = time.Unix(1000, 0)

func estimate(id string, seconds, answers float64) speed.Estimate {
	return speed.Estimate{Target: incarnation(id), Seconds: seconds, Answers: answers}
}

// When the scheduler of a target's slots changes, the old one's last report must not outweigh the new
// one's for long, nor be dropped while the new one knows little.
func TestReportsOfSuccessiveSchedulersAreMerged(t *testing.T) {
	var table speed.Table
	table.Record(reportedAt, "old", estimate("a", 1, 100))
	table.Record(reportedAt.Add(time.Second), "new", estimate("a", 2, 2))
	first, ok := table.Find(incarnation("a"))
	assert.Assert(t, ok && first.Seconds < 1.1)
	table.Record(reportedAt.Add(30*time.Second), "new", estimate("a", 2, 50))
	later, _ := table.Find(incarnation("a"))
	assert.Assert(t, later.Seconds > 1.9)
	table.Record(reportedAt.Add(31*time.Second), "new", estimate("a", 2, 60))
	again, _ := table.Find(incarnation("a"))
	assert.Assert(t, again.Answers < 75, "a repeated report must replace the former one")
}

// What was kept counts at first and gives way to what is measured. If all requests take longer than
// before, targets without responses yet must not look fast.
func TestRestoredEstimatesGiveWay(t *testing.T) {
	var table speed.Table
	for i := range 20 {
		table.Restore(estimate(fmt.Sprint(i), 1, 100))
	}
	table.Restore(estimate("slow", 2, 100))
	r := relativeOf(table.Estimates(), "slow")
	assert.Assert(t, r.Shrunk() < 0.7, "%v", r)
	for i := range 20 {
		table.Record(reportedAt, "x", estimate(fmt.Sprint(i), 4, 100))
	}
	r = relativeOf(table.Estimates(), "slow")
	assert.Assert(t, r.Speed > 0.4 && r.Speed < 0.7, "%v", r)
	table.Record(reportedAt, "x", estimate("slow", 4, 100))
	r = relativeOf(table.Estimates(), "slow")
	assert.Assert(t, r.Speed > 0.95, "%v", r)
}

// Estimates of an incarnation that has ended must not remain.
func TestEndedIncarnationsAreNotRetained(t *testing.T) {
	var table speed.Table
	table.Restore(estimate("a", 1, 10))
	table.Record(reportedAt, "x", estimate("b", 1, 10))
	table.Retain(func(target roster.Incarnation) bool { return target.ID == "b" })
	assert.Equal(t, len(table.Estimates()), 1)
	_, ok := table.Find(incarnation("a"))
	assert.Assert(t, !ok)
}

// If the reports were chosen at random, some of 220 targets would stay unknown for long.
func TestAllTargetsAreReportedWithinSeconds(t *testing.T) {
	var s speed.Selection
	reported := map[string]bool{}
	for second := range 7 {
		var estimates []speed.Estimate
		for i := range 220 {
			estimates = append(estimates, estimate(fmt.Sprint(i), 1+float64(i%3)/100*float64(second), float64(5+second)))
		}
		for _, e := range s.Take(reportedAt.Add(time.Duration(second)*time.Second), estimates, 36) {
			reported[e.Target.ID] = true
		}
	}
	assert.Equal(t, len(reported), 220)
}

// An estimate that has changed goes first, one that has not changed at all is not reported again, and a
// new coordinator gets all of them.
func TestChangedEstimatesAreReportedFirst(t *testing.T) {
	var s speed.Selection
	estimates := []speed.Estimate{estimate("a", 1, 100), estimate("b", 1, 100), estimate("c", 1, 100)}
	assert.Equal(t, len(s.Take(reportedAt, estimates, 9)), 3)
	assert.Equal(t, len(s.Take(reportedAt.Add(time.Minute), estimates, 9)), 0)
	estimates[2].Seconds, estimates[0].Seconds = 2, 1.01
	first := s.Take(reportedAt.Add(time.Minute), estimates, 1)
	assert.Equal(t, first[0].Target.ID, "c")
	s.Reset()
	assert.Equal(t, len(s.Take(reportedAt.Add(time.Minute), estimates, 9)), 3)
}

// A row must fit into the store's limit for 400 targets, and for more must leave out the least certain.
func TestRowOfManyTargetsFits(t *testing.T) {
	for _, n := range []int{400, 4000} {
		var estimates []speed.Estimate
		for i := range n {
			e := estimate(fmt.Sprintf("target-%08d-eu-west-1a", i), 0.25+float64(i)/1e4, float64(5+i%300))
			e.Target.Started = 1_796_000_000_000 + int64(i)
			estimates = append(estimates, e)
		}
		text := speed.Encode(estimates)
		t.Logf("%d targets: %d bytes", n, len(text))
		assert.Assert(t, len(text) < 64<<10)
		decoded, err := speed.Decode(text)
		assert.NilError(t, err)
		if n == 400 {
			assert.Equal(t, len(decoded), n)
			assert.Assert(t, !speed.Changed(decoded, estimates))
		}
		for _, e := range decoded {
			assert.Assert(t, e.Answers > 20 || n == 400)
		}
	}
}

// A row that is damaged or of a later version must give an error and not estimates; entries without sense
// are left out.
func TestUnusableRowsAreRejected(t *testing.T) {
	var version *speed.VersionError
	_, err := speed.Decode([]byte(`{"version":2,"targets":{"a":1}}`))
	assert.Assert(t, errors.As(err, &version) && version.Version == 2)
	for _, text := range []string{"", "x", "[]", `{"version":1,"targets":[["a","b",1,2]]}`, `{"version":1,"targets":{}}`} {
		_, err := speed.Decode([]byte(text))
		assert.Assert(t, err != nil, text)
		assert.Assert(t, !errors.As(err, &version) || text == "", text)
	}
	list, err := speed.Decode([]byte(`{"version":1,"targets":[["a",1,0,5],["b",1,-5,5],["",1,5,5],["c",1,5,0],["d",7,250000,9],["e"]]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []speed.Estimate{{Target: roster.Incarnation{ID: "d", Started: 7}, Seconds: 0.25, Answers: 9}})
}

// Each write of a row is paid for: random deviations must not cause one.
func TestRowIsWrittenOnlyAfterSignificantChange(t *testing.T) {
	kept := []speed.Estimate{estimate("a", 1, 100), estimate("b", 2, 100)}
	for _, c := range []struct {
		name      string
		estimates []speed.Estimate
		want      bool
	}{
		{"unchanged", kept, false},
		{"by less than a tenth", []speed.Estimate{estimate("a", 1.08, 100), estimate("b", 1.9, 150)}, false},
		{"by more than a tenth, as by chance", []speed.Estimate{estimate("a", 1.2, 100), kept[1]}, false},
		{"by more than a tenth", []speed.Estimate{estimate("a", 1.6, 100), kept[1]}, true},
		{"by more than a tenth, slower", []speed.Estimate{kept[0], estimate("b", 1.2, 100)}, true},
		{"less certain", []speed.Estimate{estimate("a", 1, 12), kept[1]}, false},
		{"a new target that is known", append([]speed.Estimate{estimate("c", 1, 30)}, kept...), true},
		{"a new target that is hardly known", append([]speed.Estimate{estimate("c", 1, 2)}, kept...), false},
		{"a target that has ended", kept[:1], false},
	} {
		assert.Equal(t, speed.Changed(kept, c.estimates), c.want, c.name)
	}
}
