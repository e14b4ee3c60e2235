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
			address: w.freeAddress(group, i+1), slots: 3, queue: 12, sharded: s.sharded, work: work, store: w.store, record: w.record,
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

// entryWriteTime is how long the steady part of a case lasts before the disruption.
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

// routeCase: endpoints of two services that are divided by key leave at the same time.
func routeCase(w *world) int {
	services := []service{{"alpha", true, safe}, {"beta", true, unsafe}}
	const count, leaving = 120, 30
	w.startStore()
	w.putConfig(services)
	lists := map[string][]*endpoint{}
	for i, s := range services {
		lists[s.name] = w.startEndpoints(s, 10+i, count, workOf(60*time.Millisecond))
	}
	w.startGateways([]string{"z1", "z1", "z2"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var next struct {
		sync.Mutex
		n int
	}
	load := w.load(150, stop, func() *request {
		next.Lock()
		defer next.Unlock()
		next.n++
		return w.newRequest(services[next.n%2])
	})
	time.Sleep(steady)
	if w.trouble {
		for i := range leaving {
			for _, s := range services {
				lists[s.name][i].drain(6 * time.Second)
			}
		}
		w.record.say("%d of %d endpoints of each service drain and leave", leaving, count)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	load.Wait()
	w.record.say("answers by status: %v", w.summary())
	wrong, foreign := 0, 0
	w.outcomes.Range(func(_, value any) bool {
		res := value.(*result)
		for _, run := range w.record.runsOf(res.request.id) {
			if !strings.HasSuffix(run, "/"+res.request.service) {
				w.record.add("request %s to service %s was run at %s", res.request.id, res.request.service, run)
				wrong++
			}
		}
		if res.status == 200 && !strings.Contains(res.body, "service="+res.request.service+" ") {
			foreign++
		}
		return true
	})
	w.record.say("%d requests were run by a service to which no config allows them to go; %d successes of such a service were returned", wrong, foreign)
	if wrong > 0 {
		w.record.say("ROUTE is broken")
		return broken
	}
	w.record.say("ROUTE held")
	return held
}

// twiceCase: the endpoints that replace others send a few of their answers a second time, late.
func twiceCase(w *world) int {
	s := service{"ledger", true, unsafe}
	w.startStore()
	w.putConfig([]service{s})
	endpoints := w.startEndpoints(s, 10, 8, workOf(120*time.Millisecond))
	w.startGateways([]string{"z1", "z1", "z2"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	load := w.load(60, stop, func() *request { return w.newRequest(s) })
	time.Sleep(8 * time.Second)
	for i, old := range endpoints[:4] {
		e := &endpoint{
			id: fmt.Sprintf("i-ledger-new-%d", i+1), service: s.name, zone: old.zone, address: w.freeAddress(11, i+1),
			slots: 3, queue: 12, sharded: true, work: workOf(120 * time.Millisecond), store: w.store, record: w.record,
		}
		began := time.Now()
		e.orderDelay = func() time.Duration {
			if time.Since(began) < 3*time.Second {
				return 150 * time.Millisecond
			}
			return 0
		}
		if w.trouble {
			e.extra = limitedExtras()
		}
		must(e.start())
		endpoints, w.endpoints = append(endpoints, e), append(w.endpoints, e)
		w.record.add("endpoint %s starts, and replaces %s", e.id, old.id)
		time.Sleep(time.Second)
		old.drain(3 * time.Second)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	load.Wait()
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

// limitedExtras returns a choice of the answers that are sent a second time: refusals, but no more than 3 in
// 100 of all answers.
func limitedExtras() func(status int) bool {
	var mu sync.Mutex
	answers, extras := 0, 0
	return func(status int) bool {
		mu.Lock()
		defer mu.Unlock()
		answers++
		if status == 200 || float64(extras+1) > 0.03*float64(answers)+1 {
			return false
		}
		extras++
		return true
	}
}
