package speed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
	"gotest.tools/v3/assert"
)

// Keys that are not assigned by speed leave slow targets overloaded. The placement that the estimates
// give must come near to one by the true speeds, although work and momentary slowness vary.
func TestShareInTimeWithEstimatedSpeeds(t *testing.T) {
	t.Parallel()
	const seeds = 3
	equal, bound, unestimated, estimated := 0.0, 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		fixed := func(exponent float64) float64 {
			f := newFleet(seed+1, 60, 8)
			f.fixed = f.bySpeed(exponent)
			f.run(42 * time.Second)
			return f.inTime(10, 34) / seeds
		}
		equal += fixed(0)
		bound += fixed(1)
		managed := func(on bool) float64 {
			f := newFleet(seed+1, 60, 8)
			f.estimated = on
			f.run(52 * time.Second)
			return f.inTime(20, 44) / seeds
		}
		unestimated += managed(false)
		estimated += managed(true)
	}
	t.Logf("in time: fixed placement by speed %.3f, equal %.3f; managed with estimates %.3f, without %.3f", bound, equal, estimated, unestimated)
	assert.Assert(t, estimated >= 0.92)
	assert.Assert(t, estimated > unestimated+0.05)
}

// Without the kept row, a new coordinator takes all targets to be equal and moves keys from fast targets
// to slow ones until it has measured them again.
func TestKeptSpeedsShortenRecovery(t *testing.T) {
	t.Parallel()
	const seeds, lost = 2, 24
	shares, moves := map[string]float64{}, map[string]int{}
	for seed := range uint64(seeds) {
		fixed := newFleet(seed+1, 60, 8)
		fixed.fixed = fixed.bySpeed(1)
		fixed.run(42 * time.Second)
		bound := fixed.inTime(10, 34)

		known := newFleet(seed+11, 60, 8)
		known.estimated = true
		known.run(lost * time.Second)
		row := speed.Encode(known.table.Estimates())
		for _, kept := range [][]byte{nil, row} {
			start := newFleet(seed+1, 60, 8)
			start.estimated = true
			if kept != nil {
				start.restore(t, kept)
			}
			start.run(16 * time.Second)
			name := fmt.Sprintf("kept %v", kept != nil)
			shares["start, "+name] += start.inTime(0, 10) / seeds
			t.Logf("start, %s: 0.9 of the bound %.3f after %d s; in time %.3f in the first 10 s", name, bound, start.secondsUntil(0, 0.9*bound), start.inTime(0, 10))

			loss := newFleet(seed+1, 60, 8)
			loss.estimated = true
			loss.run(lost * time.Second)
			loss.restart(t, kept)
			loss.run(16 * time.Second)
			moves[name] += loss.manager.Moves.Balance
			shares["lost, "+name] += loss.inTime(lost, lost+10) / seeds
			t.Logf("all lost, %s: 0.9 of the bound after %d s; in time %.3f in the first 10 s", name, loss.secondsUntil(lost, 0.9*bound), loss.inTime(lost, lost+10))
		}
	}
	for name, share := range shares {
		t.Logf("%s: %.3f in time in the first 10 s", name, share)
	}
	assert.Assert(t, shares["start, kept true"] > shares["start, kept false"])
	t.Logf("moves in 16 s after the loss: %v", moves)
	assert.Assert(t, moves["kept true"] < moves["kept false"])
}

// classEstimate returns the typical time of a request of work 1 at a target of speed 1, by the estimates
// of the given targets.
func (f *fleet) classEstimate(targets ...string) float64 {
	sum := 0.0
	for _, id := range targets {
		e, _ := f.table.Find(roster.Incarnation{ID: id, Started: 1})
		sum += math.Log(e.Seconds * f.speeds[id])
	}
	return math.Exp(sum / float64(len(targets)))
}

// Time in a queue must not count as slowness: a target whose slots are always taken would get less and
// less, and one with few requests more and more.
func TestQueueingDoesNotBiasEstimates(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 30, 4)
	busy := []string{"t0", "t1", "t2", "t3", "t4", "t5"}
	idle := []string{"t6", "t7", "t8", "t9", "t10", "t11"}
	f.fixed = func() string {
		// The busy ones get three times what they can serve.
		if f.rand.IntN(3) > 0 {
			return busy[f.rand.IntN(len(busy))]
		}
		return idle[f.rand.IntN(len(idle))]
	}
	f.run(60 * time.Second)
	queued := 0
	for _, s := range f.schedulers {
		queued += len(s.waiting)
	}
	ratio := f.classEstimate(busy...) / f.classEstimate(idle...)
	t.Logf("%d requests wait; always busy to mostly idle: %.3f", queued, ratio)
	assert.Assert(t, queued > len(busy))
	assert.Assert(t, math.Abs(math.Log(ratio)) < 0.12)
}

// A target that reports its momentary slowness must not look faster or slower than one that does not.
func TestReportedSlownessDoesNotBiasEstimates(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 60, 4)
	f.fixed = f.bySpeed(1)
	f.reports = map[string]bool{}
	var reporting, silent []string
	for i, target := range f.targets {
		if i%2 == 0 {
			f.reports[target.ID] = true
			reporting = append(reporting, target.ID)
		} else {
			silent = append(silent, target.ID)
		}
	}
	f.run(60 * time.Second)
	ratio := f.classEstimate(reporting...) / f.classEstimate(silent...)
	t.Logf("reporting to silent: %.3f", ratio)
	assert.Assert(t, math.Abs(math.Log(ratio)) < 0.1)
}

// A target whose machine is replaced without a new start keeps its estimate until responses show the
// change. One that has become slower is overloaded until then; one that has become faster gets few
// requests, so that it takes longer to be known.
func TestEstimatesFollowLastingChange(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 60, 8)
	f.estimated = true
	f.run(30 * time.Second)
	slower, faster := []string{"t2", "t5", "t8", "t11"}, []string{"t0", "t3", "t6", "t9"}
	for i := range slower {
		f.speeds[slower[i]], f.speeds[faster[i]] = 0.6, 1.4
	}
	secondsSlower, secondsFaster := 0, 0
	for second := 1; second <= 60; second++ {
		f.run(time.Second)
		speeds := speed.RelativeSpeeds(f.table.Estimates())
		for i := range slower {
			if speeds[roster.Incarnation{ID: slower[i], Started: 1}].Speed > 0.8 {
				secondsSlower = second
			}
			if speeds[roster.Incarnation{ID: faster[i], Started: 1}].Speed < 1.2 {
				secondsFaster = second
			}
		}
	}
	t.Logf("after %d s all estimates have followed a change from 1.4 to 0.6, after %d s one from 0.6 to 1.4; in time in 30 s %.3f", secondsSlower, secondsFaster, f.inTime(30, 60))
	assert.Assert(t, secondsSlower <= 15)
	assert.Assert(t, secondsFaster <= 30)
}

// Each write of the row costs some kilobytes: of many targets, some estimates always change by chance.
func TestSteadySpeedsAreRarelyWritten(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 120, 12)
	f.fixed = f.bySpeed(1.4)
	f.run(40 * time.Second)
	kept, writes := f.table.Estimates(), 0
	for range 4 {
		f.run(10 * time.Second)
		if estimates := f.table.Estimates(); speed.Changed(kept, estimates) {
			kept = estimates
			writes++
		}
	}
	t.Logf("%d writes in 40 s", writes)
	assert.Assert(t, writes <= 2)
}
