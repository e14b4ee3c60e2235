// Package channel pools connections whose identity matters. The process at an address
// may change between two calls, but one connection always leads to the same process.
package channel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"basilcross.example/basilcross/head"
)

const (
	// maxPerAddress bounds the connections to one address. Further concurrent calls
	// wait, which costs a few milliseconds each.
	maxPerAddress = 3
	// idleTimeout is how long an unused connection stays open. It ends before the
	// peer's own idle timeout.
	idleTimeout = 5 * time.Second
	// sweepInterval is the least time between two searches for idle connections.
	sweepInterval = time.Second
)

// Set is a pool of channels. Dial must be set. Close of its connections must reset
// them (RST) rather than end them with a FIN.
type Set struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	transport  *http.Transport
	lastNumber uint64
	channels   map[string][]*Channel
	lastSweep  time.Time
}

// ClosedError reports that a channel is closed. Nothing was sent on it.
type ClosedError struct {
	Address string
	Number  uint64
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("channel %d to %s is closed", e.Number, e.Address)
}

// Acquire waits for the channel with the given number or, if that is 0, for any
// channel to the address, and opens one if needed. The error is a *ClosedError if the
// channel is closed, the context's, or Dial's. The caller must release the channel.
func (s *Set) Acquire(ctx context.Context, address string, number uint64) (*Channel, error) {
	c, isNew := s.choose(address, number)
	switch {
	case c == nil:
		return nil, &ClosedError{Address: address, Number: number}
	case isNew:
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

// choose returns the channel to wait for, or a new one that the caller holds and must
// open. It returns nil if the channel with the number is closed.
func (s *Set) choose(address string, number uint64) (c *Channel, isNew bool) {
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
		s.transport = &http.Transport{DialContext: s.Dial, DisableCompression: true, MaxResponseHeaderBytes: head.MaxUnscanned}
	}
	s.lastNumber++
	c := &Channel{Number: s.lastNumber, Address: address, set: s, semaphore: make(chan struct{}, 1), users: 1}
	c.semaphore <- struct{}{}
	s.channels[address] = append(s.channels[address], c)
	return c
}

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

// Close closes all channels. New ones may be opened afterwards.
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
