package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
)

// endProbeTimeout bounds the probe of a target that closed a connection: several round trips
// between regions.
const endProbeTimeout = 200 * time.Millisecond

// causeQuarantined is the cause of refusals of requests that end the targets which run them.
const causeQuarantined = "quarantined"

// authorizationHeader identifies the client account on interfaces that have accounts.
const authorizationHeader = "Authorization"

// fingerprint identifies the call's request, whatever its ID.
func (c *call) fingerprint(shardKeyHeader string) quarantine.Fingerprint {
	if c.identity == nil {
		parts := []string{c.method, c.host, c.uri, c.header.Get(shardKeyHeader), c.header.Get(authorizationHeader)}
		list := make([][]byte, 0, len(parts)+1)
		for _, p := range parts {
			list = append(list, []byte(p))
		}
		f := quarantine.Identify(append(list, c.body)...)
		c.identity = &f
	}
	return *c.identity
}

// closedByTarget reports whether a target closed or reset a connection on which a request waited
// for its response.
func closedByTarget(err error) bool {
	var pe *pool.Error
	if errors.As(err, &pe) && !pe.Wrote {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkEnded finds out whether the target has ended while it ran the call: it closed the connection,
// and its address accepts no other. If it does, the target is watched: a lost response alone proves
// no end, but the process may take a while to end. If it has ended, the request may be the cause; it is
// not retried if another target has ended under it before.
func (f *Front) checkEnded(ctx context.Context, c *call, t *roster.Target, r *refusal, err error) {
	if !closedByTarget(err) {
		return
	}
	f.endings.add(time.Now(), t, f.unfinished(c))
	if f.refusesConnections(ctx, t) {
		f.targetEnded(ctx, t, endRefused)
	} else {
		f.watchEnd(t) //nolint:contextcheck // beyond the request
	}
	r.final = r.final || f.Quarantine.Ends(time.Now(), c.fingerprint(f.Headers.ShardKey)) > 1
}

// unfinished returns what is kept of a call that a target did not answer, or answered with a failure.
func (f *Front) unfinished(c *call) unfinished {
	return unfinished{
		fingerprint: c.fingerprint(f.Headers.ShardKey), request: c.id, route: c.route.Name, from: c.from, sent: c.sentAt,
	}
}

// targetEnded reports the requests that a target left unfinished before it ended.
func (f *Front) targetEnded(ctx context.Context, t *roster.Target, evidence string) {
	requests := f.endings.take(time.Now(), t.Incarnation())
	if len(requests) == 0 {
		return
	}
	// What an instance without links sees says nothing about the targets.
	linked := !f.Links.Down(time.Now(), t.Service) || f.ProbeTargets(ctx, t.Service)
	for _, u := range requests {
		suspected := linked && f.Quarantine.MaySuspect(u.sent, u.fingerprint)
		event.TargetEndedUnder.Log(f.Log, "request", u.request, "fingerprint", u.fingerprint.String(), "route", u.route, "service", t.Service,
			"target", t.ID, "evidence", evidence, "suspected", suspected, "from", u.from, "ageMs", time.Since(u.sent).Milliseconds())
		f.Metrics.endedUnder.WithLabelValues(t.Service).Inc()
		if suspected {
			f.OnEnded(t, u.fingerprint, u.sent)
		}
	}
}

// quarantined returns the refusal of a call whose request must not reach a target; nil if it may.
func (f *Front) quarantined(c *call) *refusal {
	if f.Quarantine.Empty() {
		return nil
	}
	left, quarantined := f.Quarantine.Left(time.Now(), c.fingerprint(f.Headers.ShardKey))
	if !quarantined {
		return nil
	}
	r := newNotRun(causeQuarantined, left)
	r.final = true
	return r
}

// maxIdentifiedBody bounds the bodies of requests whose answers are recorded: identifying a request
// takes time in proportion to its body, and each answered one pays it.
const maxIdentifiedBody = 64 << 10

// recordAnswer records that a target has answered the call, unless the response is a failure.
func (f *Front) recordAnswer(c *call, response *targetResponse) {
	if c.carrier != "" || response.head.StatusCode >= http.StatusInternalServerError || len(c.body) > maxIdentifiedBody {
		return
	}
	identity := c.fingerprint(f.Headers.ShardKey)
	if f.Quarantine.RecordAnswer(time.Now(), identity) {
		f.OnCleared(identity)
	}
}

// refusesConnections reports whether the target's address refuses a new connection. Requests that
// ask at the same time share the answer.
func (f *Front) refusesConnections(ctx context.Context, t *roster.Target) bool {
	refused, _, _ := f.endProbes.Do(t.ID+" "+strconv.FormatInt(t.Started, 10), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endProbeTimeout)
		defer cancel()
		return errors.Is(f.Pools.Get(t).Warm(ctx), syscall.ECONNREFUSED), nil
	})
	return refused.(bool)
}

// recordTargetFailure remembers a request that its target failed: the target may end over it.
func (f *Front) recordTargetFailure(c *call, t *roster.Target, res *http.Response) {
	if res.StatusCode < http.StatusInternalServerError || len(c.body) > maxIdentifiedBody {
		return
	}
	u := f.unfinished(c)
	u.failed = true
	f.endings.add(time.Now(), t, u)
	f.watchEnd(t)
}
