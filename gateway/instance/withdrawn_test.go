package instance_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"basilcross.example/platform/standin"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

const (
	// restSlack is the time after an answer that asks for rest in which the users count no requests, and
	// maxInRest how many may come later in the rest.
	restSlack = 500 * time.Millisecond
	maxInRest = 2
	// drainAim is the time after an answer of a leaving target after which it must get nothing: half of the
	// least that the users allow.
	drainAim = time.Second
)

// withdrawingTarget is a target that may rest or leave, and what it got.
type withdrawingTarget struct {
	f  *fleet
	id string

	mu       sync.Mutex
	rest     string
	resting  map[*runningInstance]bool
	leaving  bool
	arrivals []arrival
}

type arrival struct {
	from *runningInstance
	at   time.Time
	// rested is set if the answer asked for rest, and left if it stated that the target leaves.
	rested, left bool
}

// askForRest makes the target turn away instances for the given number of seconds; an empty text ends it.
func (w *withdrawingTarget) askForRest(text string, instances ...*runningInstance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest, w.resting = text, map[*runningInstance]bool{}
	for _, r := range instances {
		w.resting[r] = true
	}
}

func (w *withdrawingTarget) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// restFor records an arrival and returns the rest that its answer asks for.
func (w *withdrawingTarget) restFor(r *http.Request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := arrival{at: time.Now(), left: w.leaving}
	for _, i := range w.f.running {
		if i.links.Opened(r.RemoteAddr) {
			a.from = i
		}
	}
	a.rested = w.rest != "" && w.resting[a.from]
	w.arrivals = append(w.arrivals, a)
	if a.rested {
		return w.rest
	}
	return ""
}

func (w *withdrawingTarget) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// mostInRest returns the highest number of requests of one instance in a rest.
func (w *withdrawingTarget) mostInRest(rest time.Duration) (most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, asked := range w.arrivals {
		if !asked.rested {
			continue
		}
		n := 0
		for _, a := range w.arrivals[k+1:] {
			if after := a.at.Sub(asked.at); a.from == asked.from && after > restSlack && after < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// lateAfterLeaving returns the number of requests that an instance sent later than drainAim after an answer of
// the target that stated that it leaves.
func (w *withdrawingTarget) lateAfterLeaving() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	told := map[*runningInstance]time.Time{}
	for _, a := range w.arrivals {
		first, known := told[a.from]
		switch {
		case known && a.at.Sub(first) > drainAim:
			n++
		case !known && a.left:
			told[a.from] = a.at
		}
	}
	return n
}

func (w *withdrawingTarget) since(at time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.at.After(at) {
			n++
		}
	}
	return n
}

func (f *fleet) startWithdrawingTargets(n int, service string, sharded bool) (all []*withdrawingTarget) {
	for k := range n {
		w := &withdrawingTarget{f: f, id: service[:1] + strconv.Itoa(k)}
		target := &standin.Target{ID: w.id, Sharded: sharded, Rest: w.restFor, Leaving: w.isLeaving}
		work := 100 * time.Millisecond
		if sharded {
			work = 20 * time.Millisecond
		}
		target.OnRun = func(*http.Request) { time.Sleep(work) }
		server := httptest.NewServer(target)
		f.t.Cleanup(server.Close)
		f.addresses[w.id] = strings.TrimPrefix(server.URL, "http://")
		f.setTarget(w.id, service, "ready")
		all = append(all, w)
	}
	return all
}

// startWithdrawingFleet starts four instances, eight targets of the service menus and four of the sharded service
// lists.
func startWithdrawingFleet(t *testing.T) (f *fleet, menus, lists []*withdrawingTarget, all []*runningInstance) {
	f = newFleet(t)
	menus, lists = f.startWithdrawingTargets(8, "menus", false), f.startWithdrawingTargets(4, "lists", true)
	for _, name := range []string{"one", "two", "three", "four"} {
		r := f.start(name)
		r.awaitReady(t)
		f.awaitResponse(r, "/menus/x", 0, "m")
		all = append(all, r)
	}
	for key := 0; key < 1<<16; key += 1 << 12 {
		f.awaitResponse(all[0], "/lists/x", key, "l")
	}
	return f, menus, lists, all
}

// Guards against a target that asks for rest and gets more, since each path sends on by what it knows itself.
func TestRestingTargetsGetFewRequests(t *testing.T) {
	t.Parallel()
	f, menus, _, all := startWithdrawingFleet(t)
	f.callSteadily(time.Second, 7*time.Millisecond, all)
	menus[0].askForRest("3", all...)
	menus[1].askForRest("3", all...)
	var group errgroup.Group
	// More callers than the other targets have slots make the resting ones look idle.
	group.Go(func() error {
		f.callAtOnce(16, 7*time.Second, all)
		return nil
	})
	sent, served := f.callSteadily(7*time.Second, 20*time.Millisecond, all)
	_ = group.Wait()
	for _, w := range menus[:2] {
		t.Logf("%s: at most %d requests of an instance in a rest", w.id, w.mostInRest(3*time.Second))
		assert.Check(t, w.mostInRest(3*time.Second) <= maxInRest)
	}
	t.Logf("%d of %d served", served, sent)
	assert.Check(t, float64(served) >= 0.99*float64(sent))
	menus[0].askForRest("")
	menus[1].askForRest("")
	f.callSteadily(3500*time.Millisecond, 7*time.Millisecond, all)
	over := time.Now()
	f.callAtOnce(30, time.Second, all)
	for _, w := range menus {
		t.Logf("%s: %d requests after the rest", w.id, w.since(over))
	}
	for _, w := range menus[:2] {
		assert.Check(t, w.since(over) > 10, "%d requests after the rest", w.since(over))
	}
}

// Guards against an instance that all targets of a service turn away: others serve its callers.
func TestInstanceThatAllTargetsTurnAwayServes(t *testing.T) {
	t.Parallel()
	f, menus, _, all := startWithdrawingFleet(t)
	for _, w := range menus {
		w.askForRest("3", all[0])
	}
	sent, served := f.callSteadily(7*time.Second, 15*time.Millisecond, all[:1])
	for _, w := range menus {
		assert.Check(t, w.mostInRest(3*time.Second) <= maxInRest, "%s: %d", w.id, w.mostInRest(3*time.Second))
	}
	t.Logf("%d of %d served", served, sent)
	assert.Check(t, float64(served) >= 0.95*float64(sent))
}

// Guards against a service all of whose targets rest, and against callers that wait for what cannot be served.
func TestServiceThatRestsIsLeftAlone(t *testing.T) {
	t.Parallel()
	f, menus, _, all := startWithdrawingFleet(t)
	for _, w := range menus {
		w.askForRest("3", all...)
	}
	f.callSteadily(7*time.Second, 15*time.Millisecond, all)
	for _, w := range menus {
		assert.Check(t, w.mostInRest(3*time.Second) <= maxInRest, "%s: %d", w.id, w.mostInRest(3*time.Second))
	}
	start := time.Now()
	status, _ := f.call(all[0], "/menus/x", 0)
	assert.Check(t, status == http.StatusServiceUnavailable && time.Since(start) < time.Second, "%d after %v", status, time.Since(start))
}

// Guards against owners of keys that ask for rest and get more: no other target may serve in their place.
func TestRestingOwnersGetFewRequests(t *testing.T) {
	t.Parallel()
	f, _, lists, all := startWithdrawingFleet(t)
	lists[0].askForRest("3", all[0], all[1])
	sent, served := f.callKeys(7*time.Second, 15*time.Millisecond, all)
	assert.Check(t, lists[0].mostInRest(3*time.Second) <= maxInRest, "%d", lists[0].mostInRest(3*time.Second))
	t.Logf("%d of %d served", served, sent)
	assert.Check(t, float64(served) >= 0.95*float64(sent), "others carry the requests")
}

// Guards against targets that leave, say so in their answers, and get new requests seconds later.
func TestTargetsThatStateToLeaveGetNothing(t *testing.T) {
	t.Parallel()
	f, menus, _, all := startWithdrawingFleet(t)
	f.callSteadily(time.Second, 7*time.Millisecond, all)
	menus[0].leave()
	menus[1].leave()
	sent, served := f.callSteadily(6*time.Second, 7*time.Millisecond, all)
	for _, w := range menus[:2] {
		assert.Check(t, w.lateAfterLeaving() == 0, "%s: %d requests late", w.id, w.lateAfterLeaving())
	}
	t.Logf("%d of %d served", served, sent)
	assert.Check(t, float64(served) >= 0.99*float64(sent))
}

// Guards against keys that stay with an owner that leaves and says so in its answers only.
func TestOwnersThatStateToLeaveGetNothing(t *testing.T) {
	t.Parallel()
	f, _, lists, all := startWithdrawingFleet(t)
	lists[0].leave()
	sent, served := f.callKeys(6*time.Second, 15*time.Millisecond, all)
	assert.Check(t, lists[0].lateAfterLeaving() == 0, "%d requests late", lists[0].lateAfterLeaving())
	t.Logf("%d of %d served", served, sent)
	assert.Check(t, float64(served) >= 0.95*float64(sent))
}

// Guards against thin instances, whose hubs find the targets for them, sending to targets that rest or leave.
func TestThinInstancesKeepRests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.putAbsentInstances()
	menus := f.startWithdrawingTargets(6, "menus", false)
	var all []*runningInstance
	for n := range 8 {
		f.cores = 0.8
		if n >= 6 {
			f.cores = 0.1
		}
		all = append(all, f.start("i"+strconv.Itoa(n)))
	}
	for _, r := range all {
		r.awaitReady(t)
		f.awaitResponse(r, "/menus/x", 0, "m")
	}
	menus[0].askForRest("3", all...)
	menus[1].leave()
	var group errgroup.Group
	group.Go(func() error {
		f.callSteadily(7*time.Second, 15*time.Millisecond, all[:2])
		return nil
	})
	sent, served := f.callSteadily(7*time.Second, 15*time.Millisecond, all[6:])
	_ = group.Wait()
	assert.Check(t, menus[0].mostInRest(3*time.Second) <= maxInRest, "%d", menus[0].mostInRest(3*time.Second))
	assert.Check(t, menus[1].lateAfterLeaving() == 0, "%d requests late", menus[1].lateAfterLeaving())
	t.Logf("%d of %d served", served, sent)
	assert.Check(t, float64(served) >= 0.99*float64(sent))
}
