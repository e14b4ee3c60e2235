package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the settings, and bodyLimit max_body_bytes of the configuration.
	memoryLimit = 284 << 20
	bodyLimit   = 67108864
	// bodySize is what a client sends, below the limit, at bodyRate bytes per second.
	bodySize = 60 << 20
	bodyRate = 25 << 20
	// usualBody is the longest body of the site's sheet.
	usualBody = 24000
	// clientsPerGateway send at the same time.
	clientsPerGateway = 3
	// endsOfFault is how often the processes of two machines must end by themselves in a day for a fault.
	endsOfFault = 3
	// restartDelay is the delay before a process that has ended is started again.
	restartDelay = time.Second
)

// memoryCase: a few clients send long bodies, within the limits of the configuration, at the same time.
func memoryCase(w *world) int {
	s := service{"intake", false, unsafe}
	w.startStore()
	w.putConfig([]service{s})
	w.startEndpoints(s, 10, 12, workOf(100*time.Millisecond))
	w.startGateways([]string{"z1", "z1", "z2"})
	w.awaitReady()
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	ends, peaks := map[string]int{}, map[string]int64{}
	for _, g := range w.gateways {
		go w.watchMemory(g, func(peak int64, killed bool) {
			mu.Lock()
			defer mu.Unlock()
			peaks[g.name] = max(peaks[g.name], peak)
			if killed {
				ends[g.name]++
			}
		})
	}
	size := int64(bodySize)
	if !w.trouble {
		size = usualBody
	}
	for round := range 5 {
		w.record.say("round %d: %d clients of each gateway send bodies of %d bytes", round+1, clientsPerGateway, size)
		var group sync.WaitGroup
		for _, g := range w.gateways {
			for range clientsPerGateway {
				group.Add(1)
				go func() {
					defer group.Done()
					w.upload(g, s, size)
				}()
			}
		}
		group.Wait()
		time.Sleep(6 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	w.record.say("answers by status: %v", w.summary())
	faulty := 0
	for _, g := range w.gateways {
		w.record.say("gateway %s: peak of its own memory %d MB of %d MB, ended %d times for it", g.name, peaks[g.name]>>20, memoryLimit>>20, ends[g.name])
		if ends[g.name] >= endsOfFault {
			faulty++
		}
	}
	if faulty >= 2 {
		w.record.say("Fault: the processes of %d of %d machines exceeded their memory %d times or more", faulty, len(w.gateways), endsOfFault)
		return broken
	}
	w.record.say("no fault")
	return held
}

// watchMemory ends a gateway's process, as the platform does, once it exceeds its memory, and starts it again.
func (w *world) watchMemory(g *gateway, report func(peak int64, killed bool)) {
	for !w.ending.Load() {
		time.Sleep(10 * time.Millisecond)
		g.mu.Lock()
		pid := g.process.Process.Pid
		g.mu.Unlock()
		used := ownMemory(pid)
		report(used, false)
		if used <= memoryLimit || w.ending.Load() {
			continue
		}
		w.record.say("gateway %s takes %d MB of %d MB and is killed", g.name, used>>20, memoryLimit>>20)
		report(used, true)
		g.end()
		time.Sleep(restartDelay)
		if !w.ending.Load() {
			w.start(g)
		}
	}
}

// ownMemory returns the anonymous memory of a process that is resident, in bytes: without the pages of the
// program's file, and without bytes that were received and not read.
func ownMemory(pid int) int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// upload sends a request with a body of some length, at bodyRate.
func (w *world) upload(g *gateway, s service, size int64) {
	q := w.newRequest(s)
	res := &result{request: q}
	w.record.add("request %s sent to %s: %s %s with a body of %d bytes, the limit is %d", q.id, g.name, q.method, q.path, size, bodyLimit)
	defer func() {
		w.record.add("request %s answered %d error %v", q.id, res.status, res.err)
		w.outcomes.Store(q.id, res)
	}()
	var c net.Conn
	if c, res.err = net.DialTimeout("tcp", g.callers, time.Second); res.err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.limit))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nBasilcross-Request-Id: %s\r\nBasilcross-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		q.method, q.path, q.host, q.id, q.limit.Milliseconds(), size)
	piece := make([]byte, bodyRate/100)
	for left := size; left > 0; {
		n, err := c.Write(piece[:min(left, int64(len(piece)))])
		if err != nil {
			// The answer may have come before the end of the body.
			break
		}
		left -= int64(n)
		time.Sleep(10 * time.Millisecond)
	}
	var answer *http.Response
	if answer, res.err = http.ReadResponse(bufio.NewReader(c), nil); res.err != nil {
		return
	}
	defer answer.Body.Close()
	if _, res.err = io.Copy(io.Discard, answer.Body); res.err == nil {
		res.status = answer.StatusCode
	}
}
