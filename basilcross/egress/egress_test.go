package egress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/egress"
	"basilcross.example/basilcross/internal/rawserver"
	"gotest.tools/v3/assert"
)

// startProxy returns a dialer through a proxy that answers each CONNECT request with a beginning, and then repeats a text, if that
// is not empty, until the connection is closed.
func startProxy(t *testing.T, beginning, repeated string) *egress.Dialer {
	t.Helper()
	address := rawserver.Start(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, beginning)
		for err == nil && repeated != "" {
			_, err = io.WriteString(c, repeated)
		}
	})
	return &egress.Dialer{Proxy: address, DialTimeout: 20 * time.Second}
}

// Guards against a proxy whose response has no end and takes the memory of the process.
func TestResponseOfProxyWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ beginning, repeated string }{
		"lines":       {"HTTP/1.1 200 OK\r\n", "X-Line: " + strings.Repeat("x", 1000) + "\r\n"},
		"short lines": {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\n", 1000)},
		"one line":    {"HTTP/1.1 200 OK\r\nX-Line: ", strings.Repeat("x", 1000)},
		"status line": {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			d := startProxy(t, c.beginning, c.repeated)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, err := d.DialContext(t.Context(), "tcp", "target:1")
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) < 10*time.Second, "the deadline must not be what ends it")
			runtime.ReadMemStats(&after)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 4<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		})
	}
}

// Guards against a tunnel that counts as open by a response that is cut or malformed.
func TestTunnelNeedsWholeResponse(t *testing.T) {
	whole := "HTTP/1.1 200 Connection established\r\nVia: proxy\r\n\r\n"
	c, err := startProxy(t, whole, "").DialContext(t.Context(), "tcp", "target:1")
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	for _, text := range []string{
		whole[:len(whole)-1], whole[:30], "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 600 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n\r\n",
	} {
		_, err := startProxy(t, text, "").DialContext(t.Context(), "tcp", "target:1")
		assert.Assert(t, err != nil, "%q", text)
	}
}
