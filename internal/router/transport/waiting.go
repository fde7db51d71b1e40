package transport

import (
	"net"
	"syscall"
)

// hasUnreadInput says whether a connection has something to read that was not read yet, its end included. It
// takes no turn from a goroutine that reads.
func hasUnreadInput(conn net.Conn) (unread bool) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread || err != nil
}
