package responsetime_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/responsetime"
	"gotest.tools/v3/assert"
)

// start is the arbitrary time at which the tests begin.
var start = time.Unix(1_000_000, 0)

func ExampleDistribution() {
	var d responsetime.Distribution
	for n := range 100 {
		d.Record(start, 0.5+float64(n)/100)
	}
	fmt.Printf("%d responses, %.1f of them within 1, half of them within %.1f\n", d.Count(start), d.Share(1), d.Quantile(0.5))
	// Output:
	// 100 responses, 0.5 of them within 1, half of them within 1.0
}

// Guards against shares and quantiles that are no inverse of each other, and differ from those of the
// distribution that the responses come from.
func TestQuantilesFollowTheDistribution(t *testing.T) {
	var d responsetime.Distribution
	random := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		d.Record(start, math.Exp(0.7*random.NormFloat64()))
	}
	for _, share := range []float64{0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99} {
		ratio := d.Quantile(share)
		want := math.Exp(0.7 * math.Sqrt2 * math.Erfinv(2*share-1))
		assert.Check(t, math.Abs(ratio/want-1) < 0.08, "quantile %.2f: %.3f, want %.3f", share, ratio, want)
		assert.Check(t, math.Abs(d.Share(ratio)-share) < 0.01, "share within %.3f: %.3f, want %.3f", ratio, d.Share(ratio), share)
	}
}

// Guards against a distribution that never forgets, and one that forgets all at once.
func TestOldResponsesAreDropped(t *testing.T) {
	var d responsetime.Distribution
	at := start
	for range 200 {
		d.Record(at, 1)
		at = at.Add(250 * time.Millisecond)
	}
	for range 80 {
		d.Record(at, 4)
		at = at.Add(250 * time.Millisecond)
	}
	assert.Assert(t, d.Share(2) > 0.4 && d.Share(2) < 0.9, "%.2f of the responses are old ones", d.Share(2))
	for range 300 {
		d.Record(at, 4)
		at = at.Add(250 * time.Millisecond)
	}
	assert.Equal(t, d.Share(2), 0.0)
	assert.Equal(t, d.Count(at.Add(time.Hour)), 0)
	assert.Equal(t, d.Share(2), 1.0)
	assert.Equal(t, d.Quantile(0.5), 0.0)
}

// Guards against ratios outside the histogram's range, which it does not record.
func TestExtremeRatiosAreCounted(t *testing.T) {
	var d responsetime.Distribution
	for _, ratio := range []float64{0, 1e-9, 1e9, 1} {
		d.Record(start, ratio)
	}
	assert.Equal(t, d.Count(start), 4)
	assert.Equal(t, d.Share(1e10), 1.0)
}
