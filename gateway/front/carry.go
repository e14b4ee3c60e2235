package front

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/hopheader"
	"basilcross.example/gateway/peers"
)

const (
	// carriedPerCore is how many requests of others an instance carries at a time, for a whole
	// core, and minCarried that of small instances.
	carriedPerCore = 400
	minCarried     = 32
	// maxCarriedBytes bounds the bodies of all requests that are carried at a time.
	maxCarriedBytes = 16 << 20
	// carryMargin is subtracted from a carried request's timeout, so that the response reaches
	// the other instance before it expires.
	carryMargin = 10 * time.Millisecond
)

// carried counts the requests that are carried for other instances.
type carried struct {
	requests, bytes atomic.Int64
}

// begin reports whether another request with a body of the given size may be carried.
func (n *carried) begin(cores float64, size int64) bool {
	limit := max(minCarried, int64(carriedPerCore*cores))
	if n.requests.Add(1) <= limit && n.bytes.Add(size) <= maxCarriedBytes {
		return true
	}
	n.end(size)
	return false
}

func (n *carried) end(size int64) {
	n.requests.Add(-1)
	n.bytes.Add(-size)
}

// ServeForwarded serves a request that another instance forwards, since it does not reach the
// targets.
func (f *Front) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	size := max(0, r.ContentLength)
	if !f.carried.begin(f.Forwarder.Self.Cores, size) {
		f.writeDeclined(w, &call{id: r.Header.Get(f.Headers.RequestID)}, causeCarrierFull)
		return
	}
	defer f.carried.end(size)
	c, declined := f.readCarried(w, r)
	defer c.releaseBody()
	if declined != "" && f.Bodies.Limited() && r.ContentLength != 0 {
		f.refuseUnread(w, r, func() { f.writeDeclined(w, c, declined) })
		return
	}
	if declined != "" {
		f.writeDeclined(w, c, declined)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	stop := context.AfterFunc(f.abortContext, cancel) //nolint:contextcheck // canceled at the process's exit, not by the request
	defer stop()
	if !f.canCarry(ctx, c) {
		f.writeDeclined(w, c, causeLinksDown)
		return
	}
	response, refused := f.sendWithRetries(ctx, c)
	if response != nil {
		c.shrinkBody(response)
		f.writeResponse(w, c, response)
		return
	}
	if refused.cause == "connectFailed" || refused.cause == causeTargetUnreached {
		refused.cause = f.declineUnreached(c)
	}
	if r.Context().Err() != nil {
		f.logRefused(c, refused, "callerGone")
		panic(http.ErrAbortHandler)
	}
	f.writeRefusal(w, c, refused)
}

// declineUnreached returns the cause with which a carried call is declined that reached no target.
func (f *Front) declineUnreached(c *call) string {
	if f.linksBroken(c.service) || !c.sharded && f.Links.Down(time.Now(), c.service) {
		return causeLinksDown
	}
	return causeTargetUnreached
}

// canCarry reports whether this instance reaches the targets of the call's service. One with few
// callers may not have noticed that its links are down.
func (f *Front) canCarry(ctx context.Context, c *call) bool {
	return f.Links.ReachedWithin(time.Now(), c.service, liveFor) || f.ReachesTargets(ctx, c.service)
}

// readCarried reads a forwarded request. declined is the cause if this instance can't serve it.
func (f *Front) readCarried(w http.ResponseWriter, r *http.Request) (c *call, declined string) {
	c = &call{id: r.Header.Get(f.Headers.RequestID), method: r.Method}
	forwarded, err := parseForwardedRequest(r.Header.Get(forwardHeader))
	if err != nil {
		event.ForwardUnusable.Log(f.Log, "request", c.id, "error", err)
		return c, causeCarrierNotReady
	}
	table := f.Table()
	if table == nil || table.Config.Version < forwarded.Version || !f.Started() || f.keepAliveDisabled.Load() {
		return c, causeCarrierNotReady
	}
	now := time.Now()
	c.from, c.uri, c.host, c.service, c.account = forwarded.From, forwarded.URI, forwarded.Host, forwarded.Service, forwarded.Account
	c.sinceFirst = forwarded.SinceFirst
	c.arrived, c.deadline = now.Add(-forwarded.Age), now.Add(forwarded.Left-carryMargin)
	c.header = r.Header.Clone()
	hopheader.Remove(c.header)
	c.header.Del(forwardHeader)
	c.header.Del("Content-Length")
	if !f.routeCarried(c, table) {
		return c, causeCarrierNotReady
	}
	if f.Bodies.Limited() {
		return c, f.readCarriedBody(c, w, r)
	}
	c.body, err = io.ReadAll(io.LimitReader(r.Body, maxForwardedBody+1))
	if err != nil || len(c.body) > maxForwardedBody {
		return c, causeCarrierNotReady
	}
	return c, ""
}

// routeCarried finds the call's route and key. It returns false if this instance's configuration
// does not have the route with the service that the other instance chose.
func (f *Front) routeCarried(c *call, table *routing.Table) bool {
	path, _, _ := cutQuery(c.uri)
	c.route = table.Find(c.host, path)
	if c.route == nil || !slices.ContainsFunc(c.route.Split, func(s routing.Share) bool { return s.Service == c.service }) {
		return false
	}
	if s := table.Service(c.service); s != nil && s.Sharded {
		key, err := strconv.Atoi(c.header.Get(f.Headers.ShardKey))
		if err != nil || key < 0 || key >= ownership.KeyCount {
			return false
		}
		c.sharded, c.key = true, key
	}
	return true
}

// suggestions returns instances that may serve a call which this one declines.
func (f *Front) suggestions(c *call) []peers.Instance {
	var regions []string
	if c.route != nil {
		regions = c.route.Regions
	}
	return f.Forwarder.suggestions(time.Now(), c.service, regions)
}

func (f *Front) writeDeclined(w http.ResponseWriter, c *call, cause string) {
	h := w.Header()
	if c.id != "" {
		h.Set(f.Headers.RequestID, c.id)
	}
	result := forwardedResult{Cause: cause, Account: c.account, Suggested: f.suggestions(c)}
	h.Set(forwardHeader, result.encode())
	// Without it the sender waits for the end of a chunked body while the rest of its request is drained.
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
