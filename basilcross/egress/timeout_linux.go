package egress

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, for which package syscall has no constant.
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
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
