package coordinator

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns the boot-time clock, which continues while the machine is suspended. The
// monotonic clock stops then: an instance that was suspended would treat its lease as still
// valid, and grant keys that its successor has granted to others.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock the validity of a lease cannot be determined.
		panic("coordinator: read boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
