package coordinator

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottime is a clock that goes on while the machine is suspended. The
// monotonic clock stands still then: an instance that was suspended would
// believe that its lease is still good, and grant keys that its successor has
// given to others.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock nobody can know whether a lease is good.
		panic("coordinator: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
