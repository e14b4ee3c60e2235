// Package responsetime keeps the distribution of recent response times, each as a multiple of the
// time that was expected of it.
package responsetime

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowCount windows of windowLength each are kept, the oldest of which is dropped next.
	windowCount  = 4
	windowLength = 15 * time.Second
	// unit is the value in the histogram of a ratio of 1. Ratios up to maxValue / unit are distinguished.
	unit     = 100
	maxValue = 100 * unit
	// significantDigits of a ratio are kept.
	significantDigits = 2
	// steps is the number of quantiles in the table from which shares and quantiles are interpolated.
	steps = 400
	// refreshShare is the share of new responses after which the table is computed again: computing it
	// costs as much as some hundred lookups.
	refreshShare = 1.0 / 16
)

// Distribution is the distribution of the response times of the last minute. The zero value is
// empty. It is not safe for concurrent use.
type Distribution struct {
	window *hdrhistogram.WindowedHistogram
	// current is when the current window began.
	current time.Time
	// count is the number of responses in the table, added that of responses since.
	count int64
	added int64
	// quantiles are ratios, in steps of 1 / steps.
	quantiles []float64
}

// Record adds a response time as a multiple of the expected one.
func (d *Distribution) Record(now time.Time, ratio float64) {
	if d.window == nil {
		d.window = hdrhistogram.NewWindowed(windowCount, 1, maxValue, significantDigits)
		d.current = now
	}
	d.rotate(now)
	// The value is within the histogram's range.
	_ = d.window.Current.RecordValue(int64(math.Round(min(max(ratio*unit, 1), maxValue))))
	d.added++
	if float64(d.added) >= refreshShare*float64(d.count) {
		d.refresh()
	}
}

// rotate drops the windows that are over.
func (d *Distribution) rotate(now time.Time) {
	over := int(min(now.Sub(d.current)/windowLength, windowCount))
	for range over {
		d.window.Rotate()
	}
	if over > 0 {
		d.current = now
		d.refresh()
	}
}

func (d *Distribution) refresh() {
	merged := d.window.Merge()
	d.count, d.added = merged.TotalCount(), 0
	d.quantiles = d.quantiles[:0]
	if d.count == 0 {
		return
	}
	for _, v := range merged.ValueAtPercentilesSlice(percentiles) {
		d.quantiles = append(d.quantiles, float64(v)/unit)
	}
}

// percentiles are those of the table.
var percentiles = func() []float64 {
	list := make([]float64, steps+1)
	for i := range list {
		list[i] = 100 * float64(i) / steps
	}
	return list
}()

// Count returns the number of responses of the last minute.
func (d *Distribution) Count(now time.Time) int {
	if d.window == nil {
		return 0
	}
	d.rotate(now)
	return int(d.count + d.added)
}

// Share returns the share of responses that took at most the ratio; 1 if there are none.
func (d *Distribution) Share(ratio float64) float64 {
	// Equal values are one step of the distribution: the last of them counts.
	above := sort.Search(len(d.quantiles), func(i int) bool { return d.quantiles[i] > ratio })
	switch above {
	case len(d.quantiles):
		return 1
	case 0:
		return 0
	}
	low, high := d.quantiles[above-1], d.quantiles[above]
	return (float64(above-1) + (ratio-low)/(high-low)) / steps
}

// Quantile returns the ratio that the given share of responses do not exceed; 0 if there are none.
func (d *Distribution) Quantile(share float64) float64 {
	if len(d.quantiles) == 0 {
		return 0
	}
	at := min(max(share, 0), 1) * steps
	i := min(int(at), steps-1)
	return d.quantiles[i] + (at-float64(i))*(d.quantiles[i+1]-d.quantiles[i])
}
