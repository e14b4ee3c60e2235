package front

import (
	"context"
	"errors"
	"io"
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

// endedUnder reports whether the target has ended while it ran the call: it closed the
// connection, and its address accepts no other. A lost response alone does not prove that.
func (f *Front) endedUnder(ctx context.Context, c *call, t *roster.Target, err error) bool {
	if !closedByTarget(err) || !f.refusesConnections(ctx, t) {
		return false
	}
	event.TargetEndedUnder.Log(f.Log, "request", c.id, "fingerprint", c.fingerprint(f.Headers.ShardKey).String(), "route", c.route.Name,
		"service", t.Service, "target", t.ID, "from", c.from, "ageMs", time.Since(c.arrived).Milliseconds())
	f.Metrics.endedUnder.WithLabelValues(t.Service).Inc()
	return true
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
