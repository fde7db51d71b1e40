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
	"ferrypitch/internal/retry"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// scriptedSocket simulates a connection to a host with a given limit on writes and given data to read.
type scriptedSocket struct {
	net.Conn
	sentCommands   *[]string // commands sent on all connections
	unexpected     bool      // whether readable was received before the command
	writableBytes  int       // bytes of the command that can be written; -1 means all
	readable       string
	queuedResponse string // appended to readable once the command is written
	readError      error  // returned once readable is consumed
	closed         bool
}

func (s *scriptedSocket) Write(b []byte) (int, error) {
	if strings.HasPrefix(string(b), "CONNECT") {
		return len(b), nil
	}
	if s.writableBytes >= 0 && s.writableBytes < len(b) {
		return s.writableBytes, syscall.EPIPE
	}
	s.readable, s.queuedResponse = s.readable+s.queuedResponse, ""
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

// alwaysHoldsLease is the lease check of a member that holds the lease at all times.
func alwaysHoldsLease(uint64) bool { return true }

// plainCommand returns a command that may be sent at any time.
func plainCommand(command failover.Command, text string) hostCommand {
	return hostCommand{text: text, operation: operations[command], mayBeSent: func() bool { return true }}
}

// A host that rejects connections because it is at its connection limit is alive and must not be considered lost. A host whose
// process has ended is lost.
func TestHostAtItsConnectionLimitHasAnswered(t *testing.T) {
	const overloaded = "ERROR OVERLOAD connections\r\n"
	for name, test := range map[string]struct {
		dials []any // result of each dial: a scriptedSocket or an error
		want  failover.QueryResult
	}{
		"refused by a line":           {[]any{scriptedSocket{readable: overloaded, readError: io.EOF}}, failover.QueryResult{Code: wire.CodeOverload}},
		"reset twice":                 {[]any{scriptedSocket{readError: syscall.ECONNRESET}, scriptedSocket{readError: syscall.ECONNRESET}}, failover.QueryResult{Code: wire.CodeOverload}},
		"reset by the process's end":  {[]any{scriptedSocket{readError: syscall.ECONNRESET}, syscall.ECONNREFUSED}, failover.QueryResult{ConnectionRefused: true}},
		"silent":                      {[]any{scriptedSocket{readError: os.ErrDeadlineExceeded}}, failover.QueryResult{TimedOut: true}},
		"another host at its address": {[]any{scriptedSocket{readable: "ERROR WRONGNODE i-9\r\n", readError: io.EOF}}, failover.QueryResult{Replaced: true, Code: wire.CodeWrongNode}},
	} {
		client := &hostClient{holdsLease: alwaysHoldsLease, idle: map[string]*hostConn{}, dial: func(string, time.Duration) (net.Conn, error) {
			next := test.dials[0]
			test.dials = test.dials[1:]
			if err, refused := next.(error); refused {
				return nil, err
			}
			socket := next.(scriptedSocket)
			return &socket, nil
		}}
		host := statemachine.Host{ID: "h1", Service: "db", Address: "h1:1"}
		test.want.Query = failover.HostQuery{Host: "h1", Command: failover.Stat}
		require.Equal(t, test.want, client.query(test.want.Query, host, time.Now().Add(hostQueryTimeout)), name)
	}
}

// An idle connection is closed before, while or after a command is written, or the host does not respond. A command is sent again
// only if the retry table allows it, and never after a timeout.
func TestCommandOnIdleConnectionFollowsRetryTable(t *testing.T) {
	for name, test := range map[string]struct {
		kept scriptedSocket // the idle connection
		stat int            // number of times that STAT is sent
		rest int            // number of times that PAUSE, RESUME or STEPDOWN is sent
	}{
		"answered":              {scriptedSocket{writableBytes: -1, readable: statusResponse}, 1, 1},
		"ended before writing":  {scriptedSocket{writableBytes: 0, readError: io.EOF}, 1, 1},
		"reset while writing":   {scriptedSocket{writableBytes: 5, readError: syscall.ECONNRESET}, 1, 1},
		"reset after writing":   {scriptedSocket{writableBytes: -1, readError: syscall.ECONNRESET}, 2, 1},
		"reset in the response": {scriptedSocket{writableBytes: -1, readable: statusResponse[:20], readError: syscall.ECONNRESET}, 2, 1},
		"silent":                {scriptedSocket{writableBytes: -1, readError: os.ErrDeadlineExceeded}, 1, 1},
		"malformed response":    {scriptedSocket{writableBytes: -1, readable: "MUMBLE\r\n"}, 2, 1},
		"unexpected response":   {scriptedSocket{writableBytes: -1, readable: statusResponse, unexpected: true}, 1, 1},
	} {
		for verb, want := range map[failover.Command]int{failover.Stat: test.stat, failover.Pause: test.rest, failover.Resume: test.rest, failover.StepDown: test.rest} {
			t.Run(name+" "+verb.Text(), func(t *testing.T) {
				var sent []string
				kept := test.kept
				kept.sentCommands = &sent
				idleConn := &hostConn{socket: &kept}
				if kept.unexpected {
					idleConn.unread = []byte(strings.Replace(statusResponse, "3.9", "3.2", 1)) // received after the previous response
				}
				fresh := &scriptedSocket{sentCommands: &sent, writableBytes: -1, readable: idleLine, queuedResponse: statusResponse}
				dials := 0
				client := &hostClient{dial: func(string, time.Duration) (net.Conn, error) { dials++; return fresh, nil }}
				response, conn, err := client.exchange(idleConn, statemachine.Host{ID: "h1", Service: "db", Address: "h1:1"}, plainCommand(verb, verb.Text()), time.Now().Add(hostQueryTimeout))
				require.Len(t, sent, want)
				if err != nil {
					require.Zero(t, dials, "it connects again after giving up")
					require.True(t, kept.closed)
					require.Nil(t, conn, "a connection is kept on which a response may still come")
					return
				}
				require.True(t, response.Completed())
				require.Contains(t, response.FirstRow, "3.9", "the response to another command")
				require.NotNil(t, conn)
				require.Equal(t, dials > 0, kept.closed)
				if dials == 0 {
					require.Same(t, &kept, conn.socket)
				}
				require.Empty(t, conn.unread)
			})
		}
	}
}

// No command is sent if the connection fails or another host answers.
func TestNoCommandIsSentToAnotherHost(t *testing.T) {
	var sent []string
	for received, want := range map[string]string{"ERROR WRONGNODE i-9\r\n": "WRONGNODE", "": "EOF", "IDLE I 3": "EOF"} {
		fresh := &scriptedSocket{sentCommands: &sent, writableBytes: -1, readable: received, readError: io.EOF}
		client := &hostClient{dial: func(string, time.Duration) (net.Conn, error) { return fresh, nil }}
		_, conn, err := client.exchange(nil, statemachine.Host{ID: "h1", Service: "db", Address: "h1:1"}, plainCommand(failover.Pause, "PAUSE 4"), time.Now().Add(hostQueryTimeout))
		require.ErrorContains(t, err, want)
		require.Nil(t, conn)
		require.True(t, fresh.closed)
	}
	client := &hostClient{dial: func(string, time.Duration) (net.Conn, error) { return nil, errors.New("refused") }}
	_, _, err := client.exchange(nil, statemachine.Host{}, plainCommand(failover.Pause, "PAUSE 4"), time.Now().Add(hostQueryTimeout))
	require.Error(t, err)
	require.Empty(t, sent)
}

// An idle connection that was closed or that has unsolicited data is detected before it is used.
func TestStaleIdleConnectionIsDetected(t *testing.T) {
	for name, act := range map[string]func(host net.Conn){
		"ended":           func(host net.Conn) { host.Close() },
		"reset":           func(host net.Conn) { host.(*net.TCPConn).SetLinger(0); host.Close() },
		"unexpected data": func(host net.Conn) { host.Write([]byte(statusResponse)) },
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
			require.False(t, closedOrReadable(c), "it is idle")
			act(host)
			require.Eventually(t, func() bool { return closedOrReadable(c) }, 5*time.Second, time.Millisecond)
			_, progress, err := (&hostConn{socket: c}).query(plainCommand(failover.Pause, "PAUSE 7"), time.Now().Add(time.Second))
			require.ErrorIs(t, err, errStaleConn)
			require.Equal(t, retry.NotSent, progress)
		})
	}
}
