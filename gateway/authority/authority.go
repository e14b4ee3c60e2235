// Package authority holds what the zone leader lets this instance do, and for
// how long.
package authority

import (
	"sync"
	"time"

	"basilcross.example/basilcross/lease"
)

// Cell is this instance's authority from its zone leader. The zero value is none.
type Cell struct {
	mu      sync.Mutex
	lease   lease.Lease
	contact time.Time
}

// Extend takes in the answer to a poll that was sent at sent.
func (c *Cell) Extend(sent time.Time, length time.Duration, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = c.lease.Later(lease.New(sent, length))
	c.contact = received
}

// Lease returns the present authority.
func (c *Cell) Lease() lease.Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// Contact returns when the leader last answered.
func (c *Cell) Contact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact
}
