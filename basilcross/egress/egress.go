// Package egress opens outgoing connections, directly or through an egress
// proxy that understands HTTP CONNECT.
package egress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// defaultKeepAlive finds connections whose other end is gone while idle.
	defaultKeepAlive = 5 * time.Second
	// defaultTimeout bounds opening where the context sets no earlier deadline.
	defaultTimeout = 2 * time.Second
)

// Dialer opens TCP connections. The zero value dials directly.
type Dialer struct {
	// Proxy is the address of an egress proxy, as "127.0.0.1:3128".
	Proxy string
	// UserTimeout is how long sent bytes may stay unacknowledged by the other
	// end's kernel before the connection is broken off; 0 leaves the default.
	UserTimeout time.Duration
	// Timeout bounds the opening; 0 is two seconds.
	Timeout time.Duration
	// KeepAliveInterval is the idle time after which the other end is probed, and the time
	// between probes; 0 is five seconds. It finds connections that went silent
	// without a reset.
	KeepAliveInterval time.Duration
	// ResetOnClose makes every close a reset. Bytes that a partition holds back are
	// lost then; otherwise they would arrive when it heals.
	ResetOnClose bool
}

// keepAliveProbes is how many unanswered probes end a connection.
const keepAliveProbes = 2

// ProxyError is a proxy's refusal to open a connection.
type ProxyError struct {
	Address string
	Status  int
}

func (e *ProxyError) Error() string {
	return fmt.Sprintf("egress proxy answered %d for %s", e.Status, e.Address)
}

// DialContext opens a connection, with the signature that net/http expects.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout, probe := d.Timeout, d.KeepAliveInterval
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if probe == 0 {
		probe = defaultKeepAlive
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	first := address
	if d.Proxy != "" {
		first = d.Proxy
	}
	plain := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: keepAliveProbes}}
	c, err := plain.DialContext(ctx, network, first)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(c, d.UserTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok && d.ResetOnClose {
		if err := tcp.SetLinger(0); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	if d.Proxy == "" {
		return c, nil
	}
	if err := openTunnel(ctx, c, address); err != nil {
		_ = c.Close()
		// The same shape as a failed direct dial, which callers test for.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return c, nil
}

func openTunnel(ctx context.Context, c net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(c, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", address, address); err != nil {
		return err
	}
	// The other end speaks only after the first request, so nothing that
	// follows the proxy's answer can be lost in this buffer.
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 512), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return &ProxyError{Address: address, Status: res.StatusCode}
	}
	return nil
}
