package proxy

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// chunksOf splits a snapshot into chunks.
func chunksOf(index uint64, snapshot []byte, chunkBytes int) (chunks []*rpc.SnapshotChunk) {
	sum := blake3.Sum256(snapshot)
	for offset := 0; offset < len(snapshot); offset += chunkBytes {
		chunks = append(chunks, &rpc.SnapshotChunk{
			Index: index, Digest: [16]byte(sum[:16]), Size: uint64(len(snapshot)), Offset: uint64(offset),
			Data: snapshot[offset:min(len(snapshot), offset+chunkBytes)], Members: []string{"10.0.0.1"},
		})
	}
	return chunks
}

// largeState returns a state whose snapshot has a size of some hundred KB.
func largeState(t *testing.T) *statemachine.State {
	t.Helper()
	var routes bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"Name":"r%d","Host":"db%d","Kind":"leader","DeadlineMs":100,"Service":"s"},`, i, i)
	}
	body := fmt.Sprintf(`{"Generation":1,"Routes":[%s],"Services":[{"Name":"s"}]}`, bytes.TrimSuffix(routes.Bytes(), []byte(",")))
	state := &statemachine.State{Index: 500}
	require.NoError(t, state.Apply(501, statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{Body: []byte(body)}}))
	return state
}

// A snapshot is assembled from chunks of any size, and each chunk is acknowledged with the number of bytes received so far.
func TestSnapshotArrivesInChunks(t *testing.T) {
	state := largeState(t)
	for _, chunkBytes := range []int{1 << 10, 128 << 10, 1 << 20} {
		sim := newSimulation(1, 1, 0)
		sim.RunFor(500 * millisecond)
		server := sim.proxies[0].server
		received := 0
		for _, chunk := range chunksOf(501, state.Snapshot(), chunkBytes) {
			ack, err := server.handleSnapshotChunk(chunk)
			require.NoError(t, err)
			received += len(chunk.Data)
			require.Equal(t, &rpc.ChunkAck{Index: 501, Received: uint64(received)}, ack)
		}
		require.Equal(t, state.Digest(), server.replica.state.Digest())
		require.Len(t, server.routes, 2000)
	}
}

// Chunks that don't continue the previous one, or whose sizes or digest are wrong, are rejected and leave the state unchanged. The
// snapshot can then be sent again.
func TestChunksThatDoNotFitAreRefused(t *testing.T) {
	state := largeState(t)
	for name, change := range map[string]func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk{
		"the first is missing": func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk { return chunks[1:] },
		"one is missing":       func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk { return append(chunks[:2:2], chunks[3:]...) },
		"one comes twice":      func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk { return append(chunks[:3:3], chunks[2:]...) },
		"another snapshot":     func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk { chunks[2].Index++; return chunks },
		"another size":         func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk { chunks[2].Size--; return chunks },
		"too large": func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk {
			chunks[0].Size = rpc.MaxSnapshotBytes + 1
			return chunks
		},
		"more than announced": func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk {
			for _, chunk := range chunks {
				chunk.Size = 100
			}
			return chunks
		},
		"a chunk that is too long": func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk {
			chunks[0].Data = make([]byte, maxChunkBytes+1)
			chunks[0].Size = rpc.MaxSnapshotBytes
			return chunks
		},
		"an empty chunk": func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk { chunks[1].Data = nil; return chunks },
		"a byte is changed": func(chunks []*rpc.SnapshotChunk) []*rpc.SnapshotChunk {
			chunks[2].Data = bytes.ToUpper(chunks[2].Data)
			return chunks
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 1, 0)
			sim.RunFor(500 * millisecond)
			server := sim.proxies[0].server
			before := server.replica.state.Digest()
			var err error
			for _, chunk := range change(chunksOf(501, state.Snapshot(), 40<<10)) {
				if _, err = server.handleSnapshotChunk(chunk); err != nil {
					break
				}
			}
			require.ErrorIs(t, err, errBadChunk)
			require.Equal(t, before, server.replica.state.Digest())
			for _, chunk := range chunksOf(501, state.Snapshot(), 40<<10) {
				_, err = server.handleSnapshotChunk(chunk)
				require.NoError(t, err)
			}
			require.Equal(t, state.Digest(), server.replica.state.Digest())
		})
	}
}

// A proxy whose state differs from that of a majority at the same index drops its lease and is repaired by a snapshot. It ignores
// digests of other indexes.
func TestProxyWithAWrongStateFindsOut(t *testing.T) {
	for seed := range uint64(8) {
		sim := newClusterSimulation(seed, 2, 6)
		sim.RunFor(3 * second)
		proxy := sim.proxies[0]
		if sim.cluster.proxyVersion < rpc.VersionDigestsAndChunks {
			continue
		}
		require.True(t, proxy.server.leaseValid())
		host := proxy.server.replica.state.Hosts["h1"]
		host.Address = "10.1.0.1:9999"
		proxy.server.replica.state.Hosts["h1"] = host
		other := proxy.server.replica.state.Digest()
		other.Index++
		require.NoError(t, proxy.server.checkDigest(&rpc.LeaseResponse{Digest: &other}))
		for deadline := sim.Now + 4*second; proxy.server.counters.stateDivergences.Load() == 0; {
			sim.RunFor(10 * millisecond)
			require.Less(t, sim.Now, deadline, "seed %d: the divergence was not detected", seed)
		}
		require.False(t, proxy.server.leaseValid(), "seed %d", seed)
		sim.RunFor(second)
		require.True(t, proxy.server.leaseValid(), "seed %d", seed)
		require.False(t, proxy.server.replica.diverged)
		require.Equal(t, "10.1.0.1:1001", proxy.server.replica.state.Hosts["h1"].Address, "seed %d", seed)
	}
}

// Chunks of any content result in an error or a snapshot, and never use more memory than the data received.
func FuzzSnapshotChunks(f *testing.F) {
	f.Add(uint64(1), uint64(10), uint64(0), []byte("0123456789"))
	f.Add(uint64(1), uint64(1<<40), uint64(3), []byte("x"))
	f.Fuzz(func(t *testing.T, index, size, offset uint64, data []byte) {
		var in incomingSnapshot
		random := rand.New(rand.NewPCG(index, size))
		for range 4 {
			chunk := &rpc.SnapshotChunk{Index: index, Size: size, Offset: offset, Data: data}
			if random.IntN(2) == 0 {
				chunk.Offset = uint64(len(in.data))
			}
			complete, _ := in.add(chunk)
			if complete && uint64(len(in.data)) != size || len(in.data) > 4*len(data) {
				t.Fatalf("%d bytes of %d", len(in.data), size)
			}
		}
	})
}
