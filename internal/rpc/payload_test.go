package rpc

import (
	"bytes"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longFrames returns frames with and without content that is sent as a payload.
func longFrames() []*Frame {
	long := bytes.Repeat([]byte("0123456789"), 10_000)
	return []*Frame{
		{LogUpdate: &LogUpdate{Entries: [][]byte{long, nil, []byte("short"), long[:40_000]}, LastIndex: 9, Members: []string{"10.0.0.1"}}},
		{LogUpdate: &LogUpdate{Snapshot: long, LastIndex: 9}},
		{SnapshotChunk: &SnapshotChunk{Index: 9, Size: 200_000, Offset: 100_000, Data: long}},
		{LogUpdate: &LogUpdate{Entries: [][]byte{[]byte("short")}, LastIndex: 10}},
		{LeaseResponse: &LeaseResponse{Serial: 3}},
	}
}

func encodeFor(t testing.TB, peerVersion uint32, frames ...*Frame) []byte {
	var out recordedConn
	conn := NewConn(&out)
	conn.SetPeerVersion(peerVersion)
	for _, f := range frames {
		require.NoError(t, conn.Send(f, time.Second))
	}
	return out.written.Bytes()
}

// Long updates are received completely by peers of any version, and not at all if the connection breaks.
func TestPayloadArrivesWithItsFrame(t *testing.T) {
	for version := VersionUnnumbered; version <= ProtocolVersion; version++ {
		conn := NewConn(&recordedConn{input: bytes.NewReader(encodeFor(t, version, longFrames()...))})
		for _, want := range longFrames() {
			got, err := conn.Receive(time.Second)
			require.NoError(t, err, "version %d", version)
			require.Equal(t, want, got, "version %d", version)
		}
	}
	encoded := encodeFor(t, ProtocolVersion, longFrames()[2])
	for n := 0; n < len(encoded); n += 997 {
		_, err := NewConn(&recordedConn{input: bytes.NewReader(encoded[:n])}).Receive(time.Second)
		require.Error(t, err, "broken after %d bytes of %d", n, len(encoded))
	}
}

// A payload whose announced size exceeds the limits is rejected before memory is allocated for it.
func TestPayloadIsBounded(t *testing.T) {
	tooMany := make([]uint32, maxPayloadParts+1)
	for _, sizes := range [][]uint32{{MaxFrameBytes + 1}, {math.MaxUint32, math.MaxUint32}, tooMany} {
		encoded := encodeFrames(t, &Frame{PayloadKind: payloadEntries, PayloadSizes: sizes, LogUpdate: &LogUpdate{}})
		_, err := NewConn(&recordedConn{input: bytes.NewReader(encoded)}).Receive(time.Second)
		require.ErrorIs(t, err, ErrPayload)
	}
}

// A connection must not retain a buffer as long as the largest update that it has carried. Otherwise, after one configuration
// update to 295 connections, the leader held 295 buffers of its length and ran out of memory.
func TestConnsKeepNoBufferOfTheLongestUpdate(t *testing.T) {
	const connections, updateBytes, keptBytes = 50, 1 << 20, 64 << 10
	update := &Frame{LogUpdate: &LogUpdate{Entries: [][]byte{make([]byte, updateBytes)}, LastIndex: 1}}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	open := make([]*Conn, connections)
	for i := range open {
		loopback := &loopbackConn{}
		open[i] = NewConn(loopback)
		open[i].SetPeerVersion(ProtocolVersion)
		require.NoError(t, open[i].Send(update, time.Second))
		loopback.Buffer = bytes.Buffer{}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(open)
	require.Less(t, int(after.HeapAlloc-before.HeapAlloc)/connections, keptBytes)
}
