package pool

import (
	"net"
	"syscall"
)

// openAndIdle tells whether an idle connection is open and has nothing to read.
//
// A target that closed the connection would cost the next request its
// certainty, and one that sent a second answer would have it taken for the
// answer to the next request. Both show up as something to read.
func openAndIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
}
