// Package judge compares what callers were told with what targets really did.
package judge

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request at a target.
type Run struct {
	Request string
	Target  string
	Service string
	Hash    uint64
	Epoch   uint64
	At      time.Time
	// Write is set for requests that must run at most once.
	Write bool
	// Unfenced runs were not checked by their target.
	Unfenced bool
}

// Hold is a span in which a target was ready to admit requests for a range.
type Hold struct {
	Target  string
	Service string
	First   uint64
	Last    uint64
	Epoch   uint64
	From    time.Time
	Until   time.Time
}

// Outcome is what a caller was told.
type Outcome string

// The outcomes of a call.
const (
	Answered  Outcome = "answered"
	DidNotRun Outcome = "didNotRun"
	Unknown   Outcome = "unknown"
	// ConnectionBroken is a connection broken off before or within the answer.
	ConnectionBroken Outcome = "cut"
)

// Call is one request as its caller saw it.
type Call struct {
	Request string
	Service string
	Kind    string
	Hash    uint64
	Write   bool
	Gateway string
	// Due is when it should have been sent, Done when the answer was complete.
	Due     time.Time
	Done    time.Time
	Outcome Outcome
	Cause   string
	// Key and Value are those of a divided service: what was read, or empty.
	Key   string
	Value string
	// Valid tells whether an answer belongs to the request and is whole.
	Valid bool
	// Probe marks requests that only look whether a key is served.
	Probe bool
	// Executed tells whether an answer says that the request was carried out.
	Executed bool
}

// Leaving is a target that was told to leave.
type Leaving struct {
	Target string
	At     time.Time
}

// Shutdown is a gateway that was asked to shut down.
type Shutdown struct {
	Gateway string
	At      time.Time
	Ended   time.Time
}

// leaveGrace is how long a leaving target may still get new work.
const leaveGrace = 3 * time.Second

// History is everything recorded. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	Runs      []Run
	Holds     []Hold
	Calls     []Call
	Leavings  []Leaving
	Shutdowns []Shutdown
	// ConfigReversions counts configurations seen to go backwards.
	ConfigReversions int

	lastHold map[holdKey]int
}

type holdKey struct {
	target, service string
	first, epoch    uint64
}

// AddRun records a run.
func (h *History) AddRun(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs = append(h.Runs, r)
}

// AddCall records a call.
func (h *History) AddCall(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, c)
}

// AddLeaving records that a target was told to leave.
func (h *History) AddLeaving(l Leaving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Leavings = append(h.Leavings, l)
}

// AddShutdown records a gateway's shutdown.
func (h *History) AddShutdown(s Shutdown) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Shutdowns = append(h.Shutdowns, s)
}

// AddConfigReversion records a configuration that went backwards.
func (h *History) AddConfigReversion() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ConfigReversions++
}

// AddHold records a span, joined to the one before if they touch.
func (h *History) AddHold(s Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastHold == nil {
		h.lastHold = map[holdKey]int{}
	}
	name := holdKey{s.Target, s.Service, s.First, s.Epoch}
	if i, ok := h.lastHold[name]; ok && !s.From.After(h.Holds[i].Until) && s.Last == h.Holds[i].Last {
		h.Holds[i].Until = s.Until
		return
	}
	h.lastHold[name] = len(h.Holds)
	h.Holds = append(h.Holds, s)
}

// Violations counts what must never happen.
type Violations struct {
	TwoOwners        int `json:"twoOwners"`
	RanTwice         int `json:"ranTwice"`
	RefusalUntrue    int `json:"refusalUntrue"`
	WrongOrCutAnswer int `json:"wrongOrCutAnswer"`
	AcknowledgedLost int `json:"acknowledgedLost"`
	ConfigReverted   int `json:"configReverted"`
	WorkAfterLeaving int `json:"workAfterLeaving"`
	CutAtShutdown    int `json:"cutAtShutdown"`
}

// Total adds them up.
func (v Violations) Total() int {
	return v.TwoOwners + v.RanTwice + v.RefusalUntrue + v.WrongOrCutAnswer +
		v.AcknowledgedLost + v.ConfigReverted + v.WorkAfterLeaving + v.CutAtShutdown
}

// CountViolations counts the violations in the history.
func (h *History) CountViolations() Violations {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := Violations{ConfigReverted: h.ConfigReversions, TwoOwners: countOverlaps(h.Holds)}
	h.checkCalls(&v, h.checkRuns(&v))
	return v
}

// checkRuns looks at what targets did, and returns how often each request ran.
func (h *History) checkRuns(v *Violations) map[string]int {
	runs := map[string]int{}
	for _, r := range h.Runs {
		runs[r.Request]++
		if r.Write && runs[r.Request] == 2 {
			v.RanTwice++
		}
		if r.Unfenced && h.heldByOther(r) {
			v.TwoOwners++
		}
		if h.ranAfterLeaving(r) {
			v.WorkAfterLeaving++
		}
	}
	return runs
}

// checkCalls looks at what callers were told.
func (h *History) checkCalls(v *Violations, runs map[string]int) {
	for _, c := range h.Calls {
		switch {
		case c.Outcome == DidNotRun && runs[c.Request] > 0:
			v.RefusalUntrue++
		case c.Outcome == Answered && !c.Valid:
			v.WrongOrCutAnswer++
		case c.Outcome == Answered && c.Executed && runs[c.Request] == 0:
			v.AcknowledgedLost++
		case c.Outcome == ConnectionBroken && h.duringShutdown(c):
			v.CutAtShutdown++
		}
	}
}

// heldByOther tells whether another target held the key when this one ran.
func (h *History) heldByOther(r Run) bool {
	return slices.ContainsFunc(h.Holds, func(s Hold) bool {
		covers := s.Service == r.Service && s.First <= r.Hash && r.Hash <= s.Last
		return covers && s.Target != r.Target && !r.At.Before(s.From) && r.At.Before(s.Until)
	})
}

func (h *History) ranAfterLeaving(r Run) bool {
	return slices.ContainsFunc(h.Leavings, func(l Leaving) bool {
		return l.Target == r.Target && r.At.Sub(l.At) > leaveGrace
	})
}

func (h *History) duringShutdown(c Call) bool {
	return slices.ContainsFunc(h.Shutdowns, func(s Shutdown) bool {
		return s.Gateway == c.Gateway && !c.Done.Before(s.At) && c.Due.Before(s.Ended)
	})
}

// countOverlaps counts pairs of targets that held the same hash at the same time.
func countOverlaps(holds []Hold) int {
	sorted := slices.Clone(holds)
	slices.SortFunc(sorted, func(a, b Hold) int { return a.From.Compare(b.From) })
	count := 0
	var active []Hold
	for _, h := range sorted {
		active = slices.DeleteFunc(active, func(a Hold) bool { return !a.Until.After(h.From) })
		for _, a := range active {
			if a.Service == h.Service && a.Target != h.Target && a.First <= h.Last && h.First <= a.Last {
				count++
			}
		}
		active = append(active, h)
	}
	return count
}

// Imbalance returns the most runs of one target over the mean of those of its
// service that ran any, within a span.
func (h *History) Imbalance(service string, from, until time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	byTarget := map[string]int{}
	total := 0
	for _, r := range h.Runs {
		if r.Service == service && r.At.After(from) && r.At.Before(until) {
			byTarget[r.Target]++
			total++
		}
	}
	most := 0
	for _, n := range byTarget {
		most = max(most, n)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(byTarget)) / float64(total)
}

// MovedShare returns the share of the hash space of a service that changed owners.
func (h *History) MovedShare(service string, from, until time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	owner := map[uint64]string{}
	holds := slices.Clone(h.Holds)
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	moved := 0.0
	for _, s := range holds {
		if s.Service != service {
			continue
		}
		before, known := owner[s.First]
		if known && before != s.Target && s.From.After(from) && s.From.Before(until) {
			moved += float64(s.Last-s.First) / float64(^uint64(0))
		}
		owner[s.First] = s.Target
	}
	return moved
}

// CallsSince returns the calls recorded after the first n.
func (h *History) CallsSince(n int) []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.Calls[n:])
}
