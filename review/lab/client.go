//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

// client is a session of a client at a proxy.
type client struct {
	*system
	name   string
	socket net.Conn
	reader *bufio.Reader
}

// answer is what a client got for one message.
type answer struct {
	rows     []string
	done     string // stamp of DONE; empty if there was none
	code     string // code of ERROR; empty if there was none
	idle     string // fields of IDLE; empty if it did not come
	err      error  // the connection ended or the client gave up waiting
	received int    // bytes
}

func (a answer) ok() bool { return a.err == nil && a.done != "" && a.idle != "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return fmt.Sprintf("no complete answer after %d bytes: %v", a.received, a.err)
	case a.code != "":
		return "ERROR " + a.code + ", IDLE " + a.idle
	}
	return fmt.Sprintf("DONE %s, IDLE %s, %d bytes", a.done, a.idle, a.received)
}

// dialOptions set options of a client's socket before it connects.
type dialOptions struct{ segmentBytes, receiveBuffer int }

func (o dialOptions) control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if o.segmentBytes > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, o.segmentBytes)
		}
		if o.receiveBuffer > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.receiveBuffer)
		}
	})
}

func (s *system) connect(name string, proxy *proc, database string, options dialOptions) (*client, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: options.control, LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip(clientMachine))}}
	socket, err := dialer.Dial("tcp", net.JoinHostPort(proxy.ip, fmt.Sprint(frontPort)))
	if err != nil {
		return nil, err
	}
	c := &client{system: s, name: name, socket: socket, reader: bufio.NewReaderSize(socket, 4096)}
	fmt.Fprintf(socket, "CONNECT %s u1\r\n", database)
	if a := c.receive(2*time.Second, nil); a.idle == "" {
		socket.Close()
		return nil, fmt.Errorf("CONNECT: %v", a)
	}
	return c, nil
}

// query sends a statement and waits for its answer.
func (c *client) query(id, text string, within time.Duration) answer {
	c.send(id, text)
	a := c.receive(within, nil)
	c.logf("client %s gets for %s: %v", c.name, id, a)
	return a
}

func (c *client) send(id, text string) {
	c.logf("client %s sends %s %.60s", c.name, id, text)
	fmt.Fprintf(c.socket, "QUERY %s %s\r\n", id, text)
}

// receive reads one answer. pace, if set, is called with the number of bytes of each line part read.
func (c *client) receive(within time.Duration, pace func(bytes int)) (a answer) {
	c.socket.SetReadDeadline(time.Now().Add(within))
	for {
		var line strings.Builder
		for {
			part, more, err := c.readPart()
			a.received += len(part)
			if pace != nil {
				pace(len(part))
			}
			if err != nil {
				a.err = err
				return a
			}
			line.Write(part)
			if !more {
				break
			}
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line.String(), "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.done = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "IDLE":
			a.idle = rest
			return a
		default:
			a.err = fmt.Errorf("unexpected line %.40q", line.String())
			return a
		}
	}
}

// readPart reads a part of a line; more is false if it ends the line.
func (c *client) readPart() (part []byte, more bool, err error) {
	part, err = c.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return part, true, nil
	}
	return part, false, err
}

func (c *client) close() { c.socket.Close() }
