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
	reported  map[roster.Incarnation]*reportedAverage
	// mixedWork is the result of service.mixedWork, which is calculated again after recountIn answers.
	mixedWork float64
	recountIn int
}

// reportedAverage is the average logarithm of the momentary slowness that a target reports. Only the
// deviation from it is momentary: a target that always reports the same is as slow as it answers.
type reportedAverage struct {
	mean    float64
	reports int
}

// record records the time that a request of a kind with the given work took, of average work in seconds.
// A target that warms up is slower for a while, which says nothing about its speed.
func (e *speeds) record(now time.Time, t *Ticket, took time.Duration, work, averageWork float64) {
	if t.Target.IsCold(now) {
		return
	}
	ratio := took.Seconds() * averageWork / work
	if t.ReportedSlowness > 0 {
		ratio *= math.Exp(-e.deviation(t.Target.Incarnation(), math.Log(t.ReportedSlowness)))
	}
	e.estimator.Record(t.Target.Incarnation(), ratio)
}

// deviation adds a reported logarithm, and returns its deviation from the target's average.
func (e *speeds) deviation(target roster.Incarnation, x float64) float64 {
	if e.reported == nil {
		e.reported = map[roster.Incarnation]*reportedAverage{}
	}
	a := e.reported[target]
	if a == nil {
		a = &reportedAverage{}
		e.reported[target] = a
	}
	a.reports++
	a.mean += max(reportWeight, 1/float64(a.reports)) * (x - a.mean)
	return x - a.mean
}

// drop drops the estimate of a target that has ended.
func (e *speeds) drop(target roster.Incarnation) {
	if e != nil {
		e.estimator.Drop(target)
		delete(e.reported, target)
	}
}

// mixedWork returns the average work of the requests answered so far, in seconds. Unlike averageWork it
// is the kind's own if there is only one kind. With many kinds it is not calculated at each answer.
func (s *service) mixedWork() float64 {
	if s.speeds.recountIn > 0 {
		s.speeds.recountIn--
		return s.speeds.mixedWork
	}
	s.speeds.recountIn = len(s.kinds) - 1
	work, answers := 0.0, 0
	for _, k := range s.kinds {
		work += k.work * float64(k.answers)
		answers += k.answers
	}
	s.speeds.mixedWork = work / float64(answers)
	return s.speeds.mixedWork
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
// adapted, so that the times expected of the targets that have answered stay the same on average.
func (s *Scheduler) SetKnownSlowness(name string, known map[roster.Incarnation]float64) {
	view := s.Roster.Load()
	svc := s.serviceFor(name)
	before := svc.answeredSlowness()
	for incarnation, slowness := range known {
		t := view.Find(incarnation.ID)
		if t == nil || t.Started != incarnation.Started || t.Service != name || !(slowness > 0) {
			continue
		}
		st := svc.stateOf(t)
		if st.answers >= knownAnswers {
			continue
		}
		st.slowness, st.reportedAnswers = slowness, knownAnswers
	}
	after := svc.answeredSlowness()
	if after == 0 {
		return
	}
	for _, k := range svc.kinds {
		k.work *= before / after
	}
	svc.meanWork *= before / after
	if svc.speeds != nil {
		svc.speeds.recountIn = 0
	}
}

// answeredSlowness returns the sum of the slowness that was expected of each answer so far, as it is
// estimated now.
func (s *service) answeredSlowness() (sum float64) {
	for _, st := range s.targets {
		sum += float64(st.answers) * st.slowness
	}
	return sum
}
