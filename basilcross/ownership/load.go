package ownership

import (
	"math"
	"time"
)

// loadHalfLife is the half-life of recorded load. It is short because busy keys
// change within a few seconds and a move costs little.
const loadHalfLife = 3 * time.Second

// sumsCacheTTL is how long prefix sums are reused: adding up all keys takes time,
// and decisions made at about the same time need the same sums.
const sumsCacheTTL = 100 * time.Millisecond

// Load is the exponentially decaying work on each key. The zero value is empty.
type Load struct {
	work      []float32
	scale     float64
	updatedAt time.Time
	// total is the work on all keys, and count the number of additions, both
	// decaying.
	total, count float64
	cachedSums   []float64
	cachedAt     time.Time
}

// Add records work on a key, in seconds of one slot. Keys out of range are ignored.
func (l *Load) Add(now time.Time, key int, seconds float64) {
	if key < 0 || key >= KeyCount {
		return
	}
	if l.work == nil {
		l.work = make([]float32, KeyCount)
		l.scale, l.updatedAt = 1, now
	}
	// Newer work is scaled up instead of scaling all older work down.
	l.scale *= math.Exp2(now.Sub(l.updatedAt).Seconds() / loadHalfLife.Seconds())
	l.updatedAt = now
	if l.scale > 1e12 {
		l.rescale()
	}
	l.work[key] += float32(seconds * l.scale)
	l.total += seconds * l.scale
	l.count += l.scale
}

func (l *Load) rescale() {
	for i, w := range l.work {
		l.work[i] = float32(float64(w) / l.scale)
	}
	l.total /= l.scale
	l.count /= l.scale
	l.scale = 1
}

// stdDev is the random standard deviation of the measured value of a load: requests
// arrive one by one, and only those of the last few seconds count.
func (l *Load) stdDev(load float64) float64 {
	if l.count == 0 {
		return 0
	}
	return math.Sqrt(max(0, load) * l.total / l.count * math.Ln2 / (2 * loadHalfLife.Seconds()))
}

// prefixSums returns, for each index, the work per second on all keys below it.
func (l *Load) prefixSums(now time.Time) []float64 {
	if l.cachedSums != nil && now.Sub(l.cachedAt) < sumsCacheTTL {
		return l.cachedSums
	}
	if l.cachedSums == nil {
		l.cachedSums = make([]float64, KeyCount+1)
	}
	l.cachedAt = now
	sums := l.cachedSums
	if l.work == nil {
		return sums
	}
	scale := l.scale * math.Exp2(now.Sub(l.updatedAt).Seconds()/loadHalfLife.Seconds())
	// A steady rate r adds up to r * halfLife / ln 2.
	rate := math.Ln2 / loadHalfLife.Seconds() / scale
	for i, w := range l.work {
		sums[i+1] = sums[i] + float64(w)*rate
	}
	return sums
}
