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
	"basilcross.example/gateway/lane"
	"basilcross.example/gateway/view"
)

const (
	// minAttemptTime is the least time given to one attempt of a repeatable
	// request.
	minAttemptTime = 100 * time.Millisecond
	// minOverdueDelay and overdueFactor say when an answer is overdue: after
	// the longer of a fixed time and a multiple of the usual.
	minOverdueDelay = 250 * time.Millisecond
	overdueFactor   = 10
)

// route is where one attempt goes.
type route struct {
	lane     *lane.Lane
	target   *assignment.Target
	epoch    uint64
	snapshot *view.Snapshot
}

// attempt sends the request once.
func (f *Front) attempt(ctx context.Context, c *call) outcome {
	seen := f.View.Load()
	r, fail := f.route(seen, c)
	if fail != nil {
		fail.snapshot = seen
		return fail
	}
	release, err := r.lane.Slots.Acquire(ctx, *c.kind.Rules.Priority)
	if err != nil {
		return queueFailure(err)
	}
	out := f.send(ctx, c, r, release)
	if last, ok := out.(*failed); ok {
		last.snapshot = seen
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

// route finds the target of the request.
func (f *Front) route(s *view.Snapshot, c *call) (*route, *failed) {
	service := s.Services[c.service]
	if service == nil {
		return nil, newOwnerFailure(refusal.NoOwner, "the service has no assignment yet")
	}
	if service.ShardMap == nil {
		return f.chooseTarget(s, service)
	}
	sh, _ := service.ShardMap.Find(c.keyHash)
	f.Heat.Add(c.service, c.key, sh.First, *c.kind.Rules.Weight)
	target := service.Targets[sh.Owner]
	if target == nil || target.State == assignment.Lost {
		return nil, newOwnerFailure(refusal.NoOwner, "the key has no owner at present")
	}
	if sh.MovingTo != "" && !target.Fenced {
		// It would not refuse what comes late, and this gateway cannot know
		// when the next owner begins. Every gateway stops now, and the planner
		// waits until all have.
		return nil, newOwnerFailure(refusal.OwnerMoving, "the key is moving to another target")
	}
	return &route{lane: f.Lanes.Get(target), target: target, epoch: sh.Epoch, snapshot: s}, nil
}

func newOwnerFailure(cause refusal.Cause, detail string) *failed {
	e := refusal.New(cause, detail)
	e.RetryAfter = time.Second
	return &failed{refusal: e, retryWhen: retryOnNewOwner}
}

// send writes the request to the target and reads the answer's head.
func (f *Front) send(ctx context.Context, c *call, r *route, release func(slot.Result)) outcome {
	overdue := overdueDelay(r.lane)
	attemptCtx, cancel := f.attemptContext(ctx, c, overdue)
	body, length := c.newBodyReader()
	c.streamSent = c.streamSent || !c.buffered
	req := &pool.Request{
		Method:        c.method,
		RequestURI:    c.uri,
		Host:          c.host,
		Header:        c.header,
		Body:          body,
		ContentLength: length,
		RequireFresh:  !c.kind.Idempotent,
		OverdueAfter:  overdue,
		BeforeSend:    func(now time.Time) error { return f.checkAuthority(now, r) },
	}
	f.setTargetHeaders(req.Header, ctx, c, r)
	res, err := r.lane.Pool.Do(attemptCtx, req)
	if err != nil {
		cancel()
		return f.sendFailure(ctx, c, r, err, release)
	}
	if reason := grant.RefusalReason(res.Header.Get(grant.RefusedHeader)); reason != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedBody))
		_ = res.Body.Close()
		cancel()
		return refusedByTarget(reason, res, release)
	}
	out := &answered{response: res, done: func(whole bool) {
		_ = res.Body.Close()
		cancel()
		if whole {
			r.lane.RecordSuccess()
			release(slot.Answered)
			return
		}
		release(slot.Failed)
	}}
	return f.bufferResponse(c, r, out)
}

// attemptContext leaves time for another attempt where one is allowed: a
// connection that went silent must not eat up the whole deadline. The attempt
// is given up at twice the time at which the answer is overdue.
func (f *Front) attemptContext(ctx context.Context, c *call, overdue time.Duration) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !c.kind.Idempotent || !c.buffered || left < 2*minAttemptTime {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(left/2, 2*overdue))
}

// overdueDelay is when a target's answer is later than its usual time explains.
func overdueDelay(l *lane.Lane) time.Duration {
	usual := time.Duration(l.Slots.State().Latency * float64(time.Second))
	return max(minOverdueDelay, overdueFactor*usual)
}

// setTargetHeaders tells the target what the request is meant for.
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

// errNoAuthority stops a request to a target that does not check.
var errNoAuthority = errors.New("this instance has no authority to route to the target")

// checkAuthority is asked immediately before the first byte leaves. A target that
// checks is safe by its own lease; for others this instance's authority is all
// that keeps a request from a former owner.
func (f *Front) checkAuthority(now time.Time, r *route) error {
	if r.epoch == 0 || r.target.Fenced || f.Authority.Lease().Valid(now) {
		return nil
	}
	return errNoAuthority
}

// bufferResponse reads a short answer to its end, so that one cut short is found out
// before the caller has seen a byte of it.
func (f *Front) bufferResponse(c *call, r *route, out *answered) outcome {
	res := out.response
	if res.ContentLength < 0 || res.ContentLength > maxBufferedBody || c.method == http.MethodHead {
		return out
	}
	body, err := io.ReadAll(res.Body)
	out.done(err == nil)
	if err != nil {
		event.AnswerCut.Log(f.Log, "target", r.target.ID, "error", err)
		r.lane.RecordFailure(time.Now())
		return &failed{refusal: refusal.NewUnknown(refusal.AnswerCut, "the target's answer ended early"), retryWhen: c.retryIfBuffered()}
	}
	out.body, out.buffered = body, true
	return out
}

func (c *call) retryIfBuffered() retryCondition {
	if c.buffered {
		return retryNow
	}
	return noRetry
}

// sendFailure says what a request without an answer proves.
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

// retryAfterDialFailure waits for another owner where there is only one, and tries
// another target otherwise.
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
		r.lane.Pool.Invalidate(now)
	}
	if r.lane.RecordFailure(now) {
		event.TargetEjected.Log(f.Log, "target", r.target.ID)
	}
}

// refusedByTarget handles a target's own word that the request did not run.
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
