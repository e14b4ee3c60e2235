package entry

import (
	"context"
	"net/http"

	"basilcross.example/basilcross/refusal"
)

// IdempotencyKeyHeader is the caller's name for a request that must run at most once. The
// same name arriving again while the first request runs shares its one run.
const IdempotencyKeyHeader = "Idempotency-Key"

// sharedRun is a running request that others may wait for.
type sharedRun struct {
	done    chan struct{}
	outcome outcome
}

// runDeduplicated runs the request, or waits for one of the same name that is running at
// this gateway: the couple that clicks twice books once. Requests that reach
// different gateways are not joined; the target tells those by the same header.
func (f *Front) runDeduplicated(r *http.Request, c *call) outcome {
	name := r.Header.Get(IdempotencyKeyHeader)
	if name == "" || c.kind.Idempotent {
		return f.runWithDeadline(r.Context(), c)
	}
	name = c.service + "\x00" + c.kindName + "\x00" + c.key + "\x00" + name
	f.mu.Lock()
	first, running := f.inFlight[name]
	if running {
		f.mu.Unlock()
		return first.wait(r.Context())
	}
	mine := &sharedRun{done: make(chan struct{})}
	f.inFlight[name] = mine
	f.mu.Unlock()
	// The first caller may give up when its user clicks again; the second one
	// waits for this run, so it goes on to its own deadline.
	mine.outcome = f.runWithDeadline(context.WithoutCancel(r.Context()), c)
	f.mu.Lock()
	delete(f.inFlight, name)
	f.mu.Unlock()
	close(mine.done)
	return mine.outcome
}

// runWithDeadline runs the request within its deadline. What the answer still needs is
// held until the call's cancel.
func (f *Front) runWithDeadline(ctx context.Context, c *call) outcome {
	ctx, c.cancel = context.WithTimeout(ctx, c.deadline)
	return f.sendWithRetries(ctx, c)
}

// wait returns the outcome of the first request. A long answer is read by the
// first caller only.
func (s *sharedRun) wait(ctx context.Context) outcome {
	select {
	case <-s.done:
	case <-ctx.Done():
		return &failed{refusal: refusal.NewUnknown(refusal.CallerGone, "the caller has gone away")}
	}
	if out, ok := s.outcome.(*answered); ok && !out.buffered {
		return &failed{refusal: refusal.NewUnknown(refusal.DuplicateRunning, "the same request was answered on another connection")}
	}
	return s.outcome
}
