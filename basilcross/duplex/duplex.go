// Package duplex makes failed writes known to the reader of a connection.
package duplex

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection that is read while it is written. The operating system reports the reset of a connection to one
// operation only. If that is a write, reads get an end of file as after an orderly close, and a body that ends with its
// connection looks whole. Reads of a Conn get an end of file only if no write has failed. Conn must be set.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// pending counts the writes under way.
	pending int
	failed  error
	// changed, if set, is closed when a write ends.
	changed chan struct{}
}

// pendingWriteTimeout is how long a write may still take after the end of file.
const pendingWriteTimeout = time.Second

// WriteError is returned by reads of a connection on which a write failed, or had not ended in time.
type WriteError struct{ Cause error }

func (e *WriteError) Error() string {
	return fmt.Sprintf("read from connection after a failed write: %v", e.Cause)
}

// Unwrap returns why the write failed.
func (e *WriteError) Unwrap() error { return e.Cause }

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := c.awaitWrites(); cause != nil {
			return 0, &WriteError{Cause: cause}
		}
	}
	return n, err
}

// awaitWrites waits until no write is under way, and returns why one has failed.
func (c *Conn) awaitWrites() error {
	timer := time.NewTimer(pendingWriteTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		failed, pending := c.failed, c.pending
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		if failed != nil || pending == 0 {
			return failed
		}
		select {
		case <-changed:
		case <-timer.C:
			return fmt.Errorf("a write has not ended %v after the end of file", pendingWriteTimeout)
		}
	}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if err != nil && c.failed == nil {
		c.failed = err
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	return n, err
}

// SyscallConn returns the raw connection, as that of a *net.TCPConn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}
