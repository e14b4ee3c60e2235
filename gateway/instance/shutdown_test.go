package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// startHandler adds a target that serves requests with a handler.
func (f *fleet) startHandler(id, service string, h http.Handler) {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	f.addresses[id] = strings.TrimPrefix(server.URL, "http://")
	f.setTarget(id, service, "ready")
}

// pipeliningClient keeps a connection, and sends some requests before the first one is answered.
type pipeliningClient struct {
	address string
	// window is the size of its receive buffer in bytes, behind the number of requests behind the first one.
	window, behind, size int
}

// run sends requests until no connection is accepted any more. It returns how many first ones were answered
// completely, and how many were not.
func (p *pipeliningClient) run() (answered, lost int) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.window) })
	}}
	for {
		c, err := dialer.Dial("tcp", p.address)
		if err != nil {
			return answered, lost
		}
		n, ok := p.use(c)
		answered += n
		if !ok {
			lost++
		}
		_ = c.Close()
	}
}

// use sends requests until the connection is to be closed. ok is false if a first one got part of its answer only.
func (p *pipeliningClient) use(c net.Conn) (answered int, ok bool) {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	request := fmt.Sprintf("GET /menus/x HTTP/1.1\r\nHost: cakes.example\r\n%s: %p\r\n%s: 8000\r\n\r\n", platform.RequestID, c, platform.TimeLeft)
	reader := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, request); err != nil {
			return answered, true
		}
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, strings.Repeat(request, p.behind))
		for n := range p.behind + 1 {
			if _, err := reader.Peek(1); err != nil {
				// The connection was closed without any of the answer: the request was not read.
				return answered, true
			}
			res, err := http.ReadResponse(reader, nil)
			length := int64(0)
			if err == nil {
				length, err = io.Copy(io.Discard, res.Body)
			}
			if err != nil {
				return answered, n > 0
			}
			if n == 0 && res.StatusCode == http.StatusOK && length == int64(p.size) {
				answered++
			}
			if res.Close {
				return answered, true
			}
		}
	}
}

// Guards against answers that are cut off during a shutdown, since their clients have sent further requests, which
// are not read any more.
func TestAnswersArriveWholeDuringShutdown(t *testing.T) {
	t.Parallel()
	const size = 30_000
	f := newFleet(t)
	for n := range 4 {
		f.startHandler(fmt.Sprintf("m%d", n), "menus", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
			w.Header().Set(platform.Signature, "signed")
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
	}
	one := f.start("one")
	one.awaitReady(t)
	f.awaitResponse(one, "/menus/x", 0, "x")
	var clients sync.WaitGroup
	var mu sync.Mutex
	answered, lost := 0, 0
	for _, window := range []int{4 << 10, 16 << 10, 64 << 10} {
		for _, behind := range []int{1, 4} {
			for range 2 {
				p := &pipeliningClient{address: one.callers, window: window, behind: behind, size: size}
				clients.Go(func() {
					a, l := p.run()
					mu.Lock()
					defer mu.Unlock()
					answered += a
					lost += l
				})
			}
		}
	}
	time.Sleep(time.Second)
	assert.NilError(t, one.stop())
	clients.Wait()
	assert.Assert(t, answered > 20, "%d answered", answered)
	assert.Equal(t, lost, 0, "%d answered", answered)
}
