package timelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// maxLimit is the longest time limit that is distinguished.
	maxLimit = 24 * time.Hour
	// oddShare is the share of the longest limits that are left out: odd callers.
	oddShare = 1.0 / 32
	// minUsualShare is the share of requests that must be in the range. Up to a third of all may be
	// retries; in a window of 128 their share varies by a tenth (2.5 standard deviations).
	minUsualShare = 0.56
	// shortOddShare is the share of the shortest limits that are left out where there are no retries. Up to
	// as many requests may be retries after refusals by other instances.
	shortOddShare = 1.0 / 16
	// maxWidth is the largest width of the range, as a share of its upper end. Where limits vary more,
	// nothing is assumed.
	maxWidth = 1.0 / 3
	// shortShare and maxShort recognize callers with other limits. A caller that waits a third of its
	// time twice has 0.38 of the longest limit left; where more than one request in 16 has less than a
	// quarter, there are callers with such limits.
	shortShare = 0.25
	maxShort   = 1.0 / 16
	// resolution is the smallest width that limits are distinguished by, and the margin below the range, as
	// a share of its upper end: some limits are rarer than those in the window.
	resolution = 0.02
	// minGain is the log-likelihood ratio above which the limits below the range count as others, and
	// minContrast how much denser the range must be. Evenly distributed limits hardly ever reach both by
	// chance. Retries that are a third of all requests are six times sparser than first attempts whose
	// limits differ by 15 %.
	minGain     = 8.0
	minContrast = 3.0
)

// Range is the usual range of a route's time limits.
type Range struct{ Lower, Upper time.Duration }

// Middle returns the middle of the range.
func (r Range) Middle() time.Duration { return (r.Lower + r.Upper) / 2 }

// extend returns the range with the limits that callers have while there are no retries; ok is false if they vary too
// much. Limits of callers that have changed their longest one since then say nothing.
func (r Range) extend(quiet Range) (extended Range, ok bool) {
	if (r.Upper-quiet.Upper).Abs() > r.Upper/8 || quiet.Lower >= r.Lower {
		return r, true
	}
	r.Lower = quiet.Lower
	return r, float64(r.Upper-r.Lower) <= (maxWidth+resolution)*float64(r.Upper)
}

// span returns the range of all limits, in ms, except odd ones.
func span(limits []uint32) Range {
	sorted := slices.Clone(limits)
	slices.Sort(sorted)
	n := float64(len(sorted))
	upper := float64(sorted[len(sorted)-1-int(n*oddShare)])
	return Range{Lower: millis(float64(sorted[int(n*shortOddShare)]) - resolution*upper), Upper: millis(upper)}
}

// fit returns the usual range of limits, in ms; ok is false if they vary too much, or are not a mixture of
// a usual range and few shorter ones. The lower end is where the density of the limits steps up: the
// change point of greatest likelihood between two uniform densities.
func fit(limits []uint32) (usual Range, ok bool) {
	sorted := slices.Clone(limits)
	slices.Sort(sorted)
	sorted = sorted[:len(sorted)-int(float64(len(sorted))*oddShare)]
	n, upper := len(sorted), float64(sorted[len(sorted)-1])
	if upper == 0 || float64(countBelow(sorted, shortShare*upper)) > maxShort*float64(n) {
		return Range{}, false
	}
	first := changePoint(sorted, resolution*upper)
	lower := float64(sorted[first])
	if float64(n-first) < minUsualShare*float64(n) || upper-lower > maxWidth*upper {
		return Range{}, false
	}
	lower -= resolution * upper
	return Range{Lower: millis(lower), Upper: millis(upper)}, true
}

// changePoint returns the index of the first of the sorted limits that is in the dense part at their upper
// end; 0 if all are. Widths count as at least minWidth.
func changePoint(sorted []uint32, minWidth float64) (first int) {
	n := float64(len(sorted))
	least, upper := float64(sorted[0]), float64(sorted[len(sorted)-1])
	whole := math.Log(1 / max(upper-least, minWidth))
	best := minGain
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			continue
		}
		below, above := float64(i), n-float64(i)
		lower := float64(sorted[i])
		sparse := below / n / max(lower-least, minWidth)
		dense := above / n / max(upper-lower, minWidth)
		if dense < minContrast*sparse {
			continue
		}
		if gain := below*math.Log(sparse) + above*math.Log(dense) - n*whole; gain > best {
			first, best = i, gain
		}
	}
	return first
}

func countBelow(sorted []uint32, limit float64) int {
	n, _ := slices.BinarySearchFunc(sorted, limit, func(v uint32, limit float64) int {
		if float64(v) < limit {
			return -1
		}
		return 1
	})
	return n
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
