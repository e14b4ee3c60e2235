package instance_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"basilcross.example/gateway/instance"
	"gotest.tools/v3/assert"
)

// quietPause is the time between two requests to an instance with few callers.
const quietPause = 1100 * time.Millisecond

// startZones starts two availability zones: graz with the named instances, of which the first
// coordinates, and wien with one instance.
func startZones(t *testing.T, f *fleet, names ...string) (graz []*runningInstance) {
	f.startTargets()
	for _, name := range names {
		r := f.start(name)
		r.awaitReady(t)
		graz = append(graz, r)
	}
	f.zone = "wien"
	wien := f.start("wien")
	wien.awaitReady(t)
	f.zone = "graz"
	for _, r := range append(graz, wien) {
		f.awaitResponse(r, "/menus/x", 0, "m")
		f.awaitResponse(r, "/lists/x", 5, "l")
	}
	t.Cleanup(func() { stopAll(append(graz, wien)) })
	return graz
}

func stopAll(list []*runningInstance) {
	var group sync.WaitGroup
	for _, r := range list {
		group.Go(func() { _ = r.stop() })
	}
	group.Wait()
}

// servedQuietly returns the share of requests that get a response at an instance with few callers.
func (f *fleet) servedQuietly(r *runningInstance) float64 {
	const rounds = 6
	served := 0
	for range rounds {
		for _, path := range []string{"/menus/x", "/lists/x"} {
			status, body := f.call(r, path, 5)
			if status == http.StatusOK {
				served++
				continue
			}
			f.t.Logf("%s: %d %s", path, status, body)
		}
		time.Sleep(quietPause)
	}
	return float64(served) / (2 * rounds)
}

// Guards against callers of a zone without links being refused though another zone serves.
func TestZoneWithoutLinksServes(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]instance.Cut{"silent": instance.Silent, "reset": instance.Reset, "refused": instance.Refused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			graz := startZones(t, f, "one", "two", "three", "four", "five", "six")
			for _, r := range graz {
				r.links.Set(cut)
			}
			time.Sleep(stableWindow)
			share := f.servedQuietly(graz[2])
			assert.Assert(t, share >= requiredShare, "%v", share)
		})
	}
}

// Guards against callers of a thin instance being refused while none of its hubs has links.
func TestThinInstanceServesWhileItsHubsHaveNoLinks(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.putAbsentInstances()
	f.cores = 0.8
	var names []string
	for n := range 6 {
		names = append(names, fmt.Sprint("hub", n))
	}
	graz := startZones(t, f, names...)
	f.cores = 0.1
	thin := f.start("thin")
	thin.awaitReady(t)
	f.awaitResponse(thin, "/menus/x", 0, "m")
	f.awaitResponse(thin, "/lists/x", 5, "l")
	for _, r := range append(graz, thin) {
		r.links.Set(instance.Reset)
	}
	time.Sleep(stableWindow)
	share := f.servedQuietly(thin)
	assert.Assert(t, share >= requiredShare, "%v", share)
}
