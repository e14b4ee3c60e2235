package instance_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"basilcross.example/gateway/instance"
	"gotest.tools/v3/assert"
)

const (
	// stableWindow is the time after which the users judge what a cut does.
	stableWindow = 3 * time.Second
	// requiredShare is how often the users require an instance without links to be served,
	// relative to the others.
	requiredShare = 2.0 / 3
)

// forEachCut runs a test for each way in which links are cut, with a fleet of the named instances.
func forEachCut(t *testing.T, names []string, test func(t *testing.T, cut instance.Cut, f *fleet, all map[string]*runningInstance)) {
	t.Parallel()
	for name, cut := range map[string]instance.Cut{"silent": instance.Silent, "reset": instance.Reset, "refused": instance.Refused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, all := startLinkedFleet(t, names...)
			test(t, cut, f, all)
		})
	}
}

// startTargets starts targets of a sharded and an unsharded service.
func (f *fleet) startTargets() {
	for n := range 4 {
		f.startTarget(fmt.Sprintf("m%d", n), "menus", false)
		f.startTarget(fmt.Sprintf("l%d", n), "lists", true)
	}
}

// startLinkedFleet starts instances in the order of their names, of which the first coordinates,
// and targets of a sharded and an unsharded service.
func startLinkedFleet(t *testing.T, names ...string) (*fleet, map[string]*runningInstance) {
	f := newFleet(t)
	f.startTargets()
	all := map[string]*runningInstance{}
	for _, name := range names {
		r := f.start(name)
		r.awaitReady(t)
		all[name] = r
		f.awaitResponse(r, "/menus/today", 0, "m")
		for key := 0; key < 1<<16; key += 1 << 12 {
			f.awaitResponse(r, "/lists/x", key, "l")
		}
	}
	return f, all
}

// servedShare returns the share of requests to both services that get a response.
func (f *fleet) servedShare(r *runningInstance, paths ...string) float64 {
	const requests = 32
	served := 0
	for n := range requests {
		for _, path := range paths {
			status, body := f.call(r, path, n<<11)
			if status == http.StatusOK {
				served++
				continue
			}
			f.t.Logf("%s with key %d: %d %s", path, n<<11, status, body)
		}
	}
	return float64(served) / float64(requests*len(paths))
}

// Guards against callers of an instance being refused because it reaches no target, while
// other instances do.
func TestInstanceWithoutLinksServes(t *testing.T) {
	forEachCut(t, []string{"one", "two", "three"}, func(t *testing.T, cut instance.Cut, f *fleet, all map[string]*runningInstance) {
		all["two"].links.Set(cut)
		time.Sleep(stableWindow)
		for _, path := range []string{"/menus/x", "/book/x", "/lists/x"} {
			share := f.servedShare(all["two"], path)
			assert.Assert(t, share >= requiredShare, "%s: %v", path, share)
		}
	})
}

// Guards against requests that other instances refuse because one without links has reported
// the targets as unreachable.
func TestInstanceWithoutLinksDoesNotHarmOthers(t *testing.T) {
	forEachCut(t, []string{"one", "two", "three"}, func(t *testing.T, cut instance.Cut, f *fleet, all map[string]*runningInstance) {
		all["two"].links.Set(cut)
		all["three"].links.Set(cut)
		stop := make(chan struct{})
		done := make(chan struct{}, 2)
		for _, from := range []string{"two", "three"} {
			go func() {
				defer func() { done <- struct{}{} }()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						f.call(all[from], []string{"/menus/x", "/lists/x"}[n%2], n<<11&0xffff)
					}
				}
			}()
		}
		time.Sleep(stableWindow)
		share := f.servedShare(all["one"], "/menus/x", "/lists/x")
		close(stop)
		<-done
		<-done
		assert.Assert(t, share >= 0.98, "%v", share)
	})
}

// Guards against keys that have no owner because the coordinator reaches no target, while
// other instances do.
func TestKeysAreServedWhileCoordinatorHasNoLinks(t *testing.T) {
	forEachCut(t, []string{"one", "two", "three"}, func(t *testing.T, cut instance.Cut, f *fleet, all map[string]*runningInstance) {
		all["one"].links.Set(cut)
		// Holds that were granted before the cut have expired by then.
		time.Sleep(2 * stableWindow)
		share := f.servedShare(all["two"], "/lists/x")
		assert.Assert(t, share >= 0.98, "%v", share)
	})
}

// Guards against keys without an owner for long after the links of all instances are back.
func TestKeysAreServedOnceLinksAreBack(t *testing.T) {
	forEachCut(t, []string{"one", "two"}, func(t *testing.T, cut instance.Cut, f *fleet, all map[string]*runningInstance) {
		for _, r := range all {
			r.links.Set(cut)
		}
		time.Sleep(2 * stableWindow)
		for _, r := range all {
			r.links.Set(instance.Linked)
		}
		time.Sleep(stableWindow)
		for name, r := range all {
			share := f.servedShare(r, "/lists/x")
			assert.Assert(t, share >= 0.98, "%s: %v", name, share)
		}
	})
}

// servedWithoutLinks returns how many requests were sent to two instances without links, and how many
// of these two others served, while end ends targets.
func servedWithoutLinks(t *testing.T, end func(targets []*mortalTarget)) (sent, served int64) {
	f, targets, all := startMortalFleet(t, "menus", false)
	stopOthers := f.callAround("/menus/x", []*runningInstance{all[0], all[3]})
	all[1].links.Set(instance.Reset)
	all[2].links.Set(instance.Reset)
	time.Sleep(stableWindow)
	stop := f.callAround("/menus/x", all[1:3])
	end(targets.all)
	sent, served = stop()
	stopOthers()
	t.Logf("%d of %d served", served, sent)
	return sent, served
}

// Guards against carriers that decline since the one target assigned has ended.
func TestInstanceCarriesWhileSomeTargetsHaveEnded(t *testing.T) {
	t.Parallel()
	sent, served := servedWithoutLinks(t, func(targets []*mortalTarget) {
		for n := range 9 {
			targets[n].end()
			time.Sleep(300 * time.Millisecond)
			if n%3 == 2 {
				time.Sleep(time.Second)
			}
		}
	})
	assert.Assert(t, float64(served) >= 0.95*float64(sent))
}

// Guards against carriers that decline since three targets have ended at once.
func TestEndedTargetsAreNotTakenForBrokenLinks(t *testing.T) {
	t.Parallel()
	sent, served := servedWithoutLinks(t, func(targets []*mortalTarget) {
		for round := range 4 {
			for n := range 3 {
				targets[3*round+n].end()
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond)
		}
	})
	assert.Assert(t, float64(served) >= 0.95*float64(sent))
}
