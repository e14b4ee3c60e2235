package experiment

import (
	"math/rand/v2"
	"time"
)

// fifoRun is a play in which requests wait at the targets.
type fifoRun struct {
	eventLoop
	random  *rand.Rand
	targets []*simTarget
	busy    []int
	waiting [][]*request
	report  *Report
}

// ArrivalOrder plays a load where nobody decides: each request goes to its target at
// once, or to the one with the fewest under way, and waits there in order of arrival
// until its deadline. Nobody comes back.
func (l *Load) ArrivalOrder(level float64, seed uint64) *Report {
	u := &fifoRun{random: rand.New(rand.NewPCG(seed, 23)), targets: l.simTargets(), report: l.newReport("arrivalOrder", level)}
	u.busy, u.waiting = make([]int, len(u.targets)), make([][]*request, len(u.targets))
	for _, r := range l.requests(level, seed) {
		u.after(r.arrival+r.oneWayDelay, func() {
			u.report.recordArrival(r)
			n := r.target
			if n < 0 {
				n = u.leastLoaded()
			}
			if u.random.Float64() < u.targets[n].ShedShare {
				u.report.recordRefusal(r)
				return
			}
			u.waiting[n] = append(u.waiting[n], r)
			u.startWaiting(n)
		})
	}
	u.run()
	return u.report
}

// startWaiting has a target work on what waits there, as far as it has slots.
func (u *fifoRun) startWaiting(n int) {
	for u.busy[n] < u.targets[n].Slots && len(u.waiting[n]) > 0 {
		r := u.waiting[n][0]
		u.waiting[n] = u.waiting[n][1:]
		if u.now > r.arrival+millis(r.kind.Deadline) {
			u.report.recordRefusal(r)
			continue
		}
		u.report.recordQueueTime(r, u.now-r.arrival-r.oneWayDelay)
		u.busy[n]++
		u.after(time.Duration(float64(r.work)*u.targets[n].slownessAt(u.now)), func() {
			u.busy[n]--
			u.report.recordResponse(r, u.now+r.oneWayDelay)
			u.startWaiting(n)
		})
	}
}

// leastLoaded returns the target with the fewest requests.
func (u *fifoRun) leastLoaded() int {
	best := 0
	for n := range u.targets {
		if u.busy[n]+len(u.waiting[n]) < u.busy[best]+len(u.waiting[best]) {
			best = n
		}
	}
	return best
}
