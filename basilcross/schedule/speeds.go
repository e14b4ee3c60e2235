package schedule

import (
	"math"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
)

// knownAnswers is the number of answers from which on a target's slowness is not replaced by what other
// instances know, and the number of answers for which that counts.
const knownAnswers = 8

// speeds has the estimates of the targets' speeds that instances exchange. In contrast to the slowness,
// they do not depend on which targets the scheduler has.
type speeds struct {
	estimator speed.Estimator
	// logReported is the average logarithm of the momentary slowness that targets report.
	logReported float64
	reports     int
}

// record records the time that a request of a kind with the given work took, of average work in seconds.
// A target that warms up is slower for a while, which says nothing about its speed.
func (e *speeds) record(now time.Time, t *Ticket, took time.Duration, work, averageWork float64) {
	if t.Target.IsCold(now) {
		return
	}
	ratio := took.Seconds() * averageWork / work
	if t.ReportedSlowness > 0 {
		x := math.Log(t.ReportedSlowness)
		e.reports++
		e.logReported += max(reportWeight, 1/float64(e.reports)) * (x - e.logReported)
		ratio *= math.Exp(e.logReported - x)
	}
	e.estimator.Record(t.Target.Incarnation(), ratio)
}

// drop drops the estimate of a target that has ended.
func (e *speeds) drop(target roster.Incarnation) {
	if e != nil {
		e.estimator.Drop(target)
	}
}

// mixedWork returns the average work of the requests answered so far, in seconds. Unlike averageWork it
// is the kind's own if there is only one kind.
func (s *service) mixedWork() float64 {
	work, answers := 0.0, 0
	for _, k := range s.kinds {
		work += k.work * float64(k.answers)
		answers += k.answers
	}
	return work / float64(answers)
}

// SpeedEstimates returns the estimates of all targets' speeds, except ended incarnations, by service. It
// is empty unless Speeds is set.
func (s *Scheduler) SpeedEstimates() map[string][]speed.Estimate {
	view := s.Roster.Load()
	estimates := map[string][]speed.Estimate{}
	for name, svc := range s.services {
		if svc.speeds == nil {
			continue
		}
		for _, e := range svc.speeds.estimator.Estimates() {
			if t := view.Find(e.Target.ID); t != nil && t.Started == e.Target.Started {
				estimates[name] = append(estimates[name], e)
			}
		}
	}
	return estimates
}

// SetKnownSlowness sets the slowness of targets of a service, relative to its average target, that have
// hardly answered this scheduler, to what other instances know. The work of the service's kinds is
// adapted, so that the times expected of all these targets together stay the same.
func (s *Scheduler) SetKnownSlowness(name string, known map[roster.Incarnation]float64) {
	view := s.Roster.Load()
	svc := s.serviceFor(name)
	before, after := 0.0, 0.0
	for incarnation, slowness := range known {
		t := view.Find(incarnation.ID)
		if t == nil || t.Started != incarnation.Started || t.Service != name || !(slowness > 0) {
			continue
		}
		st := svc.stateOf(t)
		if st.answers >= knownAnswers {
			continue
		}
		before += st.slowness
		after += slowness
		st.slowness, st.told = slowness, knownAnswers
	}
	if after == 0 {
		return
	}
	for _, k := range svc.kinds {
		k.work *= before / after
	}
	svc.meanWork *= before / after
}
