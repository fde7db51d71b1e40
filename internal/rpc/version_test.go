package rpc

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectedPair returns the two ends of a connection.
func connectedPair(t *testing.T) (one, other *Conn) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	return NewConn(a), NewConn(b)
}

// A frame that needs a newer protocol version is refused with a reason, and the connection still delivers later frames.
func TestFrameOfANewerVersionIsRefused(t *testing.T) {
	sender, receiver := connectedPair(t)
	sent := make(chan error, 1)
	go func() {
		err := sender.Send(&Frame{Version: ProtocolVersion + 1, NeedsVersion: ProtocolVersion + 1}, time.Minute)
		if err == nil {
			err = sender.Send(&Frame{Version: ProtocolVersion + 1, ChunkAck: &ChunkAck{Index: 7}}, time.Minute)
		}
		sent <- err
	}()
	_, err := receiver.Receive(time.Minute)
	var unsupported *UnsupportedFrameError
	require.ErrorAs(t, err, &unsupported)
	require.Equal(t, UnsupportedFrameError{RequiredVersion: ProtocolVersion + 1, SenderVersion: ProtocolVersion + 1, OwnVersion: ProtocolVersion}, *unsupported)
	frame, err := receiver.Receive(time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 7, frame.ChunkAck.Index)
	require.NoError(t, <-sent)

	go func() { sent <- receiver.Refuse(unsupported) }()
	answer, err := sender.Receive(time.Minute)
	require.NoError(t, err)
	require.NoError(t, <-sent)
	require.Equal(t, &Refusal{Version: ProtocolVersion, Reason: unsupported.Error()}, answer.Refusal)
	require.Contains(t, answer.Refusal.Reason, fmt.Sprintf("needs version %d", ProtocolVersion+1))
}

// Frames of older releases without a version field are accepted, and are treated as VersionUnnumbered.
func TestUnnumberedFramesAreRead(t *testing.T) {
	sender, receiver := connectedPair(t)
	sent := make(chan error, 1)
	go func() { sent <- sender.Send(&Frame{LeaseRequest: &LeaseRequest{Serial: 3}}, time.Minute) }()
	frame, err := receiver.Receive(time.Minute)
	require.NoError(t, err)
	require.NoError(t, <-sent)
	require.EqualValues(t, 3, frame.LeaseRequest.Serial)
	require.Equal(t, VersionUnnumbered, PeerVersion(frame.Version))
}
