package rpc

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
)

// recordedConn is a connection that reads from input and records what is written to it.
type recordedConn struct {
	net.Conn
	input   io.Reader
	written bytes.Buffer
}

func (c *recordedConn) Read(b []byte) (int, error)       { return c.input.Read(b) }
func (c *recordedConn) Write(b []byte) (int, error)      { return c.written.Write(b) }
func (c *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *recordedConn) SetWriteDeadline(time.Time) error { return nil }

func encodeFrames(t testing.TB, frames ...*Frame) []byte {
	var out recordedConn
	conn := NewConn(&out)
	for _, f := range frames {
		require.NoError(t, conn.Send(f, time.Second))
	}
	return out.written.Bytes()
}

var testCallID = CallID{From: "10.0.0.1+ab", Incarnation: 1<<63 + 7, Term: 9, Serial: 12}

func testFrames() []*Frame {
	return []*Frame{
		{ForwardRequest: &ForwardRequest{CallID: testCallID, To: "10.0.0.2", Method: "POST", Path: "/Config.Replace", BaseVersion: "7", Body: []byte("{}")}},
		{ForwardResponse: &ForwardResponse{CallID: testCallID, By: "10.0.0.2", Status: 200, Body: []byte("{}\n")}},
		{Consensus: &consensus.Message{Type: consensus.MsgAppend, From: "10.0.0.1", Entries: []consensus.Entry{{Term: 3, Data: []byte("x")}}}},
	}
}

// A frame is received completely or not at all, wherever the connection breaks.
func TestTruncatedFrameIsNeverReceived(t *testing.T) {
	encoded := encodeFrames(t, testFrames()[:1]...)
	for n := range encoded {
		_, err := NewConn(&recordedConn{input: bytes.NewReader(encoded[:n])}).Receive(time.Second)
		require.Error(t, err, "broken after %d bytes of %d", n, len(encoded))
	}
	conn := NewConn(&recordedConn{input: bytes.NewReader(encodeFrames(t, testFrames()...))})
	for _, want := range testFrames() {
		got, err := conn.Receive(time.Second)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(encodeFrames(f, testFrames()...))
	f.Add(encodeFor(f, ProtocolVersion, longFrames()[2:]...))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Add([]byte{0, 0, 0, 2, 255, 255})
	f.Fuzz(func(_ *testing.T, content []byte) {
		c := NewConn(&recordedConn{input: bytes.NewReader(content)})
		for range 100 {
			if _, err := c.Receive(time.Second); err != nil {
				return
			}
		}
	})
}
