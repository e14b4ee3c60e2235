package egress

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// WithFirstByte returns a context for an HTTP call that is canceled if no response begins
// within the given time; a long one may take as long as the given context allows. The caller
// must call cancel. timedOut reports whether the time has passed.
func WithFirstByte(ctx context.Context, timeout time.Duration) (next context.Context, cancel func(), timedOut func() bool) {
	next, stop := context.WithCancel(ctx)
	var fired atomic.Bool
	timer := time.AfterFunc(timeout, func() {
		fired.Store(true)
		stop()
	})
	next = httptrace.WithClientTrace(next, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }})
	return next, func() { timer.Stop(); stop() }, fired.Load
}
