package coordinator

import (
	"testing"
	"time"

	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

func owners(targets []*roster.Target) (ids string) {
	for _, t := range targets {
		if !t.Draining {
			ids += t.ID
		}
	}
	return ids
}

// Guards against keys that stay with targets of an evacuated zone, or with targets that
// must not serve the service's bound requests.
func TestPlacedTargetsMayOwnKeys(t *testing.T) {
	targets := []*roster.Target{
		{ID: "a", Zone: "graz"},
		{ID: "b", Zone: "wien"},
		{ID: "c", Zone: "salzburg"},
		{ID: "d", Zone: "wien", Draining: true},
	}
	policy := &placement.Policy{Regions: map[string]string{"graz": "ost", "wien": "ost", "salzburg": "west"}}
	assert.Equal(t, owners(placedTargets(targets, policy, nil)), "abc")
	assert.Equal(t, owners(placedTargets(targets, policy, []string{"ost"})), "ab")
	policy.Evacuated = map[string]time.Time{"graz": time.Unix(1, 0)}
	assert.Equal(t, owners(placedTargets(targets, policy, nil)), "bc")
	assert.Equal(t, owners(placedTargets(targets, policy, []string{"ost"})), "b")
	assert.Assert(t, !targets[0].Draining, "the listed target is unchanged")
	// Requests that are not bound are served elsewhere while the region is evacuated.
	policy.Evacuated["wien"] = time.Unix(1, 0)
	assert.Equal(t, owners(placedTargets(targets, policy, []string{"ost"})), "c")
}
