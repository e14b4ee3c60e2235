// Package heap measures the heap in tests.
package heap

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// sampleInterval is the time between two measurements.
const sampleInterval = 5 * time.Millisecond

// Growth returns by how much the heap grows at most, garbage included, while run is running, in bytes.
func Growth(run func()) int64 {
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	peak := before.HeapAlloc
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		run()
		return nil
	})
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(sampleInterval):
		}
		runtime.ReadMemStats(&during)
		peak = max(peak, during.HeapAlloc)
	}
	return int64(peak - before.HeapAlloc)
}
