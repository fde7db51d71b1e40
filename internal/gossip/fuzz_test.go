package gossip

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzHandleMessage checks that no received message causes a panic or makes the membership exceed its size limits.
func FuzzHandleMessage(f *testing.F) {
	add := func(message Message) {
		var encoded bytes.Buffer
		require.NoError(f, gob.NewEncoder(&encoded).Encode(message))
		f.Add(encoded.Bytes())
	}
	add(Message{Type: Ping, From: "r1", Serial: 7, Updates: []Update{{"r1", "r1", 1, Alive}, {"r0", "r0", 9, Dead}}, ControlMembers: []string{"a"}, ControlVersion: 3})
	add(Message{Type: Ack, From: "r1", Serial: 6})
	add(Message{Type: PingRequest, From: "r1", Serial: 1 << 63, Target: "r2"})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var message Message
		if gob.NewDecoder(bytes.NewReader(encoded)).Decode(&message) != nil {
			return
		}
		m := newMembership(5)
		m.AddSeeds([]string{"r1"}, 0)
		for now := int64(1); now < 20; now++ {
			m.HandleMessage(message, now)
		}
		m.Tick(5000)
		require.LessOrEqual(t, len(m.members), maxMembers)
		require.LessOrEqual(t, len(m.probes), maxMembers)
	})
}
