package pool

import (
	"net"
	"syscall"
)

// openAndIdle reports whether an idle connection is open and has nothing to
// read. A close by the target would leave it unknown whether the next request
// ran, and a second response would be taken for the response to the next
// request. Both make the socket readable.
func openAndIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
	})
	return err == nil && noData
}

// DropClosed closes the idle connections that the target has closed, and reports whether there were
// any.
func (p *Pool) DropClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.idle[:0]
	for _, c := range p.idle {
		if openAndIdle(c.Conn) {
			open = append(open, c)
			continue
		}
		_ = c.Close()
	}
	dropped := len(open) < len(p.idle)
	clear(p.idle[len(open):])
	p.idle = open
	return dropped
}
