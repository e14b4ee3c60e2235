// Package seatmodel is a model checker for the rules by which a zone's seat is
// held, extended during outages of the table, and claimed after an eviction. It
// searches every state of an abstract model in a small scope.
//
// The model has one seat with a holder, three other zones' leaders, and one
// evictor. Time passes in ticks; messages may be delayed without bound or lost;
// other leaders may hand over to successors without state; the holder's clock
// may run slow and the evictor's fast, within the tolerated drift; the holder may
// be paused between a check of its authority and the act that the check allows.
// Invariant: the seat is never claimed while its previous holder still acts.
package seatmodel

import (
	"slices"
)

// Rules switches off single rules, to test that the search detects each omission.
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

// Parameters of the model: durations in ticks, and quorums of the other leaders.
// Observers wait for leaseTicks + drift before they act.
const (
	leaseTicks   = 2
	drift        = 1
	otherLeaders = 3
	extendQuorum = 2
	evictQuorum  = 2
	maxAge       = leaseTicks + drift
)

// scope bounds how often each event occurs in one history.
type scope struct {
	renewals, rounds, handovers, attempts uint8
}

var (
	// small is searched exhaustively.
	small = scope{renewals: 1, rounds: 2, handovers: 1, attempts: 1}
	// wide is for random walks.
	wide = scope{renewals: 100, rounds: 100, handovers: 100, attempts: 50}
)

// stage is how far a request and its response are.
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
	// extendedFor is the ticks left of the extension that it granted; confirmWait
	// the ticks until its confirmation of an eviction may count, as a successor.
	extendedFor int8
	confirmWait int8
	// refrainBound and intentBound are one above the row version at which it
	// refrained or read an intent. It extends no holder that observed less.
	refrainBound uint8
	intentBound  uint8
	// extension is the stage of the holder's request to it in the current round.
	extension stage
	// claimWait is the ticks until the evictor may count its confirmation, when
	// its extensions have expired; -1 before the confirmation.
	claimWait int8
}

// evictorPhase is the phase of the evictor's current attempt.
type evictorPhase uint8

const (
	watching evictorPhase = iota
	collecting
	claiming
	claimed
	// defeated: the claiming write failed, since the holder had renewed.
	defeated
)

// state is one state of the model. It is comparable, and its clocks are relative
// and bounded, so the search terminates.
type state struct {
	version   uint8
	newHolder bool
	intent    bool

	// authority is the ticks left of the holder's authority by its own clock.
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

// violated reports whether the seat was claimed while the previous holder has
// authority, or whether that holder acted after the claim.
func (s state) violated() bool {
	return s.acted || s.newHolder && s.authority > 0
}

// Result is the outcome of a search.
type Result struct {
	States int
	// Trace is the shortest sequence of steps to a state with two holders; nil if
	// none is reachable.
	Trace []string
	// Complete is false if the search stopped at its limit of states.
	Complete bool
}

// Search checks the reachable states breadth-first, and stops at limit states.
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
			if _, visited := seen[next.next]; visited {
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

// Walk takes the given number of steps, each chosen by pick among n possible
// ones. It returns the steps to a state with two holders, or nil if none occurs.
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
