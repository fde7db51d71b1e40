package tierfleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"ferrypitch/internal/router/protocol"
)

const (
	readyDialTimeout = time.Second
	readyInterval    = 20 * time.Millisecond
	readBufferBytes  = 1024
	maxMessageBytes  = 1 << 16
)

// WaitReady waits until a router answers an empty query without an error. If ctx ends first, the returned error wraps that of ctx.
func WaitReady(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		if isReady(ctx, address) {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return fmt.Errorf("%s is not ready: %w", address, ctx.Err())
}

func isReady(ctx context.Context, address string) bool {
	conn, err := net.DialTimeout("tcp", address, readyDialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	startup := protocol.AppendStartup(nil, "svc", "main")
	if _, err := conn.Write(protocol.AppendQuery(startup, nil)); err != nil {
		return false
	}
	return answersEmptyQuery(conn)
}

// answersEmptyQuery reads messages until the answer to an empty query, and reports whether it is EmptyQueryResponse rather than
// an error.
func answersEmptyQuery(conn net.Conn) bool {
	var input []byte
	buffer := make([]byte, readBufferBytes)
	for {
		kind, _, length, err := protocol.NextMessage(input, maxMessageBytes)
		switch {
		case err != nil:
			return false
		case length > 0 && kind == protocol.ErrorResponse:
			return false
		case length > 0 && kind == protocol.EmptyQueryResponse:
			return true
		case length > 0:
			input = input[length:]
			continue
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return false
		}
		input = append(input, buffer[:n]...)
	}
}
