package bodybudget_test

import (
	"errors"
	"testing"
	"time"

	"basilcross.example/basilcross/bodybudget"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	budget  = 8 << 20
	largest = budget / 4
	// forLarge is what large bodies may take together.
	forLarge = budget - budget/8
	maxWait  = time.Minute
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func reserve(t *testing.T, b *bodybudget.Budget, size int64) *bodybudget.Share {
	t.Helper()
	s, err := b.Reserve(start, size, maxWait)
	assert.NilError(t, err)
	return s
}

func refusal(t *testing.T, err error, reason bodybudget.Reason) *bodybudget.FullError {
	t.Helper()
	var full *bodybudget.FullError
	assert.Assert(t, errors.As(err, &full), "%v", err)
	assert.Equal(t, full.Reason, reason)
	return full
}

func TestZeroValueHasNoLimit(t *testing.T) {
	b := &bodybudget.Budget{}
	assert.Assert(t, !b.Limited())
	s := reserve(t, b, 1<<40)
	assert.NilError(t, s.Grow(start, 1<<41, maxWait))
	assert.Equal(t, b.Held(), int64(1<<41))
	s.Release(start)
	assert.Equal(t, b.Held(), int64(0))
}

// Guards against small bodies that are refused, or lose their shares, because of large ones.
func TestSmallBodiesKeepTheirPart(t *testing.T) {
	b := &bodybudget.Budget{Bytes: budget}
	for range forLarge / largest {
		reserve(t, b, largest)
	}
	reserve(t, b, forLarge%largest)
	_, err := b.Reserve(start, bodybudget.SmallBody+1, maxWait)
	refusal(t, err, bodybudget.Full)
	var last *bodybudget.Share
	for range budget / 8 / bodybudget.SmallBody {
		last = reserve(t, b, bodybudget.SmallBody)
	}
	assert.Equal(t, b.Held(), int64(budget))
	later := start.Add(bodybudget.StallTime)
	assert.Assert(t, !last.Stalled(later, 0), "no small body was refused")
	_, err = b.Reserve(later, 1, maxWait)
	refusal(t, err, bodybudget.SmallFull)
	assert.Assert(t, last.Stalled(later.Add(bodybudget.StallTime), 0))
}

// Guards against one body that takes the budget of many.
func TestNoBodyTakesMoreThanAQuarterBesideOthers(t *testing.T) {
	b := &bodybudget.Budget{Bytes: budget}
	first := reserve(t, b, largest*2)
	_, err := b.Reserve(start, largest+1, maxWait)
	refusal(t, err, bodybudget.Quarter)
	grown := reserve(t, b, largest)
	refusal(t, grown.Grow(start, largest+1, maxWait), bodybudget.Quarter)
	first.Release(start)
	assert.NilError(t, grown.Grow(start, largest+1, maxWait))
}

// Guards against a body that is larger than the budget, and never served, or served beside others.
func TestBodyAboveTheBudgetIsHeldAlone(t *testing.T) {
	b := &bodybudget.Budget{Bytes: budget}
	other := reserve(t, b, 1<<20)
	_, err := b.Reserve(start, 3*budget, maxWait)
	refusal(t, err, bodybudget.Quarter)
	other.Release(start)
	alone := reserve(t, b, 3*budget)
	_, err = b.Reserve(start, 3*budget, maxWait)
	refusal(t, err, bodybudget.Quarter)
	_, err = b.Reserve(start, 1<<20, maxWait)
	refusal(t, err, bodybudget.Full)
	reserve(t, b, 100)
	alone.Release(start)
	reserve(t, b, 3*budget)
}

// Guards against slow senders that keep their shares while others are refused, and against those that
// lose them without need.
func TestSlowBodyLosesItsShareOnlyWhileOthersAreRefused(t *testing.T) {
	b := &bodybudget.Budget{Bytes: budget}
	slow, steady := reserve(t, b, 1<<20), reserve(t, b, 1<<20)
	at := start.Add(bodybudget.StallTime)
	assert.Assert(t, !slow.Stalled(at, 0), "none was refused")
	_, err := b.Reserve(at.Add(time.Millisecond), largest*3, maxWait)
	refusal(t, err, bodybudget.Quarter)
	at = at.Add(bodybudget.StallTime)
	assert.Assert(t, slow.Stalled(at, bodybudget.StallBytes-1))
	assert.Assert(t, !steady.Stalled(at, bodybudget.StallBytes))
	at = at.Add(bodybudget.StallTime)
	assert.Assert(t, !steady.Stalled(at, bodybudget.StallBytes), "none was refused since the last check")
}

// Guards against refused callers that all return at the same moment, and against places that those take
// who do not wait for them.
func TestRefusedBodiesAreSpreadOverWhatIsReleased(t *testing.T) {
	b := &bodybudget.Budget{Bytes: budget}
	for range 3 {
		reserve(t, b, 2<<20)
	}
	now := start.Add(100 * time.Millisecond)
	var last time.Duration
	for range 5 {
		_, err := b.Reserve(now, 2<<20, maxWait)
		full := refusal(t, err, bodybudget.Full)
		assert.Assert(t, full.RetryAfter > last+150*time.Millisecond, "%v after %v", full.RetryAfter, last)
		last = full.RetryAfter
	}
	for range 5 {
		_, err := b.Reserve(now, 2<<20, time.Millisecond)
		full := refusal(t, err, bodybudget.Full)
		assert.Assert(t, full.RetryAfter < last+time.Second, "%v", full.RetryAfter)
	}
	_, err := b.Reserve(now.Add(last), 2<<20, maxWait)
	assert.Assert(t, refusal(t, err, bodybudget.Full).RetryAfter < last, "the places have passed")
}

// Guards against a time to return that does not follow how long bodies are held.
func TestRetryAfterFollowsTheTimeThatBodiesAreHeld(t *testing.T) {
	wait := func(held time.Duration) time.Duration {
		b := &bodybudget.Budget{Bytes: budget}
		reserve(t, b, largest).Release(start.Add(held))
		for range 3 {
			reserve(t, b, 2<<20)
		}
		_, err := b.Reserve(start, 2<<20, maxWait)
		return refusal(t, err, bodybudget.Full).RetryAfter
	}
	assert.Assert(t, wait(100*time.Millisecond) < 100*time.Millisecond)
	assert.Assert(t, wait(10*time.Second) > time.Second)
}

// body is a body in a random sequence of steps, and the size that it should have.
type body struct {
	share *bodybudget.Share
	size  int64
}

// Guards against sums of shares above the budget, and against bytes that stay reserved.
func TestNeverAboveTheBudgetAndEverythingReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int64{1, 1000, bodybudget.SmallBody, 100 << 10, 1 << 20, 48 << 20}).Draw(t, "limit")
		b := &bodybudget.Budget{Bytes: limit}
		sizes := rapid.OneOf(rapid.Int64Range(0, 2*bodybudget.SmallBody), rapid.Int64Range(0, limit/3+1), rapid.Int64Range(0, 2*limit))
		now := start
		var bodies []body
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			bodies = randomStep(t, b, now, bodies, sizes.Draw(t, "size"))
			checkSum(t, b, bodies)
		}
		for _, o := range bodies {
			o.share.Release(now)
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes held after all were released", b.Held())
		}
		if _, err := b.Reserve(now, limit, maxWait); err != nil {
			t.Fatalf("an empty budget refuses %d of %d: %v", limit, limit, err)
		}
	})
}

// randomStep reserves, grows, shrinks or releases a share.
func randomStep(t *rapid.T, b *bodybudget.Budget, now time.Time, bodies []body, size int64) []body {
	n := rapid.IntRange(0, len(bodies)).Draw(t, "body")
	step := rapid.SampledFrom([]string{"reserve", "grow", "shrink", "release"}).Draw(t, "step")
	var err error
	switch {
	case step == "reserve" || n == len(bodies):
		var s *bodybudget.Share
		if s, err = b.Reserve(now, size, maxWait); err == nil {
			bodies = append(bodies, body{s, size})
		}
	case step == "grow":
		if err = bodies[n].share.Grow(now, size, maxWait); err == nil {
			bodies[n].size = max(bodies[n].size, size)
		}
	case step == "shrink":
		bodies[n].share.Shrink(now, size)
		bodies[n].size = min(bodies[n].size, size)
	default:
		bodies[n].share.Release(now)
		bodies[n].share.Release(now)
		bodies = append(bodies[:n], bodies[n+1:]...)
	}
	var full *bodybudget.FullError
	if errors.As(err, &full) && (full.RetryAfter < 0 || full.RetryAfter > time.Hour) {
		t.Fatalf("retry after %v", full.RetryAfter)
	}
	return bodies
}

// checkSum compares the bytes that are held with those that should be, and with the limit. A body that
// does not fit beside the part for small ones is held alone.
func checkSum(t *rapid.T, b *bodybudget.Budget, bodies []body) {
	sum, largest := int64(0), int64(0)
	for _, o := range bodies {
		sum += o.size
		largest = max(largest, o.size)
	}
	if b.Held() != sum {
		t.Fatalf("%d bytes held, want %d", b.Held(), sum)
	}
	part := b.Bytes / 8
	if sum > b.Bytes && (largest <= b.Bytes-part || sum-largest > part) {
		t.Fatalf("%d bytes held of %d, of which one body takes %d", sum, b.Bytes, largest)
	}
}

// Guards against a Retry-After that follows the first body released for a long time, however small it was: one whose
// response was read slowly.
func TestOneSlowReaderHardlyChangesRetryAfter(t *testing.T) {
	retryIn := func(firstHeld time.Duration) time.Duration {
		b := &bodybudget.Budget{Bytes: 46 << 20}
		reserve := func(at time.Time, size int64) *bodybudget.Share {
			s, err := b.Reserve(at, size, time.Minute)
			assert.NilError(t, err)
			return s
		}
		reserve(start, 13).Release(start.Add(firstHeld))
		now := start.Add(firstHeld)
		for range 1000 {
			s := reserve(now, 1<<10)
			now = now.Add(20 * time.Millisecond)
			s.Release(now)
		}
		for {
			if _, err := b.Reserve(now, bodybudget.SmallBody, time.Minute); err != nil {
				var full *bodybudget.FullError
				assert.Assert(t, errors.As(err, &full))
				return full.RetryAfter
			}
		}
	}
	assert.Assert(t, retryIn(20*time.Second) < 2*retryIn(20*time.Millisecond))
}
