package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// lateRequest is a request that a client sends, on a connection that it has opened before, after an instance was told to stop.
type lateRequest struct {
	// opened and sent are the times since then; opened may be negative.
	opened, sent time.Duration
	// early is how much of the request is sent when the connection is opened: nothing, a part of its head, or its head.
	early string
	// left is the time that the client states to wait.
	left time.Duration
	// id identifies the request.
	id string
}

// lateOutcome is what a client got: a status, 0 if the connection ended without an answer.
type lateOutcome struct {
	status int
	took   time.Duration
}

// send sends the request to an address, and returns what it got.
func (r *lateRequest) send(address string, stopped time.Time) lateOutcome {
	time.Sleep(time.Until(stopped.Add(r.opened)))
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return lateOutcome{}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	const body = "dough"
	head := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: cakes.example\r\nContent-Length: %d\r\n%s: %s\r\n%s: %d\r\n\r\n",
		len(body), platform.RequestID, r.id, platform.TimeLeft, r.left.Milliseconds())
	early := map[string]int{"nothing": 0, "a part of its head": 20, "its head": len(head)}[r.early]
	_, _ = io.WriteString(c, head[:early])
	time.Sleep(time.Until(stopped.Add(r.sent)))
	sent := time.Now()
	_, _ = io.WriteString(c, (head + body)[early:])
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return lateOutcome{took: time.Since(sent)}
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return lateOutcome{took: time.Since(sent)}
	}
	return lateOutcome{status: res.StatusCode, took: time.Since(sent)}
}

// Guards against requests that arrive late in the time that an instance has to stop, are sent to a target, and are cut off at
// the end of that time, though they may not be repeated.
func TestLateRequestsAreNotCutOffDuringShutdown(t *testing.T) {
	t.Parallel()
	const work = 1500 * time.Millisecond
	f := newFleet(t)
	var mu sync.Mutex
	ran := map[string]int{}
	for n := range 12 {
		f.startHandler(fmt.Sprintf("m%d", n), "menus", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(platform.RequestID)
			if r.URL.Path == "/book/x" {
				mu.Lock()
				ran[id]++
				mu.Unlock()
				time.Sleep(work)
			}
			w.Header().Set(platform.RequestID, id)
			w.Header().Set(platform.Signature, "signed")
			_, _ = io.WriteString(w, "answer")
		}))
	}
	one := f.start("one")
	one.awaitReady(t)
	f.awaitResponse(one, "/menus/x", 0, "answer")
	var requests []lateRequest
	for _, sent := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond, 3200 * time.Millisecond, 4200 * time.Millisecond, 4900 * time.Millisecond, 5300 * time.Millisecond} {
		for _, opened := range []time.Duration{-100 * time.Millisecond, 400 * time.Millisecond, 2200 * time.Millisecond} {
			for _, early := range []string{"nothing", "a part of its head", "its head"} {
				for _, left := range []time.Duration{8 * time.Second, 800 * time.Millisecond} {
					if opened < sent {
						requests = append(requests, lateRequest{opened, sent, early, left, fmt.Sprintf("late%d", len(requests))})
					}
				}
			}
		}
	}
	outcomes := make([]lateOutcome, len(requests))
	stopped := time.Now().Add(200 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() { outcomes[i] = requests[i].send(one.callers, stopped) })
	}
	time.Sleep(time.Until(stopped))
	assert.NilError(t, one.stop())
	clients.Wait()
	answered := 0
	for i, r := range requests {
		out, runs := outcomes[i], ran[r.id]
		text := fmt.Sprintf("%+v: %+v, ran %d times", r, out, runs)
		switch {
		case out.status == http.StatusOK:
			answered++
			assert.Check(t, runs == 1, text)
		case out.status == http.StatusServiceUnavailable || out.status == http.StatusRequestTimeout:
			assert.Check(t, runs == 0, text)
			assert.Check(t, out.took < time.Second, text)
		case r.left > work:
			// The others reach their own time limit at the target.
			assert.Check(t, runs == 0, text)
		}
	}
	assert.Check(t, answered >= 5, "%d answered", answered)
}
