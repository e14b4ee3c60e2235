// Package entry proxies callers' requests to targets, with retries, and forwards
// the complete response or a refusal that states whether the request may have run.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/retry"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/keyload"
	"basilcross.example/gateway/upstream"
	"basilcross.example/gateway/view"
)

// Options configure a Front; all fields must be set.
type Options struct {
	Zone      string
	Region    string
	View      *view.View
	Authority *authority.Authority
	Upstreams *upstream.Set
	Loads     *keyload.Collector
	Metrics   *Metrics
	Log       *slog.Logger
}

// Front is the HTTP handler for callers' requests.
type Front struct {
	Options

	mux *http.ServeMux
	// attempts counts the attempts of all requests; their numbers are their IDs.
	attempts atomic.Uint64
	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	inFlight map[string]*sharedRun

	// stopping is nil until the instance stops.
	stopping     atomic.Pointer[stopTimes]
	abortContext context.Context
	abort        context.CancelFunc
}

// New returns a Front that serves /{service}/{kind}/{key}.
func New(o Options) *Front {
	f := &Front{Options: o, mux: http.NewServeMux(), budgets: map[string]*retry.Budget{}, inFlight: map[string]*sharedRun{}}
	f.abortContext, f.abort = context.WithCancel(context.Background())
	f.mux.HandleFunc("/{service}/{kind}/{key...}", f.serve)
	return f
}

// ServeHTTP forwards the request to a target of the service in its path.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mux.ServeHTTP(w, r)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c, refused := f.readCall(r)
	if refused == nil {
		refused = f.refusedLate(c)
	}
	if refused != nil {
		f.writeRefusal(w, c, refused, start)
		return
	}
	if !c.buffered && r.ProtoMajor == 1 {
		// Otherwise the server discards a part of the body before it writes a response, while the rest is sent to the
		// target.
		_ = http.NewResponseController(w).EnableFullDuplex()
		w = &streamedResponse{ResponseWriter: w, call: c}
	}
	switch out := f.runDeduplicated(r, c).(type) {
	case *answered:
		f.writeResponse(w, c, out, start)
	case *failed:
		f.writeRefusal(w, c, f.finalRefusal(r, out), start)
	}
	c.cancel()
}

// finalRefusal returns the refusal for the last failed attempt. A caller that
// disconnected is counted under its own cause in the metrics.
func (f *Front) finalRefusal(r *http.Request, out *failed) *refusal.Error {
	if r.Context().Err() != nil {
		return &refusal.Error{Cause: refusal.CallerGone, Outcome: out.refusal.Outcome, Detail: "the caller has gone away"}
	}
	return out.refusal
}

func (f *Front) writeRefusal(w http.ResponseWriter, c *call, refused *refusal.Error, start time.Time) {
	f.Metrics.refused(c, refused, start)
	refused.Write(w)
}

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

// sendWithRetries sends the request until it is answered or no retry is
// allowed. Once the outcome of one attempt is unknown, so is that of the whole
// request, even if later attempts certainly did not run.
func (f *Front) sendWithRetries(ctx context.Context, c *call) outcome {
	unknown := false
	for attempt := 0; ; attempt++ {
		out := f.attempt(ctx, c)
		last, isFailed := out.(*failed)
		if !isFailed {
			f.budget(c.service).Deposit()
			return out
		}
		unknown = unknown || last.refusal.Outcome == refusal.Unknown
		if unknown {
			last.refusal.Outcome = refusal.Unknown
		}
		if !f.prepareRetry(ctx, c, last, attempt) {
			return last
		}
		f.Metrics.retried(c, last.refusal.Cause)
	}
}

// prepareRetry reports whether a failed request may be retried, after waiting
// until a retry can succeed.
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
		// Waiting puts no load on targets, so it is limited by time and
		// not by the retry budget.
		return f.awaitOwner(ctx, c, last.snapshot)
	case retryOnFreeSlot:
		if !c.backOffAfterShed(ctx) {
			return false
		}
	case retryNow:
	}
	return attempt < *c.kind.Rules.Retries && f.budget(c.service).TryWithdraw()
}

// awaitOwner waits for a newer snapshot than that of the failed attempt, at most
// for ownerPollInterval; false if ownerWaitEnd has passed or ctx has ended.
func (f *Front) awaitOwner(ctx context.Context, c *call, snapshot *view.Snapshot) bool {
	left := time.Until(c.ownerWaitEnd)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, ownerPollInterval))
	defer timer.Stop()
	select {
	case <-snapshot.Changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// outcome is the result of one attempt: answered or failed.
type outcome interface{ isOutcome() }

// answered is a target's response. Its header has been read, and its body too
// if buffered is set.
type answered struct {
	response *http.Response
	body     []byte
	buffered bool
	// done closes the body and frees the slot.
	done func(complete bool)
}

// failed is an attempt without a response for the caller.
type failed struct {
	refusal   *refusal.Error
	retryWhen retryCondition
	snapshot  *view.Snapshot
}

func (*answered) isOutcome() {}
func (*failed) isOutcome()   {}

// retryCondition is what a retry has to wait for.
type retryCondition int

const (
	noRetry retryCondition = iota
	retryNow
	retryOnNewOwner
	retryOnFreeSlot
)

func isDeadlineExceeded(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
