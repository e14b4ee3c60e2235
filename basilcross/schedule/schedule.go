// Package schedule decides which target's slot a request gets, which request is
// next when all are busy, and which is refused at once because it cannot be
// answered in time. It keeps no clock and starts nothing: every call says what
// time it is, so that a load can be played against it in no time.
package schedule

import (
	"fmt"
	"time"

	"basilcross.example/basilcross/roster"
)

// Request asks for a slot at a target.
type Request struct {
	Service string
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
	// OnTime asks for a refusal if the answer would come after Objective.
	OnTime bool
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

// Schedule shares out the slots of targets. Roster must be set. It is not safe
// for concurrent use.
type Schedule struct {
	Roster *roster.Roster

	services map[string]*service
}

type service struct {
	name   string
	states map[roster.Life]*state
	queues map[queueKey]*queue
	// latency is the usual time of an answer without waiting at the target, in
	// seconds.
	latency float64
}

// Ticket is a request's turn: it has a target's slot if Target is set, and waits
// for one otherwise, until Until at most.
type Ticket struct {
	Request Request
	Target  *roster.Target
	Until   time.Time

	service *service
	queue   *queue
	state   *state
	order   uint64
	began   time.Time
	direct  bool
}

// Enter gives a request a slot, or lets it wait for one. The error is a
// *BusyError or a *NoTargetError.
func (s *Schedule) Enter(now time.Time, r Request) (*Ticket, error) {
	sv := s.service(r.Service)
	t := &Ticket{Request: r, service: sv, queue: sv.queue(&r)}
	room := s.place(now, t)
	if t.Target != nil {
		return t, nil
	}
	if room.targets == 0 {
		return nil, &NoTargetError{Service: r.Service}
	}
	return t, t.wait(now, room)
}

// Expire ends a ticket's wait and says why nothing came of it.
func (s *Schedule) Expire(now time.Time, t *Ticket) error {
	s.Withdraw(t)
	_, room := s.best(now, t)
	return &BusyError{Service: t.service.name, Wait: t.queue.expected(&t.Request, room), Queued: len(t.queue.waiting)}
}

// Withdraw ends a ticket's wait.
func (s *Schedule) Withdraw(t *Ticket) { t.queue.remove(t) }

// Release gives a ticket's slot back, and returns the tickets that have got one.
func (s *Schedule) Release(now time.Time, t *Ticket, r Result) []*Ticket {
	t.state.ended(now, t, r)
	return s.Admit(now, t)
}

// Admit gives slots to requests that wait for the same targets as the ticket's,
// and returns those that have got one.
func (s *Schedule) Admit(now time.Time, like *Ticket) []*Ticket {
	var placed []*Ticket
	for q := like.queue; len(q.waiting) > 0; {
		_, room := s.best(now, q.waiting[0])
		if room.best == nil {
			break
		}
		next := q.next(now.Add(seconds(room.seconds * safety)))
		s.place(now, next)
		if next.Target == nil {
			break
		}
		q.remove(next)
		placed = append(placed, next)
	}
	return placed
}

func (s *Schedule) service(name string) *service {
	if s.services == nil {
		s.services = map[string]*service{}
	}
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, states: map[roster.Life]*state{}, queues: map[queueKey]*queue{}, latency: startLatency}
		s.services[name] = sv
	}
	return sv
}

// Forget drops what is known of lifetimes that are over.
func (s *Schedule) Forget() {
	view := s.Roster.Load()
	for _, sv := range s.services {
		for life, st := range sv.states {
			t := view.Targets[life.ID]
			if st.inFlight == 0 && (t == nil || t.Born != life.Born) {
				delete(sv.states, life)
			}
		}
		for key, q := range sv.queues {
			if len(q.waiting) == 0 && key.target != "" && view.Targets[key.target] == nil {
				delete(sv.queues, key)
			}
		}
	}
}

// Speed is a target's usual time of an answer.
type Speed struct {
	Service string
	Target  string
	Latency time.Duration
}

// Speeds returns what was learnt of targets. A lifetime that is over says
// nothing of the next one under its name.
func (s *Schedule) Speeds() []Speed {
	view := s.Roster.Load()
	var speeds []Speed
	for name, sv := range s.services {
		for life, st := range sv.states {
			if t := view.Targets[life.ID]; t != nil && t.Born == life.Born && st.latency > 0 {
				speeds = append(speeds, Speed{name, life.ID, seconds(st.latency)})
			}
		}
	}
	return speeds
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
