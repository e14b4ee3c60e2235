package instance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/gateway/peers"
	"golang.org/x/sync/errgroup"
)

const (
	// linkStatusPath is the path on the control address that tells whether this instance reaches
	// the targets of the services in its query: status 200 or 503.
	linkStatusPath = "/links/v1"
	// linkStatusTimeout bounds the question: the time to open a connection to a target, and a
	// round trip between regions.
	linkStatusTimeout = targetDialTimeout + 100*time.Millisecond
	// freshEvidence is how old an answer of a target may be for no probe to be necessary.
	freshEvidence = time.Second
	// statusProbes is how many targets are probed otherwise.
	statusProbes = 3
)

// linkStatus serves linkStatusPath.
func (i *Instance) linkStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), targetDialTimeout)
	defer cancel()
	for _, service := range r.URL.Query()["service"] {
		if !i.reachesTargets(ctx, service) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

// reachesTargets reports whether this instance reaches targets of a service. It probes some if
// none has answered of late.
func (i *Instance) reachesTargets(ctx context.Context, service string) bool {
	now := time.Now()
	if i.links.Down(now, service) {
		return false
	}
	if i.links.ReachedWithin(now, service, freshEvidence) {
		return true
	}
	return i.probeTargets(ctx, service)
}

// probeTargets reports whether any of some targets of a service accepts a connection.
func (i *Instance) probeTargets(ctx context.Context, service string) bool {
	var reached atomic.Bool
	var group errgroup.Group
	for _, t := range i.chooseProbed(service) {
		group.Go(func() error {
			if i.pools.Get(t).Warm(ctx) == nil {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reached.Load()
}

// chooseProbed returns up to statusProbes random targets of a service that are not known to be out
// of reach, of different zones if possible.
func (i *Instance) chooseProbed(service string) (chosen []*roster.Target) {
	now, view := time.Now(), i.state.roster.Load()
	var more []*roster.Target
	for _, zone := range view.Zones(service) {
		list := slices.DeleteFunc(slices.Clone(view.InZone(service, zone)), func(t *roster.Target) bool {
			return i.links.TargetDown(now, service, t.ID)
		})
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		if len(list) > 0 {
			chosen, more = append(chosen, list[0]), append(more, list[1:]...)
		}
	}
	chosen = append(chosen, more...)
	return chosen[:min(len(chosen), statusProbes)]
}

// askLinks reports whether another instance reaches the services' targets. One that does not know
// the question counts as assumed.
func (i *Instance) askLinks(ctx context.Context, other peers.Instance, services []string, assumed bool) bool {
	ctx, cancel := context.WithTimeout(ctx, linkStatusTimeout)
	defer cancel()
	query := url.Values{"service": services}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+other.Control+linkStatusPath+"?"+query.Encode(), nil)
	if err != nil {
		return false
	}
	res, err := i.peerClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return assumed
	}
	return res.StatusCode == http.StatusOK
}
