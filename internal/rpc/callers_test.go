package rpc

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/consensus"
)

// tape is a connection that plays bytes, and records.
type tape struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (t *tape) Read(b []byte) (int, error)       { return t.in.Read(b) }
func (t *tape) Write(b []byte) (int, error)      { return t.out.Write(b) }
func (t *tape) SetReadDeadline(time.Time) error  { return nil }
func (t *tape) SetWriteDeadline(time.Time) error { return nil }

func wired(t testing.TB, all ...*Frame) []byte {
	var out tape
	c := NewConn(&out)
	for _, f := range all {
		require.NoError(t, c.Send(f, time.Second))
	}
	return out.out.Bytes()
}

var mark = CallID{From: "10.0.0.1+ab", Incarnation: 1<<63 + 7, Term: 9, Serial: 12}

func passedOn() []*Frame {
	return []*Frame{
		{ForwardRequest: &ForwardRequest{CallID: mark, To: "10.0.0.2", Method: "POST", Path: "/Config.Replace", BaseVersion: "7", Body: []byte("{}")}},
		{ForwardResponse: &ForwardResponse{CallID: mark, By: "10.0.0.2", Status: 200, Body: []byte("{}\n")}},
		{Consensus: &consensus.Message{Type: consensus.MsgAppend, From: "10.0.0.1", Entries: []consensus.Entry{{Term: 3, Data: []byte("x")}}}},
	}
}

// A call that is passed on comes whole, with all of its mark, or not at all, wherever its connection is cut.
func TestACallThatIsCutAtAnyByteNeverArrives(t *testing.T) {
	whole := wired(t, passedOn()[:1]...)
	for n := range whole {
		_, err := NewConn(&tape{in: bytes.NewReader(whole[:n])}).Receive(time.Second)
		require.Error(t, err, "cut after %d of %d", n, len(whole))
	}
	c := NewConn(&tape{in: bytes.NewReader(wired(t, passedOn()...))})
	for _, want := range passedOn() {
		got, err := c.Receive(time.Second)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(wired(f, passedOn()...))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Add([]byte{0, 0, 0, 2, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := NewConn(&tape{in: bytes.NewReader(b)})
		for range 100 {
			if _, err := c.Receive(time.Second); err != nil {
				return
			}
		}
	})
}
