package postgres

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"ferrypitch/internal/router/protocol"
)

const (
	// maxQueryBytes limits the body of a query.
	maxQueryBytes = 1 << 20
	// lengthBytes is the size of a message's length field. The length includes the field itself.
	lengthBytes = 4
)

// serve accepts connections in the background until the listener is closed. The caller holds the fleet's lock.
func (h *Host) serve(listener net.Listener) {
	h.listener, h.up = listener, true
	h.fleet.tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.accept(listener, conn)
		}
	})
}

// accept serves a connection in the background, unless the host was killed after the listener accepted it.
func (h *Host) accept(listener net.Listener, conn net.Conn) {
	fleet := h.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !h.up || h.listener != listener {
		conn.Close()
		return
	}
	h.conns[conn] = true
	fleet.tasks.Go(func() {
		h.serveConn(conn)
		conn.Close()
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		delete(h.conns, conn)
	})
}

// serveConn answers the startup message and then queries, until the client closes the connection or sends any other message.
func (h *Host) serveConn(conn net.Conn) {
	input := bufio.NewReader(conn)
	if _, err := readBody(input, protocol.MaxStartupBytes); err != nil {
		return
	}
	if _, err := conn.Write(protocol.AppendStartupResponse(nil)); err != nil {
		return
	}
	for {
		kind, err := input.ReadByte()
		if err != nil || kind != protocol.Query {
			return
		}
		body, err := readBody(input, maxQueryBytes)
		if err != nil {
			return
		}
		statement, ok := protocol.QueryText(body)
		if !ok {
			return
		}
		response, ok := h.answer(string(statement))
		if !ok {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// readBody reads a message's length and its body. It returns protocol.ErrInvalidLength if the length is greater than maxLength
// or smaller than the length field.
func readBody(input io.Reader, maxLength uint32) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(input, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < lengthBytes || length > maxLength {
		return nil, protocol.ErrInvalidLength
	}
	body := make([]byte, length-lengthBytes)
	_, err := io.ReadFull(input, body)
	return body, err
}
