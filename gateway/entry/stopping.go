package entry

import (
	"context"
	"time"

	"basilcross.example/basilcross/refusal"
)

// stopTimes are the times of a stop: requests that arrive from late on are refused unless their deadline is before end,
// when requests without a response are canceled.
type stopTimes struct{ late, end time.Time }

// RefuseLate refuses requests that arrive after a time and may not be answered before Abort is called, at end: they
// would be cut off at work.
func (f *Front) RefuseLate(late, end time.Time) { f.stopping.Store(&stopTimes{late, end}) }

// refusedLate returns the refusal of a call that is not sent to a target any more.
func (f *Front) refusedLate(c *call) *refusal.Error {
	s, now := f.stopping.Load(), time.Now()
	if s == nil || now.Before(s.late) || now.Add(c.deadline).Before(s.end) {
		return nil
	}
	return refusal.New(refusal.Stopping, "the instance stops before the request's deadline")
}

// Abort cancels every request without a response and answers it with a refusal. It is
// called shortly before the process exits: a refusal is better than a closed connection.
func (f *Front) Abort() { f.abort() }

// withDeadline returns a context that ends with the call's deadline or at Abort.
func (f *Front) withDeadline(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	stop := context.AfterFunc(f.abortContext, cancel) //nolint:contextcheck // canceled at the process's exit, not by the request
	return ctx, func() {
		stop()
		cancel()
	}
}
