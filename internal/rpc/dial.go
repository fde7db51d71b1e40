package rpc

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the time after which a connection with unacknowledged bytes is closed, see UserTimeout.
	userTimeout = 3 * time.Second
	// hedgeInterval is the time between two connection attempts of DialHedged.
	hedgeInterval = 90 * time.Millisecond
	// keepAliveOff disables TCP keep-alive, which is not needed: all connections carry regular traffic and have read timeouts.
	keepAliveOff = -1
)

// UserTimeout returns a net.Dialer.Control or net.ListenConfig.Control function that sets TCP_USER_TIMEOUT: the kernel closes
// a connection whose sent bytes stay unacknowledged for that long. A machine without power or behind a network partition
// sends no reset, and without this option the kernel would retransmit for minutes.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// This fails only if the descriptor is closed, and then the next read or write fails too.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
	}
}

// Dial opens a TCP connection from the local address localIP, or from any local address if localIP is not an IP address.
func Dial(ctx context.Context, localIP, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: keepAliveOff, Control: UserTimeout(userTimeout)}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialHedged connects like Dial, to a process that may be restarting. A SYN to a machine that is powered off is lost, and the
// kernel retransmits it only after a second, although the machine may be back much earlier. So DialHedged starts another attempt
// every hedgeInterval, in parallel, and returns the first connection that succeeds. A refused connection ends all attempts.
func DialHedged(ctx context.Context, localIP, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	attempts := dialAttempts{results: make(chan dialResult, 1+int(timeout/hedgeInterval))}
	start := func() {
		attempts.start(func() (net.Conn, error) { return Dial(ctx, localIP, address, timeout) })
	}
	start()
	hedge := time.NewTicker(hedgeInterval)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if attempts.pending < cap(attempts.results) {
				start()
			}
		case result := <-attempts.results:
			attempts.pending--
			if result.err != nil && attempts.pending > 0 && ctx.Err() == nil && !errors.Is(result.err, syscall.ECONNREFUSED) {
				continue
			}
			if attempts.pending > 0 {
				cancel()
				go attempts.closeRemaining() // returns soon, because the context of all attempts is cancelled
			}
			return result.conn, result.err
		}
	}
}

type dialResult struct {
	conn net.Conn
	err  error
}

// dialAttempts tracks the connection attempts of one DialHedged call.
type dialAttempts struct {
	results chan dialResult // has capacity for all attempts, so that none of them blocks
	pending int
}

// start starts an attempt in a goroutine. The goroutine ends when the context of the dial function is done, at the latest.
func (a *dialAttempts) start(dial func() (net.Conn, error)) {
	a.pending++
	go func() {
		conn, err := dial()
		a.results <- dialResult{conn, err}
	}()
}

// closeRemaining waits for the pending attempts, and closes the connections of those that still succeed.
func (a *dialAttempts) closeRemaining() {
	for range a.pending {
		if result := <-a.results; result.conn != nil {
			result.conn.Close()
		}
	}
}
