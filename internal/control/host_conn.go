package control

import (
	"errors"
	"net"
	"syscall"
	"time"

	"ferrypitch/internal/retry"
	"ferrypitch/internal/wire"
)

// hostReadBytes is the size of a read: a response is one short line.
const hostReadBytes = 1024

// errStaleConn is returned for an idle connection that was closed or on which unsolicited data was received.
var errStaleConn = errors.New("idle connection has ended or holds an unexpected response")

// hostConn is a connection to a host. It carries one command at a time.
type hostConn struct {
	socket    net.Conn
	unread    []byte // received but not parsed yet
	idleSince time.Time
}

// query sends a command, if it may still be sent, and reads its response. progress reports how much of the command was written.
func (c *hostConn) query(command hostCommand, deadline time.Time) (response wire.Response, progress retry.Progress, err error) {
	if len(c.unread) > 0 || closedOrReadable(c.socket) {
		return response, retry.NotSent, errStaleConn
	}
	c.socket.SetDeadline(deadline)
	message := wire.AppendQuery(nil, "-", command.text)
	if !command.mayBeSent() {
		return response, retry.NotSent, errLeaseExpired
	}
	written, err := c.socket.Write(message)
	if err == nil {
		response, err = c.readResponse()
	}
	return response, retry.ProgressOf(written, len(message)), err
}

// readResponse reads lines until a response is complete.
func (c *hostConn) readResponse() (response wire.Response, err error) {
	scanned := 0 // leading bytes of unread that contain no line ending
	for {
		line, size, err := wire.CutLine(c.unread, scanned)
		if err != nil {
			return response, err
		}
		if size == 0 {
			scanned = len(c.unread)
			if err := c.fill(); err != nil {
				if response.Completed() && response.Code != "" { // a host rejects CONNECT with an error and closes the connection
					return response, nil
				}
				return response, err
			}
			continue
		}
		complete, err := response.AddLine(line, c.unread[:size])
		c.unread, scanned = c.unread[size:], 0
		if err != nil || complete {
			return response, err
		}
	}
}

// fill appends the data of one read to unread.
func (c *hostConn) fill() error {
	var buffer [hostReadBytes]byte
	n, err := c.socket.Read(buffer[:])
	if n == 0 && err != nil {
		return err
	}
	c.unread = append(c.unread, buffer[:n]...)
	return nil
}

// closedOrReadable reports whether an idle connection was closed or has data to read, without consuming the data.
func closedOrReadable(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	readable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		return true
	})
	return readable || err != nil
}
