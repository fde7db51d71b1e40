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
	begin := func(life uint64) (*Feeler, Out) {
		f := New("r0", "r0", life, Usual(), func(int) int { return 0 }, 0)
		out := f.Known([]string{"r1"}, 0)
		require.Len(t, out, 1)
		f.Heard(Message{Kind: Ping, From: "r1", News: []News{{"r1", "r1", 1, Alive}, {"r2", "r2", 1, Alive}}}, 1)
		for now := int64(2); ; now++ {
			for _, o := range f.Tick(now) {
				if o.Message.Kind == Ping && o.To == "r2" {
					return f, o
				}
			}
		}
	}
	_, older := begin(1000)
	for name, c := range map[string]struct {
		from string
		of   func(now Out) uint64
		good bool
	}{
		"the one that was probed": {"r2", func(now Out) uint64 { return now.Message.Serial }, true},
		"another":                 {"r1", func(now Out) uint64 { return now.Message.Serial }, false},
		"an older life's answer":  {"r2", func(Out) uint64 { return older.Message.Serial }, false},
		"no number at all":        {"r2", func(Out) uint64 { return 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := begin(2000)
			f.Heard(Message{Kind: Ack, From: c.from, Serial: c.of(now)}, f.now)
			require.Equal(t, !c.good, f.Strays == 1)
			f.Tick(f.now + f.Period)
			r, _ := f.State("r2")
			require.Equal(t, c.good, r.State == Alive, "it is suspected unless it answered itself")
			if c.good {
				f.Heard(Message{Kind: Ack, From: c.from, Serial: c.of(now)}, f.now)
				require.EqualValues(t, 1, f.Strays, "twice")
			}
		})
	}
}

// A third party that was asked may answer for the one that is probed, and no other may.
func TestAThirdPartysWordCountsOnlyWhereItWasAsked(t *testing.T) {
	for _, from := range []string{"r2", "r9"} {
		f := New("r0", "r0", 5, Usual(), func(int) int { return 0 }, 0)
		f.Heard(Message{Kind: Ping, From: "r1", News: []News{{"r1", "r1", 1, Alive}, {"r2", "r2", 1, Alive}}}, 1)
		var probed Out
		asked := false
		for now := int64(2); !asked; now++ {
			for _, o := range f.Tick(now) {
				if o.Message.Kind == Ping && probed.To == "" {
					probed = o
				}
				asked = asked || o.Message.Kind == Please && o.Message.Serial == probed.Message.Serial && o.To != probed.To
			}
		}
		third := map[string]string{"r1": "r2", "r2": "r1"}[probed.To]
		if from == "r2" {
			from = third
		}
		f.Heard(Message{Kind: Ack, From: from, Serial: probed.Message.Serial}, f.now)
		f.Tick(f.now + f.Period)
		r, _ := f.State(probed.To)
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
	add(Message{Kind: Ping, From: "r1", Serial: 7, News: []News{{"r1", "r1", 1, Alive}, {"r0", "r0", 9, Dead}}, Control: []string{"a"}, Version: 3})
	add(Message{Kind: Ack, From: "r1", Serial: 6})
	add(Message{Kind: Please, From: "r1", Serial: 1 << 63, Target: "r2"})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if gob.NewDecoder(bytes.NewReader(b)).Decode(&m) != nil {
			return
		}
		r := New("r0", "r0", 5, Usual(), func(int) int { return 0 }, 0)
		r.Known([]string{"r1"}, 0)
		for now := int64(1); now < 20; now++ {
			r.Heard(m, now)
		}
		r.Tick(5000)
		require.LessOrEqual(t, len(r.routers), most)
		require.LessOrEqual(t, len(r.probes), most)
	})
}
