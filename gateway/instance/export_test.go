package instance

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"basilcross.example/gateway/coordinator"
)

// Cut is a way in which an instance loses its links to all targets.
type Cut int

// The cuts.
const (
	// Linked: there is no cut.
	Linked Cut = iota
	// Silent: no packet passes, and no connection is reset.
	Silent
	// Reset: connections are reset, and new ones refused.
	Reset
	// Refused: live connections go on, and new ones are refused.
	Refused
)

// TargetLinks are an instance's connections to targets.
type TargetLinks struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	mu   sync.Mutex
	cut  Cut
	open map[*linkConn]bool
	// opened are the local addresses of all connections so far.
	opened map[string]bool
}

// Opened reports whether a connection with a local address is, or was, this instance's.
func (l *TargetLinks) Opened(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened[address]
}

// InterposeTargetLinks makes the instance open its connections to targets through the result.
// It is called before Run.
func (i *Instance) InterposeTargetLinks() *TargetLinks {
	l := &TargetLinks{dial: i.pools.Dial, open: map[*linkConn]bool{}, opened: map[string]bool{}}
	i.pools.Dial = l.DialContext
	i.coordinator.Channels.Dial = l.DialContext
	i.coordinator.ReleaseClient = coordinator.NewReleaseClient(l.DialContext)
	return l
}

// Set cuts the links, or restores them.
func (l *TargetLinks) Set(cut Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for c := range l.open {
		switch cut {
		case Reset:
			_ = c.Conn.Close()
		case Silent:
			time.AfterFunc(targetUserTimeout, func() { _ = c.Conn.Close() })
		case Linked, Refused:
		}
	}
}

func (l *TargetLinks) current() Cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// DialContext opens a connection, unless the links are cut.
func (l *TargetLinks) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.current() {
	case Silent:
		ctx, cancel := context.WithTimeout(ctx, targetDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case Reset, Refused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case Linked:
	}
	raw, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: raw, links: l}
	l.mu.Lock()
	l.open[c], l.opened[raw.LocalAddr().String()] = true, true
	l.mu.Unlock()
	return c, nil
}

type linkConn struct {
	net.Conn
	links *TargetLinks
}

func (c *linkConn) Write(p []byte) (int, error) {
	if c.links.current() == Silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, net.ErrClosed) && c.links.current() == Silent {
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
	return n, err
}

func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn gives access to the socket, as the connections of the product do.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
