// Package seatmodel checks the rules by which a zone's seat is held, extended
// during outages, and taken away: an abstract model is searched exhaustively
// in a small scope.
//
// The model has one seat with a holder, three other zones' leaders, and one
// evictor. Time passes in ticks; messages take any time and may be lost; the
// other leaders may hand over to successors without memory; the holder's clock
// may run slow and the evictor's fast, within the drift allowed for; the
// holder may be paused between a check and the act that it allows. What must
// never be seen: the seat is taken while its earlier holder still acts.
package seatmodel

import (
	"slices"
)

// Rules switches single rules off, to see whether the search misses them.
type Rules struct {
	CountFromReceipt     bool
	FewerConfirmations   bool
	NoTableWait          bool
	NoExtensionWait      bool
	IgnoreDrift          bool
	SkipReadBack         bool
	NoRecheck            bool
	NoIntent             bool
	SuccessorReadsNoRows bool
	SuccessorConfirms    bool
	ClaimUnconditionally bool
	ExtendAfterRefrain   bool
}

// The scope. Holding and waiting differ by the drift.
const (
	leaseTicks   = 2
	drift        = 1
	otherLeaders = 3
	extendQuorum = 2
	evictQuorum  = 2
	maxAge       = leaseTicks + drift
)

// scope bounds how often things happen in one history.
type scope struct {
	renewals, rounds, handovers, attempts uint8
}

var (
	// small is searched as a whole.
	small = scope{renewals: 1, rounds: 2, handovers: 1, attempts: 1}
	// wide is walked at random.
	wide = scope{renewals: 100, rounds: 100, handovers: 100, attempts: 50}
)

// stage is where a request and its answer are.
type stage uint8

const (
	idle stage = iota
	requested
	granted
	received
	refused
)

// leader is another zone's leader.
type leader struct {
	// extendedFor and confirmFrom are ticks left.
	extendedFor int8
	confirmWait int8
	// refrainBound is the row version that it no longer extends, plus one.
	refrainBound uint8
	// intentBound is the row version that it read with an intent, plus one.
	intentBound uint8
	// extension is the holder's request to it in the present round.
	extension stage
	// claimWait is what the evictor still waits for its promises, -1 before the
	// confirmation.
	claimWait int8
}

// evictorPhase is how far the evictor is.
type evictorPhase uint8

const (
	watching evictorPhase = iota
	collecting
	claiming
	claimed
	// defeated is the end of an attempt that a renewal defeated.
	defeated
)

// state is one state of the model. It is comparable, and all its clocks are
// relative, so the search ends.
type state struct {
	version   uint8
	newHolder bool
	intent    bool

	// authority is what the holder believes to have left.
	authority      int8
	observed       uint8
	renewal        stage
	renewalAge     int8
	renewalBase    uint8
	renewalVersion uint8
	renewals       uint8
	roundAge       int8
	rounds         uint8
	checked        bool
	acted          bool

	leaders   [otherLeaders]leader
	handovers uint8

	evictor      evictorPhase
	evictVersion uint8
	attempts     uint8
	tableWait    int8
	holderSlowed bool
}

// model is the search's rules.
type model struct {
	Rules
	scope
}

func (m model) heldTicks() int8 {
	if m.IgnoreDrift {
		return leaseTicks + drift
	}
	return leaseTicks
}

func (m model) waitTicks() int8 {
	return leaseTicks + drift
}

func (m model) initial() state {
	s := state{version: 1, observed: 1, authority: m.heldTicks(), tableWait: m.waitTicks(), roundAge: -1}
	for i := range s.leaders {
		s.leaders[i].claimWait = -1
	}
	return s
}

// violated tells whether two hold the seat, or the earlier holder has acted.
func (s state) violated() bool {
	return s.acted || s.newHolder && s.authority > 0
}

// Result is the outcome of a search.
type Result struct {
	States int
	// Trace is the shortest way to a state with two holders; nil if none is
	// reachable.
	Trace []string
	// Complete is false if the limit ended the search.
	Complete bool
}

// Search looks at every reachable state, at most limit.
func Search(r Rules, limit int) Result {
	m := model{r, small}
	first := m.initial()
	m.canonicalize(&first)
	seen := map[state]int32{first: 0}
	queue := []state{first}
	names := []string{""}
	parents := []int32{-1}
	for i := 0; i < len(queue); i++ {
		for _, next := range m.successors(queue[i]) {
			if _, known := seen[next.next]; known {
				continue
			}
			seen[next.next] = int32(len(queue))
			queue = append(queue, next.next)
			names = append(names, next.name)
			parents = append(parents, int32(i))
			if next.next.violated() {
				return Result{States: len(queue), Trace: tracePath(names, parents), Complete: true}
			}
		}
		if len(queue) > limit {
			return Result{States: len(queue)}
		}
	}
	return Result{States: len(queue), Complete: true}
}

func tracePath(names []string, parents []int32) []string {
	var steps []string
	for i := int32(len(names) - 1); i > 0; i = parents[i] {
		steps = append(steps, names[i])
	}
	slices.Reverse(steps)
	return steps
}

// Walk takes steps that pick chooses among n possible ones, and returns the way
// to two holders if it finds them.
func Walk(r Rules, steps int, pick func(n int) int) []string {
	m := model{r, wide}
	at := m.initial()
	m.canonicalize(&at)
	var trace []string
	for range steps {
		next := m.successors(at)
		if len(next) == 0 {
			return nil
		}
		s := next[pick(len(next))]
		trace = append(trace, s.name)
		if s.next.violated() {
			return trace
		}
		at = s.next
	}
	return nil
}
