package control

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/retry"
)

// scriptedSocket plays one connection to a host: how much of a question is written, and what comes then.
type scriptedSocket struct {
	net.Conn
	sentCommands  *[]string // by all connections
	unexpected    bool      // of the next: what it says now is of no question
	writableBytes int       // bytes of the next question that go out; -1: all
	readable      string
	responds      string // comes once it is asked
	readError     error  // after comes
	closed        bool
}

func (s *scriptedSocket) Write(b []byte) (int, error) {
	if strings.HasPrefix(string(b), "CONNECT") {
		return len(b), nil
	}
	if s.writableBytes >= 0 && s.writableBytes < len(b) {
		return s.writableBytes, syscall.EPIPE
	}
	s.readable, s.responds = s.readable+s.responds, ""
	*s.sentCommands = append(*s.sentCommands, strings.TrimSpace(strings.TrimPrefix(string(b), "QUERY - ")))
	return len(b), nil
}

func (s *scriptedSocket) Read(b []byte) (int, error) {
	if s.readable == "" {
		return 0, s.readError
	}
	n := copy(b, s.readable)
	s.readable = s.readable[n:]
	return n, nil
}

func (s *scriptedSocket) Close() error                { s.closed = true; return nil }
func (s *scriptedSocket) SetDeadline(time.Time) error { return nil }

const (
	idleLine       = "IDLE I 3.7\r\n"
	statusResponse = "ROW follower 3 3.9 0 12 2 17\r\nDONE -\r\nIDLE I 3.7\r\n"
)

// A connection that was kept ends before, during and after a question is written, or stays silent: only what may be asked
// again is asked again, and nothing is asked again after its time.
func TestCommandOnIdleConnectionFollowsRetryTable(t *testing.T) {
	for name, c := range map[string]struct {
		kept scriptedSocket
		stat int // how often the question is said, where it is a STAT
		rest int // and where it is PAUSE, RESUME or STEPDOWN
	}{
		"answered":                    {scriptedSocket{writableBytes: -1, readable: statusResponse}, 1, 1},
		"ended before":                {scriptedSocket{writableBytes: 0, readError: io.EOF}, 1, 1},
		"reset in the middle":         {scriptedSocket{writableBytes: 5, readError: syscall.ECONNRESET}, 1, 1},
		"reset after":                 {scriptedSocket{writableBytes: -1, readError: syscall.ECONNRESET}, 2, 1},
		"reset in the answer":         {scriptedSocket{writableBytes: -1, readable: statusResponse[:20], readError: syscall.ECONNRESET}, 2, 1},
		"silent":                      {scriptedSocket{writableBytes: -1, readError: os.ErrDeadlineExceeded}, 1, 1},
		"an answer that is no answer": {scriptedSocket{writableBytes: -1, readable: "MUMBLE\r\n"}, 2, 1},
		"it said something by itself": {scriptedSocket{writableBytes: -1, readable: statusResponse, unexpected: true}, 1, 1},
	} {
		for verb, want := range map[failover.Command]int{failover.Stat: c.stat, failover.Pause: c.rest, failover.Resume: c.rest, failover.StepDown: c.rest} {
			t.Run(name+" "+verb.Text(), func(t *testing.T) {
				var said []string
				kept := c.kept
				kept.sentCommands = &said
				idleConn := &hostConn{socket: &kept}
				if kept.unexpected {
					idleConn.unread = []byte(strings.Replace(statusResponse, "3.9", "3.2", 1)) // it came behind the answer before
				}
				fresh := &scriptedSocket{sentCommands: &said, writableBytes: -1, readable: idleLine, responds: statusResponse}
				dials := 0
				client := &hostClient{dial: func(string, time.Duration) (net.Conn, error) { dials++; return fresh, nil }}
				a, h, err := client.exchange(idleConn, statemachine.Host{ID: "h1", Service: "db", Address: "h1:1"}, verb, verb.Text(), time.Now().Add(hostQueryTimeout))
				require.Len(t, said, want)
				if err != nil {
					require.Zero(t, dials, "it was given up, and nothing else begun")
					require.True(t, kept.closed)
					require.Nil(t, h, "no connection is kept behind an answer that may come yet")
					return
				}
				require.True(t, a.Completed())
				require.Contains(t, a.Row, "3.9", "the answer to something else")
				require.NotNil(t, h)
				require.Equal(t, dials > 0, kept.closed)
				if dials == 0 {
					require.Same(t, &kept, h.socket)
				}
				require.Empty(t, h.unread)
			})
		}
	}
}

// A connection that can't be made says nothing to the host, and one to another host is not asked.
func TestNoCommandIsSentToAnotherHost(t *testing.T) {
	var said []string
	for comes, want := range map[string]string{"ERROR WRONGNODE i-9\r\n": "WRONGNODE", "": "EOF", "IDLE I 3": "EOF"} {
		fresh := &scriptedSocket{sentCommands: &said, writableBytes: -1, readable: comes, readError: io.EOF}
		client := &hostClient{dial: func(string, time.Duration) (net.Conn, error) { return fresh, nil }}
		_, h, err := client.exchange(nil, statemachine.Host{ID: "h1", Service: "db", Address: "h1:1"}, failover.Pause, "PAUSE 4", time.Now().Add(hostQueryTimeout))
		require.ErrorContains(t, err, want)
		require.Nil(t, h)
		require.True(t, fresh.closed)
	}
	client := &hostClient{dial: func(string, time.Duration) (net.Conn, error) { return nil, errors.New("refused") }}
	_, _, err := client.exchange(nil, statemachine.Host{}, failover.Pause, "PAUSE 4", time.Now().Add(hostQueryTimeout))
	require.Error(t, err)
	require.Empty(t, said)
}

// What is kept is looked at before it is used: whether it has ended, or says something that nobody asked for.
func TestStaleIdleConnectionIsDetected(t *testing.T) {
	for name, do := range map[string]func(host net.Conn){
		"ended":   func(host net.Conn) { host.Close() },
		"reset":   func(host net.Conn) { host.(*net.TCPConn).SetLinger(0); host.Close() },
		"talking": func(host net.Conn) { host.Write([]byte(statusResponse)) },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			host, err := l.Accept()
			require.NoError(t, err)
			defer host.Close()
			require.False(t, hasEndedOrReadable(c), "it is at rest")
			do(host)
			require.Eventually(t, func() bool { return hasEndedOrReadable(c) }, 5*time.Second, time.Millisecond)
			_, m, err := (&hostConn{socket: c}).query("PAUSE 7", time.Now().Add(time.Second))
			require.ErrorIs(t, err, errStaleConn)
			require.Equal(t, retry.NotSent, m)
		})
	}
}
