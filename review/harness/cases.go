package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	safe   = "safe"
	unsafe = "unsafe"
)

// service is a service of the configuration.
type service struct {
	name    string
	sharded bool
	// kind is the type of its route.
	kind string
}

func (s service) host() string   { return s.name + ".example" }
func (s service) prefix() string { return "/" + s.name + "/" }

// putConfig writes the operator's configuration: a route for each service.
func (w *world) putConfig(services []service) {
	var routes, list []any
	for i, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s.name, "host": s.host(), "prefix": s.prefix(), "route_type": s.kind, "timeout": "5000ms",
			"target_latency": "1500ms", "priority": i + 1, "service": s.name, "max_attempts": 3,
		})
		fields := map[string]any{"name": s.name, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}
		if s.sharded {
			fields["sharded"], fields["warm"], fields["grants"] = true, "5s", "direct"
		}
		list = append(list, fields)
	}
	w.store.put("op", "config", map[string]any{
		"version": "r7", "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
}

// startEndpoints starts endpoints of a service, in both zones in turn.
func (w *world) startEndpoints(s service, group, n int, work func() time.Duration) (list []*endpoint) {
	for i := range n {
		e := &endpoint{
			id: fmt.Sprintf("i-%s-%d-%04x", s.name, i+1, rand.IntN(1<<16)), service: s.name, zone: fmt.Sprintf("z%d", i%2+1),
			address: w.freeAddress(group, i+1), slots: 3, queue: 12, sharded: s.sharded, work: work, store: w.store, record: w.record, size: 500,
		}
		must(e.start())
		list = append(list, e)
	}
	w.endpoints = append(w.endpoints, list...)
	return list
}

func workOf(mean time.Duration) func() time.Duration {
	return func() time.Duration { return mean/2 + rand.N(mean) }
}

// newRequest returns a request to a service, with a random key if it is divided.
func (w *world) newRequest(s service) *request {
	q := &request{
		id: w.newID(), host: s.host(), path: s.prefix() + "x", method: "GET", key: -1, limit: 8 * time.Second,
		idempotent: s.kind == safe, service: s.name,
	}
	if s.kind == unsafe {
		q.method, q.body = "POST", strings.Repeat("b", 300)
	}
	if s.sharded {
		q.key = rand.IntN(1 << 16)
	}
	return q
}

// steady is how long the steady part of a case lasts before the disruption.
const steady = 15 * time.Second

// ownerCase: another writer's entry names a service that no configuration has, at an endpoint's address.
func ownerCase(w *world) int {
	s := service{"ledger", true, safe}
	w.startStore()
	w.putConfig([]service{s})
	endpoints := w.startEndpoints(s, 10, 8, workOf(120*time.Millisecond))
	w.startGateways([]string{"z1", "z1", "z2"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	load := w.load(30, stop, func() *request { return w.newRequest(s) })
	time.Sleep(steady)
	if w.trouble {
		victim := endpoints[0]
		w.record.say("another writer writes an entry with the service unheard-of and the address of endpoint %s", victim.id)
		w.store.put("servers", "i-other-1", map[string]any{
			"address": victim.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "unheard-of", "version": "v1", "zone": victim.zone, "slots": 3},
			"status": map[string]any{"state": "ready", "seq": 1, "warmup_left": "0ms"},
		})
	}
	time.Sleep(10 * time.Second)
	close(stop)
	load.Wait()
	w.record.say("answers by status: %v", w.summary())
	found := overlaps(endpoints, 500*time.Millisecond)
	for _, o := range found {
		w.record.say("keys %d-%d are held by %s (fence %d) and %s (fence %d) at the same time for %d ms", o.first, o.last,
			o.a.endpoint.id, o.a.fence, o.b.endpoint.id, o.b.fence, o.until.Sub(o.from).Milliseconds())
	}
	if len(found) > 0 {
		w.record.say("OWNER is broken")
		return broken
	}
	w.record.say("OWNER held")
	return held
}

// twiceCase: endpoints are replaced one after the other, and the new ones send a few of their answers a second
// time, late.
func twiceCase(w *world) int {
	s := service{"ledger", true, unsafe}
	const count, replaced = 12, 10
	w.startStore()
	w.putConfig([]service{s})
	endpoints := w.startEndpoints(s, 10, count, workOf(120*time.Millisecond))
	w.startGateways([]string{"z1", "z2", "z1", "z2", "z1", "z2", "z1", "z2", "z1", "z2", "z1"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	load := w.load(130, stop, func() *request { return w.newRequest(s) })
	time.Sleep(8 * time.Second)
	var faulty []*faults
	for i, old := range endpoints[:replaced] {
		e := &endpoint{
			id: fmt.Sprintf("i-ledger-new-%d", i+1), service: s.name, zone: old.zone, address: w.freeAddress(11, i+1),
			slots: 3, queue: 12, sharded: true, work: workOf(120 * time.Millisecond), store: w.store, record: w.record, size: 500,
		}
		began := time.Now()
		e.orderDelay = func() time.Duration {
			if time.Since(began) < slowStart {
				return slowOrder
			}
			return 0
		}
		f := &faults{until: began.Add(faultyFor)}
		faulty = append(faulty, f)
		if w.trouble {
			e.extra = f.choose
		}
		must(e.start())
		endpoints, w.endpoints = append(endpoints, e), append(w.endpoints, e)
		w.record.add("endpoint %s starts, and replaces %s", e.id, old.id)
		time.Sleep(time.Second)
		old.drain(3 * time.Second)
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	load.Wait()
	for i, f := range faulty {
		w.record.say("endpoint i-ledger-new-%d sent %d of its %d answers of %s a second time", i+1, f.extras, f.answers, faultyFor)
	}
	w.record.say("answers by status: %v", w.summary())
	twice, refused := 0, 0
	w.outcomes.Range(func(_, value any) bool {
		res := value.(*result)
		runs := w.record.runsOf(res.request.id)
		if len(runs) > 1 {
			w.record.say("request %s ran %d times, at %v; its client got %d", res.request.id, len(runs), runs, res.status)
			twice++
		}
		if (res.status == 503 || res.status == 429) && len(runs) > 0 {
			w.record.say("request %s was answered %d and ran at %v", res.request.id, res.status, runs)
			refused++
		}
		return true
	})
	if twice+refused > 0 {
		w.record.say("TWICE is broken by %d requests, REFUSED by %d", twice, refused)
		return broken
	}
	w.record.say("TWICE and REFUSED held")
	return held
}

const (
	// An endpoint that has just started is slow for slowStart: it carries out an order after slowOrder.
	slowStart = 3 * time.Second
	slowOrder = 200 * time.Millisecond
	// A faulty endpoint sends extraShare of its answers a second time, for faultyFor.
	extraShare = 0.03
	faultyFor  = 5 * time.Second
)

// faults chooses the answers that an endpoint sends a second time: refusals first.
type faults struct {
	until time.Time

	mu              sync.Mutex
	answers, extras int
}

func (f *faults) choose(status int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().After(f.until) {
		return false
	}
	f.answers++
	if status == 200 || f.extras > 0 && float64(f.extras+1) > extraShare*float64(f.answers) {
		return false
	}
	f.extras++
	return true
}

const (
	// For hotFor, hotShare of the requests are to hotCount neighbouring keys.
	hotShare = 0.4
	hotCount = 200
	hotFor   = 5 * time.Second
)

// handedCase: other keys become busy every few seconds, each time keys of an endpoint that is faulty meanwhile: some
// endpoints send a few of their answers a second time, late.
func handedCase(w *world) int {
	s := service{"ledger", true, safe}
	const count, faultyCount, rounds, pause = 8, 4, 11, 1000 * time.Millisecond
	w.startStore()
	w.putConfig([]service{s})
	endpoints := w.startEndpoints(s, 10, count, workOf(500*time.Millisecond))
	var mu sync.Mutex
	violations, extras, answers, faulty := 0, 0, 0, false
	for i, e := range endpoints {
		e.granted = func(first, last int) {
			for _, other := range endpoints {
				if keys := other.working(first, last); other != e && len(keys) > 0 {
					w.record.say("endpoint %s is given the keys %d-%d while %s is at work on the released keys %v of them", e.id, first, last, other.id, keys)
					mu.Lock()
					violations++
					mu.Unlock()
				}
			}
		}
		if i >= faultyCount || !w.trouble {
			continue
		}
		own, ownExtras := 0, 0
		count := func(may bool) bool {
			mu.Lock()
			defer mu.Unlock()
			if !faulty {
				return false
			}
			own++
			answers++
			if !may || float64(ownExtras+1) > extraShare*float64(own) {
				return false
			}
			ownExtras++
			extras++
			return true
		}
		e.extra = func(int) bool { return count(false) }
		e.extraOrder = func(path string) bool { return count(path == "/v1/release") }
	}
	w.startGateways([]string{"z1", "z1", "z2"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var hot struct {
		sync.Mutex
		first int
	}
	hot.first = -1
	load := w.load(24, stop, func() *request {
		q := w.newRequest(s)
		hot.Lock()
		defer hot.Unlock()
		if hot.first >= 0 && rand.Float64() < hotShare {
			q.key = hot.first + rand.IntN(hotCount)
		}
		return q
	})
	setFaulty := func(is bool) {
		mu.Lock()
		defer mu.Unlock()
		faulty = is
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		hot.Lock()
		hot.first = endpoints[rand.IntN(faultyCount)].someKeys(hotCount)
		w.record.add("keys %d-%d are busy", hot.first, hot.first+hotCount-1)
		hot.Unlock()
		setFaulty(true)
		time.Sleep(hotFor)
		hot.Lock()
		hot.first = -1
		hot.Unlock()
		setFaulty(false)
		time.Sleep(pause)
	}
	close(stop)
	load.Wait()
	w.record.say("answers by status: %v", w.summary())
	mu.Lock()
	defer mu.Unlock()
	w.record.say("the faulty endpoints sent %d of %d answers a second time", extras, answers)
	if violations > 0 {
		w.record.say("OWNER is broken %d times", violations)
		return broken
	}
	w.record.say("OWNER held")
	return held
}
