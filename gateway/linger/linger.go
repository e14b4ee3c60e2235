// Package linger closes accepted connections in such a way that what was written to them arrives. A write
// that returned has only reached the operating system's buffer. If a connection is closed while bytes of the
// peer are unread, or the peer sends more after that, the operating system resets it and drops what is left in
// the buffer.
package linger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// defaultTimeout is the Timeout if none is set: long enough to send what the buffer of a slow link holds.
	defaultTimeout = 5 * time.Second
	// maxDiscarded bounds the bytes that are read after a connection was closed.
	maxDiscarded = 16 << 20
)

// Listener accepts connections whose Close sends what was written, and then waits in the background until the
// peer closes too. What the peer sends meanwhile is discarded. Only the listener must be set.
type Listener struct {
	net.Listener
	// Timeout bounds the wait for the peer; 0 is five seconds.
	Timeout time.Duration

	group errgroup.Group
	mu    sync.Mutex
	// lingering counts the connections that wait for their peers; done is closed when there are none left, if
	// anybody waits for that.
	lingering int
	done      chan struct{}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: tcp, listener: l}, nil
}

// Wait returns once all connections that were closed have ended, or the context has. No connection may be
// closed meanwhile.
func (l *Listener) Wait(ctx context.Context) {
	l.mu.Lock()
	if l.lingering == 0 {
		l.mu.Unlock()
		return
	}
	if l.done == nil {
		l.done = make(chan struct{})
	}
	done := l.done
	l.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// linger waits until the peer of a connection closes it, and then closes it as well.
func (l *Listener) linger(c *net.TCPConn) {
	l.mu.Lock()
	l.lingering++
	l.mu.Unlock()
	l.group.Go(func() error {
		defer l.end()
		timeout := l.Timeout
		if timeout == 0 {
			timeout = defaultTimeout
		}
		// After an error there is nothing to wait for.
		_ = c.SetDeadline(time.Now().Add(timeout))
		_, _ = io.CopyN(io.Discard, c, maxDiscarded)
		_ = c.Close()
		return nil
	})
}

func (l *Listener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
	if l.lingering == 0 && l.done != nil {
		close(l.done)
		l.done = nil
	}
}

// conn is an accepted connection.
type conn struct {
	*net.TCPConn

	listener *Listener
	// ended is set once the peer has closed or reset the connection, closed once Close was called.
	ended, closed atomic.Bool
}

// Read fails after Close, as it does on other connections: what it reads then is discarded.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.ended.Store(true)
	}
	return n, err
}

// Reset closes a connection with a reset. What was written and not sent yet is dropped.
func Reset(c net.Conn) {
	if own, ok := c.(*conn); ok {
		own.closed.Store(true)
		c = own.TCPConn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Abort ends a handler whose response is incomplete, and resets its connection: if that were closed in
// order, a response without a length to an HTTP/1.0 client would look complete.
func Abort(w http.ResponseWriter) {
	// Streams of HTTP/2 are reset by the server.
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		Reset(c)
	}
	panic(http.ErrAbortHandler)
}

// Close ends the connection without a wait.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.ended.Load() || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.listener.linger(c.TCPConn)
	return nil
}
