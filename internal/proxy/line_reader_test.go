package proxy

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// If the process gets no CPU time for a while, messages that arrived before the drain of their session are still read.
func TestDrainedSessionIsReadWhatHadArrived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	socket, err := listener.Accept()
	require.NoError(t, err)
	defer socket.Close()
	client.Write([]byte("QUERY 1 FETCH a\r\nQUERY 2 FETCH b\r\n"))
	time.Sleep(50 * time.Millisecond)

	newBufferedConn(socket).stopReading()
	reader := &lineReader{conn: socket}
	for _, want := range []string{"QUERY 1 FETCH a", "QUERY 2 FETCH b"} {
		line, _, err := reader.next()
		require.NoError(t, err)
		require.Equal(t, want, string(line))
	}
	_, _, err = reader.next()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
