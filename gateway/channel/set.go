// Package channel keeps connections to addresses and tells them apart. Who lives
// at an address may change between two calls; behind one connection there is one
// process, for as long as it lasts.
package channel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxPerAddress bounds the connections to one address. More calls than that
	// wait for each other, which costs a few milliseconds each.
	maxPerAddress = 3
	// idleTimeout is when a connection without calls is closed: before the other
	// end does so.
	idleTimeout = 5 * time.Second
	// sweepInterval is the least time between two looks for idle connections.
	sweepInterval = time.Second
)

// Set holds the open channels. Dial must be set; what it opens must be reset,
// not closed, when it is closed.
type Set struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	transport  *http.Transport
	lastNumber uint64
	channels   map[string][]*Channel
	lastSweep  time.Time
}

// ClosedError says that a channel is closed. Nothing was sent on it.
type ClosedError struct {
	Address string
	Number  uint64
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("channel %d to %s is closed", e.Number, e.Address)
}

// Acquire waits for the channel with the number, or, if that is 0, for any one to
// the address, which may be opened for it. It fails with a LostError if the
// channel is closed, and otherwise as Dial does. Whoever gets a channel must
// give it back.
func (s *Set) Acquire(ctx context.Context, address string, number uint64) (*Channel, error) {
	c, fresh := s.choose(address, number)
	switch {
	case c == nil:
		return nil, &ClosedError{Address: address, Number: number}
	case fresh:
		if err := c.open(ctx); err != nil {
			return nil, err
		}
		return c, nil
	}
	select {
	case c.semaphore <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		c.users--
		s.mu.Unlock()
		return nil, fmt.Errorf("wait for channel %d to %s: %w", c.Number, address, ctx.Err())
	}
	if err := c.check(); err != nil {
		c.Release()
		return nil, err
	}
	return c, nil
}

// choose returns the channel to wait for, or a fresh one that is to be opened,
// whose turn the caller has. It returns nil if the one with the number is closed.
func (s *Set) choose(address string, number uint64) (c *Channel, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	var best *Channel
	open := 0
	for _, c := range s.channels[address] {
		if c.isClosed() {
			continue
		}
		open++
		if c.Number == number || number == 0 && (best == nil || c.users < best.users) {
			best = c
		}
	}
	if number == 0 && (best == nil || best.users > 0 && open < maxPerAddress) {
		return s.add(address), true
	}
	if best != nil {
		best.users++
	}
	return best, false
}

func (s *Set) add(address string) *Channel {
	if s.channels == nil {
		s.channels = map[string][]*Channel{}
		s.transport = &http.Transport{DialContext: s.Dial, DisableCompression: true}
	}
	s.lastNumber++
	c := &Channel{Number: s.lastNumber, Address: address, set: s, semaphore: make(chan struct{}, 1), users: 1}
	c.semaphore <- struct{}{}
	s.channels[address] = append(s.channels[address], c)
	return c
}

// sweep closes what is not used any more.
func (s *Set) sweep() {
	now := time.Now()
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for address, list := range s.channels {
		kept := list[:0:0]
		for _, c := range list {
			if c.users == 0 && now.Sub(c.lastUsed) > idleTimeout {
				c.close()
			}
			if c.users > 0 || !c.isClosed() {
				kept = append(kept, c)
			}
		}
		if s.channels[address] = kept; len(kept) == 0 {
			delete(s.channels, address)
		}
	}
}

// Close closes all channels. Others may be opened afterwards.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.channels {
		for _, c := range list {
			c.close()
		}
	}
	clear(s.channels)
}
