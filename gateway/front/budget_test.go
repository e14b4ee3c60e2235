package front

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	ticksPerSecond = 10 // steps a second
	windowTicks    = 10 * ticksPerSecond
)

// Targets fail in waves, up to all requests at once, while callers come and go.
// Every instance knows only its own requests. Over any ten seconds all of them
// together must not repeat more than the users allow, or targets that fail
// under load get more of it from each instance.
func TestRetriesOfAllInstancesStayWithinLimit(t *testing.T) {
	for _, c := range []struct {
		members int
		slack   float64
		rate    float64
	}{
		{1, 62, 300},
		{12, 64, 150},
		{89, 218, 1900},
		{89, 218, 40},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d instances at %.0f/s, seed %d", c.members, c.rate, seed), func(t *testing.T) {
				simulateBudgets(t, c.members, c.slack, c.rate, rand.New(rand.NewPCG(seed, 1)))
			})
		}
	}
}

func simulateBudgets(t *testing.T, members int, slack, rate float64, random *rand.Rand) {
	const ratio = 0.2
	fleet := make([]*Front, members)
	for i := range fleet {
		fleet[i] = New(Options{RetryLimits: func() RetryLimits { return RetryLimits{Ratio: ratio, Slack: slack, Instances: members} }})
	}
	var requests, repeated []int
	load, failing := 1.0, 0.0
	for step := range 60 * ticksPerSecond {
		if step%(2*ticksPerSecond) == 0 {
			load, failing = []float64{0, 0.2, 1, 2.5}[random.IntN(4)], []float64{0, 0.1, 0.5, 1}[random.IntN(4)]
		}
		came, again := 0, 0
		for range int(rate*load/ticksPerSecond + random.Float64()) {
			came++
			b := fleet[random.IntN(members)].budget("s")
			b.Deposit()
			for tries := 0; tries < 3 && random.Float64() < failing && b.TryWithdraw(); tries++ {
				again++
			}
		}
		requests, repeated = append(requests, came), append(repeated, again)
		counted := max(sum(requests, 0), sum(requests, windowTicks/2), sum(requests, windowTicks))
		most := ratio*float64(counted) + slack
		assert.Assert(t, float64(sum(repeated, 0)) <= most, "%d repetitions in the ten seconds to step %d, %.0f allowed", sum(repeated, 0), step, most)
	}
}

// sum adds up the window that ended a number of steps ago.
func sum(list []int, ago int) (n int) {
	end := max(0, len(list)-ago)
	for _, v := range list[max(0, end-windowTicks):end] {
		n += v
	}
	return n
}
