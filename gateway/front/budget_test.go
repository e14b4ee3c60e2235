package front

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	ticksPerSecond = 10
	windowTicks    = 10 * ticksPerSecond
)

// Guards against retries that exceed the users' limit over any ten seconds, summed over
// all instances, each of which sees only its own requests: targets that fail under load
// would get more load from every instance. The rates of requests and of failures change
// every two seconds, up to the failure of all requests.
func TestRetriesOfAllInstancesStayWithinLimit(t *testing.T) {
	for _, c := range []struct {
		instances int
		slack     float64
		rate      float64
	}{
		{1, 62, 300},
		{12, 64, 150},
		{89, 218, 1900},
		{89, 218, 40},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d instances at %.0f/s, seed %d", c.instances, c.rate, seed), func(t *testing.T) {
				simulateBudgets(t, c.instances, c.slack, c.rate, rand.New(rand.NewPCG(seed, 1)))
			})
		}
	}
}

// simulateBudgets simulates a minute of requests. The retries of each window must stay
// within the limit given by the requests of that window, or of the window that ended
// five or ten seconds before it.
func simulateBudgets(t *testing.T, instances int, slack, rate float64, random *rand.Rand) {
	const ratio = 0.2
	fronts := make([]*Front, instances)
	for i := range fronts {
		fronts[i] = New(Options{RetryLimits: func() RetryLimits { return RetryLimits{Ratio: ratio, Slack: slack, Instances: instances} }})
	}
	var requests, retries []int
	load, failing := 1.0, 0.0
	for tick := range 60 * ticksPerSecond {
		if tick%(2*ticksPerSecond) == 0 {
			load, failing = []float64{0, 0.2, 1, 2.5}[random.IntN(4)], []float64{0, 0.1, 0.5, 1}[random.IntN(4)]
		}
		tickRequests, tickRetries := 0, 0
		for range int(rate*load/ticksPerSecond + random.Float64()) {
			tickRequests++
			budget := fronts[random.IntN(instances)].budget("s")
			budget.Deposit()
			for attempts := 0; attempts < 3 && random.Float64() < failing && budget.TryWithdraw(); attempts++ {
				tickRetries++
			}
		}
		requests, retries = append(requests, tickRequests), append(retries, tickRetries)
		counted := max(sum(requests, 0), sum(requests, windowTicks/2), sum(requests, windowTicks))
		limit := ratio*float64(counted) + slack
		assert.Assert(t, float64(sum(retries, 0)) <= limit, "%d retries in the ten seconds to tick %d, %.0f allowed", sum(retries, 0), tick, limit)
	}
}

// sum adds the counts of the window that ended a number of ticks ago.
func sum(list []int, ago int) (n int) {
	end := max(0, len(list)-ago)
	for _, v := range list[max(0, end-windowTicks):end] {
		n += v
	}
	return n
}
