package channel

import (
	"context"
	"net/http"
	"time"
)

// Channel is one connection. It carries one call at a time, and belongs to the caller
// of Set.Acquire until Release.
type Channel struct {
	// Number identifies the channel in its set. It is above 0 and never reused.
	Number  uint64
	Address string
	// Opened is when the connection was established.
	Opened time.Time
	// Target is the ID that the target has returned on this connection, or empty. Only
	// the holder of the channel may access it.
	Target string

	set *Set
	// semaphore has capacity 1 and holds an element while the channel is in use.
	semaphore chan struct{}
	// calls counts the calls that were sent. Only the holder of the channel may access it.
	calls int
	// Set.mu guards the fields below. conn is nil until the connection is established;
	// dialErr is why it was not.
	conn    *http.ClientConn
	dialErr error
	// closing is set if the channel must not be used for further calls.
	closing bool
	// users counts the holder and those that wait for the channel.
	users    int
	lastUsed time.Time
}

// open establishes the connection of a new channel, for which other callers may
// wait already.
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

// isClosed reports whether the channel cannot be used any more. Set.mu must be held.
func (c *Channel) isClosed() bool {
	return c.closing || c.dialErr != nil || c.conn != nil && c.conn.Err() != nil
}

// close closes the channel permanently. Set.mu must be held.
func (c *Channel) close() {
	c.closing = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// Client returns a client that uses this connection only. A call that fails or is
// canceled closes the channel permanently, and so does a response that ends the
// connection.
func (c *Channel) Client() *http.Client { return &http.Client{Transport: c} }

// Used reports whether a call was sent on the connection. A response to a further one may be a late second
// response to an earlier one. Only the holder of the channel may call it.
func (c *Channel) Used() bool { return c.calls > 0 }

// Discard makes Release close the channel permanently.
func (c *Channel) Discard() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.closing = true
}

// RoundTrip sends a request on the connection.
func (c *Channel) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls++
	res, err := c.conn.RoundTrip(r)
	if err != nil || res.Close {
		c.Discard()
	}
	return res, err
}

// Release makes the channel available to other callers. The response must have been
// read.
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
