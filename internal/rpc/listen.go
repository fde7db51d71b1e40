package rpc

import (
	"context"
	"net"
	"sync"
	"time"
)

// acceptRetryInterval is the backoff after a failed accept, for example when the process is out of file descriptors.
const acceptRetryInterval = 50 * time.Millisecond

// Listen accepts connections at an address and calls handle for each of them in a separate goroutine. A connection is closed when
// its handler returns. When ctx is done, the listener and all connections are closed. wait blocks until all handlers have
// returned.
func Listen(ctx context.Context, address string, handle func(conn *Conn)) (wait func(), err error) {
	config := net.ListenConfig{KeepAlive: keepAliveOff, Control: UserTimeout(userTimeout)}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	a := &acceptor{listener: listener, handle: handle, conns: map[net.Conn]struct{}{}}
	stop := context.AfterFunc(ctx, a.closeAll)
	a.tasks.Go(func() {
		defer stop()
		a.acceptLoop(ctx)
	})
	return a.tasks.Wait, nil
}

// acceptor is the listener started by one call of Listen, with its connections.
type acceptor struct {
	listener net.Listener
	handle   func(conn *Conn)
	tasks    sync.WaitGroup // the accept loop and the handlers

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (a *acceptor) acceptLoop(ctx context.Context) {
	for {
		socket, err := a.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				socket.Close()
			}
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryInterval):
			}
			continue
		}
		a.mu.Lock()
		a.conns[socket] = struct{}{}
		a.mu.Unlock()
		a.tasks.Go(func() { a.serve(socket) })
	}
}

func (a *acceptor) serve(socket net.Conn) {
	defer func() {
		socket.Close()
		a.mu.Lock()
		delete(a.conns, socket)
		a.mu.Unlock()
	}()
	a.handle(NewConn(socket))
}

func (a *acceptor) closeAll() {
	a.listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for socket := range a.conns {
		socket.Close()
	}
}
