package duplex_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"basilcross.example/basilcross/duplex"
	"basilcross.example/basilcross/internal/rawserver"
	"gotest.tools/v3/assert"
)

// post sends a body on a new connection, a while after that was opened, and returns the response's body.
func post(url string, size int, delay time.Duration) (string, error) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		defer time.Sleep(delay)
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &duplex.Conn{Conn: c}, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	res, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	return string(content), err
}

const part = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"

// Guards against a part of a response without a length that net/http takes for the whole one: a write consumes the error
// of the reset.
func TestResponseResetDuringRequestIsCut(t *testing.T) {
	early := "http://" + rawserver.Start(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, part)
		_ = c.SetLinger(0)
	})
	late := "http://" + rawserver.Start(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, part)
		_ = c.SetLinger(0)
	})
	for name, url := range map[string]string{"before the request": early, "during the request": late} {
		for _, size := range []int{10, 10 << 10, 100 << 10, 3 << 20} {
			for _, delay := range []time.Duration{0, time.Millisecond} {
				t.Run(fmt.Sprintf("%s, request %d, sent after %v", name, size, delay), func(t *testing.T) {
					t.Parallel()
					for range 50 {
						content, err := post(url, size, delay)
						assert.Assert(t, err != nil, "%q is taken for the whole response", content)
					}
				})
			}
		}
	}
}

// Guards against responses that are rejected though they are whole.
func TestWholeResponsesAreAccepted(t *testing.T) {
	url := "http://" + rawserver.Start(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, part)
		}
	})
	for _, size := range []int{10, 10 << 10, 3 << 20} {
		content, err := post(url, size, 0)
		assert.NilError(t, err)
		assert.Equal(t, content, "part")
	}
}

// Guards against a wait for a write that has no end: the peer ends its side and does not read.
func TestEndOfFileDoesNotWaitForAStuckWrite(t *testing.T) {
	url := "http://" + rawserver.Start(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, part)
		_ = c.CloseWrite()
		time.Sleep(3 * time.Second)
	})
	start := time.Now()
	_, _ = post(url, 64<<20, 0)
	assert.Assert(t, time.Since(start) < 3*time.Second)
}
