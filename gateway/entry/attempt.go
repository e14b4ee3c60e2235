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
	// minAttempt is the least time given to one attempt of a repeatable
	// request.
	minAttempt = 100 * time.Millisecond
	// overdueAfter and overdueFactor say when an answer is overdue: after
	// the longer of a fixed time and a multiple of the usual.
	overdueAfter  = 250 * time.Millisecond
	overdueFactor = 10
)

// route is where one attempt goes.
type route struct {
	lane   *lane.Lane
	target *assignment.Target
	epoch  uint64
	seen   *view.Snapshot
}

// attempt sends the request once.
func (f *Front) attempt(ctx context.Context, c *call) outcome {
	seen := f.View.Load()
	r, fail := f.route(seen, c)
	if fail != nil {
		fail.seen = seen
		return fail
	}
	release, err := r.lane.Slots.Acquire(ctx, *c.kind.Rules.Priority)
	if err != nil {
		return queueFailure(err)
	}
	out := f.send(ctx, c, r, release)
	if last, ok := out.(*failed); ok {
		last.seen = seen
	}
	return out
}

func queueFailure(err error) *failed {
	var full *slot.FullError
	var late *slot.LateError
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
		return nil, waitForOwner(refusal.NoOwner, "the service has no assignment yet")
	}
	if service.Map == nil {
		return f.choose(s, service)
	}
	sh, _ := service.Map.Find(c.hash)
	f.Heat.Add(c.service, c.key, sh.First, *c.kind.Rules.Weight)
	target := service.Targets[sh.Owner]
	if target == nil || target.State == assignment.Lost {
		return nil, waitForOwner(refusal.NoOwner, "the key has no owner at present")
	}
	if sh.MovingTo != "" && !target.Fenced {
		// It would not refuse what comes late, and this gateway cannot know
		// when the next owner begins. Every gateway stops now, and the planner
		// waits until all have.
		return nil, waitForOwner(refusal.OwnerMoving, "the key is moving to another target")
	}
	return &route{lane: f.Lanes.To(target), target: target, epoch: sh.Epoch, seen: s}, nil
}

func waitForOwner(cause refusal.Cause, detail string) *failed {
	e := refusal.New(cause, detail)
	e.RetryAfter = time.Second
	return &failed{refusal: e, wait: forOwner}
}

// send writes the request to the target and reads the answer's head.
func (f *Front) send(ctx context.Context, c *call, r *route, release func(slot.Result)) outcome {
	overdue := overdue(r.lane)
	attemptCtx, cancel := f.attemptContext(ctx, c, overdue)
	body, length := c.reader()
	c.sent = c.sent || !c.buffered
	req := &pool.Request{
		Method:   c.method,
		RequestURI:   c.uri,
		Host:     c.host,
		Header:   c.header,
		Body:     body,
		ContentLength:   length,
		RequireFresh:   !c.kind.Idempotent,
		OverdueAfter: overdue,
		BeforeSend:   func(now time.Time) error { return f.mayRoute(now, r) },
	}
	f.address(req.Header, ctx, c, r)
	res, err := r.lane.Pool.Do(attemptCtx, req)
	if err != nil {
		cancel()
		return f.sendFailure(ctx, c, r, err, release)
	}
	if reason := grant.RefusalReason(res.Header.Get(grant.RefusedHeader)); reason != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, bufferLimit))
		_ = res.Body.Close()
		cancel()
		return refusedByTarget(reason, res, release)
	}
	out := &answered{response: res, done: func(whole bool) {
		_ = res.Body.Close()
		cancel()
		if whole {
			r.lane.Succeeded()
			release(slot.Answered)
			return
		}
		release(slot.Failed)
	}}
	return f.buffer(c, r, out)
}

// attemptContext leaves time for another attempt where one is allowed: a
// connection that went silent must not eat up the whole deadline. The attempt
// is given up at twice the time at which the answer is overdue.
func (f *Front) attemptContext(ctx context.Context, c *call, overdue time.Duration) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !c.kind.Idempotent || !c.buffered || left < 2*minAttempt {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(left/2, 2*overdue))
}

// overdue is when a target's answer is later than its usual time explains.
func overdue(l *lane.Lane) time.Duration {
	usual := time.Duration(l.Slots.State().Latency * float64(time.Second))
	return max(overdueAfter, overdueFactor*usual)
}

// address tells the target what the request is meant for.
func (f *Front) address(h http.Header, ctx context.Context, c *call, r *route) {
	if r.epoch != 0 {
		h.Set(grant.EpochHeader, strconv.FormatUint(r.epoch, 10))
		h.Set(grant.HashHeader, strconv.FormatUint(c.hash, 16))
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		h.Set(grant.DeadlineHeader, strconv.FormatInt(left, 10))
	}
}

// errNoAuthority stops a request to a target that does not check.
var errNoAuthority = errors.New("this instance has no authority to route to the target")

// mayRoute is asked immediately before the first byte leaves. A target that
// checks is safe by its own lease; for others this instance's authority is all
// that keeps a request from a former owner.
func (f *Front) mayRoute(now time.Time, r *route) error {
	if r.epoch == 0 || r.target.Fenced || f.Authority.Lease().Valid(now) {
		return nil
	}
	return errNoAuthority
}

// buffer reads a short answer to its end, so that one cut short is found out
// before the caller has seen a byte of it.
func (f *Front) buffer(c *call, r *route, out *answered) outcome {
	res := out.response
	if res.ContentLength < 0 || res.ContentLength > bufferLimit || c.method == http.MethodHead {
		return out
	}
	body, err := io.ReadAll(res.Body)
	out.done(err == nil)
	if err != nil {
		event.AnswerCut.Log(f.Log, "target", r.target.ID, "error", err)
		r.lane.Failed(time.Now())
		return &failed{refusal: refusal.Doubt(refusal.AnswerCut, "the target's answer ended early"), wait: c.ifRepeatable()}
	}
	out.body, out.buffered = body, true
	return out
}

func (c *call) ifRepeatable() waitFor {
	if c.buffered {
		return atOnce
	}
	return notAgain
}

// sendFailure says what a request without an answer proves.
func (f *Front) sendFailure(ctx context.Context, c *call, r *route, err error, release func(slot.Result)) outcome {
	release(slot.Failed)
	var pe *pool.Error
	if !errors.As(err, &pe) {
		return &failed{refusal: refusal.Doubt(refusal.TargetSilent, err.Error())}
	}
	if errors.Is(err, errNoAuthority) {
		return waitForOwner(refusal.NoAuthority, errNoAuthority.Error())
	}
	callerGone := errors.Is(ctx.Err(), context.Canceled)
	if !callerGone {
		f.noteFailure(r, pe)
	}
	switch {
	case pe.Stage == pool.Dialing:
		e := refusal.New(refusal.ConnectFailed, "no connection to the target")
		e.RetryAfter = time.Second
		return &failed{refusal: e, wait: c.afterDial(r)}
	case !pe.Wrote:
		return &failed{refusal: refusal.New(refusal.ConnectFailed, "the connection broke before anything was sent"), wait: c.ifRepeatable()}
	case isDeadline(pe.Cause):
		return &failed{refusal: refusal.Doubt(refusal.TargetSilent, "the target gave no answer in time"), wait: c.ifRepeatable()}
	default:
		return &failed{refusal: refusal.Doubt(refusal.AnswerCut, "the connection broke before the answer"), wait: c.ifRepeatable()}
	}
}

// afterDial waits for another owner where there is only one, and tries
// another target otherwise.
func (c *call) afterDial(r *route) waitFor {
	if r.epoch != 0 {
		return forOwner
	}
	return c.ifRepeatable()
}

func (f *Front) noteFailure(r *route, pe *pool.Error) {
	now := time.Now()
	if pe.Stage == pool.Waiting && isDeadline(pe.Cause) {
		event.TargetSilent.Log(f.Log, "target", r.target.ID)
		r.lane.Pool.Invalidate(now)
	}
	if r.lane.Failed(now) {
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
		return &failed{refusal: e, wait: forSlot}
	case grant.Leaving:
		release(slot.Failed)
		return &failed{refusal: refusal.New(refusal.NotOwner, "the target is leaving"), wait: forOwner}
	case grant.Moved:
		release(slot.Failed)
		return waitForOwner(refusal.OwnerMoving, "the key is moving to another target")
	default:
		release(slot.Failed)
		return waitForOwner(refusal.NotOwner, "the target does not own the key: "+string(reason))
	}
}

func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
