package instance

import (
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
)

// maxTargetLines bounds the lines about single targets in a second. While a large fleet
// starts, they would be most of the log of each instance.
const maxTargetLines = 16

// targetLines counts the lines about single targets, and the changes that were not logged
// by lines of their own.
type targetLines struct {
	mu         sync.Mutex
	since      time.Time
	lines      int
	came, left int
}

// allow reports whether n lines may be logged now.
func (l *targetLines) allow(now time.Time, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	l.lines += n
	return l.lines <= maxTargetLines
}

// add counts changes without a line.
func (l *targetLines) add(came, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.came, l.left = l.came+came, l.left+left
}

// flush logs the numbers of the changes without a line, once a second has passed.
func (l *targetLines) flush(log *slog.Logger, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.came+l.left == 0 || now.Sub(l.since) < time.Second {
		return
	}
	event.TargetsChanged.Log(log, "came", l.came, "left", l.left)
	l.came, l.left = 0, 0
}
