// Package target stands in for the users' servers: it takes fenced grants, has
// a few slots, works for a while, and keeps the truth about what it ran.
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
	// RequestHeader carries the caller's unique name of a request.
	RequestHeader = "X-Request-Id"
	// maxQueuePerSlot is how many requests wait for each slot before it sheds.
	maxQueuePerSlot = 4
	// warmupTime is how long a started target is slow, by coldFactor.
	warmupTime   = 2 * time.Second
	warmupFactor = 3
)

// Response is the body of an answer; Filler makes its length vary.
type Response struct {
	Request string `json:"request"`
	Target  string `json:"target"`
	Filler  string `json:"filler"`
	// Value is the key's value, the name of the last write.
	Value string `json:"value"`
	// Complete shows that the answer is whole.
	Complete bool `json:"end"`
}

// Target is one server. Create it with New, then Start.
type Target struct {
	Name    string
	Service deployment.Service
	// Fenced targets check grants.
	Fenced bool
	// MeanWork is the mean time of a request, by kind.
	MeanWork map[string]time.Duration
	IsWrite  map[string]bool
	History  *judge.History
	// Values outlive the targets, as the users' own storage does.
	Values *Values

	address string
	mu      sync.Mutex
	server  *http.Server
	guard   *grant.Guard
	started time.Time
	frozen  chan struct{}
	slots   chan struct{}
	waiting atomic.Int32
	// cache keeps values while the key is owned under one epoch.
	cache      map[string]cachedValue
	orderCount atomic.Int64
}

// Listen takes an address for the target's whole life.
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

// Kill ends the target as a crash would: connections break, memory is lost.
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

// Start brings a killed target back at the same address.
func (t *Target) Start() error {
	t.mu.Lock()
	running := t.server != nil
	t.mu.Unlock()
	if running {
		return nil
	}
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	t.serve(l)
	return nil
}

// Freeze stops the target as a paused process would stop; Thaw lets it go on
// as if nothing had happened.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen == nil {
		t.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen != nil {
		close(t.frozen)
		t.frozen = nil
	}
}

// Flush records what the target holds up to now.
func (t *Target) Flush() {
	t.mu.Lock()
	guard := t.guard
	t.mu.Unlock()
	guard.Flush(time.Now())
}

// OrderCount returns how many orders the target has taken.
func (t *Target) OrderCount() int64 { return t.orderCount.Load() }

// waitWhileFrozen blocks while the target is frozen.
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

// execution is one request on its way through the target.
type execution struct {
	run       judge.Run
	key       string
	value     string
	admission *grant.Admission
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request, guard *grant.Guard) {
	t.waitWhileFrozen()
	kind := r.PathValue("kind")
	j := &execution{key: r.PathValue("key"), run: judge.Run{
		Request: r.Header.Get(RequestHeader),
		Target:  t.Name,
		Service: t.Service.Name,
		Hash:    shard.Hash(t.Service.Name, r.PathValue("key")),
		Write:   t.IsWrite[kind],
	}}
	j.run.Unfenced = t.Service.Sharded && !t.Fenced
	if t.Service.Sharded && t.Fenced && !j.admit(w, r, guard) {
		return
	}
	if j.admission != nil {
		defer j.admission.Done()
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
	if err := t.commit(j); err != nil {
		var refused *grant.RefusedError
		if errors.As(err, &refused) {
			refuse(w, refused.Reason)
		}
		return
	}
	t.respond(w, j)
}

func (j *execution) admit(w http.ResponseWriter, r *http.Request, guard *grant.Guard) bool {
	j.run.Epoch, _ = strconv.ParseUint(r.Header.Get(grant.EpochHeader), 10, 64)
	admission, err := guard.Admit(time.Now(), j.run.Hash, j.run.Epoch)
	var refused *grant.RefusedError
	if errors.As(err, &refused) {
		refuse(w, refused.Reason)
		return false
	}
	j.admission = admission
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

// simulateWork takes the kind's time, exponentially distributed around its mean.
func (t *Target) simulateWork(ctx context.Context, kind string) bool {
	mean := t.MeanWork[kind]
	t.mu.Lock()
	if time.Since(t.started) < warmupTime {
		mean *= warmupFactor
	}
	t.mu.Unlock()
	took := time.Duration(float64(mean) * (0.5 + mathrand.ExpFloat64()/2))
	select {
	case <-time.After(took):
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) commit(j *execution) error {
	effect := func(now time.Time) {
		j.run.At = now
		t.History.AddRun(j.run)
		t.accessValue(j)
	}
	if j.admission != nil {
		return j.admission.Commit(effect)
	}
	effect(time.Now())
	return nil
}

// accessValue reads or writes the key's value. The target trusts its memory as long
// as it owns the key, which is what sole ownership is for.
func (t *Target) accessValue(j *execution) {
	if !t.Service.Sharded {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.cache[j.key]
	if !ok || known.epoch != j.run.Epoch || !t.Fenced {
		known = cachedValue{epoch: j.run.Epoch, value: t.Values.get(j.key)}
	}
	if j.run.Write {
		known.value = j.run.Request
		t.Values.set(j.key, known.value)
	}
	t.cache[j.key] = known
	j.value = known.value
}

func (t *Target) respond(w http.ResponseWriter, j *execution) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{
		Request:  j.run.Request,
		Target:   t.Name,
		Value:    j.value,
		Filler:   strings.Repeat("x", int(j.run.Hash%900)),
		Complete: true,
	})
}
