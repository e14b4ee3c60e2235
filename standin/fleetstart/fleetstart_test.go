package fleetstart_test

import (
	"testing"
	"time"

	"basilcross.example/standin/fleetstart"
	"gotest.tools/v3/assert"
)

func fleetOf(instances int) fleetstart.Fleet {
	return fleetstart.Fleet{
		Instances: instances, Zones: 8, Targets: 10 * instances, Strong: 10, Cores: 0.16, StrongCores: 1.6,
		LinkMbps: 20, StrongLinkMbps: 1000, RegionMbps: 150, ConfigAt: 3 * time.Second,
	}
}

// Guards against a start at which small instances cost more in a larger fleet, and
// configurations are in force later than the 4 s that the users allow.
func TestHubsKeepStartOfLargeFleetBounded(t *testing.T) {
	const configApply = 4 * time.Second
	var smallest float64
	for _, n := range []int{300, 985, 2000} {
		r := fleetOf(n).Simulate(fleetstart.Hubs{PerZone: 16}, 1)
		assert.Assert(t, r.ConfigDelay < configApply, "%d instances: %v", n, r.ConfigDelay)
		if smallest == 0 {
			smallest = r.MiddleMB
		}
		assert.Assert(t, r.MiddleMB < 1.1*smallest, "%d instances: %.2f MB", n, r.MiddleMB)
	}
}

// Guards against a model that does not show what was played: copies for all delay
// configurations in large fleets beyond what the users allow.
func TestCopiesDelayConfigurationsOfLargeFleet(t *testing.T) {
	way := fleetstart.Copies{PausedPages: true, CopiedView: true}
	assert.Assert(t, fleetOf(100).Simulate(way, 1).ConfigDelay < time.Second)
	assert.Assert(t, fleetOf(985).Simulate(way, 1).ConfigDelay > 4*time.Second)
}
