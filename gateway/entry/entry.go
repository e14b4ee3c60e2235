// Package entry serves callers: it finds the target of each request, sends it
// there within the limits, and passes on the whole answer or an honest refusal.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/retry"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/heat"
	"basilcross.example/gateway/lane"
	"basilcross.example/gateway/view"
)

// Options are what a Front needs; all fields must be set.
type Options struct {
	Zone      string
	Region    string
	View      *view.View
	Authority *authority.Authority
	Lanes     *lane.Set
	Heat      *heat.Collector
	Metrics   *Metrics
	Log       *slog.Logger
}

// Front is the handler for callers' requests.
type Front struct {
	Options

	mux      *http.ServeMux
	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	inFlight map[string]*sharedRun
}

// New returns a handler.
func New(o Options) *Front {
	f := &Front{Options: o, mux: http.NewServeMux(), budgets: map[string]*retry.Budget{}, inFlight: map[string]*sharedRun{}}
	f.mux.HandleFunc("/{service}/{kind}/{key...}", f.serve)
	return f
}

// ServeHTTP serves /{service}/{kind}/{key}.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mux.ServeHTTP(w, r)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	c, refused := f.readCall(r)
	if refused != nil {
		f.writeRefusal(w, c, refused, began)
		return
	}
	switch out := f.runDeduplicated(r, c).(type) {
	case *answered:
		f.writeResponse(w, c, out, began)
	case *failed:
		f.writeRefusal(w, c, f.finalRefusal(r, out), began)
	}
	c.cancel()
}

// finalRefusal turns the last failure into the caller's refusal. A caller that has
// gone away gets a cause of its own, for the metrics.
func (f *Front) finalRefusal(r *http.Request, out *failed) *refusal.Error {
	if r.Context().Err() != nil {
		return &refusal.Error{Cause: refusal.CallerGone, Outcome: out.refusal.Outcome, Detail: "the caller has gone away"}
	}
	return out.refusal
}

func (f *Front) writeRefusal(w http.ResponseWriter, c *call, refused *refusal.Error, began time.Time) {
	f.Metrics.refused(c, refused, began)
	refused.Write(w)
}

// budget returns the retry budget of a service.
func (f *Front) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[service]
	if !ok {
		b = &retry.Budget{}
		f.budgets[service] = b
	}
	return b
}

// sendWithRetries sends the request until it is answered or given up.
//
// An attempt that may have run makes the whole request one that may have run,
// whatever later attempts prove about themselves.
func (f *Front) sendWithRetries(ctx context.Context, c *call) outcome {
	doubt := false
	for attempt := 0; ; attempt++ {
		out := f.attempt(ctx, c)
		last, isFailed := out.(*failed)
		if !isFailed {
			f.budget(c.service).Deposit()
			return out
		}
		doubt = doubt || last.refusal.Outcome == refusal.Unknown
		if doubt {
			last.refusal.Outcome = refusal.Unknown
		}
		if !f.prepareRetry(ctx, c, last, attempt) {
			return last
		}
		f.Metrics.retried(c, last.refusal.Cause)
	}
}

// prepareRetry decides whether a failed request is sent once more, and waits until
// that is worth while.
func (f *Front) prepareRetry(ctx context.Context, c *call, last *failed, attempt int) bool {
	if ctx.Err() != nil {
		return false
	}
	if last.refusal.Outcome != refusal.DidNotRun && !c.kind.Idempotent {
		return false
	}
	switch last.retryWhen {
	case noRetry:
		return false
	case retryOnNewOwner:
		// Costs the targets nothing, so it is bounded by time and not by
		// the budget.
		return f.awaitOwner(ctx, c, last.snapshot)
	case retryOnFreeSlot:
		if !c.backOffAfterShed(ctx) {
			return false
		}
	case retryNow:
	}
	return attempt < *c.kind.Rules.Retries && f.budget(c.service).TryWithdraw()
}

// awaitOwner waits for a newer assignment than the one that misled.
func (f *Front) awaitOwner(ctx context.Context, c *call, seen *view.Snapshot) bool {
	left := time.Until(c.ownerWaitEnd)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, ownerPollInterval))
	defer timer.Stop()
	select {
	case <-seen.Changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// outcome is how one attempt ended: answered or failed.
type outcome interface{ isOutcome() }

// answered is a target's answer whose head has arrived, and whose body too if
// it is short.
type answered struct {
	response *http.Response
	body     []byte
	buffered bool
	done     func(whole bool)
}

// failed is an attempt without an answer for the caller.
type failed struct {
	refusal   *refusal.Error
	retryWhen retryCondition
	snapshot  *view.Snapshot
}

func (*answered) isOutcome() {}
func (*failed) isOutcome()   {}

// retryCondition says what has to happen before another attempt makes sense.
type retryCondition int

const (
	noRetry retryCondition = iota
	retryNow
	retryOnNewOwner
	retryOnFreeSlot
)

func isDeadlineExceeded(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
