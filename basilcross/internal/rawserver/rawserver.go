// Package rawserver starts servers for tests that write any bytes to their connections.
package rawserver

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// connTimeout bounds how long a connection is served.
const connTimeout = 30 * time.Second

// Start starts a server that calls serve for each connection and closes the connection afterwards. It is stopped at the
// end of the test.
func Start(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			group.Go(func() error {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(connTimeout))
				serve(c.(*net.TCPConn))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = group.Wait()
	})
	return l.Addr().String()
}
