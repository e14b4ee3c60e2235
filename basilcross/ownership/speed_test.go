package ownership_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
	"gotest.tools/v3/assert"
)

// setSpeeds sets the speeds of the simulation's targets, by turns, with a certainty.
func (s *loadSimulation) setSpeeds(certainty float64, speeds ...float64) {
	relative := map[roster.Incarnation]speed.Relative{}
	for i, t := range s.targets {
		relative[t.Incarnation()] = speed.Relative{Speed: speeds[i%len(speeds)], Certainty: certainty}
	}
	s.manager.SetSpeeds(relative)
}

// ownerLoads returns the true load of each target, and the sum.
func (s *loadSimulation) ownerLoads() (loads map[string]float64, all float64) {
	loads = map[string]float64{}
	for _, p := range s.manager.Assignment().Pieces {
		for k := p.First; k <= p.Last; k++ {
			loads[p.Owner] += s.load[k]
			all += s.load[k]
		}
	}
	return loads, all
}

// shares returns the load of every n-th target, relative to the mean of all, on average of ten seconds.
func (s *loadSimulation) shares(n int) []float64 {
	shares := make([]float64, n)
	const samples = 20
	for range samples {
		s.simulate(500 * time.Millisecond)
		loads, all := s.ownerLoads()
		for i, t := range s.targets {
			shares[i%n] += loads[t.ID] / all * float64(n) / samples
		}
	}
	return shares
}

// excessShare is the share of the load that exceeds what the targets with the given speeds, by turns, can
// serve.
func (s *loadSimulation) excessShare(speeds ...float64) float64 {
	loads, all := s.ownerLoads()
	over := 0.0
	for i, t := range s.targets {
		over += max(0, loads[t.ID]-float64(t.Slots)*speeds[i%len(speeds)])
	}
	return over / all
}

// A slow target with few slots must get less than in proportion to its speed, one with many slots in
// proportion, and one whose speed is uncertain nearly as much as others.
func TestShareFollowsSpeedAndCertainty(t *testing.T) {
	for _, c := range []struct {
		name      string
		slots     int
		certainty float64
		from, to  float64
	}{
		{"few slots", 3, 1, 0.28, 0.52},
		{"many slots", 12, 1, 0.5, 0.75},
		{"uncertain", 3, 0.1, 0.7, 1.05},
		{"unknown", 3, 0, 0.9, 1.1},
	} {
		s := newLoadSimulation(60)
		for _, target := range s.targets {
			target.Slots = c.slots
		}
		s.setSpeeds(c.certainty, 0.6, 1, 1.4)
		s.setLoad(0.59*float64(60*c.slots), 0, 0, 0)
		s.simulate(4 * time.Second)
		shares := s.shares(3)
		t.Logf("%s: shares %.2f", c.name, shares)
		assert.Assert(t, shares[0]/shares[1] > c.from && shares[0]/shares[1] < c.to, c.name)
	}
}

// A younger incarnation under the same ID may run on another machine.
func TestSpeedOfEndedIncarnationIsNotUsed(t *testing.T) {
	s := newLoadSimulation(30)
	s.setSpeeds(1, 0.3, 1, 1)
	for _, target := range s.targets {
		target.Started = 2
	}
	s.setLoad(0.59*90, 0, 0, 0)
	s.simulate(3 * time.Second)
	assert.Assert(t, s.shares(3)[0] > 0.9)
}

// With speeds, more is taken to be random. A hot range must be split within seconds all the same.
func TestHotRangeIsSplitWithSpeeds(t *testing.T) {
	s := newLoadSimulation(60)
	s.setSpeeds(0.95, 0.6, 1, 1.4)
	total := 0.58 * 3 * 60
	s.setLoad(total, 0, 0, 0)
	s.simulate(5 * time.Second)
	s.setLoad(total, 0.4, 20_000, 200)
	before := s.excessShare(0.6, 1, 1.4)
	s.simulate(3 * time.Second)
	after := s.excessShare(0.6, 1, 1.4)
	t.Logf("unserved %.3f at once, %.3f after 3 s", before, after)
	assert.Assert(t, after < 0.12)
}

// Estimates that change by chance must not move keys each time.
func TestSmallChangesOfSpeedsMoveNoKeys(t *testing.T) {
	s := newLoadSimulation(30)
	s.setSpeeds(1, 0.6, 1, 1.4)
	s.setLoad(0.59*90, 0, 0, 0)
	s.simulate(5 * time.Second)
	settled := s.shares(3)
	for i := range 10 {
		x := 1 + 0.02*float64(i%3)
		s.setSpeeds(1, 0.6*x, 1/x, 1.4*x)
		s.simulate(200 * time.Millisecond)
	}
	for i, share := range s.shares(3) {
		assert.Assert(t, share > settled[i]-0.1 && share < settled[i]+0.1, "%v %v", settled, s.shares(3))
	}
}
