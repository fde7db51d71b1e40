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
	// userTimeout closes a connection whose bytes the other side has not acknowledged for so long.
	userTimeout = 3 * time.Second
	// hedgeInterval is the time between two attempts of DialHedged to connect.
	hedgeInterval = 90 * time.Millisecond
	// keepAliveOff disables TCP keep-alive: all our connections carry traffic of their own and have read timeouts.
	keepAliveOff = -1
)

// UserTimeout returns a net.Dialer.Control or net.ListenConfig.Control function that sets TCP_USER_TIMEOUT: the kernel closes
// a connection whose sent bytes stay unacknowledged for that long. A machine without power or behind a network partition
// sends no reset, and without this option the kernel would retransmit for minutes.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// It fails only on a closed descriptor, on which the next read or write fails too.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
	}
}

// Dial opens a TCP connection from the address localIP of this machine, or from any if localIP is no IP address.
func Dial(ctx context.Context, localIP, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: keepAliveOff, Control: UserTimeout(userTimeout)}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialHedged is Dial to another process of the system that may just be restarting. A machine without power drops the SYN, and
// the kernel sends the next one only a second later, when the machine may long be back. So further attempts begin beside the
// first, one each hedgeInterval, and the first that succeeds counts. A refused connection ends all attempts at once.
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
				go attempts.closeRest() // ends soon: the context of all attempts is cancelled
			}
			return result.conn, result.err
		}
	}
}

type dialResult struct {
	conn net.Conn
	err  error
}

// dialAttempts are the attempts of one DialHedged.
type dialAttempts struct {
	results chan dialResult // has space for all attempts, so that none of them blocks
	pending int
}

// start begins an attempt in a goroutine, which ends with the context of the dial function at the latest.
func (a *dialAttempts) start(dial func() (net.Conn, error)) {
	a.pending++
	go func() {
		conn, err := dial()
		a.results <- dialResult{conn, err}
	}()
}

// closeRest closes the connections of attempts that succeed after the first.
func (a *dialAttempts) closeRest() {
	for range a.pending {
		if result := <-a.results; result.conn != nil {
			result.conn.Close()
		}
	}
}
