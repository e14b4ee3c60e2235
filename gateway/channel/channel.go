package channel

import (
	"context"
	"net/http"
	"time"
)

// Channel is one connection. It carries one call at a time, and belongs to who
// took it until it is given back.
type Channel struct {
	// Number names the channel in its set. It is above 0 and never used again.
	Number  uint64
	Address string
	// Opened is when the connection was open.
	Opened time.Time
	// Target is who has told its name on the connection; empty if nobody was
	// asked. It belongs to whoever has the channel.
	Target string

	set *Set
	// semaphore has room for the one that may use the channel.
	semaphore chan struct{}
	// The rest is guarded by the set: the connection, nil while it is opened;
	// why it could not be; whether the channel was closed by us; how many use
	// it or wait to; and when it was given back last.
	conn     *http.ClientConn
	dialErr  error
	closing  bool
	users    int
	lastUsed time.Time
}

// open connects a fresh channel. Others may wait for it already.
func (c *Channel) open(ctx context.Context) error {
	conn, err := c.set.transport.NewClientConn(ctx, "http", c.Address)
	c.set.mu.Lock()
	c.conn, c.dialErr, c.Opened = conn, err, time.Now()
	if c.closing && conn != nil {
		_ = conn.Close()
	}
	c.set.mu.Unlock()
	if err := c.check(); err != nil {
		c.Release()
		return err
	}
	return nil
}

// check returns why the channel cannot be used.
func (c *Channel) check() error {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.dialErr != nil {
		return c.dialErr
	}
	if c.isClosed() {
		return &ClosedError{Address: c.Address, Number: c.Number}
	}
	return nil
}

// isClosed tells whether the channel cannot be used any more.
func (c *Channel) isClosed() bool {
	return c.closing || c.dialErr != nil || c.conn != nil && c.conn.Err() != nil
}

// close closes the channel for good.
func (c *Channel) close() {
	c.closing = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// Client sends calls on the channel and on no other connection. The channel is
// closed for good by a call that fails or is given up, and by an answer that
// ends the connection.
func (c *Channel) Client() *http.Client { return &http.Client{Transport: c} }

// RoundTrip carries out one call.
func (c *Channel) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := c.conn.RoundTrip(r)
	if err != nil || res.Close {
		c.set.mu.Lock()
		defer c.set.mu.Unlock()
		c.closing = true
	}
	return res, err
}

// Release gives the channel back, after the answer was read.
func (c *Channel) Release() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.closing {
		c.close()
	}
	c.users--
	c.lastUsed = time.Now()
	<-c.semaphore
}
