package eviction_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/eviction"
	"basilcross.example/basilcross/quorum"
	"basilcross.example/basilcross/seat"
	"gotest.tools/v3/assert"
)

// The leader of one of four zones is unresponsive. Its eviction needs the
// confirmations of two others, one of which has just extended it, so the eviction
// completes when that extension has expired.
func Example() {
	now := time.Unix(1000, 0)
	holder := seat.Record{Zone: "wien", Holder: "gw-9", Incarnation: "a"}
	var graz, salzburg quorum.Ledger
	graz.Extend(now, quorum.ExtendRequest{Zone: "wien", Holder: "gw-9", Incarnation: "a", Version: 7}, holder, 7)

	var e eviction.Eviction
	e.Begin(8, now)
	for zone, ledger := range map[string]*quorum.Ledger{"graz": &graz, "salzburg": &salzburg} {
		e.Confirm(now, zone, 8, ledger.Refrain(now, "wien", 8))
	}
	needed := quorum.EvictQuorum(4)
	fmt.Println("at once:", e.Complete(now, needed))
	fmt.Println("later:", e.Complete(now.Add(2*seat.LeaseDuration), needed))
	// Output:
	// at once: false
	// later: true
}

// Guards against a leader that refrains forever: it must not extend the holder at
// the row version that it refrained from, but must after the holder has renewed.
func TestRefrainEndsWithARenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := seat.Record{Zone: "wien", Holder: "gw-9", Incarnation: "a"}
	request := quorum.ExtendRequest{Zone: "wien", Holder: "gw-9", Incarnation: "a", Version: 8}
	var ledger quorum.Ledger
	ledger.Refrain(now, "wien", 8)
	assert.Assert(t, !ledger.Extend(now, request, holder, 8))
	request.Version = 9
	assert.Assert(t, ledger.Extend(now, request, holder, 9))
}

// Guards against an eviction that ignores extensions by the former leader, of which
// a new leader has no record: its confirmation must count only after a lease
// duration. It must not extend a holder whose row has an intent.
func TestNewLeaderDelaysItsConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := quorum.Ledger{ConfirmFrom: now.Add(seat.LeaseDuration)}
	evicted := seat.Record{Zone: "wien", Holder: "gw-9", Incarnation: "a", Intent: "gw-1"}
	request := quorum.ExtendRequest{Zone: "wien", Holder: "gw-9", Incarnation: "a", Version: 7}
	assert.Assert(t, !ledger.Extend(now, request, evicted, 8))
	assert.Equal(t, ledger.Refrain(now, "wien", 8), seat.LeaseDuration)
}

// Guards against a confirmation that counts for a later attempt than its own,
// when it arrives after the holder has renewed and a new attempt has begun.
func TestConfirmationOfEarlierAttemptIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	var e eviction.Eviction
	e.Begin(8, now)
	e.Begin(10, now)
	e.Confirm(now, "graz", 8, 0)
	assert.Assert(t, !e.Complete(now.Add(time.Hour), 1))
}

// Guards against a seat that is extended and evicted at once: the quorums must
// have a leader in common for every number of zones.
func TestExtendAndEvictQuorumsOverlap(t *testing.T) {
	for n := 2; n <= 20; n++ {
		extend, ok := quorum.ExtendQuorum(n)
		assert.Assert(t, ok)
		assert.Assert(t, extend+quorum.EvictQuorum(n) > n-1, "n = %d", n)
	}
	_, ok := quorum.ExtendQuorum(1)
	assert.Assert(t, !ok)
}
