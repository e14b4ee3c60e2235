package timelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/timelimit"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const longest = 8 * time.Second

// now is when all requests of most tests arrive.
var now = time.Unix(1_000_000, 0)

func ExampleLearner() {
	var l timelimit.Learner
	for range 100 {
		l.Age(now, "confirm", 8*time.Second)
	}
	l.Refused(now, "confirm")
	fmt.Println(l.Age(now, "confirm", 5*time.Second), l.Age(now, "confirm", 8*time.Second))
	// Output: 2.92s 0s
}

// callers draws the time that callers have left, which retry after a wait of a share of it.
type callers struct {
	*rand.Rand
	longest time.Duration
	// least is the shortest limit as a share of the longest one.
	least float64
}

func newCallers(seed uint64, least float64) callers {
	return callers{rand.New(rand.NewPCG(seed, 31)), longest, least}
}

func (c callers) limit() time.Duration {
	return time.Duration(float64(c.longest) * (c.least + (1-c.least)*c.Float64()))
}

// retryLeft draws the time left of a request that is sent again, once or twice, after waits of up to a third.
func (c callers) retryLeft() (left, age time.Duration) {
	limit := c.limit()
	left = limit
	for range 1 + c.IntN(2) {
		left = time.Duration(float64(left) * (1 - c.Float64()/3))
	}
	return left, limit - left
}

// learn records first attempts, and retries as the given share of all requests. Each retry follows a refusal.
func learn(l *timelimit.Learner, c callers, requests int, retries float64) {
	for range requests {
		if c.Float64() < retries {
			l.Refused(now, "r")
			left, _ := c.retryLeft()
			l.Age(now, "r", left)
			continue
		}
		l.Age(now, "r", c.limit())
	}
}

// Guards against callers that lose their objective since their limits merely differ, also while refusals
// permit retries to be recognized. The range may lose the rarest limits, whose callers lose at most its width.
func TestEvenLimitsLoseAtMostTheRangesWidth(t *testing.T) {
	const seeds, requests = 200, 500
	harmed, most := 0, time.Duration(0)
	for seed := range uint64(seeds) {
		var l timelimit.Learner
		c := newCallers(seed, 0.85)
		for range requests {
			l.Refused(now, "r")
			age := l.Age(now, "r", c.limit())
			if age == 0 {
				continue
			}
			harmed++
			most = max(most, age)
			usual, ok := l.Usual("r")
			assert.Assert(t, ok && age <= usual.Upper-usual.Lower, "seed %d: age %v, range %v", seed, age, usual)
		}
	}
	t.Logf("%d of %d first attempts were taken as retries, by at most %v", harmed, seeds*requests, most)
	assert.Assert(t, harmed <= seeds*requests/1000, "%d", harmed)
}

// Guards against an objective that is counted from the past at an instance that knows few callers.
func TestFirstRequestsAreNew(t *testing.T) {
	for seed := range uint64(50) {
		var l timelimit.Learner
		c := newCallers(seed, 0.85)
		for n := range 50 {
			l.Refused(now, "r")
			left := c.limit()
			if n%3 == 0 {
				left, _ = c.retryLeft()
			}
			assert.Equal(t, l.Age(now, "r", left), time.Duration(0), "request %d", n+1)
		}
	}
}

// Guards against an instance with few requests that learns the range too late, or a wrong one.
func TestRangeIsLearntFromFewSamples(t *testing.T) {
	for _, retries := range []float64{0, 0.15, 1.0 / 3} {
		wrong := 0
		const seeds = 300
		for seed := range uint64(seeds) {
			var l timelimit.Learner
			learn(&l, newCallers(seed, 0.85), 50, retries)
			usual, ok := l.Usual("r")
			if !ok || !near(usual.Lower, 0.85) || !near(usual.Upper, 1) {
				wrong++
			}
		}
		t.Logf("%.2f retries: %d of %d ranges wrong", retries, wrong, seeds)
		assert.Assert(t, wrong <= seeds/10, "%.2f retries: %d of %d ranges wrong", retries, wrong, seeds)
	}
}

// near reports whether an end of the range is within 0.06 of the longest limit: less than half of its width.
func near(end time.Duration, share float64) bool {
	return (end - time.Duration(share*float64(longest))).Abs() <= longest*6/100
}

// Guards against retries that make the range wide or shift it, so that they are not recognized.
func TestRetriesAreRecognizedWhileTheyAreAThird(t *testing.T) {
	found, missed, wrong := 0, 0, 0
	firsts, sum := 0, time.Duration(0)
	for seed := range uint64(100) {
		var l timelimit.Learner
		c := newCallers(seed, 0.85)
		learn(&l, c, 128, 1.0/3)
		for range 300 {
			if c.Float64() >= 1.0/3 {
				firsts++
				if l.Age(now, "r", c.limit()) > 0 {
					wrong++
				}
				continue
			}
			l.Refused(now, "r")
			left, age := c.retryLeft()
			estimate := l.Age(now, "r", left)
			switch {
			case estimate > 0:
				found++
				sum += (estimate - age).Abs()
			case left < longest*83/100:
				missed++
			}
		}
	}
	t.Logf("%d found, %d missed, %d of %d first attempts wrong, mean error of the age %v", found, missed, wrong, firsts, sum/time.Duration(found))
	assert.Assert(t, missed*20 <= found)
	assert.Assert(t, wrong*200 <= firsts)
	// Limits that differ by 0.15 leave the age uncertain by 0.075 to either side.
	assert.Assert(t, sum/time.Duration(found) < longest*75/1000)
}

// Guards against a few callers with very long or short limits that shift the range of all others.
func TestFewOddCallersDoNotShiftTheRange(t *testing.T) {
	wrong := 0
	for seed := range uint64(100) {
		var l timelimit.Learner
		c := newCallers(seed, 0.85)
		for n := range 200 {
			left := c.limit()
			switch n % 60 {
			case 20:
				left = 30 * longest
			case 50:
				left = time.Millisecond
			}
			l.Age(now, "r", left)
		}
		usual, ok := l.Usual("r")
		if !ok || !near(usual.Lower, 0.85) || !near(usual.Upper, 1) {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 2, "%d of 100 ranges are wrong", wrong)
}

// Guards against a guess where callers' limits vary by more than a third.
func TestNothingIsAssumedOfVaryingLimits(t *testing.T) {
	for _, least := range []float64{0, 0.2, 0.4, 0.5, 0.6} {
		harmed := 0
		for seed := range uint64(50) {
			var l timelimit.Learner
			c := newCallers(seed, least)
			for range 400 {
				l.Refused(now, "r")
				if l.Age(now, "r", c.limit()) > 0 {
					harmed++
				}
			}
		}
		t.Logf("limits from %.2f on: %d of %d first attempts were taken as retries", least, harmed, 50*400)
		assert.Assert(t, harmed <= 50*400/100, "limits from %.2f on: %d", least, harmed)
	}
}

// Guards against callers with a short limit that are always served last, since others have a long one.
func TestGroupWithShortLimitIsNotHarmedWithoutRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l timelimit.Learner
		c := newCallers(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0.5, 1).Draw(t, "least"))
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		shorter := rapid.Float64Range(0.05, 1).Draw(t, "shorter")
		refusals := rapid.Float64Range(0, 0.05).Draw(t, "refusals")
		refused, harmed := 0, 0
		for range 400 {
			left := c.limit()
			if c.Float64() < share {
				left = time.Duration(shorter * float64(left))
			}
			if c.Float64() < refusals {
				refused++
				l.Refused(now, "r")
			}
			if l.Age(now, "r", left) > 0 {
				harmed++
			}
		}
		assert.Assert(t, harmed <= 2*refused, "%d taken as retries after %d refusals", harmed, refused)
	})
}

// Guards against a smaller group of callers that are taken for retries during refusals, although they had the same
// short limits before.
func TestGroupWithShortLimitIsKnownFromQuietTimes(t *testing.T) {
	for _, shorter := range []float64{0.3, 0.5, 0.7} {
		harmed := 0
		for seed := range uint64(50) {
			var l timelimit.Learner
			c := newCallers(seed, 0.85)
			at := now
			for n := range 700 {
				at = at.Add(100 * time.Millisecond)
				left := c.limit()
				if n%5 == 0 {
					left = time.Duration(shorter * float64(left))
				}
				// Refusals, a quiet time of 29 s, refusals.
				if n < 100 || n >= 400 {
					l.Refused(at, "r")
				}
				if l.Age(at, "r", left) > 0 && n >= 400 {
					harmed++
				}
			}
		}
		t.Logf("limits of %.2f: %d of %d", shorter, harmed, 50*300)
		assert.Assert(t, harmed <= 50*300/100, "limits of %.2f: %d", shorter, harmed)
	}
}

// Guards against retries that are not recognized after a quiet time: it must not widen the range.
func TestRetriesAreRecognizedAfterQuietTimes(t *testing.T) {
	found, missed, wrong := 0, 0, 0
	for seed := range uint64(50) {
		var l timelimit.Learner
		c := newCallers(seed, 0.85)
		at := now
		for range 300 {
			at = at.Add(100 * time.Millisecond)
			l.Age(at, "r", c.limit())
		}
		for range 300 {
			at = at.Add(100 * time.Millisecond)
			if c.Float64() >= 1.0/3 {
				if l.Age(at, "r", c.limit()) > 0 {
					wrong++
				}
				continue
			}
			l.Refused(at, "r")
			left, _ := c.retryLeft()
			switch {
			case l.Age(at, "r", left) > 0:
				found++
			case left < longest*83/100:
				missed++
			}
		}
	}
	t.Logf("%d found, %d missed, %d of 10000 first attempts wrong", found, missed, wrong)
	assert.Assert(t, missed*20 <= found)
	assert.Assert(t, wrong <= 50)
}

// Guards against limits from before a change that hide retries: 100 s without refusals, then other callers.
func TestQuietTimesBeforeAChangeOfLimitsAreForgotten(t *testing.T) {
	for _, factor := range []float64{0.4, 0.7, 1.5, 10} {
		var l timelimit.Learner
		c := newCallers(1, 0.85)
		at := now
		for range 1000 {
			at = at.Add(100 * time.Millisecond)
			l.Age(at, "r", c.limit())
		}
		c.longest = time.Duration(factor * float64(longest))
		for range 160 {
			at = at.Add(100 * time.Millisecond)
			l.Refused(at, "r")
			l.Age(at, "r", c.limit())
		}
		usual, ok := l.Usual("r")
		lower := float64(usual.Lower) / float64(c.longest)
		assert.Assert(t, ok && lower > 0.8 && lower < 0.9, "factor %v: %v", factor, usual)
	}
}

// Guards against a guess between two groups of callers of similar size, whose limits are very different.
func TestNothingIsAssumedOfTwoGroups(t *testing.T) {
	for _, shorter := range []float64{0.1, 0.25, 0.5} {
		harmed := 0
		for seed := range uint64(50) {
			var l timelimit.Learner
			c := newCallers(seed, 0.85)
			for n := range 400 {
				l.Refused(now, "r")
				left := c.limit()
				if n%2 == 0 {
					left = time.Duration(shorter * float64(left))
				}
				if l.Age(now, "r", left) > 0 {
					harmed++
				}
			}
		}
		t.Logf("limits of %.2f: %d of %d", shorter, harmed, 50*400)
		assert.Assert(t, harmed <= 50*400/100, "limits of %.2f: %d", shorter, harmed)
	}
}

// Guards against a range that stays as it was once the callers have other limits.
func TestRangeFollowsAChangeOfLimits(t *testing.T) {
	for _, factor := range []float64{0.3, 0.6, 2, 10} {
		for seed := range uint64(30) {
			var l timelimit.Learner
			c := newCallers(seed, 0.85)
			learn(&l, c, 200, 0.2)
			c.longest = time.Duration(factor * float64(longest))
			learn(&l, c, 160, 0.2)
			usual, ok := l.Usual("r")
			assert.Assert(t, ok, "factor %v, seed %d", factor, seed)
			at := float64(usual.Lower) / float64(c.longest)
			assert.Assert(t, at > 0.77 && at < 0.92, "factor %v, seed %d: %v", factor, seed, usual)
		}
	}
}

// Guards against an age that is negative, or beyond the range, whatever callers send.
func TestAgeIsWithinTheRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l timelimit.Learner
		base := rapid.Int64Range(1, 100_000).Draw(t, "baseMs")
		limits := rapid.SliceOfN(rapid.OneOf(rapid.Int64Range(base, base+base/5), rapid.Int64Range(0, 2*base), rapid.Int64()), 0, 400).Draw(t, "limits")
		for _, ms := range limits {
			l.Refused(now, "r")
			left := time.Duration(ms%(1<<40)) * time.Millisecond
			age := l.Age(now, "r", left)
			usual, ok := l.Usual("r")
			assert.Assert(t, age >= 0)
			if ok {
				assert.Assert(t, usual.Lower <= usual.Upper && usual.Upper-usual.Lower <= usual.Upper*36/100, "%v", usual)
			}
		}
	})
}

// Guards against unsynchronized use: the requests of an instance are served concurrently.
func TestConcurrentUse(t *testing.T) {
	var l timelimit.Learner
	var group errgroup.Group
	for seed := range uint64(4) {
		group.Go(func() error {
			learn(&l, newCallers(seed, 0.85), 1000, 0.2)
			l.Usual("r")
			l.Retain(func(string) bool { return true })
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	_, ok := l.Usual("r")
	assert.Assert(t, ok)
}

// Guards against state of routes that no longer exist, and against memory that grows with the names.
func TestRoutesAreForgotten(t *testing.T) {
	var l timelimit.Learner
	learn(&l, newCallers(1, 0.85), 100, 0)
	_, ok := l.Usual("r")
	assert.Assert(t, ok)
	l.Retain(func(name string) bool { return name == "r" })
	_, ok = l.Usual("r")
	assert.Assert(t, ok, "a route that still exists is kept")
	l.Retain(func(string) bool { return false })
	_, ok = l.Usual("r")
	assert.Assert(t, !ok)

	learn(&l, newCallers(1, 0.85), 100, 0)
	for n := range 8191 {
		l.Age(now, fmt.Sprint("route", n), time.Second)
	}
	_, ok = l.Usual("r")
	assert.Assert(t, ok, "8,192 routes are kept")
	l.Age(now, "one more", time.Second)
	_, ok = l.Usual("r")
	assert.Assert(t, !ok, "the route that was requested longest ago is dropped")
}
