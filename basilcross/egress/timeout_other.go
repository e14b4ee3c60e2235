//go:build !linux

package egress

import (
	"net"
	"time"
)

// setUserTimeout has no effect where the option is unknown; keepalive and the
// request's own timeouts remain.
func setUserTimeout(net.Conn, time.Duration) error { return nil }
