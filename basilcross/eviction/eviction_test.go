package eviction_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/eviction"
	"basilcross.example/basilcross/promise"
	"basilcross.example/basilcross/seat"
	"gotest.tools/v3/assert"
)

// Four zones, one of them silent. Its eviction needs the word of two others;
// one of these has just promised to extend the silent holder, so that promise
// is waited out.
func Example() {
	now := time.Unix(1000, 0)
	holder := seat.Record{Zone: "wien", Holder: "gw-9", Incarnation: "a"}
	var graz, salzburg promise.Ledger
	graz.Extend(now, promise.ExtendRequest{Zone: "wien", Holder: "gw-9", Incarnation: "a", Version: 7}, holder, 7)

	var e eviction.Eviction
	e.Begin(8, now)
	for zone, book := range map[string]*promise.Ledger{"graz": &graz, "salzburg": &salzburg} {
		e.Confirm(now, zone, 8, book.Refrain(now, "wien", 8))
	}
	needed := promise.EvictQuorum(4)
	fmt.Println("at once:", e.Complete(now, needed))
	fmt.Println("later:", e.Complete(now.Add(2*seat.LeaseDuration), needed))
	// Output:
	// at once: false
	// later: true
}

// A leader has refrained. It does not extend the holder under the row it
// refused, but does after the holder has renewed in the table.
func TestRefrainEndsWithARenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := seat.Record{Zone: "wien", Holder: "gw-9", Incarnation: "a"}
	request := promise.ExtendRequest{Zone: "wien", Holder: "gw-9", Incarnation: "a", Version: 8}
	var b promise.Ledger
	b.Refrain(now, "wien", 8)
	assert.Assert(t, !b.Extend(now, request, holder, 8))
	request.Version = 9
	assert.Assert(t, b.Extend(now, request, holder, 9))
}

// A leader has just gained its seat and knows nothing of what the earlier one
// promised. It reads an intent in the holder's row and does not extend it, and
// its own confirmation counts only after a period.
func TestNewLeaderDelaysItsConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	b := promise.Ledger{ConfirmFrom: now.Add(seat.LeaseDuration)}
	evicted := seat.Record{Zone: "wien", Holder: "gw-9", Incarnation: "a", Intent: "gw-1"}
	request := promise.ExtendRequest{Zone: "wien", Holder: "gw-9", Incarnation: "a", Version: 7}
	assert.Assert(t, !b.Extend(now, request, evicted, 8))
	assert.Equal(t, b.Refrain(now, "wien", 8), seat.LeaseDuration)
}

// A confirmation for an earlier attempt arrives after the holder has renewed
// and a new attempt has begun. It does not count.
func TestConfirmationOfEarlierAttemptIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	var e eviction.Eviction
	e.Begin(8, now)
	e.Begin(10, now)
	e.Confirm(now, "graz", 8, 0)
	assert.Assert(t, !e.Complete(now.Add(time.Hour), 1))
}

// The zones that extend and those that evict share a leader, for every size.
func TestExtendAndEvictQuorumsOverlap(t *testing.T) {
	for n := 2; n <= 20; n++ {
		extend, ok := promise.ExtendQuorum(n)
		assert.Assert(t, ok)
		assert.Assert(t, extend+promise.EvictQuorum(n) > n-1, "n = %d", n)
	}
	_, ok := promise.ExtendQuorum(1)
	assert.Assert(t, !ok)
}
