package speed

import (
	"math"
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// reportHalfLife is the age at which an instance's estimate counts half, while another one
	// reports the same target: the scheduler of a target's slots changes.
	reportHalfLife = 5 * time.Second
	// maxRestoredAnswers bounds the certainty of an estimate that an earlier coordinator kept: the
	// target's machine may have changed since.
	maxRestoredAnswers = 24.0
	// offsetAnswers is the number of responses, in common to restored and new estimates, that make
	// the difference between both half certain.
	offsetAnswers = 30.0
)

// Table merges the estimates that several instances report. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	targets map[roster.Incarnation]*merged
}

// merged is what is known of a target: what was restored, and what each instance has reported.
type merged struct {
	restored Estimate
	reports  []report
}

type report struct {
	from     string
	estimate Estimate
	at       time.Time
}

func (t *Table) of(target roster.Incarnation) *merged {
	if t.targets == nil {
		t.targets = map[roster.Incarnation]*merged{}
	}
	m := t.targets[target]
	if m == nil {
		m = &merged{}
		t.targets[target] = m
	}
	return m
}

func (e Estimate) valid() bool {
	return e.Target.ID != "" && e.Seconds > 0 && e.Seconds < maxSeconds && e.Answers > 0 && !math.IsInf(e.Answers, 1)
}

// maxSeconds is above the time limit of any request.
const maxSeconds = 3600

// Record records an instance's estimate, which replaces its former one of the same target.
func (t *Table) Record(now time.Time, from string, e Estimate) {
	if !e.valid() {
		return
	}
	m := t.of(e.Target)
	m.reports = slices.DeleteFunc(m.reports, func(r report) bool { return r.from == from })
	m.reports = append(m.reports, report{from, e, now})
}

// Restore adds an estimate that an earlier coordinator kept.
func (t *Table) Restore(e Estimate) {
	if !e.valid() {
		return
	}
	t.of(e.Target).restored = e.restored()
}

// restored returns the estimate as it counts once it is restored.
func (e Estimate) restored() Estimate {
	e.Answers = min(e.Answers, maxRestoredAnswers)
	return e
}

// Retain drops the estimates of all targets for which keep returns false.
func (t *Table) Retain(keep func(roster.Incarnation) bool) {
	for target := range t.targets {
		if !keep(target) {
			delete(t.targets, target)
		}
	}
}

// Find returns the merged estimate of a target, and whether there is one.
func (t *Table) Find(target roster.Incarnation) (Estimate, bool) {
	m := t.targets[target]
	if m == nil {
		return Estimate{}, false
	}
	return m.estimate(target, t.offset()), true
}

// Estimates returns the merged estimates of all targets, in the order of the targets.
func (t *Table) Estimates() []Estimate {
	offset := t.offset()
	list := make([]Estimate, 0, len(t.targets))
	for target, m := range t.targets {
		list = append(list, m.estimate(target, offset))
	}
	slices.SortFunc(list, byTarget)
	return list
}

// measured merges the instances' reports. The age of each is that to the newest one, so that a target
// which gets no requests keeps its estimate.
func (m *merged) measured() (mean, answers float64) {
	var newest time.Time
	for _, r := range m.reports {
		if r.at.After(newest) {
			newest = r.at
		}
	}
	for _, r := range m.reports {
		weight := r.estimate.Answers * math.Exp2(-newest.Sub(r.at).Seconds()/reportHalfLife.Seconds())
		mean += weight * math.Log(r.estimate.Seconds)
		answers += weight
	}
	if answers > 0 {
		mean /= answers
	}
	return mean, answers
}

// offset is the mean difference between the new and the restored estimates of the same targets, in
// natural logarithm: the work of requests may have changed since the latter were kept.
func (t *Table) offset() float64 {
	sum, weight := 0.0, offsetAnswers
	for _, m := range t.targets {
		mean, answers := m.measured()
		if answers == 0 || m.restored.Answers == 0 {
			continue
		}
		w := min(answers, m.restored.Answers)
		sum += w * (mean - math.Log(m.restored.Seconds))
		weight += w
	}
	return sum / weight
}

// estimate merges what was restored with what was reported. The former counts less with each new
// response, and nothing once there are enough.
func (m *merged) estimate(target roster.Incarnation, offset float64) Estimate {
	mean, answers := m.measured()
	restored := max(0, m.restored.Answers-answers/2)
	if restored > 0 {
		mean = (mean*answers + (math.Log(m.restored.Seconds)+offset)*restored) / (answers + restored)
	}
	return Estimate{Target: target, Seconds: math.Exp(mean), Answers: min(answers+restored, maxAnswers)}
}
