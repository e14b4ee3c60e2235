package waitlist_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/waitlist"
	"gotest.tools/v3/assert"
)

// now is the arbitrary time at which the tests begin.
var now = time.Unix(1_000_000, 0)

const spacing = 50 * time.Millisecond

func caller(priority int, room, timeToRetry time.Duration) waitlist.Caller {
	return waitlist.Caller{Priority: priority, Earliest: now.Add(room), Latest: now.Add(timeToRetry)}
}

func ExampleList_Place() {
	var l waitlist.List
	for range 3 {
		fmt.Println(l.Place(caller(0, 100*time.Millisecond, time.Second), spacing).Sub(now))
	}
	// Output:
	// 150ms
	// 200ms
	// 250ms
}

// Guards against places that are used up by callers that retry before them: the list would grow without
// bound in an overload, and the places that callers could use would stay empty.
func TestPlaceAfterCallersLatestIsNotUsedUp(t *testing.T) {
	var l waitlist.List
	for range 100 {
		l.Place(caller(0, 0, 220*time.Millisecond), spacing)
	}
	assert.Equal(t, l.Place(caller(0, 0, 220*time.Millisecond), spacing).Sub(now), 250*time.Millisecond)
	assert.Equal(t, l.Place(caller(0, 0, time.Second), spacing).Sub(now), 250*time.Millisecond)
	assert.Equal(t, l.Place(caller(0, 0, time.Second), spacing).Sub(now), 300*time.Millisecond)
}

// Guards against urgent callers that wait for less urgent ones, and less urgent ones that get the places of
// urgent ones.
func TestLessUrgentCallersGetPlacesAfterUrgentOnes(t *testing.T) {
	var l waitlist.List
	for range 5 {
		l.Place(caller(2, 0, time.Second), spacing)
	}
	assert.Equal(t, l.Place(caller(1, 0, time.Second), spacing).Sub(now), spacing)
	for range 9 {
		l.Place(caller(1, 0, time.Second), spacing)
	}
	assert.Equal(t, l.Place(caller(2, 0, time.Second), spacing).Sub(now), 550*time.Millisecond)
}

// Guards against places of an overload that is over: they are in the past and must not matter.
func TestPlacesInThePastDoNotMatter(t *testing.T) {
	var l waitlist.List
	l.Place(caller(0, 0, time.Second), spacing)
	later := waitlist.Caller{Earliest: now.Add(time.Minute), Latest: now.Add(2 * time.Minute)}
	assert.Equal(t, l.Place(later, spacing).Sub(now), time.Minute+spacing)
}
