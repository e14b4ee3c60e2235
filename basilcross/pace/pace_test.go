package pace_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/pace"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// answer records n responses of the given slowness that were sent when the one before arrived.
func answer(c *pace.Controller, at time.Time, n int, r pace.Response) (time.Time, bool) {
	for range n {
		sent := at
		at = at.Add(100 * time.Millisecond)
		if _, ended := c.Answered(at, sent, r); ended {
			return at, true
		}
	}
	return at, false
}

var (
	usual = pace.Response{Slowness: 1, Usual: 1, InFlight: 1}
	late  = pace.Response{Slowness: 3, Usual: 1, InFlight: 2}
)

// Guards against a controller that limits a target that nothing is held against.
func TestZeroValueIsFullPace(t *testing.T) {
	var c pace.Controller
	assert.Assert(t, !c.Paced())
	_, ended := c.Answered(start, start, late)
	c.Failed(start, start, 2)
	assert.Assert(t, !ended && !c.Paced())
}

// Guards against a target that answers as usual and is left idle for longer than a few answers.
func TestFullPaceAfterAsManyAnswersAsSlots(t *testing.T) {
	var c pace.Controller
	assert.Assert(t, c.Begin(start, pace.Started, 3, false))
	assert.Equal(t, c.Allowance(), 1)
	at, ended := answer(&c, start, 2, usual)
	assert.Assert(t, !ended)
	assert.Equal(t, c.Allowance(), 3)
	run, ended := c.Answered(at.Add(time.Second), at, usual)
	assert.Assert(t, ended && !c.Paced())
	assert.DeepEqual(t, run, pace.Run{Cause: pace.Started, Duration: 1200 * time.Millisecond, Answers: 3})
}

// Guards against more and more requests at a target that cannot cope, and against an allowance that falls to one
// since several requests of the same moment were late.
func TestLateAnswersLowerTheAllowanceOnceARound(t *testing.T) {
	var c pace.Controller
	c.Begin(start, pace.Started, 9, false)
	at, _ := answer(&c, start, 7, usual)
	assert.Equal(t, c.Allowance(), 8)
	for range 3 {
		c.Answered(at.Add(time.Second), at, late)
	}
	assert.Equal(t, c.Allowance(), 4)
	c.Answered(at.Add(time.Second), at, usual)
	assert.Equal(t, c.Allowance(), 4, "it was sent before")
	answer(&c, at.Add(2*time.Second), 5, late)
	assert.Equal(t, c.Allowance(), 1)
}

// Guards against a target that never reaches full use since it is slow for good, and against a pace that ends
// while it is slower than it used to be.
func TestTargetThatIsSlowAloneReachesFullUse(t *testing.T) {
	var c pace.Controller
	c.Begin(start, pace.Started, 3, false)
	alone := late
	alone.InFlight = 1
	at, ended := answer(&c, start, 4, alone)
	assert.Assert(t, !ended)
	assert.Equal(t, c.Allowance(), 4)
	learned := late
	learned.Usual = 2
	_, ended = answer(&c, at, 1, learned)
	assert.Assert(t, ended)
}

// Guards against a target that gets a second request again and again at once after it failed under two.
func TestFailureLowersTheAllowance(t *testing.T) {
	var c pace.Controller
	c.Begin(start, pace.Failed, 3, false)
	at, _ := answer(&c, start, 1, usual)
	assert.Equal(t, c.Allowance(), 2)
	c.Failed(at, at, 2)
	assert.Equal(t, c.Allowance(), 1)
	c.Failed(at, at, 2)
	assert.Equal(t, c.Allowance(), 1)
}

// Guards against a second cause that leaves the allowance as it was, or counts as another pace.
func TestBeginAgainStartsAtOne(t *testing.T) {
	var c pace.Controller
	c.Begin(start, pace.Started, 3, false)
	at, _ := answer(&c, start, 2, usual)
	assert.Assert(t, !c.Begin(at, pace.Cold, 3, false))
	assert.Equal(t, c.Allowance(), 1)
	assert.Equal(t, c.Cause(), pace.Started)
}

// Guards against an owner's keys that wait for one slot, since no other target may serve them.
func TestTargetWithoutAlternativeStartsAtHalfItsSlots(t *testing.T) {
	for slots, want := range map[int]int{1: 1, 2: 1, 3: 2, 8: 4} {
		var c pace.Controller
		c.Begin(start, pace.Started, slots, true)
		assert.Equal(t, c.Allowance(), want, "%d slots", slots)
	}
}
