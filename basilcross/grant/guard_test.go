package grant_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/grant"
	"gotest.tools/v3/assert"
)

func newOrder(s grant.Status, version uint64, grants ...grant.Grant) grant.Order {
	return grant.Order{
		Incarnation: s.Incarnation, Stamp: s.Stamp, Lease: time.Second,
		Version: version, Full: true, Grants: grants,
	}
}

func reasonOf(t *testing.T, err error) grant.RefusalReason {
	t.Helper()
	var refused *grant.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused.Reason
}

var fullRange = grant.Grant{First: 0, Last: 99, Epoch: 3}

// A target is frozen while a request runs, its lease lapses, and it goes on as
// if nothing had happened. The request was admitted, but its effect is
// refused, since another target may own the key by then.
func TestFrozenTargetDoesNotCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := grant.Guard{Incarnation: "i"}
		s := g.Apply(time.Now(), grant.Order{})
		assert.Assert(t, g.Apply(time.Now(), newOrder(s, 1, fullRange)).Renewed)
		a, err := g.Admit(time.Now(), 5, 3)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		err = a.Commit(func(time.Time) { t.Error("the effect must not take place") })
		assert.Equal(t, reasonOf(t, err), grant.LeaseExpired)
		a.Done()
	})
}

// A renewal is held up in the network for longer than its lease. Its sender
// has waited the lease out and the shard may have another owner, so the late
// renewal must not revive the lease.
func TestLateRenewalGivesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := grant.Guard{Incarnation: "i"}
		late := newOrder(g.Apply(time.Now(), grant.Order{}), 1, fullRange)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, !g.Apply(time.Now(), late).Renewed)
		_, err := g.Admit(time.Now(), 5, 3)
		assert.Equal(t, reasonOf(t, err), grant.LeaseExpired)
	})
}

// A shard is revoked while a request for it runs. New requests are refused as
// moved, the running one finishes, and only then is the shard drained. A
// gateway that still has the older version cannot bring the grant back.
func TestRevocationLetsRunningRequestsFinish(t *testing.T) {
	g := grant.Guard{Incarnation: "i"}
	now := time.Now()
	s := g.Apply(now, newOrder(g.Apply(now, grant.Order{}), 1, fullRange))
	a, err := g.Admit(now, 5, 3)
	assert.NilError(t, err)
	revoked := fullRange
	revoked.Revoked = true
	s = g.Apply(now, newOrder(s, 2, revoked))
	assert.Equal(t, len(s.Drained), 0)
	_, err = g.Admit(now, 5, 3)
	assert.Equal(t, reasonOf(t, err), grant.Moved)
	assert.NilError(t, a.Commit(func(time.Time) {}))
	a.Done()
	s = g.Apply(now, newOrder(s, 1, fullRange))
	assert.Assert(t, !s.Renewed, "an order of an older version must be refused")
	assert.DeepEqual(t, s.Drained, []grant.Drained{{First: 0, Epoch: 3}})
}

// A gateway has an assignment in which this target still owned the key under
// an earlier epoch, or another epoch of its own. Both are refused.
func TestOtherEpochIsRefused(t *testing.T) {
	g := grant.Guard{Incarnation: "i"}
	now := time.Now()
	g.Apply(now, newOrder(g.Apply(now, grant.Order{}), 1, fullRange))
	_, err := g.Admit(now, 5, 2)
	assert.Equal(t, reasonOf(t, err), grant.NotOwner)
	_, err = g.Admit(now, 100, 3)
	assert.Equal(t, reasonOf(t, err), grant.NotOwner)
}

// A shard is split while a request for its upper half runs, and the upper half
// moves. It is drained only when that request has finished, although another
// grant had admitted it.
func TestSplitShardIsNotDrainedTooEarly(t *testing.T) {
	g := grant.Guard{Incarnation: "i"}
	now := time.Now()
	s := g.Apply(now, newOrder(g.Apply(now, grant.Order{}), 1, fullRange))
	a, err := g.Admit(now, 80, 3)
	assert.NilError(t, err)
	lower := grant.Grant{First: 0, Last: 49, Epoch: 3}
	upper := grant.Grant{First: 50, Last: 99, Epoch: 3, Revoked: true}
	s = g.Apply(now, newOrder(s, 2, lower, upper))
	assert.Equal(t, len(s.Drained), 0)
	a.Done()
	s = g.Apply(now, newOrder(s, 2, lower, upper))
	assert.DeepEqual(t, s.Drained, []grant.Drained{{First: 50, Epoch: 3}})
}
