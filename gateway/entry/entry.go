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

	mux     *http.ServeMux
	mu      sync.Mutex
	budgets map[string]*retry.Budget
	running map[string]*shared
}

// New returns a handler.
func New(o Options) *Front {
	f := &Front{Options: o, mux: http.NewServeMux(), budgets: map[string]*retry.Budget{}, running: map[string]*shared{}}
	f.mux.HandleFunc("/{service}/{kind}/{key...}", f.serve)
	return f
}

// ServeHTTP serves /{service}/{kind}/{key}.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mux.ServeHTTP(w, r)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	c, refused := f.accept(r)
	if refused != nil {
		f.refuse(w, c, refused, began)
		return
	}
	switch out := f.once(r, c).(type) {
	case *answered:
		f.pass(w, c, out, began)
	case *failed:
		f.refuse(w, c, f.final(r, out), began)
	}
	c.cancel()
}

// final turns the last failure into the caller's refusal. A caller that has
// gone away gets a cause of its own, for the metrics.
func (f *Front) final(r *http.Request, out *failed) *refusal.Error {
	if r.Context().Err() != nil {
		return &refusal.Error{Cause: refusal.CallerGone, Outcome: out.refusal.Outcome, Detail: "the caller has gone away"}
	}
	return out.refusal
}

func (f *Front) refuse(w http.ResponseWriter, c *call, refused *refusal.Error, began time.Time) {
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

// run sends the request until it is answered or given up.
//
// An attempt that may have run makes the whole request one that may have run,
// whatever later attempts prove about themselves.
func (f *Front) run(ctx context.Context, c *call) outcome {
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
		if !f.again(ctx, c, last, attempt) {
			return last
		}
		f.Metrics.retried(c, last.refusal.Cause)
	}
}

// again decides whether a failed request is sent once more, and waits until
// that is worth while.
func (f *Front) again(ctx context.Context, c *call, last *failed, attempt int) bool {
	if ctx.Err() != nil {
		return false
	}
	if last.refusal.Outcome != refusal.DidNotRun && !c.kind.Idempotent {
		return false
	}
	switch last.wait {
	case notAgain:
		return false
	case forOwner:
		// Costs the targets nothing, so it is bounded by time and not by
		// the budget.
		return f.awaitOwner(ctx, c, last.seen)
	case forSlot:
		if !c.shedWait(ctx) {
			return false
		}
	case atOnce:
	}
	return attempt < *c.kind.Rules.Retries && f.budget(c.service).TryWithdraw()
}

// awaitOwner waits for a newer assignment than the one that misled.
func (f *Front) awaitOwner(ctx context.Context, c *call, seen *view.Snapshot) bool {
	left := time.Until(c.ownerUntil)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, ownerPoll))
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
	refusal *refusal.Error
	wait    waitFor
	seen    *view.Snapshot
}

func (*answered) isOutcome() {}
func (*failed) isOutcome()   {}

// waitFor says what has to happen before another attempt makes sense.
type waitFor int

const (
	notAgain waitFor = iota
	atOnce
	forOwner
	forSlot
)

func isDeadline(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
