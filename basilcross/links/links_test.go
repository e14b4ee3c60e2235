package links_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/links"
	"gotest.tools/v3/assert"
)

// Guards against an instance that takes its own broken links for targets that are down.
func TestUnreachedTargetsMeanBrokenLinks(t *testing.T) {
	var changes []links.Change
	m := &links.Monitor{OnChange: func(c links.Change) { changes = append(changes, c) }}
	now := time.Unix(1000, 0)
	m.Reached(now, "s", "a")
	now = now.Add(100 * time.Millisecond)
	for _, target := range []string{"a", "b"} {
		m.Failed(now, "s", target)
		assert.Assert(t, !m.Down(now, "s"))
	}
	m.Failed(now, "s", "c")
	assert.Assert(t, m.Down(now, "s"))
	assert.Assert(t, !m.Down(now, "other"))
	assert.Assert(t, m.Suspect(now, "s", "c"))
	now = now.Add(900 * time.Millisecond)
	for _, target := range []string{"b", "c"} {
		m.Reached(now, "s", target)
	}
	assert.Assert(t, !m.Down(now, "s"))
	assert.DeepEqual(t, changes, []links.Change{
		{Service: "s", Down: true, Target: "c", Unreached: 3, SinceReached: 100 * time.Millisecond},
		{Service: "s", Target: "b", Unreached: 2, Reached: 1, Lasted: 900 * time.Millisecond},
	})
}

// Guards against an instance that reaches one target of many and takes its links for sound.
func TestOneReachedTargetOfManyIsNoSoundLink(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	for n := range 50 {
		now = now.Add(50 * time.Millisecond)
		m.Failed(now, "s", []string{"a", "b", "c", "d"}[n%4])
		m.Reached(now, "s", "e")
		assert.Equal(t, m.Down(now, "s"), n >= 2)
	}
}

// Guards against requests that avoid targets since one of them is down.
func TestOneUnreachedTargetIsNoBrokenLink(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	for n := range 100 {
		at := now.Add(time.Duration(n) * 50 * time.Millisecond)
		m.Failed(at, "s", "a")
		assert.Assert(t, !m.Down(at, "s"))
		assert.Assert(t, !m.Suspect(at, "s", "a"))
		assert.Assert(t, m.TargetDown(at, "s", "a"))
		assert.Assert(t, !m.TargetDown(at, "s", "b"))
	}
}

// Guards against targets of which fewer than half are down being taken for broken links.
func TestCrashedTargetsAreNoBrokenLink(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	for n := range 100 {
		now = now.Add(20 * time.Millisecond)
		m.Reached(now, "s", []string{"a", "b", "c", "d", "e"}[n%5])
		m.Failed(now, "s", []string{"f", "g", "h", "i"}[n%4])
		assert.Assert(t, n < 5 || !m.Down(now, "s"))
	}
	assert.Equal(t, len(m.Unreached(now)), 4)
	assert.Equal(t, len(m.Unreached(now.Add(5*time.Second))), 0)
}

// Guards against broken links that are not noticed where a service has two targets only.
func TestTwoUnreachedTargetsForAWhileMeanBrokenLinks(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond} {
		m.Failed(now.Add(after), "s", "a")
		m.Failed(now.Add(after), "s", "b")
	}
	assert.Assert(t, m.Down(now.Add(600*time.Millisecond), "s"))
}

// Guards against links that count as down for as long as a service gets no requests.
func TestBrokenLinksAreForgotten(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	for _, target := range []string{"a", "b", "c"} {
		m.Failed(now, "s", target)
	}
	assert.DeepEqual(t, m.DownServices(now), []string{"s"})
	assert.Equal(t, len(m.DownServices(now.Add(time.Minute))), 0)
}

// Guards against broken links that are noticed only once the requests that were sent before have
// timed out.
func TestSilentTargetsAreProbed(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	m.Sent(now, "s")
	m.Reached(now.Add(100*time.Millisecond), "s", "a")
	assert.Equal(t, len(m.Silent(now.Add(time.Second))), 0)
	now = now.Add(time.Second)
	m.Sent(now, "s")
	assert.Equal(t, len(m.Silent(now.Add(200*time.Millisecond))), 0)
	assert.DeepEqual(t, m.Silent(now.Add(300*time.Millisecond)), []string{"s"})
	assert.Equal(t, len(m.Silent(now.Add(400*time.Millisecond))), 0)
}

// Guards against targets reached before a failure being taken for a proof of sound links.
func TestTargetsReachedBeforeDoNotProveLinks(t *testing.T) {
	m := &links.Monitor{}
	now := time.Unix(1000, 0)
	for _, target := range []string{"a", "b", "c", "d", "e", "f"} {
		m.Reached(now, "s", target)
	}
	for _, target := range []string{"a", "b", "c"} {
		m.Failed(now.Add(time.Second), "s", target)
	}
	assert.Assert(t, m.Down(now.Add(time.Second), "s"))
}
