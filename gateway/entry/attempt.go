package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/slot"
	"basilcross.example/gateway/upstream"
	"basilcross.example/gateway/view"
)

const (
	// minAttemptTime is the shortest timeout of an attempt that may be retried.
	minAttemptTime = 100 * time.Millisecond
	// A response is overdue after the longer of minOverdueDelay and
	// overdueFactor times the target's normal latency.
	minOverdueDelay = 250 * time.Millisecond
	overdueFactor   = 10
)

// route is the destination of one attempt.
type route struct {
	upstream *upstream.Upstream
	target   *assignment.Target
	epoch    uint64
	snapshot *view.Snapshot
}

// attempt routes the request, waits for a slot and sends it once.
func (f *Front) attempt(ctx context.Context, c *call) outcome {
	snapshot := f.View.Load()
	r, fail := f.route(snapshot, c)
	if fail != nil {
		fail.snapshot = snapshot
		return fail
	}
	release, err := r.upstream.Slots.Acquire(ctx, *c.kind.Rules.Priority)
	if err != nil {
		return queueFailure(err)
	}
	out := f.send(ctx, c, r, release)
	if last, ok := out.(*failed); ok {
		last.snapshot = snapshot
	}
	return out
}

func queueFailure(err error) *failed {
	var full *slot.QueueFullError
	var late *slot.WaitTooLongError
	if errors.As(err, &full) || errors.As(err, &late) {
		e := refusal.New(refusal.QueueFull, "too many requests wait for the target")
		e.RetryAfter = time.Second
		return &failed{refusal: e}
	}
	return &failed{refusal: refusal.New(refusal.DeadlinePassed, "the deadline passed while waiting for a slot")}
}

// route returns the target of the request, or why there is none.
func (f *Front) route(s *view.Snapshot, c *call) (*route, *failed) {
	service := s.Services[c.service]
	if service == nil {
		return nil, newOwnerFailure(refusal.NoOwner, "the service has no assignment yet")
	}
	if service.ShardMap == nil {
		return f.chooseTarget(s, service)
	}
	sh, _ := service.ShardMap.Find(c.keyHash)
	f.Loads.Add(c.service, c.key, sh.First, *c.kind.Rules.Weight)
	target := service.Targets[sh.Owner]
	if target == nil || target.State == assignment.Lost {
		return nil, newOwnerFailure(refusal.NoOwner, "the key has no owner at present")
	}
	if sh.MovingTo != "" && !target.Fenced {
		// An unfenced target does not refuse late requests, and this gateway
		// cannot determine when the next owner starts. Every gateway stops
		// now, and the planner waits until all have stopped.
		return nil, newOwnerFailure(refusal.OwnerMoving, "the key is moving to another target")
	}
	return &route{upstream: f.Upstreams.Get(target), target: target, epoch: sh.Epoch, snapshot: s}, nil
}

func newOwnerFailure(cause refusal.Cause, detail string) *failed {
	e := refusal.New(cause, detail)
	e.RetryAfter = time.Second
	return &failed{refusal: e, retryWhen: retryOnNewOwner}
}

// send writes the request to the target and reads the response's header.
func (f *Front) send(ctx context.Context, c *call, r *route, release func(slot.Result)) outcome {
	overdueAfter := overdueDelay(r.upstream)
	attemptCtx, cancel := f.attemptContext(ctx, c, overdueAfter)
	body, length := c.newBodyReader()
	c.streamSent = c.streamSent || !c.buffered
	req := &pool.Request{
		Method:        c.method,
		RequestURI:    c.uri,
		Host:          c.host,
		Header:        c.header,
		Body:          body,
		ContentLength: length,
		IDHeader:      grant.AttemptHeader,
		ID:            strconv.FormatUint(f.attempts.Add(1), 36),
		RequireFresh:  !c.kind.Idempotent,
		OverdueAfter:  overdueAfter,
		BeforeSend:    func(now time.Time) error { return f.checkAuthority(now, r) },
	}
	f.setTargetHeaders(req.Header, ctx, c, r)
	req.Header.Set(grant.AttemptHeader, req.ID)
	res, err := r.upstream.Pool.Do(attemptCtx, req)
	if err != nil {
		cancel()
		return f.sendFailure(ctx, c, r, err, release)
	}
	res.Header.Del(grant.AttemptHeader)
	if reason := grant.RefusalReason(res.Header.Get(grant.RefusedHeader)); reason != "" {
		err := pool.Discard(res, maxBufferedBody)
		cancel()
		if err != nil {
			release(slot.Failed)
			return f.responseCut(c, r, err)
		}
		return refusedByTarget(reason, res, release)
	}
	out := &answered{response: res, done: func(complete bool) {
		_ = res.Body.Close()
		cancel()
		if complete {
			r.upstream.RecordSuccess()
			release(slot.Answered)
			return
		}
		release(slot.Failed)
	}}
	return f.bufferResponse(c, r, out)
}

// attemptContext leaves time for a retry where one is allowed, so that an
// unresponsive connection does not use up the whole deadline. The attempt times
// out at twice the overdue delay.
func (f *Front) attemptContext(ctx context.Context, c *call, overdueAfter time.Duration) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !c.kind.Idempotent || !c.buffered || left < 2*minAttemptTime {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(left/2, 2*overdueAfter))
}

// overdueDelay returns the time after which a target's response is overdue.
func overdueDelay(u *upstream.Upstream) time.Duration {
	normal := time.Duration(u.Slots.State().Latency * float64(time.Second))
	return max(minOverdueDelay, overdueFactor*normal)
}

// setTargetHeaders sets the remaining time in ms and, for a sharded service, the epoch
// and the key's hash.
func (f *Front) setTargetHeaders(h http.Header, ctx context.Context, c *call, r *route) {
	if r.epoch != 0 {
		h.Set(grant.EpochHeader, strconv.FormatUint(r.epoch, 10))
		h.Set(grant.HashHeader, strconv.FormatUint(c.keyHash, 16))
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		h.Set(grant.DeadlineHeader, strconv.FormatInt(left, 10))
	}
}

// errNoAuthority stops a request to an unfenced target.
var errNoAuthority = errors.New("this instance has no authority to route to the target")

// checkAuthority runs immediately before the first byte is written. A fenced
// target protects itself by its own lease; for an unfenced one, only this
// instance's authority prevents requests to a former owner.
func (f *Front) checkAuthority(now time.Time, r *route) error {
	if r.epoch == 0 || r.target.Fenced || f.Authority.Lease().Valid(now) {
		return nil
	}
	return errNoAuthority
}

// bufferResponse reads a short response completely, so that a truncated one is
// detected before the caller receives any of it.
func (f *Front) bufferResponse(c *call, r *route, out *answered) outcome {
	res := out.response
	if res.ContentLength < 0 || res.ContentLength > maxBufferedBody || c.method == http.MethodHead {
		return out
	}
	body, err := io.ReadAll(res.Body)
	out.done(err == nil)
	if err != nil {
		return f.responseCut(c, r, err)
	}
	out.body, out.buffered = body, true
	return out
}

// responseCut returns the outcome of a request whose response is not whole: the target may have run it, whatever the
// response's head says.
func (f *Front) responseCut(c *call, r *route, err error) outcome {
	event.AnswerCut.Log(f.Log, "target", r.target.ID, "error", err)
	r.upstream.RecordFailure(time.Now())
	return &failed{refusal: refusal.NewUnknown(refusal.AnswerCut, "the target's answer ended early"), retryWhen: c.retryIfBuffered()}
}

func (c *call) retryIfBuffered() retryCondition {
	if c.buffered {
		return retryNow
	}
	return noRetry
}

// sendFailure determines whether a request without a response may have run.
func (f *Front) sendFailure(ctx context.Context, c *call, r *route, err error, release func(slot.Result)) outcome {
	release(slot.Failed)
	var pe *pool.Error
	if !errors.As(err, &pe) {
		return &failed{refusal: refusal.NewUnknown(refusal.TargetSilent, err.Error())}
	}
	if errors.Is(err, errNoAuthority) {
		return newOwnerFailure(refusal.NoAuthority, errNoAuthority.Error())
	}
	callerGone := errors.Is(ctx.Err(), context.Canceled)
	if !callerGone {
		f.recordFailure(r, pe)
	}
	switch {
	case pe.Stage == pool.Dialing:
		e := refusal.New(refusal.ConnectFailed, "no connection to the target")
		e.RetryAfter = time.Second
		return &failed{refusal: e, retryWhen: c.retryAfterDialFailure(r)}
	case !pe.Wrote:
		return &failed{refusal: refusal.New(refusal.ConnectFailed, "the connection broke before anything was sent"), retryWhen: c.retryIfBuffered()}
	case isDeadlineExceeded(pe.Cause):
		return &failed{refusal: refusal.NewUnknown(refusal.TargetSilent, "the target gave no answer in time"), retryWhen: c.retryIfBuffered()}
	default:
		return &failed{refusal: refusal.NewUnknown(refusal.AnswerCut, "the connection broke before the answer"), retryWhen: c.retryIfBuffered()}
	}
}

// retryAfterDialFailure waits for the next owner of a sharded service's key;
// otherwise another target can be tried now.
func (c *call) retryAfterDialFailure(r *route) retryCondition {
	if r.epoch != 0 {
		return retryOnNewOwner
	}
	return c.retryIfBuffered()
}

func (f *Front) recordFailure(r *route, pe *pool.Error) {
	now := time.Now()
	if pe.Stage == pool.Waiting && isDeadlineExceeded(pe.Cause) {
		event.TargetSilent.Log(f.Log, "target", r.target.ID)
		r.upstream.Pool.Invalidate(now)
	}
	if r.upstream.RecordFailure(now) {
		event.TargetEjected.Log(f.Log, "target", r.target.ID)
	}
}

// refusedByTarget handles a target's report that the request did not run.
func refusedByTarget(reason grant.RefusalReason, res *http.Response, release func(slot.Result)) *failed {
	switch reason {
	case grant.Shed:
		release(slot.Shed)
		e := refusal.New(refusal.TargetShed, "the target has no free slot")
		e.RetryAfter = max(time.Second, retryAfter(res))
		return &failed{refusal: e, retryWhen: retryOnFreeSlot}
	case grant.Leaving:
		release(slot.Failed)
		return &failed{refusal: refusal.New(refusal.NotOwner, "the target is leaving"), retryWhen: retryOnNewOwner}
	case grant.Moved:
		release(slot.Failed)
		return newOwnerFailure(refusal.OwnerMoving, "the key is moving to another target")
	default:
		release(slot.Failed)
		return newOwnerFailure(refusal.NotOwner, "the target does not own the key: "+string(reason))
	}
}

func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
