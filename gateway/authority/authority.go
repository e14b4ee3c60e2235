// Package authority holds the lease that an instance has from its zone leader.
package authority

import (
	"sync"
	"time"

	"basilcross.example/basilcross/lease"
)

// Authority is this instance's authority from its zone leader. The zero value has none.
type Authority struct {
	mu          sync.Mutex
	lease       lease.Lease
	lastContact time.Time
}

// Extend applies the answer to a poll; length counts from when the poll was sent.
func (c *Authority) Extend(sent time.Time, length time.Duration, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = c.lease.Later(lease.New(sent, length))
	c.lastContact = received
}

// Lease returns the current authority.
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
