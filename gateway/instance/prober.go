package instance

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"basilcross.example/basilcross/roster"
	"golang.org/x/sync/errgroup"
)

const (
	// probeInterval is the time between two rounds of probes, each of at most maxProbes targets
	// that are out of reach.
	probeInterval = 100 * time.Millisecond
	maxProbes     = 2
	// probeSpacing is the time between two probes of a target. Requests stay away from it
	// meanwhile, or are sent through another instance.
	probeSpacing = 500 * time.Millisecond
	// probeTimeout bounds a probe: several round trips between regions. A lost packet makes one
	// fail, which proves nothing alone.
	probeTimeout = 200 * time.Millisecond
	// silenceProbes is how many targets of a service are probed that has answered nothing for a
	// while: enough to conclude that the links are down.
	silenceProbes = 3
)

// prober opens connections to targets: to those that could not be reached, so that broken links
// are known for as long as they last and no request has to find out that they are back, and to
// some of a service whose targets have not answered for a while.
type prober struct {
	*Instance

	group errgroup.Group
	// probedAt is when each target was probed last: a probe may take several rounds.
	probedAt map[string]time.Time
}

// Serve probes until the context ends, and returns the context's error.
func (p *prober) Serve(ctx context.Context) error {
	p.probedAt = map[string]time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		now := time.Now()
		maps.DeleteFunc(p.probedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= probeSpacing })
		p.probeUnreached(ctx, now)
		for _, service := range p.links.Silent(now) {
			p.probeAny(ctx, now, service, silenceProbes)
		}
		for _, service := range p.links.DownServices(now) {
			// Targets that were not tried since the links went down show whether all are out of
			// reach.
			p.probeAny(ctx, now, service, 1)
		}
	}
	_ = p.group.Wait()
	return ctx.Err()
}

func (p *prober) probeUnreached(ctx context.Context, now time.Time) {
	due := 0
	for _, u := range p.links.Unreached(now) {
		if now.Sub(u.FailedAt) < probeSpacing || due == maxProbes {
			return
		}
		if t := p.pools.Find(u.Target); t != nil && p.probe(ctx, now, t) {
			due++
		}
	}
}

// probeAny probes n random targets of a service.
func (p *prober) probeAny(ctx context.Context, now time.Time, service string, n int) {
	targets := p.pools.Targets(service)
	for _, at := range rand.Perm(len(targets)) {
		if n == 0 {
			return
		}
		if p.probe(ctx, now, targets[at]) {
			n--
		}
	}
}

// probe probes a target, unless that was done of late.
func (p *prober) probe(ctx context.Context, now time.Time, t *roster.Target) bool {
	if _, recent := p.probedAt[t.ID]; recent {
		return false
	}
	p.probedAt[t.ID] = now
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		// Dialing records the success.
		if p.pools.Get(t).Warm(ctx) != nil {
			p.links.Failed(time.Now(), t.Service, t.ID)
		}
		return nil
	})
	return true
}
