// Package waitlist tells refused callers when to retry, so that they return one after the other, as
// fast as they can be served.
package waitlist

import "time"

// List is the waitlist of a pool of targets. The zero value is empty. It is not safe for concurrent use.
type List struct {
	// last is the last place that was given, by the priority of its request.
	last map[int]time.Time
}

// Caller is a refused caller that is to retry.
type Caller struct {
	// Priority is that of its request; 0 is the most urgent.
	Priority int
	// Earliest is when there is room, if no other caller waits.
	Earliest time.Time
	// Latest is when the caller retries at the latest, whatever Retry-After says.
	Latest time.Time
}

// Place returns when the caller is to retry: spacing after the last one of the same or a higher
// priority, but spacing after its Earliest at the soonest. A place after the caller's Latest is not used
// up, since the caller retries before it; the next caller gets the same one.
func (l *List) Place(c Caller, spacing time.Duration) time.Time {
	at := c.Earliest
	for priority, last := range l.last {
		if priority <= c.Priority && last.After(at) {
			at = last
		}
	}
	at = at.Add(spacing)
	if at.After(c.Latest) {
		return at
	}
	if l.last == nil {
		l.last = map[int]time.Time{}
	}
	l.last[c.Priority] = at
	return at
}
