package front

import "time"

// retryAfterStopping is sent by an instance that stops: new connections go to others.
const retryAfterStopping = 50 * time.Millisecond

// stopTimes are the times of a stop: requests that arrive from late on are refused unless their deadline is before end,
// when requests without a response are canceled.
type stopTimes struct{ late, end time.Time }

// Close makes every further response close its connection.
func (f *Front) Close() { f.keepAliveDisabled.Store(true) }

// RefuseLate refuses requests that have arrived completely after a time and may not be answered before Abort is
// called, at end: they would be cut off at work.
func (f *Front) RefuseLate(late, end time.Time) { f.stopping.Store(&stopTimes{late, end}) }

// refusedLate returns the refusal of a call that is not sent to a target any more.
func (f *Front) refusedLate(c *call) *refusal {
	s := f.stopping.Load()
	if s == nil || time.Now().Before(s.late) || c.deadline.Before(s.end) {
		return nil
	}
	r := newNotRun("stopping", retryAfterStopping)
	r.final = true
	return r
}

// Abort cancels every request without a response and answers it with a refusal. It is
// called shortly before the process exits: a refusal is better than a closed connection.
func (f *Front) Abort() { f.abort() }
