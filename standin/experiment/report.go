package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report counts the outcomes of a load's requests under one strategy.
type Report struct {
	// Strategy is schedule, bound, kindsBound or arrivalOrder.
	Strategy string
	// Level is the load, as a share of the targets' capacity.
	Level float64
	Kinds []Outcome

	observe func(q *request, inTime bool)
	// seconds counts the requests of all kinds by the second in which they arrived, and starts has the times
	// at which each target began a request.
	seconds []second
	starts  map[int][]time.Duration
}

type second struct{ arrived, inTime int }

// Outcome counts the outcomes of one kind's requests. Those answered after their
// deadline count as refused.
type Outcome struct {
	Kind    *Kind
	Arrived int
	InTime  int
	Late    int
	Refused int
	// RefusedAttempts counts refusals of the scheduler, also those after which the caller retried, and
	// RefusedAtOnce those of them without a wait.
	RefusedAttempts int
	RefusedAtOnce   int
	// QueueTime is the wait before a request is sent, in microseconds.
	QueueTime *hdrhistogram.Histogram
}

// maxQueueTime is the histogram's highest value, in microseconds.
const maxQueueTime = 60_000_000

func (l *Load) newReport(strategy string, level float64) *Report {
	r := &Report{Strategy: strategy, Level: level, observe: l.observe}
	for i := range l.Kinds {
		r.Kinds = append(r.Kinds, Outcome{Kind: &l.Kinds[i], QueueTime: hdrhistogram.New(1, maxQueueTime, 3)})
	}
	return r
}

func (r *Report) outcomeOf(q *request) *Outcome { return &r.Kinds[q.kindNumber-1] }

func (r *Report) recordRefusal(q *request) {
	r.outcomeOf(q).Refused++
	r.notify(q, false)
}

func (r *Report) notify(q *request, inTime bool) {
	if r.observe != nil {
		r.observe(q, inTime)
	}
}

func (r *Report) recordRefusedAttempt(q *request, atOnce bool) {
	o := r.outcomeOf(q)
	o.RefusedAttempts++
	if atOnce {
		o.RefusedAtOnce++
	}
}

func (r *Report) recordArrival(q *request) {
	r.outcomeOf(q).Arrived++
	r.secondOf(q).arrived++
}

// secondOf returns the counts of the second in which a request arrived.
func (r *Report) secondOf(q *request) *second {
	n := int(q.arrival / time.Second)
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, second{})
	}
	return &r.seconds[n]
}

func (r *Report) recordStart(target int, at time.Duration) {
	if r.starts == nil {
		r.starts = map[int][]time.Duration{}
	}
	r.starts[target] = append(r.starts[target], at)
}

// InTimeBetween returns the share of the requests that arrived in the given seconds that were answered in time.
func (r *Report) InTimeBetween(from, to int) float64 {
	arrived, inTime := 0, 0
	for _, s := range r.seconds[min(from, len(r.seconds)):min(to, len(r.seconds))] {
		arrived += s.arrived
		inTime += s.inTime
	}
	return float64(inTime) / float64(max(1, arrived))
}

// fullUseShare is the share of a target's usual number of requests that counts as full use.
const fullUseShare = 0.9

// UntilFullUse returns the time from the given moment until the targets begin, over the following second, as many
// requests as on average in the seconds from steady to the end.
func (r *Report) UntilFullUse(targets []int, from, steady, end time.Duration) time.Duration {
	count := func(a, b time.Duration) (n float64) {
		for _, t := range targets {
			for _, at := range r.starts[t] {
				if at >= a && at < b {
					n++
				}
			}
		}
		return n
	}
	usual := count(steady, end) / (end - steady).Seconds()
	at := from
	for at < end-time.Second && count(at, at+time.Second) < fullUseShare*usual {
		at += 10 * time.Millisecond
	}
	return at - from
}

func (r *Report) recordQueueTime(q *request, d time.Duration) {
	// No wait exceeds maxQueueTime: every deadline is earlier.
	_ = r.outcomeOf(q).QueueTime.RecordValue(min(d.Microseconds(), maxQueueTime))
}

func (r *Report) recordResponse(q *request, at time.Duration) {
	o := r.outcomeOf(q)
	inTime := at <= q.arrival+millis(q.kind.Objective)
	r.notify(q, inTime)
	switch {
	case inTime:
		o.InTime++
		r.secondOf(q).inTime++
	case at <= q.arrival+q.deadline:
		o.Late++
	default:
		o.Refused++
	}
}

// WorthShare returns the worth of the answered requests as a share of all requests' worth.
func (r *Report) WorthShare() float64 {
	got, total := 0.0, 0.0
	for _, o := range r.Kinds {
		got += float64(o.InTime)*o.Kind.Worth + float64(o.Late)*o.Kind.LateWorth
		total += float64(o.Arrived) * o.Kind.Worth
	}
	return got / max(1, total)
}

// InTimeShare returns the share of all requests that were answered in time.
func (r *Report) InTimeShare() float64 {
	inTime, arrived := 0, 0
	for _, o := range r.Kinds {
		inTime += o.InTime
		arrived += o.Arrived
	}
	return float64(inTime) / float64(max(1, arrived))
}

// AnsweredShare returns the share of the kind's requests that were answered, in time or late.
func (o *Outcome) AnsweredShare() float64 {
	return float64(o.InTime+o.Late) / float64(max(1, o.Arrived))
}

// WriteText writes reports as a table.
func WriteText(w io.Writer, reports []*Report) {
	fmt.Fprintf(w, "%-5s %-12s %-8s %7s %7s %6s %8s %6s %9s %9s\n",
		"load", "way", "kind", "came", "inTime", "late", "refused", "worth", "queuedP50", "queuedP99")
	for _, r := range reports {
		for _, o := range r.Kinds {
			all := float64(max(1, o.Arrived))
			fmt.Fprintf(w, "%-5.2f %-12s %-8s %7d %7.3f %6.3f %8.3f %6.3f %7.0fms %7.0fms\n", r.Level, r.Strategy, o.Kind.Name, o.Arrived,
				float64(o.InTime)/all, float64(o.Late)/all, float64(o.Refused)/all, r.WorthShare(),
				float64(o.QueueTime.ValueAtQuantile(50))/1000, float64(o.QueueTime.ValueAtQuantile(99))/1000)
		}
	}
}
