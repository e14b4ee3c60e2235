package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/broker"
)

const (
	// bufferLimit is the size up to which a response body is buffered, so that a
	// truncated response is detected before any of it is sent to the caller.
	bufferLimit = 256 << 10
	// refusalLimit bounds the body of a response that states that the request was not executed, in bytes. It is
	// read to its end and not forwarded.
	refusalLimit = 64 << 10
)

type targetResponse struct {
	head *http.Response
	// body is the body's first bytes, at most bufferLimit.
	body []byte
	// rest reads the remainder of a body of bufferLimit bytes or more; nil for others.
	rest io.Reader
	// finish closes the body and releases the slot; it is set if rest is.
	finish func(complete bool)
}

// attempt reserves a slot at a target and sends the request to it once, or sends the request
// through another instance if this one's links are down.
func (f *Front) attempt(ctx context.Context, c *call) (*targetResponse, *refusal) {
	if refused := f.quarantined(c); refused != nil {
		return nil, refused
	}
	if f.mustForward(c) {
		return f.forward(ctx, c)
	}
	c.carrier = ""
	if !c.counted {
		c.counted = true
		f.budget(c.service).Deposit()
		f.Metrics.deposits.WithLabelValues(c.service).Inc()
	}
	request := schedule.Request{
		Service: c.service, Kind: c.kind(), Excluded: f.excludedTargets(c), Priority: c.route.Priority,
		Objective: c.objective(), Deadline: c.deadline, Regions: c.route.Regions,
	}
	start := time.Now()
	reservation, failed := f.reserve(ctx, c, &request)
	c.queueTime += time.Since(start)
	if failed != nil {
		return f.withoutReservation(ctx, c, failed)
	}
	if refused := f.checkReservation(c, reservation, &request); refused != nil {
		reservation.Release(schedule.Abandoned)
		return nil, refused
	}
	if !f.mayConnect(c, reservation.Target) {
		reservation.Release(schedule.Abandoned)
		return f.passOver(ctx, c, reservation.Target)
	}
	if !f.payRetry(c) {
		reservation.Release(schedule.Abandoned)
		return nil, newRetryDenied(c)
	}
	if wait, ok := f.Withdrawn.Admit(time.Now(), reservation.Target.Incarnation(), c.sharded); !ok {
		reservation.Release(schedule.Abandoned)
		return f.passOverWithdrawn(ctx, c, reservation.Target, wait)
	}
	c.sends++
	c.lastTarget = reservation.Target.ID
	return f.send(ctx, c, reservation)
}

// withoutReservation sends a call that got no slot through another instance, if that may serve it.
func (f *Front) withoutReservation(ctx context.Context, c *call, failed *refusal) (*targetResponse, *refusal) {
	switch {
	case failed.linkDown, failed.cause == "noTarget" && !c.declined && f.Links.Down(time.Now(), c.service):
		return f.forward(ctx, c)
	case failed.restsFor > 0:
		return f.sendElsewhere(ctx, c, failed.restsFor)
	}
	return nil, failed
}

// checkReservation returns a refusal if the call must not be sent to the reserved target: things may
// have changed while it waited for the slot.
func (f *Front) checkReservation(c *call, reservation *broker.Reservation, request *schedule.Request) *refusal {
	if err := f.Broker.Check(reservation.Target, request); err != nil {
		return f.reservationRefused(c, err)
	}
	if refused := f.quarantined(c); refused != nil {
		return refused
	}
	if c.sharded && c.lastRunTarget == reservation.Target.ID && f.ownerChangedSinceRun(c, reservation) {
		// The key had another owner since the first run. Two runs at the same target
		// would look like one run, during which the key changed its owner.
		return &refusal{status: http.StatusBadGateway, cause: "ranBefore", mayHaveRun: true, final: true}
	}
	return nil
}

// passOver forwards a call whose target this instance does not reach, or makes the next attempt choose
// another target, if any may serve the call.
func (f *Front) passOver(ctx context.Context, c *call, t *roster.Target) (*targetResponse, *refusal) {
	if c.sharded || c.from == "" && f.Links.Down(time.Now(), c.service) {
		return f.forward(ctx, c)
	}
	c.sends++
	c.unreached++
	f.exclude(c, t.ID)
	return nil, newNotRun(causeTargetUnreached, retryAfterFailure)
}

// reserve reserves a slot, of the key's owner if the service is sharded. For that one it sets
// the request's target.
func (f *Front) reserve(ctx context.Context, c *call, request *schedule.Request) (*broker.Reservation, *refusal) {
	if f.Thin() {
		var key *int
		if c.sharded {
			key = &c.key
		}
		reservation, err := f.Broker.AcquireByHub(ctx, *request, key)
		if err != nil {
			return nil, f.reservationRefused(c, err)
		}
		if c.sharded {
			request.Target = reservation.Target.ID
		}
		return reservation, nil
	}
	if c.sharded {
		owner, failed := f.owner(c)
		if failed != nil {
			return nil, failed
		}
		if t := f.Roster.Load().Find(owner); t != nil {
			if !f.mayConnect(c, t) {
				return nil, &refusal{linkDown: true}
			}
			if wait, ok := f.Withdrawn.Check(time.Now(), t.Incarnation(), true); !ok && wait > 0 {
				return nil, &refusal{restsFor: wait}
			}
		}
		request.Target, request.Key = owner, c.key
		c.lastTarget = owner
	}
	reservation, err := f.Broker.Acquire(ctx, *request)
	if err != nil {
		return nil, f.reservationRefused(c, err)
	}
	return reservation, nil
}

// ownerChangedSinceRun reports whether the key may have had another owner since the request
// ran last.
func (f *Front) ownerChangedSinceRun(c *call, reservation *broker.Reservation) bool {
	return reservation.OwnerSince.After(c.lastRunAt) || f.OwnerChangedSince(c.service, c.key, c.lastRunAt)
}

// recordArrival records that a target received the call, or may have.
func (f *Front) recordArrival(c *call) {
	c.recordArrival()
	f.Metrics.recordArrival(c)
}

// recordRun records that the target may have run the request.
func (c *call) recordRun(target string) {
	c.runs++
	c.lastRunTarget, c.lastRunAt = target, time.Now()
}

func (f *Front) owner(c *call) (string, *refusal) {
	a, newer := f.CurrentAssignment(c.service)
	c.assignmentChanged = newer
	if owner := a.UsableOwner(time.Now(), f.Roster.Load(), c.key); owner != "" {
		return owner, nil
	}
	return "", newNoOwner()
}

func newNoOwner() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: "noOwner", retryAfter: retryAfterNoTarget, awaitOwner: true}
}

func (f *Front) reservationRefused(c *call, err error) *refusal {
	var busy *schedule.BusyError
	var none *schedule.NoTargetError
	var denied *placement.DeniedError
	var noOwner *broker.NoOwnerError
	var rejected *schedule.RejectedError
	switch {
	case errors.As(err, &rejected):
		return f.ownerRejects(c, rejected)
	case errors.As(err, &noOwner):
		return newNoOwner()
	case errors.As(err, &denied):
		return f.placementDenied(c, denied)
	case errors.As(err, &busy):
		r := newNotRun("busy", busy.RetryIn(f.recognizesRetries(c)))
		if busy.RateLimited {
			r.cause = "rateLimited"
		}
		r.final = true
		r.queueLength = busy.Queued
		r.reason, r.load, r.bound = string(busy.Reason), busy.Load, busy.Bound
		return r
	case errors.As(err, &none):
		r := newNotRun("noTarget", retryAfterNoTarget)
		if _, next := f.Withdrawn.Withdrawn(time.Now(), c.service); next > 0 && !c.sharded {
			r.restsFor = next
		}
		r.awaitOwner = c.sharded
		r.final = !c.sharded
		return r
	default:
		r := newNotRun("deadlinePassed", retryAfterNoTarget)
		r.final = true
		return r
	}
}

// ownerRejects returns the refusal of a call whose key's owner does not hold the key. The call waits for
// another owner or the next trial, unless there is no coordinator to grant the key.
func (f *Front) ownerRejects(c *call, err *schedule.RejectedError) *refusal {
	r := newNotRun("notOwner", err.Wait)
	r.awaitOwner, r.ownerTrialIn = true, err.Wait
	if f.Broker.Grant == nil {
		return r
	}
	if g := f.Broker.Grant(c.service, c.key); g != nil && !g.Renewed {
		r.final, r.retryAfter = true, retryAfterNoCoordinator
	}
	return r
}

// placementDenied returns the refusal for a request that no target may serve, because its
// route is bound to other regions, or the zones in its regions are evacuated. The keys of a
// sharded service are being moved then.
func (f *Front) placementDenied(c *call, err *placement.DeniedError) *refusal {
	cause := "outsideRegions"
	if len(err.Evacuated) > 0 {
		cause = "zoneEvacuated"
	}
	r := newNotRun(cause, retryAfterDenied)
	r.awaitOwner, r.final = c.sharded, !c.sharded
	event.PlacementDenied.Log(f.Log, "request", c.id, "route", c.route.Name, "service", c.service, "key", c.key, "cause", cause,
		"regions", err.Regions, "evacuated", err.Evacuated, "version", f.Table().Config.Version)
	return r
}

func (f *Front) send(ctx context.Context, c *call, reservation *broker.Reservation) (*targetResponse, *refusal) {
	t := reservation.Target
	start := time.Now()
	connections := f.Pools.Get(t)
	req := &pool.Request{
		Method: c.method, RequestURI: c.uri, Host: c.host, Header: c.header,
		RequireFresh: !c.route.Idempotent(),
		ID:           c.id, IDHeader: f.Headers.RequestID,
		BeforeSend: func(now time.Time) error { return f.checkListed(now, c, t) },
		SetHeaders: func(now time.Time, h http.Header) {
			h.Set(f.Headers.TimeLeft, strconv.FormatInt(max(1, c.deadline.Sub(now).Milliseconds()), 10))
			h.Set(f.Headers.ExpectedTarget, t.ID)
		},
	}
	if len(c.body) > 0 {
		req.Body, req.ContentLength = bytes.NewReader(c.body), int64(len(c.body))
	} else if c.method == http.MethodPost || c.method == http.MethodPut {
		req.Body = bytes.NewReader(nil)
	}
	c.sentAt = start
	f.Links.Sent(start, t.Service)
	sendCtx, sent := f.trackDirect(ctx, c)
	res, err := connections.Do(sendCtx, req)
	sent()
	if err != nil {
		return nil, f.sendFailed(ctx, c, reservation, err)
	}
	f.Links.Reached(time.Now(), t.Service, t.ID)
	f.recordArrival(c)
	response, failed := f.readResponse(ctx, c, reservation, res)
	if response != nil {
		f.recordLatency(c.route.Name, time.Since(start))
	}
	return response, failed
}

// sendFailed returns the refusal for a request without a response: the target may
// have run it if any of it was written.
func (f *Front) sendFailed(ctx context.Context, c *call, reservation *broker.Reservation, err error) *refusal {
	var pe *pool.Error
	wrote := !errors.As(err, &pe) || pe.Wrote
	t, now := reservation.Target, time.Now()
	var leaves *TargetLeavesError
	if errors.As(err, &leaves) {
		reservation.Release(schedule.Abandoned)
		_, r := f.passOverWithdrawn(ctx, c, t, 0)
		return r
	}
	if errors.Is(err, syscall.ETIMEDOUT) && wrote {
		f.Links.Failed(now, t.Service, t.ID)
	}
	r := newNotRun("connectFailed", retryAfterFailure)
	if !wrote {
		c.unreached++
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.targetEnded(ctx, t, endConnecting)
		}
	} else {
		f.recordArrival(c)
		r = &refusal{status: http.StatusBadGateway, cause: "answerLost", mayHaveRun: true}
		c.recordRun(reservation.Target.ID)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.cause = "deadlinePassed"
		if wrote {
			r.status = http.StatusGatewayTimeout
		}
		reservation.Release(schedule.Abandoned)
	case ctx.Err() != nil:
		reservation.Release(schedule.Abandoned)
	case f.Links.Suspect(now, t.Service, t.ID):
		reservation.Release(schedule.Unlinked)
	case !wrote:
		reservation.Release(schedule.Unreachable)
	default:
		reservation.Release(schedule.Failed)
	}
	// If this instance alone does not reach the owner, others do.
	r.awaitOwner = c.sharded && !wrote && !c.mayForward()
	f.exclude(c, reservation.Target.ID)
	f.logAttempt(c, r, err)
	f.checkEnded(ctx, c, t, r, err)
	return r
}

func (f *Front) exclude(c *call, id string) {
	if c.excluded == nil {
		c.excluded = map[string]bool{}
	}
	c.excluded[id] = true
}

// readResponse reads the response's body. It returns a refusal if the response must
// not be forwarded to the caller.
func (f *Front) readResponse(ctx context.Context, c *call, reservation *broker.Reservation, res *http.Response) (*targetResponse, *refusal) {
	f.recordLoad(c, reservation, res)
	f.recordRateLimit(c, reservation, res)
	f.recordWithdrawal(c, reservation.Target, res)
	if res.Header.Get(f.Headers.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		if err := pool.Discard(res, refusalLimit); err != nil {
			return nil, f.responseCut(ctx, c, reservation, err)
		}
		return nil, f.notExecuted(ctx, c, reservation, res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, bufferLimit))
	if err == nil && int64(len(body)) == bufferLimit && f.checkResponse(res) == nil {
		c.recordRun(reservation.Target.ID)
		return &targetResponse{head: res, body: body, rest: res.Body, finish: func(complete bool) {
			_ = res.Body.Close()
			reservation.Release(resultOf(complete))
		}}, nil
	}
	_ = res.Body.Close()
	if err != nil {
		return nil, f.responseCut(ctx, c, reservation, err)
	}
	c.recordRun(reservation.Target.ID)
	response := &targetResponse{head: res, body: body}
	f.endings.recordAnswer(c.sentAt, reservation.Target.Incarnation())
	f.recordTargetFailure(c, reservation.Target, res) //nolint:contextcheck // the target is watched beyond the request
	refused := f.checkResponse(res)
	if refused == nil && f.mayRetryFailure(c, res) {
		refused = newTargetFailed(res)
		c.failure = response
	}
	if refused != nil {
		reservation.Release(schedule.Failed)
		f.exclude(c, reservation.Target.ID)
		f.logAttempt(c, refused, nil)
		return nil, refused
	}
	reservation.Release(schedule.Answered)
	return response, nil
}

// responseCut returns the refusal for a request whose response is not whole: the target may have run it, whatever
// the response's head says.
func (f *Front) responseCut(ctx context.Context, c *call, reservation *broker.Reservation, err error) *refusal {
	c.recordRun(reservation.Target.ID)
	r := &refusal{status: http.StatusBadGateway, cause: "answerCut", mayHaveRun: true}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.status = http.StatusGatewayTimeout
	}
	reservation.Release(schedule.Failed)
	f.exclude(c, reservation.Target.ID)
	f.logAttempt(c, r, err)
	f.checkEnded(ctx, c, reservation.Target, r, err)
	return r
}

func resultOf(complete bool) schedule.Result {
	if complete {
		return schedule.Answered
	}
	return schedule.Failed
}

// checkResponse returns a refusal for responses that are never forwarded: successes
// without the target's signature, and statuses that falsely state that the request
// was not executed.
func (f *Front) checkResponse(res *http.Response) *refusal {
	signed := res.Header.Get(f.Headers.Signature) != ""
	switch {
	case !signed && res.StatusCode < http.StatusMultipleChoices:
		return &refusal{status: http.StatusBadGateway, cause: "unsigned", mayHaveRun: true}
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests ||
		res.StatusCode == http.StatusRequestTimeout:
		// Only the not-executed header proves that the request did not run. Without
		// it, the caller would wrongly conclude that from this status.
		return newTargetFailed(res)
	}
	return nil
}

// mayRetryFailure reports whether a target's failure response to an idempotent
// request may be replaced by another target's response before the deadline.
func (f *Front) mayRetryFailure(c *call, res *http.Response) bool {
	return res.StatusCode >= http.StatusInternalServerError && c.route.Idempotent() && c.runs < c.route.MaxAttempts &&
		time.Until(c.deadline) > f.latency(c.route.Name)
}

func newTargetFailed(res *http.Response) *refusal {
	return &refusal{status: http.StatusBadGateway, cause: "targetFailed", mayHaveRun: true, targetStatus: res.StatusCode}
}

// notExecuted handles a whole response that states that the request was not executed.
func (f *Front) notExecuted(ctx context.Context, c *call, reservation *broker.Reservation, res *http.Response) *refusal {
	r := newNotRun("shed", f.latency(c.route.Name))
	r.targetStatus = res.StatusCode
	if res.StatusCode == http.StatusMisdirectedRequest {
		r.cause = "notOwner"
		r.awaitOwner = c.sharded
		result := schedule.Rejected
		id := res.Header.Get(f.Headers.AnsweringTarget)
		if other := id != "" && id != reservation.Target.ID; other || !c.sharded {
			// Another target runs at the address. It refuses immediately, so the
			// expected target would look idle and attract all requests until its
			// entry is removed.
			r.cause, result = "otherTarget", schedule.Failed
			f.Pools.Drop(reservation.Target)
			f.targetEnded(ctx, reservation.Target, endOther)
		}
		reservation.Release(result)
	} else {
		reservation.Release(f.shedResult(reservation.Target))
		r.awaitOwner = c.sharded
	}
	f.exclude(c, reservation.Target.ID)
	f.Metrics.rejections.WithLabelValues(c.service, r.cause).Inc()
	f.logAttempt(c, r, nil)
	return r
}

func (f *Front) logAttempt(c *call, r *refusal, err error) {
	event.AttemptFailed.Log(f.Log, c.withOptional("request", c.id, "route", c.route.Name, "target", c.lastTarget, "cause", r.cause,
		"status", r.targetStatus, "mayHaveRun", r.mayHaveRun, "sends", c.sends, "ageMs", time.Since(c.arrived).Milliseconds(),
		"leftMs", time.Until(c.deadline).Milliseconds(), "error", err)...)
}
