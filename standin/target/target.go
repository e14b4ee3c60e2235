// Package target simulates the users' servers: a target accepts fenced grants, has a
// few slots, takes time for each request, and records what it executed.
package target

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/shard"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
)

const (
	// RequestHeader carries the caller's unique ID of a request.
	RequestHeader = "X-Request-Id"
	// FillerHeader has the size of the filler that the caller wants, in bytes.
	FillerHeader = "X-Filler"
	// maxQueuePerSlot is how many requests wait per slot before the target sheds.
	maxQueuePerSlot = 4
	// warmupTime is how long after a start requests take warmupFactor times as long.
	warmupTime   = 2 * time.Second
	warmupFactor = 3
)

// Response is the body of a response; Filler varies its length.
type Response struct {
	Request string `json:"request"`
	Target  string `json:"target"`
	Filler  string `json:"filler"`
	// Value is the key's value: the ID of the last request that wrote it.
	Value string `json:"value"`
	// Complete is the last field, true unless the response is truncated.
	Complete bool `json:"end"`
}

// Target is one simulated server. Set the exported fields, then call Listen.
type Target struct {
	Name    string
	Service deployment.Service
	// Fenced targets admit only requests that their grants cover.
	Fenced bool
	// MeanWork is the mean processing time of a request, by kind.
	MeanWork map[string]time.Duration
	// IsWrite is true for the kinds that write.
	IsWrite map[string]bool
	History *judge.History
	// Values survive restarts of the targets, as the users' own storage does.
	Values *Values

	address string
	mu      sync.Mutex
	server  *http.Server
	guard   *grant.Guard
	started time.Time
	frozen  chan struct{}
	slots   chan struct{}
	waiting atomic.Int32
	// cache has the values of keys, each valid for one epoch of its owner.
	cache      map[string]cachedValue
	orderCount atomic.Int64
	// breaking is set while some responses are broken; broken counts the requests meanwhile.
	breaking atomic.Bool
	broken   atomic.Int64
}

// Listen starts the target at a free address, which it keeps across restarts.
func (t *Target) Listen() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	t.address = l.Addr().String()
	t.slots = make(chan struct{}, t.Service.Slots)
	t.serve(l)
	return t.address, nil
}

func (t *Target) serve(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	guard := &grant.Guard{Incarnation: rand.Text()}
	guard.OnHeld = func(g grant.Grant, from, until time.Time) {
		if !t.Fenced {
			return
		}
		t.History.AddHold(judge.Hold{
			Target: t.Name, Service: t.Service.Name, First: g.First, Last: g.Last, Epoch: g.Epoch, From: from, Until: until,
		})
	}
	t.guard = guard
	t.cache = map[string]cachedValue{}
	t.started = time.Now()
	t.server = &http.Server{Handler: t.handler(guard), ReadHeaderTimeout: time.Minute}
	server := t.server
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(l) })
}

// Kill simulates a crash: connections break and memory is lost.
func (t *Target) Kill() {
	t.mu.Lock()
	server, guard := t.server, t.guard
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	guard.Flush(time.Now())
}

// Start restarts a killed target at the same address.
func (t *Target) Start() error {
	t.mu.Lock()
	running := t.server != nil
	t.mu.Unlock()
	if running {
		return nil
	}
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return fmt.Errorf("start target %s: %w", t.Name, err)
	}
	t.serve(l)
	return nil
}

// Freeze blocks the target as if its process were paused, until Thaw.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen == nil {
		t.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen target continue.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen != nil {
		close(t.frozen)
		t.frozen = nil
	}
}

// Flush records the target's holds up to now in the History.
func (t *Target) Flush() {
	t.mu.Lock()
	guard := t.guard
	t.mu.Unlock()
	guard.Flush(time.Now())
}

// OrderCount returns how many orders the target has received.
func (t *Target) OrderCount() int64 { return t.orderCount.Load() }

func (t *Target) waitWhileFrozen() {
	t.mu.Lock()
	frozen := t.frozen
	t.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (t *Target) handler(guard *grant.Guard) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+grant.Path, func(w http.ResponseWriter, r *http.Request) { t.handleOrder(w, r, guard) })
	mux.HandleFunc("/{service}/{kind}/{key}", func(w http.ResponseWriter, r *http.Request) { t.handleRequest(w, r, guard) })
	return mux
}

func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request, guard *grant.Guard) {
	var o grant.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.waitWhileFrozen()
	t.orderCount.Add(1)
	_ = json.NewEncoder(w).Encode(guard.Apply(time.Now(), o))
}

func refuse(w http.ResponseWriter, reason grant.RefusalReason) {
	w.Header().Set(grant.RefusedHeader, string(reason))
	w.WriteHeader(http.StatusConflict)
}

type execution struct {
	run       judge.Run
	key       string
	value     string
	admission *grant.Admission
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request, guard *grant.Guard) {
	t.waitWhileFrozen()
	w.Header().Set(grant.AttemptHeader, r.Header.Get(grant.AttemptHeader))
	breakKind, breaks := t.breaks()
	if !t.receiveBody(w, r, breaks) {
		return
	}
	kind := r.PathValue("kind")
	e := &execution{key: r.PathValue("key"), run: judge.Run{
		Request: r.Header.Get(RequestHeader),
		Target:  t.Name,
		Service: t.Service.Name,
		Hash:    shard.Hash(t.Service.Name, r.PathValue("key")),
		Write:   t.IsWrite[kind],
	}}
	e.run.Unfenced = t.Service.Sharded && !t.Fenced
	if t.Service.Sharded && t.Fenced && !e.admit(w, r, guard) {
		return
	}
	if e.admission != nil {
		defer e.admission.Done()
	}
	if !t.acquireSlot(r.Context()) {
		refuse(w, grant.Shed)
		return
	}
	defer func() { <-t.slots }()
	if !t.simulateWork(r.Context(), kind) {
		return
	}
	t.waitWhileFrozen()
	if err := t.commit(e); err != nil {
		var refused *grant.RefusedError
		if errors.As(err, &refused) {
			refuse(w, refused.Reason)
		}
		return
	}
	filler, err := strconv.Atoi(r.Header.Get(FillerHeader))
	if err != nil {
		filler = int(e.run.Hash % 900)
	}
	response := t.response(e, filler)
	if breaks {
		t.respondBroken(w, r, response, breakKind)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// admit checks the request against the grants; it responds and returns false if refused.
func (e *execution) admit(w http.ResponseWriter, r *http.Request, guard *grant.Guard) bool {
	e.run.Epoch, _ = strconv.ParseUint(r.Header.Get(grant.EpochHeader), 10, 64)
	admission, err := guard.Admit(time.Now(), e.run.Hash, e.run.Epoch)
	var refused *grant.RefusedError
	if errors.As(err, &refused) {
		refuse(w, refused.Reason)
		return false
	}
	e.admission = admission
	return true
}

func (t *Target) acquireSlot(ctx context.Context) bool {
	if int(t.waiting.Add(1)) > t.Service.Slots*maxQueuePerSlot {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// simulateWork waits for half the kind's mean time plus an exponentially distributed
// time with the same mean. It returns false if the context ends first.
func (t *Target) simulateWork(ctx context.Context, kind string) bool {
	mean := t.MeanWork[kind]
	t.mu.Lock()
	if time.Since(t.started) < warmupTime {
		mean *= warmupFactor
	}
	t.mu.Unlock()
	duration := time.Duration(float64(mean) * (0.5 + mathrand.ExpFloat64()/2))
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) commit(e *execution) error {
	effect := func(now time.Time) {
		e.run.At = now
		t.History.AddRun(e.run)
		t.accessValue(e)
	}
	if e.admission != nil {
		return e.admission.Commit(effect)
	}
	effect(time.Now())
	return nil
}

// accessValue reads or writes the key's value. A fenced target trusts its cache
// within an epoch, as sole ownership of the key permits.
func (t *Target) accessValue(e *execution) {
	if !t.Service.Sharded {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.cache[e.key]
	if !ok || entry.epoch != e.run.Epoch || !t.Fenced {
		entry = cachedValue{epoch: e.run.Epoch, value: t.Values.get(e.key)}
	}
	if e.run.Write {
		entry.value = e.run.Request
		t.Values.set(e.key, entry.value)
	}
	t.cache[e.key] = entry
	e.value = entry.value
}

func (t *Target) response(e *execution, filler int) Response {
	return Response{
		Request:  e.run.Request,
		Target:   t.Name,
		Value:    e.value,
		Filler:   strings.Repeat("x", filler),
		Complete: true,
	}
}
