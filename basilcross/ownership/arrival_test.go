package ownership_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"gotest.tools/v3/assert"
)

// loseTarget has targets in two zones. From reset on, t0 answers nothing; its zone was
// heard before if heardBefore is set. From then on it is heard, and its other target answers,
// as long as the functions say. It returns how long after the reset another target gets t0's keys.
func loseTarget(t *testing.T, heardBefore bool, heard, answered func(sinceReset time.Duration) bool) time.Duration {
	t.Helper()
	now := time.Unix(1000, 0)
	targets := newTargets(3)
	targets[0].Zone, targets[1].Zone, targets[2].Zone = "far", "near", "far"
	m := newManager(now, 1, nil)
	key := grantsTo(stepUntilIdle(m, now, targets), "t0")[0].First
	if heardBefore {
		m.RecordHeard(now, "far")
	}
	reset := now.Add(holds.RenewInterval)
	for since := time.Duration(0); since < 30*time.Second; since += 20 * time.Millisecond {
		at := reset.Add(since)
		if heard(since) {
			m.RecordHeard(at, "far")
		}
		for _, o := range m.Step(at, ownership.NewTargets(targets)) {
			switch o := o.(type) {
			case *ownership.Record:
				m.Recorded(at, true)
			case *ownership.Grant:
				switch {
				case o.Owner.ID == "t0" || o.Owner.ID == "t2" && !answered(since):
					m.Granted(at, at, o, ownership.Unknown)
				case o.First <= key && key <= o.Last:
					return since
				default:
					m.Granted(at, at, o, ownership.Done)
				}
			case *ownership.Release:
				m.Released(at, o, "", ownership.Unknown)
			}
		}
	}
	t.Fatal("the keys are not given to another target")
	return 0
}

func always(time.Duration) bool { return true }
func never(time.Duration) bool  { return false }

// Guards against a wait for grants that cannot be on their way any more: others in the
// zone answer, or the whole zone is lost.
func TestLostTargetsKeysDoNotWaitForItsZone(t *testing.T) {
	usual := loseTarget(t, true, always, always)
	assert.Assert(t, usual < 6*time.Second, "%v", usual)
	assert.Assert(t, loseTarget(t, true, never, never) < 6*time.Second)
}

// Guards against two holders of a key where the coordinator takes a zone for lost that it has
// never heard: its instances may not list the coordinator yet, and the link be congested.
func TestSilenceOfZoneNeverHeardIsNoProof(t *testing.T) {
	wait := loseTarget(t, false, never, never)
	assert.Assert(t, wait > 10*time.Second && wait < 18*time.Second, "%v", wait)
	assert.Assert(t, loseTarget(t, false, never, always) < 6*time.Second, "its answers are a proof")
}

// Guards against keys that are never served again behind a partition in one direction, and
// against keys that are given away while a congested link may still deliver grants.
func TestKeysWaitWhileTheirZoneIsHeardOnly(t *testing.T) {
	wait := loseTarget(t, true, always, never)
	assert.Assert(t, wait > 10*time.Second && wait < 18*time.Second, "%v", wait)
}
