package egress

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

func setUserTimeout(c net.Conn, d time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok || d == 0 {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
