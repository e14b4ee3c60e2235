package entry

import (
	"math/rand/v2"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/refusal"
	"basilcross.example/gateway/upstream"
	"basilcross.example/gateway/view"
)

// chooseTarget picks a target of an unsharded service: one with a free slot in
// this zone, else in this region, else in another region.
func (f *Front) chooseTarget(s *view.Snapshot, service *view.Service) (*route, *failed) {
	now := time.Now()
	var best *route
	for _, tier := range f.groupByDistance(service.Active) {
		r, free := f.pickLessLoaded(now, s, tier)
		if r == nil {
			continue
		}
		if free {
			return r, nil
		}
		if best == nil {
			best = r
		}
	}
	if best != nil {
		return best, nil
	}
	if len(service.Active) == 0 {
		e := refusal.New(refusal.NoTarget, "no target of the service is in use")
		e.RetryAfter = time.Second
		return nil, &failed{refusal: e, retryWhen: retryOnNewOwner}
	}
	// Every target is ejected: trying one is better than refusing all requests.
	return f.routeTo(s, service.Active[rand.IntN(len(service.Active))]), nil
}

func (f *Front) routeTo(s *view.Snapshot, t *assignment.Target) *route {
	return &route{upstream: f.Upstreams.Get(t), target: t, snapshot: s}
}

// groupByDistance groups targets by this zone, this region and other regions.
func (f *Front) groupByDistance(targets []*assignment.Target) [3][]*assignment.Target {
	var tiers [3][]*assignment.Target
	for _, t := range targets {
		switch {
		case t.Zone == f.Zone:
			tiers[0] = append(tiers[0], t)
		case t.Region == f.Region:
			tiers[1] = append(tiers[1], t)
		default:
			tiers[2] = append(tiers[2], t)
		}
	}
	return tiers
}

// pickLessLoaded returns the less loaded of two random targets that are not
// ejected, and whether it has a free slot now.
func (f *Front) pickLessLoaded(now time.Time, s *view.Snapshot, tier []*assignment.Target) (r *route, free bool) {
	least := 0.0
	for range 2 {
		t, u := f.randomAvailable(now, tier)
		if t == nil {
			return r, free
		}
		state := u.Slots.State()
		load := float64(state.InFlight+state.Waiting+1) / max(state.Limit, 0.01)
		if r == nil || load < least {
			r = &route{upstream: u, target: t, snapshot: s}
			free = load <= 1 || state.InFlight == 0
			least = load
		}
	}
	return r, free
}

// randomAvailable returns a random target that is not ejected, or nil.
func (f *Front) randomAvailable(now time.Time, tier []*assignment.Target) (*assignment.Target, *upstream.Upstream) {
	if len(tier) == 0 {
		return nil, nil
	}
	start := rand.IntN(len(tier))
	for i := range tier {
		t := tier[(start+i)%len(tier)]
		if u := f.Upstreams.Get(t); !u.Ejected(now) {
			return t, u
		}
	}
	return nil, nil
}
