// Package authority holds what the zone leader lets this instance do, and for
// how long.
package authority

import (
	"sync"
	"time"

	"basilcross.example/basilcross/lease"
)

// Authority is this instance's authority from its zone leader. The zero value is none.
type Authority struct {
	mu          sync.Mutex
	lease       lease.Lease
	lastContact time.Time
}

// Extend takes in the answer to a poll that was sent at sent.
func (c *Authority) Extend(sent time.Time, length time.Duration, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = c.lease.Later(lease.New(sent, length))
	c.lastContact = received
}

// Lease returns the present authority.
func (c *Authority) Lease() lease.Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// LastContact returns when the leader last answered.
func (c *Authority) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}
