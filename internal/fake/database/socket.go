package database

import (
	"net"
	"strings"
	"time"

	"ferrypitch/internal/wire"
)

const (
	readBufferBytes = 2048
	writeTimeout    = time.Second
)

// socketSession is a client's connection to a host over a socket. The first line is CONNECT, the following ones are statements.
type socketSession struct {
	server *Server
	host   *Host
	socket net.Conn
	input  []byte // received, but not handled yet
	conn   *Conn  // nil before CONNECT
}

// serve handles a connection until either side ends it.
func (s *Server) serve(socket net.Conn, host *Host) {
	session := &socketSession{server: s, host: host, socket: socket}
	defer session.close()
	for {
		line, ok := session.readLine()
		if !ok || !session.handle(line) {
			return
		}
	}
}

func (s *socketSession) close() {
	s.server.scheduler.Lock()
	defer s.server.scheduler.Unlock()
	if s.conn != nil {
		s.conn.Close()
	}
}

// readLine returns the next line. It returns false if the connection ends or the input is malformed.
func (s *socketSession) readLine() (line string, ok bool) {
	for {
		line, consumed, err := wire.CutLine(s.input, 0)
		if err != nil {
			return "", false
		}
		if consumed > 0 {
			s.input = s.input[consumed:]
			return string(line), true
		}
		var buffer [readBufferBytes]byte
		n, err := s.socket.Read(buffer[:])
		if n == 0 && err != nil {
			return "", false
		}
		s.input = append(s.input, buffer[:n]...)
	}
}

// handle runs one line while holding the scheduler's lock. It returns false if the connection must be closed.
func (s *socketSession) handle(line string) bool {
	s.server.scheduler.Lock()
	defer s.server.scheduler.Unlock()
	if !s.host.Up {
		return false
	}
	if s.conn == nil {
		return s.connect(line)
	}
	request, rest := cutWord(line)
	id, text := cutWord(rest)
	if request == "QUERY" && s.host.Conns[s.conn] {
		s.conn.Query(id, text)
	}
	return true
}

// connect handles the first line, CONNECT SERVICE WHO [HOST]. It rejects a client that asks for another service or host.
func (s *socketSession) connect(line string) bool {
	fields := strings.SplitN(line, " ", 4)
	if fields[0] != "CONNECT" || len(fields) < 3 || fields[1] != s.server.config.Service ||
		len(fields) == 4 && fields[3] != s.host.ID {
		_, _ = s.socket.Write(wire.AppendError(nil, wire.CodeWrongNode, s.host.ID)) // the connection is closed next
		return false
	}
	s.conn = s.host.Connect(fields[2])
	s.conn.OnClosed = func() { s.socket.Close() }
	s.conn.OnResponse = s.respond
	_, _ = s.socket.Write(wire.AppendIdle(nil, stateIdle, s.host.PositionAt(s.host.VisibleEntries()))) // the reader ends with the error
	return true
}

// respond writes an answer after a delay.
func (s *socketSession) respond(delay int64, response wire.Response) {
	output := wire.AppendIdle(response.Lines, response.State, response.Position)
	s.server.After(delay, func() {
		s.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = s.socket.Write(output) // the reader ends with the error
	})
}
