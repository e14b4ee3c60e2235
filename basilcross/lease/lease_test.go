package lease_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/lease"
	"gotest.tools/v3/assert"
)

func ExampleLease() {
	sent := time.Now()
	l := lease.New(sent, time.Second)
	// The answer took 400 ms; the lease counts from the sending all the same.
	received := sent.Add(400 * time.Millisecond)
	fmt.Println(l.Left(received))
	fmt.Println(l.Valid(sent.Add(time.Second)))
	fmt.Println("an observer waits", lease.Wait(time.Second))
	// Output:
	// 590ms
	// false
	// an observer waits 1.01s
}

// The machine was suspended: its monotonic clock stood still while the wall
// clock went on. The lease is over, although little time has passed by the
// monotonic clock.
func TestLeaseEndsWhileMachineIsSuspended(t *testing.T) {
	sent := time.Now()
	l := lease.New(sent, time.Second)
	wall := sent.Round(0).Add(time.Minute)
	assert.Assert(t, !l.Valid(wall))
}

func TestWithinAndLater(t *testing.T) {
	now := time.Now()
	short := lease.Lease{Sent: now, Length: time.Second}
	long := lease.Lease{Sent: now.Add(500 * time.Millisecond), Length: 2 * time.Second}
	assert.Equal(t, long.Within(short).Length, 500*time.Millisecond)
	assert.Equal(t, short.Within(long), short)
	assert.Equal(t, short.Later(long), long)
	assert.Assert(t, !(lease.Lease{}).Valid(now), "the zero value is no authority")
}
