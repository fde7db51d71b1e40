package transport

import (
	"errors"
	"net"
	"syscall"
)

// hasUnreadInput reports whether a connection has unread input, including an end of stream. It peeks at the socket directly, so
// it never waits for a goroutine that is blocked in Read.
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
		unread = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return unread || err != nil
}
