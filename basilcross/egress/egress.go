// Package egress opens outgoing connections, directly or through an HTTP CONNECT proxy.
package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"basilcross.example/basilcross/duplex"
	"basilcross.example/basilcross/head"
)

const (
	// defaultKeepAlive is the KeepAliveInterval if none is set. Its probes detect idle
	// connections whose other end is gone.
	defaultKeepAlive = 5 * time.Second
	// defaultDialTimeout is the dial timeout if none is set.
	defaultDialTimeout = 2 * time.Second
)

// Dialer opens TCP connections. The zero value dials directly.
type Dialer struct {
	// Proxy is the address of an egress proxy, such as "127.0.0.1:3128"; empty for none.
	Proxy string
	// UserTimeout is how long sent bytes may stay unacknowledged by the other end's
	// kernel before the connection is aborted (TCP_USER_TIMEOUT); 0 leaves the default.
	UserTimeout time.Duration
	// DialTimeout bounds dialing, including the proxy's answer, unless the context ends
	// earlier; 0 means two seconds.
	DialTimeout time.Duration
	// KeepAliveInterval is the idle time after which a keep-alive probe is sent, and the
	// time between probes; 0 means five seconds. Probes detect connections whose other
	// end has disappeared without a reset.
	KeepAliveInterval time.Duration
	// ResetOnClose closes connections with a reset, which discards unsent bytes.
	// Otherwise bytes held back by a network partition would arrive when it heals.
	ResetOnClose bool
}

// keepAliveProbes is how many unanswered probes close a connection.
const keepAliveProbes = 2

// ProxyError is returned if the proxy refuses to open a connection.
type ProxyError struct {
	Address string
	// Status is the HTTP status of the proxy's response.
	Status int
}

func (e *ProxyError) Error() string {
	return fmt.Sprintf("egress proxy answered %d for %s", e.Status, e.Address)
}

// DialContext opens a connection. It fits http.Transport.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout, keepAlive := d.DialTimeout, d.KeepAliveInterval
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialAddress := address
	if d.Proxy != "" {
		dialAddress = d.Proxy
	}
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes}}
	c, err := dialer.DialContext(ctx, network, dialAddress)
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
		return &duplex.Conn{Conn: c}, nil
	}
	if err := openTunnel(ctx, c, address); err != nil {
		_ = c.Close()
		// The same error type as of a failed direct dial, which callers check for.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return &duplex.Conn{Conn: c}, nil
}

func openTunnel(ctx context.Context, c net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(c, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", address, address); err != nil {
		return err
	}
	// The destination sends nothing before the first request, so no bytes after the
	// proxy's response can be lost in this buffer.
	limited := io.LimitReader(c, head.MaxUnscanned)
	res, err := http.ReadResponse(bufio.NewReaderSize(limited, 512), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if err := head.Check(res); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return &ProxyError{Address: address, Status: res.StatusCode}
	}
	return nil
}
