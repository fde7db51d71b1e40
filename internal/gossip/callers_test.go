package gossip

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"
)

// A router begins anew and asks under numbers of its own: what answers its older life, or comes from another than was
// asked, or a second time, says nothing of the one that is probed.
func TestAnAnswerCountsOnlyFromWhoWasProbedInThisLife(t *testing.T) {
	begin := func(life uint64) (*Membership, Outgoing) {
		f := New("r0", "r0", life, DefaultConfig(), func(int) int { return 0 }, 0)
		out := f.AddSeeds([]string{"r1"}, 0)
		require.Len(t, out, 1)
		f.HandleMessage(Message{Type: Ping, From: "r1", Updates: []Update{{"r1", "r1", 1, Alive}, {"r2", "r2", 1, Alive}}}, 1)
		for now := int64(2); ; now++ {
			for _, o := range f.Tick(now) {
				if o.Message.Type == Ping && o.To == "r2" {
					return f, o
				}
			}
		}
	}
	_, older := begin(1000)
	for name, c := range map[string]struct {
		from string
		of   func(now Outgoing) uint64
		good bool
	}{
		"the one that was probed": {"r2", func(now Outgoing) uint64 { return now.Message.Serial }, true},
		"another":                 {"r1", func(now Outgoing) uint64 { return now.Message.Serial }, false},
		"an older life's answer":  {"r2", func(Outgoing) uint64 { return older.Message.Serial }, false},
		"no number at all":        {"r2", func(Outgoing) uint64 { return 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := begin(2000)
			f.HandleMessage(Message{Type: Ack, From: c.from, Serial: c.of(now)}, f.now)
			require.Equal(t, !c.good, f.DiscardedAcks == 1)
			f.Tick(f.now + f.ProbePeriodMs)
			r, _ := f.Lookup("r2")
			require.Equal(t, c.good, r.State == Alive, "it is suspected unless it answered itself")
			if c.good {
				f.HandleMessage(Message{Type: Ack, From: c.from, Serial: c.of(now)}, f.now)
				require.EqualValues(t, 1, f.DiscardedAcks, "twice")
			}
		})
	}
}

// A third party that was asked may answer for the one that is probed, and no other may.
func TestAThirdPartysWordCountsOnlyWhereItWasAsked(t *testing.T) {
	for _, from := range []string{"r2", "r9"} {
		f := New("r0", "r0", 5, DefaultConfig(), func(int) int { return 0 }, 0)
		f.HandleMessage(Message{Type: Ping, From: "r1", Updates: []Update{{"r1", "r1", 1, Alive}, {"r2", "r2", 1, Alive}}}, 1)
		var probed Outgoing
		asked := false
		for now := int64(2); !asked; now++ {
			for _, o := range f.Tick(now) {
				if o.Message.Type == Ping && probed.To == "" {
					probed = o
				}
				asked = asked || o.Message.Type == PingRequest && o.Message.Serial == probed.Message.Serial && o.To != probed.To
			}
		}
		third := map[string]string{"r1": "r2", "r2": "r1"}[probed.To]
		if from == "r2" {
			from = third
		}
		f.HandleMessage(Message{Type: Ack, From: from, Serial: probed.Message.Serial}, f.now)
		f.Tick(f.now + f.ProbePeriodMs)
		r, _ := f.Lookup(probed.To)
		require.Equal(t, from == third, r.State == Alive, "from %s", from)
	}
}

// What comes in a datagram, whatever it is, breaks nothing and is held within bounds.
func FuzzHeard(f *testing.F) {
	add := func(m Message) {
		var b bytes.Buffer
		require.NoError(f, gob.NewEncoder(&b).Encode(m))
		f.Add(b.Bytes())
	}
	add(Message{Type: Ping, From: "r1", Serial: 7, Updates: []Update{{"r1", "r1", 1, Alive}, {"r0", "r0", 9, Dead}}, ControlMembers: []string{"a"}, ControlVersion: 3})
	add(Message{Type: Ack, From: "r1", Serial: 6})
	add(Message{Type: PingRequest, From: "r1", Serial: 1 << 63, Target: "r2"})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if gob.NewDecoder(bytes.NewReader(b)).Decode(&m) != nil {
			return
		}
		r := New("r0", "r0", 5, DefaultConfig(), func(int) int { return 0 }, 0)
		r.AddSeeds([]string{"r1"}, 0)
		for now := int64(1); now < 20; now++ {
			r.HandleMessage(m, now)
		}
		r.Tick(5000)
		require.LessOrEqual(t, len(r.routers), most)
		require.LessOrEqual(t, len(r.probes), most)
	})
}
