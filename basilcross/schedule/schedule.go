// Package schedule decides which target's slot a request gets, which request is
// next when all are busy, and which is refused at once because it cannot be
// answered in time. It keeps no clock and starts nothing: every call says what
// time it is, so that a load can be played against it in no time.
package schedule

import (
	"fmt"
	"maps"
	"time"

	"basilcross.example/basilcross/roster"
)

// Request asks for a slot at a target.
type Request struct {
	Service string
	// Kind numbers requests that are alike in work.
	Kind uint32
	// Target is the only one that will do; empty if any of the zone's will.
	Target string
	Zone   string
	// Excluded are targets that this request has been sent to.
	Excluded map[string]bool
	// Priority 0 goes first.
	Priority int
	// Objective is when the answer should be there, Deadline when it is of no use.
	Objective time.Time
	Deadline  time.Time
	// OneWayDelay is the time of a message from whoever asks to the targets, one way.
	OneWayDelay time.Duration
	// RejectLate asks for a refusal if the answer would come after Objective.
	RejectLate bool
}

// Result is how a request ended at its target.
type Result int

// The results.
const (
	// Answered: the target gave its answer.
	Answered Result = iota
	// Shed: the target had no room.
	Shed
	// Failed: no answer, or none that can be used.
	Failed
	// Abandoned: the caller went away, or its time was over; this tells nothing.
	Abandoned
)

// BusyError says that the request cannot be answered in time, and when room is
// expected.
type BusyError struct {
	Service string
	Wait    time.Duration
	Queued  int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("schedule: no room at %s: %d wait, about %v", e.Service, e.Queued, e.Wait.Round(time.Millisecond))
}

// NoTargetError says that there is no target that would do.
type NoTargetError struct {
	Service string
}

func (e *NoTargetError) Error() string { return "schedule: no target of " + e.Service }

// Scheduler shares out the slots of targets. Roster must be set. It is not safe
// for concurrent use.
type Scheduler struct {
	Roster *roster.Roster

	services map[string]*service
}

type service struct {
	name    string
	targets map[roster.Incarnation]*targetState
	queues  map[queueKey]*queue
	kinds   map[uint32]*kindStats
	// meanWork is the work of an average request, in seconds; 0 before the first answer.
	meanWork float64
}

// Ticket is a request's turn: it has a target's slot if Target is set, and waits
// for one otherwise, until Until at most.
type Ticket struct {
	Request   Request
	Target    *roster.Target
	WaitUntil time.Time

	service *service
	queue   *queue
	state   *targetState
	seq     uint64
	// late is set if it waits though it cannot make its objective.
	late bool
	// arrivesAt is when the target has the request, and started when a slot was
	// free for it; that is zero before.
	arrivesAt time.Time
	startedAt time.Time
	// expectedWork is how long the target was expected to work on it.
	expectedWork time.Duration
}

// Submit gives a request a slot, or lets it wait for one. The error is a
// *BusyError or a *NoTargetError.
func (s *Scheduler) Submit(now time.Time, r Request) (*Ticket, error) {
	sv := s.serviceFor(r.Service)
	t := &Ticket{Request: r, service: sv, queue: sv.queueFor(&r)}
	t.queue.recordArrival(now, &r)
	_, room := s.bestTarget(now, t)
	if !t.queue.outranks(now, t, room.slowness) {
		room = s.assign(now, t)
	}
	if t.Target != nil {
		return t, nil
	}
	if room.targets == 0 {
		return nil, &NoTargetError{Service: r.Service}
	}
	return t, t.enqueue(now, room)
}

// Expire is called when a ticket has waited until Until. It goes on waiting, until
// a later Until, if it is still worth while although the answer will be late; the
// error says why nothing came of it otherwise.
func (s *Scheduler) Expire(now time.Time, t *Ticket) error {
	_, room := s.bestTarget(now, t)
	err := t.waitPastObjective(now, room)
	if err != nil {
		s.Cancel(t)
	}
	return err
}

// Cancel ends a ticket's wait.
func (s *Scheduler) Cancel(t *Ticket) { t.queue.remove(t) }

// Release gives a ticket's slot back, and returns the tickets that have got one.
func (s *Scheduler) Release(now time.Time, t *Ticket, r Result) []*Ticket {
	t.state.recordResult(now, t, r)
	return s.Admit(now, t)
}

// Admit gives slots to requests that wait for the same targets as the ticket's,
// and returns those that have got one.
func (s *Scheduler) Admit(now time.Time, like *Ticket) []*Ticket {
	var placed []*Ticket
	for q := like.queue; len(q.waiting) > 0; {
		best, room := s.bestTarget(now, q.waiting[0])
		if best != nil {
			// Who makes its objective depends on whose slot is free.
			room.slowness = room.state.slowness * warmupFactor(now, best)
		}
		next := q.next(now, room.slowness)
		s.assign(now, next)
		if next.Target == nil {
			break
		}
		q.remove(next)
		placed = append(placed, next)
	}
	return placed
}

func (s *Scheduler) serviceFor(name string) *service {
	if s.services == nil {
		s.services = map[string]*service{}
	}
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, targets: map[roster.Incarnation]*targetState{}, queues: map[queueKey]*queue{}, kinds: map[uint32]*kindStats{}}
		s.services[name] = sv
	}
	return sv
}

// Prune drops what is known of lifetimes that are over, and of kinds of requests
// that do not come any more.
func (s *Scheduler) Prune(now time.Time) {
	view := s.Roster.Load()
	for _, sv := range s.services {
		maps.DeleteFunc(sv.kinds, func(_ uint32, k *kindStats) bool { return now.Sub(k.lastAnswer) > kindTTL })
		for life, st := range sv.targets {
			t := view.Targets[life.ID]
			if len(st.inFlight) == 0 && (t == nil || t.Started != life.Started) {
				delete(sv.targets, life)
			}
		}
		for key, q := range sv.queues {
			maps.DeleteFunc(q.arrivals, func(_ uint32, a *arrivalStats) bool { return now.Sub(a.updated) > kindTTL })
			if len(q.waiting) == 0 && key.target != "" && view.Targets[key.target] == nil {
				delete(sv.queues, key)
			}
		}
	}
}

// TargetLatency is a target's usual time of an answer to an average request.
type TargetLatency struct {
	Service string
	Target  string
	Latency time.Duration
}

// TargetLatencies returns what was learnt of targets. A lifetime that is over says
// nothing of the next one under its name.
func (s *Scheduler) TargetLatencies() []TargetLatency {
	view := s.Roster.Load()
	var speeds []TargetLatency
	for name, sv := range s.services {
		for life, st := range sv.targets {
			if t := view.Targets[life.ID]; t != nil && t.Started == life.Started && st.answers > 0 {
				speeds = append(speeds, TargetLatency{name, life.ID, seconds(sv.averageWork() * st.slowness)})
			}
		}
	}
	return speeds
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
