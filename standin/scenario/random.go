package scenario

import (
	"math/rand/v2"
	"slices"

	"basilcross.example/standin/deployment"
)

const (
	// quietStartMs is left at the beginning, and settleMs at the end of a random run for
	// everything to be served again.
	quietStartMs = 1500
	recoveryMs   = 5000
	// faultsPerSecond begin on average; they last up to longestMs and overlap.
	faultsPerSecond = 0.7
	minFaultMs      = 200
	maxFaultMs      = 4000
	// seriesProbability of the faults come a few times in a row.
	seriesProbability = 0.25
)

// randomFaults are drawn alike often, unless they stand here more than once. Starts
// are left out, since each fault is mended after its time.
var randomFaults = []string{
	"killTarget", "killTarget", "freezeTarget", "drainTarget",
	"killGateway", "killGateway", "freezeGateway", "freezeGateway", "stopGateway",
	"cutZone", "cutZoneOneWay", "cutZoneFromPlatform", "cutRegions",
	"storeDown", "storeSlow", "loseStoreAnswers", "silenceConnections", "resetConnections", "slowLinks", "changeConfig",
}

// Random draws a run: faults of all sorts, in series and overlapping. A seed gives
// one scenario.
func Random(d deployment.Deployment, seed uint64, seconds int) *Scenario {
	random := rand.New(rand.NewPCG(seed, 29))
	none, half := 0, 50.0
	s := &Scenario{
		Deployment: d.Name, Seed: seed, Seconds: seconds, Load: Load{RequestsPerSecond: 200},
		Expect: Expect{Violations: &none, EndAnsweredPercent: &half},
	}
	last := max(quietStartMs+1, seconds*1000-recoveryMs)
	for range int(faultsPerSecond * float64(seconds)) {
		f := Fault{AtMs: quietStartMs + random.IntN(last-quietStartMs), Do: randomFaults[random.IntN(len(randomFaults))]}
		if names := ResourceNames(d, FaultTypes[f.Do]); len(names) > 0 {
			f.On = names[random.IntN(len(names))]
		}
		f.ForMs = min(minFaultMs+random.IntN(maxFaultMs-minFaultMs), last-f.AtMs+1)
		s.Faults = append(s.Faults, f)
		if random.Float64() >= seriesProbability {
			continue
		}
		for again := f; again.AtMs+2*f.ForMs < last && len(s.Faults) < 3*seconds; {
			again.AtMs += f.ForMs + random.IntN(f.ForMs+1)
			s.Faults = append(s.Faults, again)
		}
	}
	all := slices.Clone(s.Faults)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool {
		return f.AtMs+f.ForMs > last+1 || f.Do == "drainTarget" && drainMayBeMissed(all, f)
	})
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
	return s
}

// drainNoticeMs is how long everybody has to hear that a target is leaving.
const drainNoticeMs = 4000

// drainHidingFaults are faults by which a gateway may not hear of a target that leaves in
// time; nothing is promised for it then.
var drainHidingFaults = []string{
	"freezeGateway", "cutZone", "cutZoneOneWay", "cutZoneFromPlatform", "cutRegions",
	"storeDown", "storeSlow", "loseStoreAnswers", "silenceConnections",
}

// drainMayBeMissed tells whether another fault keeps gateways from hearing of this one.
func drainMayBeMissed(all []Fault, drain Fault) bool {
	return slices.ContainsFunc(all, func(f Fault) bool {
		return slices.Contains(drainHidingFaults, f.Do) && f.AtMs < drain.AtMs+drainNoticeMs && f.AtMs+f.ForMs > drain.AtMs-drainNoticeMs
	})
}
