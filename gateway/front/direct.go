package front

import (
	"context"
	"sync"
	"time"
)

// directRequests are the idempotent requests that wait for a target's response on this instance's
// own connections.
type directRequests struct {
	mu  sync.Mutex
	all map[*directRequest]bool
}

type directRequest struct {
	service string
	sent    time.Time
	cancel  context.CancelFunc
}

// silentFor is how long no target of a service may have answered for the requests under way to be
// abandoned when the links turn out to be down. Live connections may go on while new ones fail.
const silentFor = 250 * time.Millisecond

// trackDirect returns the context for a request to a target, and a function to call once its
// response has begun. Requests that must not run twice are not tracked: whether they ran will be
// known only if a response arrives.
func (f *Front) trackDirect(ctx context.Context, c *call) (sendCtx context.Context, answered func()) {
	if !c.route.Idempotent() || c.declined {
		return ctx, func() {}
	}
	r := &directRequest{service: c.service, sent: time.Now()}
	sendCtx, r.cancel = context.WithCancel(ctx)
	d := &f.direct
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.all == nil {
		d.all = map[*directRequest]bool{}
	}
	d.all[r] = true
	return sendCtx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.all, r)
	}
}

// AbandonDirect is called when the links to a service's targets turn out to be down. It abandons
// the idempotent requests that wait for these, so that they can be forwarded, or given back to the
// instance that forwarded them.
func (f *Front) AbandonDirect(service string) {
	now := time.Now()
	if f.Links.ReachedWithin(now, service, silentFor) {
		return
	}
	d := &f.direct
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.all {
		if r.service == service && now.Sub(r.sent) >= silentFor {
			r.cancel()
		}
	}
}
