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

// Extend applies the response to a poll; length counts from when the poll was sent.
func (a *Authority) Extend(sent time.Time, length time.Duration, received time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease = a.lease.Later(lease.New(sent, length))
	a.lastContact = received
}

// Lease returns the current authority.
func (a *Authority) Lease() lease.Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease
}

// LastContact returns when the leader's last response was received.
func (a *Authority) LastContact() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastContact
}
