// Package speed estimates how fast targets are from the times that their responses took, merges the
// estimates of several instances, and encodes them for a row of the store. It reads no clock: callers
// pass the time.
package speed

import (
	"cmp"
	"math"
	"slices"

	"basilcross.example/basilcross/roster"
)

const (
	// minWeight is the weight of the newest response in an estimate. The first responses have a
	// higher one. The estimate then follows the last 400 responses, which for a target with three
	// slots is a minute.
	minWeight = 0.005
	// maxAnswers is the number of equally weighted responses with the same variance as an average
	// with minWeight.
	maxAnswers = 2/minWeight - 1
	// uncertainAnswers is the number of responses at which the variance of an estimate is that of the
	// speeds of different targets: the logarithm of the time of one response has a variance of about
	// 0.7, with successive ones correlated, that of targets' speeds one of about 0.1.
	uncertainAnswers = 8.0
	// maxLogRatio bounds the deviation of one response from the estimate. It is above that of one in
	// a hundred requests, which takes five times as long as others.
	maxLogRatio = 2.0
	// changeSlack and changeThreshold detect a lasting change, in natural logarithm: the estimate starts
	// again once the responses since some moment deviate from it, each less changeSlack, by
	// changeThreshold together (CUSUM). A change by a factor of 2.3 takes some 20 responses then.
	changeSlack     = 0.4
	changeThreshold = 8.0
)

// Estimate is how long a target needs for a request of average work.
type Estimate struct {
	Target roster.Incarnation
	// Seconds is the typical time, which is the geometric mean.
	Seconds float64
	// Answers is the number of equally weighted responses that would make the estimate as certain.
	Answers float64
}

// Certainty is the share of an estimate's deviation from the average of all targets that is expected
// to be the target's own and not random, from 0 to 1.
func (e Estimate) Certainty() float64 { return e.Answers / (e.Answers + uncertainAnswers) }

// Estimator estimates the time of targets from their responses. The zero value has no estimates. It is
// not safe for concurrent use.
type Estimator struct {
	targets map[roster.Incarnation]*average
}

// average is a target's estimate, in natural logarithms of seconds.
type average struct {
	mean, answers float64
	up, down      change
}

// change has the deviations in one direction since they were last small.
type change struct{ excess, sum, count float64 }

// add adds a deviation in the change's direction, and reports whether it is a lasting one.
func (c *change) add(deviation float64) bool {
	c.excess += deviation - changeSlack
	c.sum += deviation
	c.count++
	if c.excess <= 0 {
		*c = change{}
	}
	return c.excess > changeThreshold
}

// Record records that a response took ratio times as long as a request of average work does at a
// target that needs one second for it. A ratio that is not positive is ignored.
func (e *Estimator) Record(target roster.Incarnation, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	if e.targets == nil {
		e.targets = map[roster.Incarnation]*average{}
	}
	a := e.targets[target]
	if a == nil {
		a = &average{}
		e.targets[target] = a
	}
	a.add(math.Log(ratio))
}

func (a *average) add(x float64) {
	if a.answers == 0 {
		a.mean, a.answers = x, 1
		return
	}
	deviation := min(max(x-a.mean, -maxLogRatio), maxLogRatio)
	switch {
	case a.up.add(deviation):
		a.startAgain(a.mean+a.up.sum/a.up.count, a.up.count)
	case a.down.add(-deviation):
		a.startAgain(a.mean-a.down.sum/a.down.count, a.down.count)
	default:
		a.answers = min(a.answers+1, maxAnswers)
		a.mean += max(minWeight, 1/a.answers) * deviation
	}
}

func (a *average) startAgain(mean, answers float64) {
	*a = average{mean: mean, answers: min(answers, maxAnswers)}
}

// Find returns the estimate of a target, and whether there is one.
func (e *Estimator) Find(target roster.Incarnation) (Estimate, bool) {
	a := e.targets[target]
	if a == nil {
		return Estimate{}, false
	}
	return a.estimate(target), true
}

func (a *average) estimate(target roster.Incarnation) Estimate {
	return Estimate{Target: target, Seconds: math.Exp(a.mean), Answers: a.answers}
}

// Estimates returns all estimates, in the order of their targets.
func (e *Estimator) Estimates() []Estimate {
	list := make([]Estimate, 0, len(e.targets))
	for target, a := range e.targets {
		list = append(list, a.estimate(target))
	}
	slices.SortFunc(list, byTarget)
	return list
}

// Drop drops the estimate of a target.
func (e *Estimator) Drop(target roster.Incarnation) { delete(e.targets, target) }

func byTarget(a, b Estimate) int {
	return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.Started, b.Target.Started))
}

// Relative is a target's speed as a multiple of the average target's, and its certainty.
type Relative struct {
	Speed     float64
	Certainty float64
}

// Shrunk returns the expected relative speed: an uncertain one counts as average.
func (r Relative) Shrunk() float64 {
	if !(r.Speed > 0) {
		return 1
	}
	return math.Pow(r.Speed, r.Certainty)
}

// RelativeSpeeds compares the estimates with their average, in which certain ones count more.
func RelativeSpeeds(estimates []Estimate) map[roster.Incarnation]Relative {
	sum, weight := 0.0, 0.0
	for _, e := range estimates {
		sum += e.Certainty() * math.Log(e.Seconds)
		weight += e.Certainty()
	}
	if weight == 0 {
		return nil
	}
	speeds := make(map[roster.Incarnation]Relative, len(estimates))
	for _, e := range estimates {
		speeds[e.Target] = Relative{Speed: math.Exp(sum/weight) / e.Seconds, Certainty: e.Certainty()}
	}
	return speeds
}
