package proxy

import (
	"net"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/wire"
)

const (
	// connectMessageTimeout is how long a client may take to send CONNECT.
	connectMessageTimeout = 10 * time.Second

	// acceptRetryInterval is the wait after a failed accept, for instance when no file descriptors are left.
	acceptRetryInterval = 20 * time.Millisecond
)

// accept accepts clients and serves each in a goroutine until the server's context ends.
func (s *Server) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				socket.Close()
			}
			return
		}
		if err != nil {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(acceptRetryInterval):
			}
			continue
		}
		s.counters.sessionsAccepted.Add(1)
		s.tasks.Go(func() { s.serveClient(socket) })
	}
}

// serveClient reads a client's messages and queues them for the event loop, which owns the session. It closes the socket itself
// only before the session is handed over, or after the event loop has ended.
func (s *Server) serveClient(socket net.Conn) {
	client := &clientSession{server: s, out: newBufferedConn(socket)}
	reader := &lineReader{conn: socket}
	database, key, ok := s.readConnect(reader)
	if !ok {
		return
	}
	client.keyHash = s.secret.Hash(key)
	if !s.queue.Put(eventloop.PriorityCommands, func() { s.beginSession(client, database) }) {
		socket.Close()
		return
	}
	s.readMessages(client, reader)
	if !s.queue.Put(eventloop.PriorityCommands, func() { s.handleReaderEnd(client) }) {
		socket.Close()
	}
}

// readConnect reads the client's CONNECT. If something else arrives, it answers with an error and closes the socket.
func (s *Server) readConnect(reader *lineReader) (database, key string, ok bool) {
	socket := reader.conn
	socket.SetReadDeadline(time.Now().Add(connectMessageTimeout))
	line, _, err := reader.next()
	var request wire.Request
	if err == nil {
		request, err = wire.ParseRequest(line)
	}
	if err == nil && request.Kind == wire.Connect {
		socket.SetReadDeadline(time.Time{})
		return request.Name, request.Value, true
	}
	s.counters.malformedInputs.Add(1)
	if err != nil && len(line) == 0 { // the client sent no line
		socket.Close()
	} else {
		closeWithError(socket, s.errorReply(errcode.ConnectExpected, 0))
	}
	return "", "", false
}

// readMessages queues a client's messages for the event loop until the client sends BYE, violates the protocol or disconnects.
func (s *Server) readMessages(client *clientSession, reader *lineReader) {
	for {
		line, _, err := reader.next()
		if err != nil {
			return
		}
		receivedAt := time.Now()
		request, parseErr := wire.ParseRequest(line)
		if parseErr == nil && request.Kind == wire.Bye {
			return
		}
		if parseErr != nil && request.ID == "" || parseErr == nil && request.Kind == wire.Connect {
			s.counters.malformedInputs.Add(1)
			s.queue.Put(eventloop.PriorityCommands, func() {
				s.sendFinal(client, s.errorReply(errcode.BadMessage, 0))
			})
			return
		}
		message := clientMessage{request: request, err: parseErr, receivedAt: receivedAt}
		if !s.queue.Put(eventloop.PriorityCommands, func() { s.enqueueMessage(client, message) }) {
			return
		}
	}
}

// closeWithError sends a final error and closes the socket only after it has read to the end of the input or the read deadline:
// closing a socket with unread bytes would reset the connection, and the client could lose the error.
func closeWithError(socket net.Conn, lines []byte) {
	out := newBufferedConn(socket)
	out.write(lines)
	out.closeWrite()
	var discarded [readChunkBytes]byte
	for {
		if _, err := socket.Read(discarded[:]); err != nil {
			break
		}
	}
	socket.Close()
}
