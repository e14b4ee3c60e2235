package scenario

import (
	"math/rand/v2"
	"slices"

	"basilcross.example/standin/deployment"
)

const (
	// quietStartMs at the beginning of a random run and recoveryMs at its end are free of
	// faults; at the end, everything must be served again.
	quietStartMs = 1500
	recoveryMs   = 5000
	// faultsPerSecond is the mean rate of drawn faults, which may overlap.
	faultsPerSecond = 0.7
	minFaultMs      = 200
	maxFaultMs      = 4000
	// seriesProbability is the share of faults that are repeated until the run ends.
	seriesProbability = 0.25
)

// randomFaults are drawn with equal probability; a type that is listed twice is drawn twice
// as often. Starts are left out, since each fault is reverted after its duration.
var randomFaults = []string{
	"killTarget", "killTarget", "freezeTarget", "drainTarget",
	"killGateway", "killGateway", "freezeGateway", "freezeGateway", "stopGateway",
	"cutZone", "cutZoneOneWay", "cutZoneFromPlatform", "cutRegions",
	"storeDown", "storeSlow", "loseStoreAnswers", "silenceConnections", "resetConnections", "slowLinks", "changeConfig",
}

// Random returns a scenario with random faults of all types, some repeated and
// overlapping. The same arguments give the same scenario.
func Random(d deployment.Deployment, seed uint64, seconds int) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 29))
	maxViolations, minEndPercent := 0, 50.0
	s := &Scenario{
		Deployment: d.Name, Seed: seed, Seconds: seconds, Load: Load{RequestsPerSecond: 200},
		Expect: Expect{Violations: &maxViolations, EndAnsweredPercent: &minEndPercent},
	}
	last := max(quietStartMs+1, seconds*1000-recoveryMs)
	for range int(faultsPerSecond * float64(seconds)) {
		f := Fault{AtMs: quietStartMs + rng.IntN(last-quietStartMs), Do: randomFaults[rng.IntN(len(randomFaults))]}
		if names := ResourceNames(d, FaultTypes[f.Do]); len(names) > 0 {
			f.On = names[rng.IntN(len(names))]
		}
		f.ForMs = min(minFaultMs+rng.IntN(maxFaultMs-minFaultMs), last-f.AtMs+1)
		s.Faults = append(s.Faults, f)
		if rng.Float64() >= seriesProbability {
			continue
		}
		for repeat := f; repeat.AtMs+2*f.ForMs < last && len(s.Faults) < 3*seconds; {
			repeat.AtMs += f.ForMs + rng.IntN(f.ForMs+1)
			s.Faults = append(s.Faults, repeat)
		}
	}
	s.Faults = append(s.Faults, addedFaults(seed, last)...)
	s.Load.Pipelines, s.Load.Uploads = 1, 1
	all := slices.Clone(s.Faults)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool {
		return f.AtMs+f.ForMs > last+1 || f.Do == "drainTarget" && drainMayBeMissed(all, f)
	})
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
	return s
}

// addedFaults returns the faults of types that were added later. They are drawn apart, so that a seed gives the same
// faults of the other types as before.
func addedFaults(seed uint64, last int) (list []Fault) {
	for stream, do := range []string{"repeatResponses", "breakResponses"} {
		rng := rand.New(rand.NewPCG(seed, 30+uint64(stream)))
		for range 2 {
			f := Fault{AtMs: quietStartMs + rng.IntN(last-quietStartMs), Do: do}
			f.ForMs = min(minFaultMs+rng.IntN(maxFaultMs-minFaultMs), last-f.AtMs+1)
			list = append(list, f)
		}
	}
	return list
}

// drainNoticeMs is how long it may take until every gateway has received that a target is leaving.
const drainNoticeMs = 4000

// drainHidingFaults may keep a gateway from receiving in time that a target is leaving. A
// drain close to one of them is left out, since no guarantee applies to it.
var drainHidingFaults = []string{
	"freezeGateway", "cutZone", "cutZoneOneWay", "cutZoneFromPlatform", "cutRegions",
	"storeDown", "storeSlow", "loseStoreAnswers", "silenceConnections",
}

func drainMayBeMissed(all []Fault, drain Fault) bool {
	return slices.ContainsFunc(all, func(f Fault) bool {
		return slices.Contains(drainHidingFaults, f.Do) && f.AtMs < drain.AtMs+drainNoticeMs && f.AtMs+f.ForMs > drain.AtMs-drainNoticeMs
	})
}
