package instance

import (
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/schedule"
)

// paceLineWindow and maxPaceLines bound the lines about paces: a target that fails again and again has two each
// time, and after the loss of a zone hundreds of targets are paced at once.
const (
	paceLineWindow = 20 * time.Second
	maxPaceLines   = 40
)

// paceLines limits the lines about paces. The zero value is ready to use; the dispatcher's lock guards it.
type paceLines struct {
	windowStart     time.Time
	logged, leftOut int
}

// admit reports whether a line may be logged, and how many were left out before it.
func (p *paceLines) admit(now time.Time) (leftOut int, ok bool) {
	if now.Sub(p.windowStart) >= paceLineWindow {
		p.windowStart, p.logged = now, 0
	}
	if p.logged == maxPaceLines {
		p.leftOut++
		return 0, false
	}
	p.logged++
	leftOut, p.leftOut = p.leftOut, 0
	return leftOut, true
}

// logPace logs that a target's pace began or ended.
func (i *Instance) logPace(c schedule.PaceChange) {
	leftOut, ok := i.paceLines.admit(time.Now())
	if !ok {
		return
	}
	event.TargetPaced.Log(i.log, "target", c.Target.ID, "service", c.Target.Service, "began", c.Began, "cause", c.Cause.String(),
		"lastedMs", c.Duration.Milliseconds(), "answers", c.Answers, "leftOut", leftOut)
}
