package control

import (
	"errors"
	"net"
	"syscall"
	"time"

	"ferrypitch/internal/retry"
	"ferrypitch/internal/wire"
)

// hostReadBytes is how much is read at once: a response is one short line.
const hostReadBytes = 1024

// errStaleConn is returned for an idle connection that has ended, or on which something came that no command asked for.
var errStaleConn = errors.New("idle connection has ended or holds an unexpected response")

// hostConn is a connection to a host. It carries one command at a time.
type hostConn struct {
	socket    net.Conn
	unread    []byte // received and not parsed yet
	idleSince time.Time
}

// query sends a command, if it may still be sent, and reads its response. progress says how far the command was written.
func (c *hostConn) query(command hostCommand, deadline time.Time) (response wire.Response, progress retry.Progress, err error) {
	if len(c.unread) > 0 || hasEndedOrReadable(c.socket) {
		return response, retry.NotSent, errStaleConn
	}
	c.socket.SetDeadline(deadline)
	message := wire.AppendQuery(nil, "-", command.text)
	if !command.mayBeSent() {
		return response, retry.NotSent, errLeaseOver
	}
	written, err := c.socket.Write(message)
	if err == nil {
		response, err = c.readResponse()
	}
	return response, retry.ProgressOf(written, len(message)), err
}

// readResponse reads lines until a response is complete.
func (c *hostConn) readResponse() (response wire.Response, err error) {
	scanned := 0 // bytes of unread that hold no end of line
	for {
		line, size, err := wire.CutLine(c.unread, scanned)
		if err != nil {
			return response, err
		}
		if size == 0 {
			scanned = len(c.unread)
			if err := c.fill(); err != nil {
				if response.Completed() && response.Code != "" { // a host rejects CONNECT by an error and a close
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

// fill reads some bytes.
func (c *hostConn) fill() error {
	var buffer [hostReadBytes]byte
	n, err := c.socket.Read(buffer[:])
	if n == 0 && err != nil {
		return err
	}
	c.unread = append(c.unread, buffer[:n]...)
	return nil
}

// hasEndedOrReadable reports whether an idle connection has ended or something was received on it, without reading.
func hasEndedOrReadable(conn net.Conn) bool {
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
