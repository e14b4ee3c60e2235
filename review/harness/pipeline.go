package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// pipelineAnswer is the size of the answers, pipelineClients the number of clients of each gateway.
	pipelineAnswer  = 30_000
	pipelineClients = 12
	// behind is how long after the first request a client sends the second one.
	behind = 40 * time.Millisecond
	// window is the receive buffer of a client's connection, in bytes: the windows of the links are small.
	window = 16384
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
)

// lostCase: gateways are stopped with SIGTERM and started again in turn, while clients send a second request
// before the first one is answered.
func lostCase(w *world) int {
	s := service{"roster", false, safe}
	w.contracts = "base,drain,config,cost,retry,recover,health,pool,own,places,pressure,platform"
	w.startStore()
	w.putConfig([]service{s})
	for _, e := range w.startEndpoints(s, 10, 16, workOf(150*time.Millisecond)) {
		e.size = pipelineAnswer
	}
	w.startGateways([]string{"z1", "z1", "z2"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range w.gateways {
		for range pipelineClients {
			group.Add(1)
			go func() {
				defer group.Done()
				w.pipeline(g, s, stop)
			}()
		}
	}
	time.Sleep(5 * time.Second)
	for _, g := range w.gateways {
		if w.trouble {
			w.terminate(g)
		}
		time.Sleep(12 * time.Second)
	}
	close(stop)
	group.Wait()
	w.record.say("answers by status: %v", w.summary())
	lost := 0
	w.outcomes.Range(func(_, value any) bool {
		res := value.(*result)
		runs := w.record.runsOf(res.request.id)
		if res.status == 0 && len(runs) > 0 && res.first && res.gateway.stoppedBefore(res.at) {
			w.record.say("request %s ran at %v, and its client got no complete answer: %v", res.request.id, runs, res.err)
			lost++
		}
		return true
	})
	if lost > 0 {
		w.record.say("LOST is broken by %d requests", lost)
		return broken
	}
	w.record.say("LOST held")
	return held
}

// stoppedBefore reports whether the gateway got SIGTERM before a moment, at most grace and a second earlier.
func (g *gateway) stoppedBefore(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.terminated {
		if at.After(t) && at.Sub(t) < grace+time.Second {
			return true
		}
	}
	return false
}

// terminate stops a gateway as the platform does, and starts it again once it has ended.
func (w *world) terminate(g *gateway) {
	w.record.say("gateway %s gets SIGTERM", g.name)
	g.mu.Lock()
	process, ended := g.process, g.ended
	g.terminated = append(g.terminated, time.Now())
	g.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(grace):
			g.end()
		}
		time.Sleep(restartDelay)
		if !w.ending.Load() {
			w.start(g)
		}
	}()
}

// pipeline is a client that keeps its connection, and sends a second request before the first one is answered.
func (w *world) pipeline(g *gateway, s service, stop <-chan struct{}) {
	for {
		w.pipelineConnection(g, s, stop)
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (w *world) pipelineConnection(g *gateway, s service, stop <-chan struct{}) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
	}}
	c, err := dialer.Dial("tcp", g.callers)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		select {
		case <-stop:
			return
		default:
		}
		first, second := w.newRequest(s), w.newRequest(s)
		w.writeRequest(g, c, first)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			time.Sleep(behind)
			w.writeRequest(g, c, second)
		}()
		goOn := w.readAnswer(g, c, reader, first, true)
		<-sent
		if !goOn || !w.readAnswer(g, c, reader, second, false) {
			return
		}
	}
}

func (w *world) writeRequest(g *gateway, c net.Conn, q *request) {
	w.record.add("request %s sent to %s: %s %s", q.id, g.name, q.method, q.path)
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nBasilcross-Request-Id: %s\r\nBasilcross-Deadline-Ms: %d\r\n\r\n",
		q.method, q.path, q.host, q.id, q.limit.Milliseconds())
}

// readAnswer reads the answer to a request. first is set unless the request was sent behind another one that was not
// answered yet. It reports whether the connection can be used further.
func (w *world) readAnswer(g *gateway, c net.Conn, reader *bufio.Reader, q *request, first bool) bool {
	res := &result{request: q, first: first, gateway: g}
	_ = c.SetReadDeadline(time.Now().Add(q.limit))
	got := int64(0)
	answer, err := http.ReadResponse(reader, nil)
	if err == nil {
		got, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if res.err = err; err == nil {
		res.status = answer.StatusCode
	}
	res.at = time.Now()
	w.record.add("request %s answered %d, %d bytes, first on its connection: %v, error %v", q.id, res.status, got, first, err)
	w.outcomes.Store(q.id, res)
	return err == nil && !answer.Close
}
