package experiment

import (
	"math/rand/v2"
	"time"

	"basilcross.example/standin/eventloop"
)

// fifoRun simulates first-in, first-out queues at the targets.
type fifoRun struct {
	eventloop.Loop
	random  *rand.Rand
	targets []*simTarget
	busy    []int
	waiting [][]*request
	report  *Report
}

// ArrivalOrder simulates a load without a scheduler: each request is sent at once to its
// target, or to the one with the fewest executing and waiting requests, and waits there in
// order of arrival until its deadline. Callers don't retry.
func (l *Load) ArrivalOrder(level float64, seed uint64) *Report {
	f := &fifoRun{random: rand.New(rand.NewPCG(seed, 23)), targets: l.simTargets(), report: l.newReport("arrivalOrder", level)}
	f.busy, f.waiting = make([]int, len(f.targets)), make([][]*request, len(f.targets))
	for _, r := range l.requests(level, seed) {
		f.After(r.arrival+r.oneWayDelay, func() {
			f.report.recordArrival(r)
			n := r.target
			if n < 0 {
				n = f.leastLoaded()
			}
			if f.random.Float64() < f.targets[n].ShedShare {
				f.report.recordRefusal(r)
				return
			}
			f.waiting[n] = append(f.waiting[n], r)
			f.startWaiting(n)
		})
	}
	f.Run()
	return f.report
}

// startWaiting starts the first waiting requests of target n while it has free slots.
func (f *fifoRun) startWaiting(n int) {
	for f.busy[n] < f.targets[n].Slots && len(f.waiting[n]) > 0 {
		r := f.waiting[n][0]
		f.waiting[n] = f.waiting[n][1:]
		if f.Now > r.arrival+r.deadline {
			f.report.recordRefusal(r)
			continue
		}
		f.report.recordQueueTime(r, f.Now-r.arrival-r.oneWayDelay)
		f.busy[n]++
		f.After(time.Duration(float64(r.work)*f.targets[n].slownessAt(f.Now)), func() {
			f.busy[n]--
			f.report.recordResponse(r, f.Now+r.oneWayDelay)
			f.startWaiting(n)
		})
	}
}

func (f *fifoRun) leastLoaded() int {
	best := 0
	for n := range f.targets {
		if f.busy[n]+len(f.waiting[n]) < f.busy[best]+len(f.waiting[best]) {
			best = n
		}
	}
	return best
}
