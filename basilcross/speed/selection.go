package speed

import (
	"math"
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// changePerSecond is the change of an estimate, in natural logarithm, that counts as much as a
	// second since its last report.
	changePerSecond = 0.03
	// minReportInterval is the shortest time between two reports of an estimate that has hardly
	// changed.
	minReportInterval = 5 * time.Second
	// minReportedChange is the change of an estimate that is reported earlier.
	minReportedChange = 0.05
)

// Selection chooses the estimates that an instance reports. The zero value has reported none. It is not
// safe for concurrent use.
type Selection struct {
	reported map[roster.Incarnation]reportedEstimate
}

type reportedEstimate struct {
	estimate Estimate
	at       time.Time
}

// Take returns the estimates to report now, at most limit: those that have changed most or were reported
// longest ago. It counts them as reported.
func (s *Selection) Take(now time.Time, estimates []Estimate, limit int) []Estimate {
	type candidate struct {
		estimate Estimate
		urgency  float64
	}
	candidates := make([]candidate, 0, len(estimates))
	kept := make(map[roster.Incarnation]reportedEstimate, len(estimates))
	for _, e := range estimates {
		last, ok := s.reported[e.Target]
		if !ok {
			candidates = append(candidates, candidate{e, math.Inf(1)})
			continue
		}
		kept[e.Target] = last
		if e == last.estimate {
			// Without new responses, another instance may know the target better by now.
			continue
		}
		change := math.Abs(math.Log(e.Seconds/last.estimate.Seconds)) + math.Abs(e.Certainty()-last.estimate.Certainty())
		if age := now.Sub(last.at); change >= minReportedChange || age >= minReportInterval {
			candidates = append(candidates, candidate{e, change/changePerSecond + age.Seconds()})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		switch {
		case a.urgency > b.urgency:
			return -1
		case a.urgency < b.urgency:
			return 1
		}
		return byTarget(a.estimate, b.estimate)
	})
	s.reported = kept
	var list []Estimate
	for _, c := range candidates[:min(len(candidates), limit)] {
		s.reported[c.estimate.Target] = reportedEstimate{c.estimate, now}
		list = append(list, c.estimate)
	}
	return list
}

// Reset forgets what was reported, since another instance receives the reports from now on.
func (s *Selection) Reset() { s.reported = nil }
