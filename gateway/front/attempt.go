package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/broker"
)

const (
	// drainUse is how long the owner of keys is used after it said that it is
	// leaving, while its keys go to others. The users allow 2 s.
	drainUse = 700 * time.Millisecond
	// bufferLimit is the answer held in memory, so that one cut short is found
	// out before the caller has seen a byte of it.
	bufferLimit = 256 << 10
)

// answer is a target's own.
type answer struct {
	response *http.Response
	body     []byte
	// rest is what comes after body, for long answers.
	rest   io.Reader
	finish func(whole bool)
}

// attempt sends the request once.
func (f *Front) attempt(ctx context.Context, c *call) (*answer, *refusal) {
	request := schedule.Request{Service: c.service, Kind: c.kind(), Excluded: c.excluded, Priority: c.route.Priority}
	request.Objective = c.arrived.Add(c.route.Objective)
	request.Deadline = c.deadline
	if c.sharded {
		owner, failed := f.owner(c)
		if failed != nil {
			return nil, failed
		}
		request.Target = owner
	}
	began := time.Now()
	reservation, err := f.Broker.Acquire(ctx, request)
	c.queued += time.Since(began)
	if err != nil {
		return nil, f.notReserved(c, err)
	}
	if c.sharded && c.ran == reservation.Target.ID && f.Moved(c.service, c.key, c.ranAt) {
		// A second run there would look like one with the first, and the key like one
		// that was given on while it was worked on.
		reservation.Release(schedule.Abandoned)
		return nil, &refusal{status: http.StatusBadGateway, cause: "ranBefore", mayHaveRun: true, final: true}
	}
	c.sends++
	c.target = reservation.Target.ID
	return f.send(ctx, c, reservation)
}

// noteRun notes that a target may have run the request.
func (c *call) noteRun(target string) {
	c.runs++
	c.ran, c.ranAt = target, time.Now()
}

// owner returns the target that has the request's key.
func (f *Front) owner(c *call) (string, *refusal) {
	a, newer := f.Owners(c.service)
	c.newer = newer
	if a == nil {
		return "", &refusal{status: http.StatusServiceUnavailable, cause: "noOwner", retryAfter: retryOwner, forOwner: true}
	}
	p := a.Find(c.key)
	t := f.Roster.Load().Targets[p.Owner]
	if p.Owner == "" || t == nil || t.Draining && time.Since(t.Left) > drainUse {
		return "", &refusal{status: http.StatusServiceUnavailable, cause: "noOwner", retryAfter: retryOwner, forOwner: true}
	}
	return p.Owner, nil
}

func (f *Front) notReserved(c *call, err error) *refusal {
	var busy *schedule.BusyError
	var none *schedule.NoTargetError
	switch {
	case errors.As(err, &busy):
		r := notRun("busy", busy.Wait)
		r.final = true
		r.queued = busy.Queued
		return r
	case errors.As(err, &none):
		r := notRun("noTarget", retryOwner)
		r.forOwner = c.sharded
		r.final = !c.sharded
		return r
	default:
		r := notRun("deadlinePassed", retryOwner)
		r.final = true
		return r
	}
}

// send writes the request to the target and reads the answer.
func (f *Front) send(ctx context.Context, c *call, reservation *broker.Reservation) (*answer, *refusal) {
	t := reservation.Target
	began := time.Now()
	connections := f.Pools.To(t)
	req := &pool.Request{
		Method: c.method, RequestURI: c.uri, Host: c.host, Header: c.header,
		RequireFresh: !c.route.Idempotent,
		Matches: func(h http.Header) bool {
			id := h.Get(f.Wire.RequestID)
			return id == c.id || id == ""
		},
		SetHeaders: func(now time.Time, h http.Header) {
			h.Set(f.Wire.TimeLeft, strconv.FormatInt(max(1, c.deadline.Sub(now).Milliseconds()), 10))
			h.Set(f.Wire.ExpectedTarget, t.ID)
		},
	}
	if len(c.body) > 0 {
		req.Body, req.ContentLength = bytes.NewReader(c.body), int64(len(c.body))
	} else if c.method == http.MethodPost || c.method == http.MethodPut {
		req.Body = bytes.NewReader(nil)
	}
	res, err := connections.Do(ctx, req)
	if err != nil {
		return nil, f.sendFailed(ctx, c, reservation, err)
	}
	a, failed := f.read(ctx, c, reservation, res)
	if a != nil {
		f.learn(c.route.Name, time.Since(began))
	}
	return a, failed
}

// sendFailed says what a request without an answer proves.
func (f *Front) sendFailed(ctx context.Context, c *call, reservation *broker.Reservation, err error) *refusal {
	var pe *pool.Error
	wrote := !errors.As(err, &pe) || pe.Wrote
	r := notRun("connectFailed", retryTarget)
	if wrote {
		r = &refusal{status: http.StatusBadGateway, cause: "answerLost", mayHaveRun: true, arrived: true}
		c.noteRun(reservation.Target.ID)
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
	default:
		reservation.Release(schedule.Failed)
	}
	r.forOwner = c.sharded && !wrote
	f.exclude(c, reservation.Target.ID)
	f.logAttempt(c, r, err)
	return r
}

func (f *Front) exclude(c *call, id string) {
	if c.excluded == nil {
		c.excluded = map[string]bool{}
	}
	c.excluded[id] = true
}

// read takes the answer's body and tells whether it is one to pass on.
func (f *Front) read(ctx context.Context, c *call, reservation *broker.Reservation, res *http.Response) (*answer, *refusal) {
	if res.Header.Get(f.Wire.NotRun) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		return nil, f.notExecuted(c, reservation, res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, bufferLimit))
	if err == nil && int64(len(body)) == bufferLimit {
		return &answer{response: res, body: body, rest: res.Body, finish: func(whole bool) {
			_ = res.Body.Close()
			reservation.Release(resultOf(whole))
		}}, nil
	}
	_ = res.Body.Close()
	c.noteRun(reservation.Target.ID)
	if err != nil {
		r := &refusal{status: http.StatusBadGateway, cause: "answerCut", mayHaveRun: true, arrived: true}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.status = http.StatusGatewayTimeout
		}
		reservation.Release(schedule.Failed)
		f.exclude(c, reservation.Target.ID)
		f.logAttempt(c, r, err)
		return nil, r
	}
	a := &answer{response: res, body: body}
	refused := f.unusable(res)
	if refused == nil && f.mayBeReplaced(c, res) {
		refused = targetFailed(res)
		c.failure = a
	}
	if refused != nil {
		reservation.Release(schedule.Failed)
		f.exclude(c, reservation.Target.ID)
		f.logAttempt(c, refused, nil)
		return nil, refused
	}
	reservation.Release(schedule.Answered)
	return a, nil
}

func resultOf(whole bool) schedule.Result {
	if whole {
		return schedule.Answered
	}
	return schedule.Failed
}

// unusable tells of answers that are never passed on: successes without the
// target's signature, and statuses that promise more than is known.
func (f *Front) unusable(res *http.Response) *refusal {
	signed := res.Header.Get(f.Wire.Signature) != ""
	switch {
	case !signed && res.StatusCode < http.StatusMultipleChoices:
		return &refusal{status: http.StatusBadGateway, cause: "unsigned", mayHaveRun: true, arrived: true}
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests ||
		res.StatusCode == http.StatusRequestTimeout:
		// Only the target's explicit word says that it did not run; without it
		// this status would promise more than is known.
		return targetFailed(res)
	}
	return nil
}

// mayBeReplaced tells of failures of repeatable requests that another target may
// answer better.
func (f *Front) mayBeReplaced(c *call, res *http.Response) bool {
	return res.StatusCode >= http.StatusInternalServerError && c.route.Idempotent && c.runs < c.route.MaxAttempts &&
		time.Until(c.deadline) > f.latency(c.route.Name)
}

func targetFailed(res *http.Response) *refusal {
	return &refusal{
		status: http.StatusBadGateway, cause: "targetFailed", mayHaveRun: true, arrived: true, targetStatus: res.StatusCode,
	}
}

// notExecuted handles a target's own word that the request did not run.
func (f *Front) notExecuted(c *call, reservation *broker.Reservation, res *http.Response) *refusal {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, bufferLimit))
	_ = res.Body.Close()
	r := notRun("shed", f.latency(c.route.Name))
	r.arrived = true
	r.targetStatus = res.StatusCode
	if res.StatusCode == http.StatusMisdirectedRequest {
		r.cause = "notOwner"
		r.forOwner = c.sharded
		result := schedule.Abandoned
		id := res.Header.Get(f.Wire.AnsweringTarget)
		if other := id != "" && id != reservation.Target.ID; other || !c.sharded {
			// Another one lives at the address. Since it answers at once, the one
			// meant would look free and draw all requests until its entry goes.
			r.cause, result = "otherTarget", schedule.Failed
			f.Pools.Drop(reservation.Target)
		}
		reservation.Release(result)
	} else {
		reservation.Release(schedule.Shed)
		r.forOwner = c.sharded
	}
	f.exclude(c, reservation.Target.ID)
	f.logAttempt(c, r, nil)
	return r
}

func (f *Front) logAttempt(c *call, r *refusal, err error) {
	event.AttemptFailed.Log(f.Log, "request", c.id, "route", c.route.Name, "target", c.target, "cause", r.cause,
		"status", r.targetStatus, "mayHaveRun", r.mayHaveRun, "sends", c.sends, "ageMs", time.Since(c.arrived).Milliseconds(),
		"leftMs", time.Until(c.deadline).Milliseconds(), "error", err)
}
