package instance

import (
	"sync"
	"time"

	"basilcross.example/basilcross/event"
)

// maxConfigLag is how long a newer configuration may be known to another instance before its
// absence here is logged.
const maxConfigLag = time.Second

// configLag remembers since when another instance is known to have a newer configuration.
type configLag struct {
	mu     sync.Mutex
	since  time.Time
	logged bool
}

// set records whether this instance is behind, and reports whether that must be logged.
func (l *configLag) set(now time.Time, behind bool) (overdue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !behind:
		l.since, l.logged = time.Time{}, false
	case l.since.IsZero():
		l.since = now
	case !l.logged && now.Sub(l.since) >= maxConfigLag:
		l.logged = true
		return true
	}
	return false
}

// lag returns for how long this instance has been behind.
func (l *configLag) lag(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}

// watchConfig logs a configuration that another instance has had for a while and this one has not.
func (c *catchUp) watchConfig(now time.Time) {
	m := c.replicator.operatorMirror()
	report := c.state.revisionReport.Load()
	if !c.configLag.set(now, report != nil && c.isBehind(m)) {
		return
	}
	event.ConfigOverdue.Log(c.log, "knownRevision", report.revisions[m.Table], "reporter", report.from, "revision", m.Revision(),
		"lagMs", c.configLag.lag(now).Milliseconds(), "passive", c.replicator.passive.Load(), "thin", c.replicator.thin.Load(),
		"receiving", m.Receiving(), "failing", m.Failing())
}
