package linger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"basilcross.example/gateway/linger"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// startServer serves requests whose responses have size bytes and close their connections.
func startServer(t *testing.T, size int, timeout time.Duration) (*linger.Listener, *http.Server) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &linger.Listener{Listener: inner, Timeout: timeout}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/refused" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(l) })
	t.Cleanup(func() {
		_ = s.Close()
		assert.Assert(t, errors.Is(group.Wait(), http.ErrServerClosed))
	})
	return l, s
}

// dial opens a connection with a receive buffer of window bytes.
func dial(t *testing.T, l net.Listener, window int) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
		return errors.Join(err, failed)
	}}
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a response that is cut off by a reset, since the client has sent more when its connection is closed.
func TestResponseArrivesWholeThoughMoreWasSent(t *testing.T) {
	get := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		size, window int
		first, more  string
	}{
		"a request behind, small window":        {30_000, 16 << 10, get, get},
		"a request behind, smallest window":     {30_000, 4 << 10, get, get},
		"a request behind, large window":        {300_000, 128 << 10, get, get},
		"many requests behind":                  {30_000, 16 << 10, get, strings.Repeat(get, 50)},
		"more than the send buffer holds":       {8 << 20, 16 << 10, get, get},
		"a body that the handler reads not":     {30_000, 16 << 10, "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n", strings.Repeat("x", 4_000_000)},
		"bytes after the body":                  {30_000, 16 << 10, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "cd"},
		"a request that is not read to its end": {30_000, 16 << 10, get, "POST / HTTP/1.1\r\nHost: h\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, _ := startServer(t, c.size, 0)
			client := dial(t, l, c.window)
			_, err := io.WriteString(client, c.first)
			assert.NilError(t, err)
			var group errgroup.Group
			group.Go(func() error {
				// It fails once the server has discarded enough.
				_, _ = io.WriteString(client, c.more)
				return nil
			})
			// The server closes the connection meanwhile.
			time.Sleep(100 * time.Millisecond)
			res, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), c.size)
			_ = client.Close()
			assert.NilError(t, group.Wait())
		})
	}
}

// Guards against a process that ends while the last responses are still being sent.
func TestWaitLastsUntilResponsesHaveArrived(t *testing.T) {
	l, s := startServer(t, 1<<20, 0)
	client := dial(t, l, 4<<10)
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(client)
	_, err = reader.Peek(1)
	assert.NilError(t, err)
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(200 * time.Millisecond)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		n, err := io.Copy(io.Discard, res.Body)
		if err == nil && n != 1<<20 {
			err = fmt.Errorf("%d bytes arrived", n)
		}
		return errors.Join(err, client.Close())
	})
	assert.NilError(t, s.Shutdown(t.Context()))
	l.Wait(t.Context())
	assert.NilError(t, group.Wait())
	l.Wait(t.Context())
}

// Guards against peers that never close their connections, and keep a process from ending.
func TestWaitIsBounded(t *testing.T) {
	for name, limit := range map[string]struct{ timeout, context time.Duration }{
		"by the timeout": {100 * time.Millisecond, time.Minute},
		"by the context": {time.Minute, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l, s := startServer(t, 10, limit.timeout)
			client := dial(t, l, 4<<10)
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)
			_ = res.Body.Close()
			assert.NilError(t, s.Shutdown(t.Context()))
			ctx, cancel := context.WithTimeout(t.Context(), limit.context)
			defer cancel()
			start := time.Now()
			l.Wait(ctx)
			assert.Assert(t, time.Since(start) < 5*time.Second)
		})
	}
}

// Guards against a client that sends without end after its response, and keeps the process reading.
func TestDiscardingIsBounded(t *testing.T) {
	l, _ := startServer(t, 10, time.Minute)
	client := dial(t, l, 4<<10)
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	sent, block := 0, make([]byte, 1<<20)
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	for err == nil {
		var n int
		n, err = client.Write(block)
		sent += n
	}
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded) && sent < 100<<20, "%d bytes, %v", sent, err)
	l.Wait(t.Context())
}

// Guards against a pending read that is not ended by Close, as net/http expects when it shuts down.
func TestReadAfterCloseFails(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &linger.Listener{Listener: inner, Timeout: 200 * time.Millisecond}
	defer l.Close()
	client := dial(t, l, 4<<10)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		_, err := accepted.Read(make([]byte, 10))
		return err
	})
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, accepted.Close())
	_, err = io.WriteString(client, "late")
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(group.Wait(), net.ErrClosed))
	assert.Assert(t, errors.Is(accepted.Close(), net.ErrClosed))
	l.Wait(t.Context())
}
