package instance

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// probeInterval is the time between two rounds of probes, each of at most maxProbes targets.
	probeInterval = 100 * time.Millisecond
	maxProbes     = 2
	// probeSpacing is the time between two probes of a target. Requests stay away from it
	// meanwhile, or are sent through another instance.
	probeSpacing = 500 * time.Millisecond
)

// prober opens connections to targets that could not be reached, so that broken links are known
// for as long as they last, and no request has to find out that they are back.
type prober struct{ *Instance }

// Serve probes until the context ends, and returns the context's error.
func (p *prober) Serve(ctx context.Context) error {
	var group errgroup.Group
	// probedAt is when each target was probed last: a probe may take several rounds.
	probedAt := map[string]time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		now := time.Now()
		maps.DeleteFunc(probedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= probeSpacing })
		due := 0
		for _, u := range p.links.Unreached(now) {
			if now.Sub(u.FailedAt) < probeSpacing || due == maxProbes {
				break
			}
			if _, recent := probedAt[u.Target]; recent {
				continue
			}
			probedAt[u.Target] = now
			due++
			group.Go(func() error {
				p.pools.Probe(ctx, u.Target)
				return nil
			})
		}
	}
	return group.Wait()
}
