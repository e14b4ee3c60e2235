package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/roster"
	"basilcross.example/gateway/peers"
)

const (
	// maxUnreached is how many targets a call may find out of reach before it is forwarded.
	maxUnreached = 3
	// maxForwardedBody bounds the bodies of forwarded requests, which the other instance buffers
	// too.
	maxForwardedBody = 4 << 20
	// liveFor is how long after its last answer a target's open connections count as live while
	// new ones fail.
	liveFor = time.Second
)

// mustForward reports whether no target of the call's service can be reached directly, or several
// were out of reach for this call.
func (f *Front) mustForward(c *call) bool {
	return c.mayForward() && (c.unreached >= maxUnreached || f.linksBroken(c.service))
}

// linksBroken reports whether the links to a service's targets are down, and no connection to any
// works.
func (f *Front) linksBroken(service string) bool {
	now := time.Now()
	return f.Links.Down(now, service) && !f.Links.ReachedWithin(now, service, liveFor)
}

// mayForward reports whether the call may be sent through another instance: it came from a
// caller, and no instance has declined it yet.
func (c *call) mayForward() bool { return c.from == "" && !c.declined }

// mayConnect reports whether a request may be sent to the target directly: the link to it is not
// known to be down, or there are open connections that work. New ones may be refused while those
// go on.
func (f *Front) mayConnect(c *call, t *roster.Target) bool {
	if c.declined {
		return true
	}
	now := time.Now()
	// A carrier tries also when its links are taken to be down: that may be wrong, and it learns so.
	if !f.Links.TargetDown(now, c.service, t.ID) && (c.from != "" || !f.Links.Down(now, c.service)) {
		return true
	}
	return f.Links.TargetReachedWithin(now, c.service, t.ID, liveFor) && f.Pools.Get(t).IdleCount() > 0
}

// forward sends the call through another instance. If none can serve it, the refusal permits a
// direct attempt, provided that some target was reached of late.
func (f *Front) forward(ctx context.Context, c *call) (*targetResponse, *refusal) {
	if c.from != "" {
		// At most one instance carries a request, so that none goes round in circles.
		r := newNotRun(causeLinksDown, retryAfterNoTarget)
		if !f.linksBroken(c.service) {
			r.cause = causeTargetUnreached
		}
		r.final = true
		return nil, r
	}
	search := carrierSearch{forwarder: f.Forwarder, service: c.service, regions: c.route.Regions}
	for len(c.body) <= maxForwardedBody {
		carrier, ok := search.next(time.Now())
		if !ok {
			break
		}
		f.prepay(c)
		response, refused, declined := f.sendThrough(ctx, c, &carrier, &search)
		if !declined {
			return response, refused
		}
	}
	c.declined = true
	r := newNotRun(causeLinksDown, retryAfterNoTarget)
	r.final = !f.Links.Reaches(time.Now(), c.service)
	f.Metrics.recordForwarded(c, "declined")
	return nil, r
}

// sendThrough sends the call through one instance. declined is set if that one did not serve it,
// and another may, for example one that it suggests.
func (f *Front) sendThrough(ctx context.Context, c *call, carrier *peers.Instance, search *carrierSearch) (response *targetResponse, refused *refusal, declined bool) {
	c.sends++
	c.carriersAsked++
	c.carrier, c.carrierZone, c.lastTarget = carrier.Name, carrier.Zone, ""
	start := time.Now()
	res, err := f.Forwarder.connections(start, carrier).Do(ctx, f.forwardRequest(c))
	if err != nil {
		var pe *pool.Error
		if wrote := !errors.As(err, &pe) || pe.Wrote; !wrote && ctx.Err() == nil {
			f.Forwarder.avoid(time.Now(), carrier, "", avoidUnreachable)
			f.logForwarded(c, "unreachable", start, err)
			return nil, nil, true
		}
		return nil, f.carrierLost(ctx, c, carrier, start, err), false
	}
	result, err := parseForwardedResult(res.Header.Get(forwardHeader))
	switch {
	case err != nil && isUnknownPath(res) && pool.Discard(res, refusalLimit) == nil:
		f.Forwarder.avoid(time.Now(), carrier, "", avoidUnknown)
		f.logForwarded(c, "unknownPath", start, nil)
		return nil, nil, true
	case err != nil:
		_ = res.Body.Close()
		return nil, f.carrierLost(ctx, c, carrier, start, err), false
	}
	res.Header.Del(forwardHeader)
	c.lastTarget, c.account = result.Target, c.merge(result.Account)
	if !result.Answered {
		if err := pool.Discard(res, refusalLimit); err != nil {
			return nil, f.carrierLost(ctx, c, carrier, start, err), false
		}
		f.logForwarded(c, result.Cause, start, nil)
		refused, declined = f.carrierRefused(c, carrier, result, res.StatusCode)
		if declined {
			search.suggest(result.Suggested)
		}
		return nil, refused, declined
	}
	f.Forwarder.recordServed(time.Now(), carrier, c.service)
	return f.readForwarded(ctx, c, carrier, start, res)
}

// carrierRefused returns the refusal for a call that its carrier did not serve. declined is set, without a refusal,
// if another instance may serve it.
func (f *Front) carrierRefused(c *call, carrier *peers.Instance, result *forwardedResult, status int) (refused *refusal, declined bool) {
	c.mayHaveRun = c.mayHaveRun || result.MayHaveRun
	mayRunAgain := !result.MayHaveRun || c.route.Idempotent() && c.runs < c.route.MaxAttempts
	if f.Forwarder.avoidAfter(time.Now(), carrier, c.service, result.Cause) && mayRunAgain {
		return nil, true
	}
	return &refusal{status: status, cause: result.Cause, mayHaveRun: result.MayHaveRun, final: true, retryAfter: result.RetryAfter}, false
}

// forwardRequest returns the call as it is sent to another instance.
func (f *Front) forwardRequest(c *call) *pool.Request {
	header := c.header.Clone()
	header.Del(f.Headers.TimeLeft)
	header.Del(f.Headers.ExpectedTarget)
	version := f.Table().Config.Version
	return &pool.Request{
		Method: c.method, RequestURI: ForwardPath, Host: f.Forwarder.Self.Name, Header: header,
		Body: bytes.NewReader(c.body), ContentLength: int64(len(c.body)), RequireFresh: !c.route.Idempotent(),
		ID: c.id, IDHeader: f.Headers.RequestID,
		SetHeaders: func(now time.Time, h http.Header) {
			r := forwardedRequest{
				From: f.Forwarder.Self.Name, URI: c.uri, Host: c.host, Service: c.service, Version: version,
				Age: now.Sub(c.arrived), Left: c.deadline.Sub(now), Account: c.account, SinceFirst: c.sinceFirst,
			}
			h.Set(forwardHeader, r.encode())
		},
	}
}

// carrierLost returns the refusal for a call whose carrier gave no usable response.
func (f *Front) carrierLost(ctx context.Context, c *call, carrier *peers.Instance, start time.Time, err error) *refusal {
	r := &refusal{status: http.StatusBadGateway, cause: "carrierLost", mayHaveRun: true}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.cause, r.status = "deadlinePassed", http.StatusGatewayTimeout
	case ctx.Err() == nil:
		f.Forwarder.avoid(time.Now(), carrier, "", avoidUnreachable)
	}
	c.recordRun("")
	c.recordArrival()
	c.counted = true
	f.logForwarded(c, r.cause, start, err)
	return r
}

// readForwarded reads a target's response that another instance passes on.
func (f *Front) readForwarded(ctx context.Context, c *call, carrier *peers.Instance, start time.Time, res *http.Response) (*targetResponse, *refusal, bool) {
	body, err := io.ReadAll(io.LimitReader(res.Body, bufferLimit))
	if err == nil && int64(len(body)) == bufferLimit {
		f.logForwarded(c, "answered", start, nil)
		return &targetResponse{head: res, body: body, rest: res.Body, finish: func(bool) { _ = res.Body.Close() }}, nil, false
	}
	_ = res.Body.Close()
	if err != nil {
		return nil, f.carrierLost(ctx, c, carrier, start, err), false
	}
	f.logForwarded(c, "answered", start, nil)
	return &targetResponse{head: res, body: body}, nil, false
}

func (f *Front) logForwarded(c *call, outcome string, start time.Time, err error) {
	f.Metrics.recordForwarded(c, outcome)
	event.RequestForwarded.Log(f.Log, "request", c.id, "route", c.route.Name, "service", c.service, "carrier", c.carrier,
		"carrierZone", c.carrierZone, "asked", c.carriersAsked, "outcome", outcome, "target", c.lastTarget, "runs", c.runs, "arrivals", c.arrivals, "tookMs", time.Since(start).Milliseconds(),
		"leftMs", time.Until(c.deadline).Milliseconds(), "error", err)
}
