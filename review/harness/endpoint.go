package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint is a stand-in for an endpoint of a service. It speaks HTTP/1.1 on its own connections, runs
// at most slots requests at a time and queues a few more, and runs requests with keys only while it
// holds these.
type endpoint struct {
	id, service, zone, address string
	slots, queue               int
	sharded                    bool
	work                       func() time.Duration
	store                      *store
	record                     *record
	born                       int64
	// orderDelay is how long the endpoint takes to carry out an order: one that has just started is slow.
	orderDelay func() time.Duration
	// extra, if set, is asked after each answer whether the endpoint sends it a second time, late.
	extra func(status int) bool
	// extraOrder is the same for answers to orders.
	extraOrder func(path string) bool
	// size is the size of the successes' bodies, besides a text.
	size int
	// granted, if set, is called after the endpoint has accepted a grant.
	granted func(first, last int)

	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	holds   []*hold
	history []*hold
	fences  []fenced
	running int
	waiting int
	freed   chan struct{}
	state   string
	seq     int64
	ended   bool
	endedAt time.Time
	begun   map[int]int
	// released are the keys that were released while work on them was running, until that ends, each with
	// the end that its hold had before.
	released map[int]time.Time
	idle     chan struct{}
}

// hold is a range of keys that the endpoint holds from a moment until another.
type hold struct {
	first, last int
	fence       int64
	from, until time.Time
	endpoint    *endpoint
}

type fenced struct {
	first, last int
	fence       int64
}

// start opens the endpoint's address and writes its entry.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.listener, e.conns, e.state, e.seq = l, map[net.Conn]bool{}, "ready", 1
	e.freed, e.begun, e.idle, e.released = make(chan struct{}), map[int]int{}, make(chan struct{}), map[int]time.Time{}
	if e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	e.writeEntry()
	return nil
}

// entry is what the endpoint says of itself in the store.
func (e *endpoint) entry() map[string]any {
	return map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": e.state, "seq": e.seq, "warmup_left": "0ms"},
	}
}

func (e *endpoint) writeEntry() {
	e.mu.Lock()
	entry := e.entry()
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

// drain reports that the endpoint leaves; it serves on for the given time and then ends.
func (e *endpoint) drain(serveOn time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	e.seq++
	e.mu.Unlock()
	e.writeEntry()
	e.record.add("endpoint %s draining", e.id)
	time.AfterFunc(serveOn, func() {
		e.store.remove("servers", e.id)
		e.end()
	})
}

// end ends the endpoint's process.
func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended, e.endedAt = true, time.Now()
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	for _, h := range e.holds {
		h.until = earlierOf(h.until, e.endedAt)
	}
	e.record.add("endpoint %s ended", e.id)
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// answer is a response of the endpoint.
type answer struct {
	status int
	header map[string]string
	body   string
}

func (a *answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

func (e *endpoint) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		var to io.Writer = &body
		if !strings.HasPrefix(r.URL.Path, "/v1/") {
			to = io.Discard
		}
		size, err := io.Copy(to, r.Body)
		if err != nil {
			return
		}
		if late != nil {
			e.record.add("endpoint %s sends an extra response, at the point where the next one is expected", e.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		a, order := e.handle(r, body.Bytes(), size)
		text := a.bytes()
		if _, err := c.Write(text); err != nil {
			return
		}
		if order && e.extraOrder != nil && e.extraOrder(r.URL.Path) || !order && e.extra != nil && e.extra(a.status) {
			late = text
		}
	}
}

// handle carries out a call. order is set for all but requests of clients.
func (e *endpoint) handle(r *http.Request, body []byte, size int64) (a *answer, order bool) {
	switch r.URL.Path {
	case "/v1/grant":
		return e.grant(r, body), true
	case "/v1/release":
		return e.release(body), true
	case "/health":
		return &answer{status: http.StatusOK, header: map[string]string{"Basilcross-Instance-Id": e.id}}, true
	}
	return e.request(r, size), false
}

func (e *endpoint) request(r *http.Request, size int64) *answer {
	id := r.Header.Get("Basilcross-Request-Id")
	header := map[string]string{"Basilcross-Request-Id": id}
	if want := r.Header.Get("Basilcross-Expected-Instance"); want != "" && want != e.id {
		header["Basilcross-Instance-Id"] = e.id
		return &answer{status: http.StatusMisdirectedRequest, header: header}
	}
	refuse := func(status int) *answer {
		header["Basilcross-Not-Executed"] = "1"
		e.record.add("request %s refused %d by %s of %s", id, status, e.id, e.service)
		return &answer{status: status, header: header}
	}
	if id == "" {
		return refuse(http.StatusBadRequest)
	}
	key := -1
	if e.sharded {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("Basilcross-Shard-Key")); err != nil {
			return refuse(http.StatusBadRequest)
		}
		if !e.holding(key) {
			return refuse(http.StatusMisdirectedRequest)
		}
	}
	ms, err := strconv.Atoi(r.Header.Get("Basilcross-Deadline-Ms"))
	if err != nil {
		ms = 30000
	}
	if !e.takeSlot(time.Now().Add(time.Duration(ms) * time.Millisecond)) {
		return refuse(http.StatusServiceUnavailable)
	}
	defer e.freeSlot()
	if key >= 0 {
		if !e.beginKey(key) {
			return refuse(http.StatusMisdirectedRequest)
		}
		defer e.endKey(key)
	}
	e.record.ran(id, e, r.Method, r.URL.RequestURI(), size)
	took := e.work()
	if limit := time.Duration(ms) * time.Millisecond; took > limit {
		time.Sleep(limit)
		header["Basilcross-Response-Signature"] = "sig-" + e.id
		return &answer{status: http.StatusGatewayTimeout, header: header}
	}
	time.Sleep(took)
	header["Basilcross-Response-Signature"] = "sig-" + e.id + "-" + id
	text := "service=" + e.service + " request=" + id + " by=" + e.id + " "
	return &answer{status: http.StatusOK, header: header, body: text + strings.Repeat("x", e.size)}
}

// takeSlot waits for a slot in the queue, and reports whether there was one in time.
func (e *endpoint) takeSlot(deadline time.Time) bool {
	e.mu.Lock()
	if e.running >= e.slots && e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	for e.running >= e.slots {
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(time.Until(deadline)):
			e.mu.Lock()
			e.waiting--
			e.mu.Unlock()
			return false
		}
		e.mu.Lock()
	}
	e.waiting--
	e.running++
	e.mu.Unlock()
	return true
}

func (e *endpoint) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	close(e.freed)
	e.freed = make(chan struct{})
}

func (e *endpoint) holding(key int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdsNow(key)
}

// holdsNow must be called with e.mu held.
func (e *endpoint) holdsNow(key int) bool {
	now := time.Now()
	for _, h := range e.holds {
		if h.first <= key && key <= h.last && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (e *endpoint) beginKey(key int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holdsNow(key) {
		return false
	}
	e.begun[key]++
	return true
}

func (e *endpoint) endKey(key int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.begun[key]--; e.begun[key] == 0 {
		delete(e.begun, key)
		delete(e.released, key)
	}
	close(e.idle)
	e.idle = make(chan struct{})
}

func (e *endpoint) grant(r *http.Request, body []byte) *answer {
	if e.orderDelay != nil {
		time.Sleep(e.orderDelay())
	}
	var o struct {
		From, To int
		Fence    int64
		Hold     string `json:"hold_time"`
	}
	accepted := false
	defer func() {
		if accepted && e.granted != nil {
			e.granted(o.From, o.To)
		}
	}()
	err := json.Unmarshal(body, &o)
	duration, holdErr := time.ParseDuration(o.Hold)
	if err != nil || holdErr != nil || o.From > o.To {
		return &answer{status: http.StatusBadRequest}
	}
	// The deferred call above comes after the unlocking.
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return &answer{status: http.StatusBadRequest}
	}
	for _, f := range e.fences {
		if f.fence > o.Fence && f.first <= o.To && o.From <= f.last {
			return &answer{status: http.StatusConflict}
		}
	}
	now := time.Now()
	for _, h := range e.holds {
		if h.first == o.From && h.last == o.To && h.fence == o.Fence && now.Before(h.until) {
			h.until = now.Add(duration)
			return &answer{status: http.StatusOK}
		}
	}
	e.cut(now, o.From, o.To)
	h := &hold{first: o.From, last: o.To, fence: o.Fence, from: now, until: now.Add(duration), endpoint: e}
	e.holds, e.history = append(e.holds, h), append(e.history, h)
	e.fences = append(e.fences, fenced{o.From, o.To, o.Fence})
	accepted = true
	e.record.add("endpoint %s of %s holds %d-%d fence %d for %s (expects %s)", e.id, e.service, o.From, o.To, o.Fence, o.Hold, r.Header.Get("Basilcross-Expected-Instance"))
	return &answer{status: http.StatusOK}
}

// cut ends the holds of a range of keys at a moment; what lies outside of the range is held on. e.mu must
// be held.
func (e *endpoint) cut(now time.Time, first, last int) {
	var rest []*hold
	for _, h := range e.holds {
		if !now.Before(h.until) {
			continue
		}
		if h.last < first || h.first > last {
			rest = append(rest, h)
			continue
		}
		for _, side := range [][2]int{{h.first, first - 1}, {last + 1, h.last}} {
			if side[0] <= side[1] {
				part := &hold{first: side[0], last: side[1], fence: h.fence, from: now, until: h.until, endpoint: e}
				rest, e.history = append(rest, part), append(e.history, part)
			}
		}
		for key := range e.begun {
			if max(h.first, first) <= key && key <= min(h.last, last) {
				e.released[key] = h.until
			}
		}
		h.until = now
	}
	e.holds = rest
}

func (e *endpoint) release(body []byte) *answer {
	if e.orderDelay != nil {
		time.Sleep(e.orderDelay())
	}
	var o struct {
		From, To int
		Fence    int64
	}
	if json.Unmarshal(body, &o) != nil {
		return &answer{status: http.StatusBadRequest}
	}
	e.mu.Lock()
	now := time.Now()
	e.cut(now, o.From, o.To)
	for e.busy(o.From, o.To) {
		idle := e.idle
		e.mu.Unlock()
		<-idle
		e.mu.Lock()
	}
	e.mu.Unlock()
	e.record.add("endpoint %s of %s released %d-%d fence %d", e.id, e.service, o.From, o.To, o.Fence)
	return &answer{status: http.StatusOK, header: map[string]string{"Basilcross-Handover": strconv.FormatUint(rand.Uint64(), 16)}}
}

// busy reports whether work on keys of a range is running. e.mu must be held.
func (e *endpoint) busy(first, last int) bool {
	for key := range e.begun {
		if first <= key && key <= last {
			return true
		}
	}
	return false
}

// overlap is a range of keys that two endpoints held at the same time.
type overlap struct {
	a, b        *hold
	first, last int
	from, until time.Time
}

// overlaps returns the ranges of keys that two of the endpoints of one service held at the same time for
// longer than a duration.
func overlaps(endpoints []*endpoint, longer time.Duration) (found []overlap) {
	var all []*hold
	for _, e := range endpoints {
		e.mu.Lock()
		all = append(all, e.history...)
		e.mu.Unlock()
	}
	now := time.Now()
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.endpoint == b.endpoint || a.endpoint.service != b.endpoint.service || a.last < b.first || b.last < a.first {
				continue
			}
			from, until := a.from, earlierOf(earlierOf(a.until, b.until), now)
			if b.from.After(from) {
				from = b.from
			}
			if until.Sub(from) > longer {
				found = append(found, overlap{a, b, max(a.first, b.first), min(a.last, b.last), from, until})
			}
		}
	}
	return found
}

// working returns the keys of a range that were released while the endpoint's work on them was running, which is
// still so, and whose hold has not ended otherwise.
func (e *endpoint) working(first, last int) (keys []int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, until := range e.released {
		if first <= key && key <= last && time.Now().Before(until) && !e.ended {
			keys = append(keys, key)
		}
	}
	return keys
}

// someKeys returns the first of some neighbouring keys in the longest range that the endpoint holds.
func (e *endpoint) someKeys(count int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := &hold{first: 0, last: 1<<16 - 1}
	for i, h := range e.holds {
		if i == 0 || h.last-h.first > longest.last-longest.first {
			longest = h
		}
	}
	return longest.first + rand.IntN(max(1, longest.last-longest.first-count))
}
