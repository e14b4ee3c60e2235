// Package judge compares the outcomes that callers saw with what targets executed.
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
	// Write marks a request that must be executed at most once.
	Write bool
	// Unfenced marks an execution whose target does not check grants.
	Unfenced bool
}

// Hold is a period in which a target could admit requests for a range of hashes.
type Hold struct {
	Target  string
	Service string
	First   uint64
	Last    uint64
	Epoch   uint64
	From    time.Time
	Until   time.Time
}

// Outcome is the result of a request as its caller saw it.
type Outcome string

// The outcomes of a call.
const (
	Answered  Outcome = "answered"
	DidNotRun Outcome = "didNotRun"
	Unknown   Outcome = "unknown"
	// ConnectionBroken means that the connection broke before or within the response.
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
	// Due is the intended time of sending, Done when the response was complete.
	Due     time.Time
	Done    time.Time
	Outcome Outcome
	Cause   string
	// Key is set for sharded services; Value is the value that was returned for it.
	Key   string
	Value string
	// Valid reports whether the response belongs to the request and is complete.
	Valid bool
	// Probe marks requests that only test whether a key is served.
	Probe bool
	// Executed reports whether the response states that the request was executed.
	Executed bool
}

// Leaving records when the platform marked a target as leaving.
type Leaving struct {
	Target string
	At     time.Time
}

// Shutdown is the period from a gateway's SIGTERM to its exit.
type Shutdown struct {
	Gateway string
	At      time.Time
	Ended   time.Time
}

// leaveGrace is how long a leaving target may still receive new requests.
const leaveGrace = 3 * time.Second

// History holds what was recorded in a run. Its methods are safe for concurrent use.
type History struct {
	mu        sync.Mutex
	Runs      []Run
	Holds     []Hold
	Calls     []Call
	Leavings  []Leaving
	Shutdowns []Shutdown
	// ConfigReversions counts gateways' reports of an older configuration version than before.
	ConfigReversions int

	// broken are the requests to which a target has sent a broken response.
	broken   map[string]bool
	lastHold map[holdKey]int
}

type holdKey struct {
	target, service string
	first, epoch    uint64
}

// AddRun records the execution of a request.
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

// AddLeaving records that a target was marked as leaving.
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

// AddBroken records that a target has sent a broken response to a request.
func (h *History) AddBroken(request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.broken == nil {
		h.broken = map[string]bool{}
	}
	h.broken[request] = true
}

// AddConfigReversion records that a gateway reported an older configuration version.
func (h *History) AddConfigReversion() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ConfigReversions++
}

// AddHold records a hold, merged with the previous one of its range and epoch if contiguous.
func (h *History) AddHold(hold Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastHold == nil {
		h.lastHold = map[holdKey]int{}
	}
	key := holdKey{hold.Target, hold.Service, hold.First, hold.Epoch}
	if i, ok := h.lastHold[key]; ok && !hold.From.After(h.Holds[i].Until) && hold.Last == h.Holds[i].Last {
		h.Holds[i].Until = hold.Until
		return
	}
	h.lastHold[key] = len(h.Holds)
	h.Holds = append(h.Holds, hold)
}

// Violations counts broken guarantees by kind; all counts must be zero.
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

// Total returns the sum of all counts.
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

// checkRuns checks the executions and returns their number for each request.
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

// checkCalls compares the outcomes that callers saw with the number of executions.
func (h *History) checkCalls(v *Violations, runs map[string]int) {
	for _, c := range h.Calls {
		switch {
		case c.Outcome == DidNotRun && runs[c.Request] > 0:
			v.RefusalUntrue++
		case c.Outcome == Answered && !c.Valid:
			v.WrongOrCutAnswer++
		case c.Outcome == Answered && c.Executed && runs[c.Request] == 0:
			v.AcknowledgedLost++
		case c.Outcome == ConnectionBroken && !h.broken[c.Request] && h.duringShutdown(c):
			v.CutAtShutdown++
		}
	}
}

// heldByOther reports whether another target held the key at the time of the execution.
func (h *History) heldByOther(r Run) bool {
	return slices.ContainsFunc(h.Holds, func(hold Hold) bool {
		covers := hold.Service == r.Service && hold.First <= r.Hash && r.Hash <= hold.Last
		return covers && hold.Target != r.Target && !r.At.Before(hold.From) && r.At.Before(hold.Until)
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

// countOverlaps counts pairs of holds in which two targets held the same hash at the same time.
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

// Imbalance returns the highest number of executions of one target divided by the mean of
// those targets of the service that executed any, between two times.
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

// MovedShare returns the share of a service's hash space that changed owners, once per move.
func (h *History) MovedShare(service string, from, until time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	owner := map[uint64]string{}
	holds := slices.Clone(h.Holds)
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	moved := 0.0
	for _, hold := range holds {
		if hold.Service != service {
			continue
		}
		previous, known := owner[hold.First]
		if known && previous != hold.Target && hold.From.After(from) && hold.From.Before(until) {
			moved += float64(hold.Last-hold.First) / float64(^uint64(0))
		}
		owner[hold.First] = hold.Target
	}
	return moved
}

// CallsSince returns a copy of the recorded calls without the first n.
func (h *History) CallsSince(n int) []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.Calls[n:])
}
