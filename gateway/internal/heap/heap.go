// Package heap measures allocations in tests.
package heap

import "runtime"

// Allocated returns how many bytes all goroutines allocate while run is running: by as much the heap grows if no garbage is
// collected meanwhile.
func Allocated(run func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}
