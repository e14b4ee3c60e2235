//go:build !linux

package egress

import (
	"net"
	"time"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT, where keep-alive
// probes and the requests' own timeouts still apply.
func setUserTimeout(net.Conn, time.Duration) error { return nil }
