package entry

import (
	"context"
	"net/http"

	"basilcross.example/basilcross/refusal"
)

// IdempotencyKeyHeader has the caller's key for a request that must run at most
// once. A request with the key of one still running shares that one's run.
const IdempotencyKeyHeader = "Idempotency-Key"

// sharedRun is a running request whose outcome duplicates wait for.
type sharedRun struct {
	done    chan struct{}
	outcome outcome
}

// runDeduplicated runs the request, or waits for one with the same idempotency
// key that is running at this gateway. Duplicates at different gateways are not
// merged; the target detects those by the same header.
func (f *Front) runDeduplicated(r *http.Request, c *call) outcome {
	key := r.Header.Get(IdempotencyKeyHeader)
	if key == "" || c.kind.Idempotent {
		return f.runWithDeadline(r.Context(), c)
	}
	key = c.service + "\x00" + c.kindName + "\x00" + c.key + "\x00" + key
	f.mu.Lock()
	first, running := f.inFlight[key]
	if running {
		f.mu.Unlock()
		return first.wait(r.Context())
	}
	run := &sharedRun{done: make(chan struct{})}
	f.inFlight[key] = run
	f.mu.Unlock()
	// The first caller may disconnect when its user submits again; the
	// duplicate waits for this run, so it continues until its own deadline.
	run.outcome = f.runWithDeadline(context.WithoutCancel(r.Context()), c)
	f.mu.Lock()
	delete(f.inFlight, key)
	f.mu.Unlock()
	close(run.done)
	return run.outcome
}

// runWithDeadline runs the request within its deadline. The context stays open
// for the response's body until the call's cancel.
func (f *Front) runWithDeadline(ctx context.Context, c *call) outcome {
	ctx, c.cancel = f.withDeadline(ctx, c)
	return f.sendWithRetries(ctx, c)
}

// wait returns the outcome of the first request. A response that is not buffered
// goes to the first caller only.
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
