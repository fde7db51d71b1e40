package gossip

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// learnMembers gives a membership the updates of r1 and r2, in a message from r1.
func learnMembers(m *Membership) {
	updates := []Update{{"r1", "r1", 1, Alive}, {"r2", "r2", 1, Alive}}
	m.HandleMessage(Message{Type: Ping, From: "r1", Updates: updates}, 1)
}

func newMembership(incarnation uint64) *Membership {
	zero := func(int) int { return 0 }
	return New("r0", "r0", incarnation, DefaultConfig(), zero, 0)
}

// Only an ack of the current ping, from the proxy that was pinged, shows that the proxy is alive. Acks of pings from before a restart,
// acks from a proxy that was not asked, and duplicate acks are discarded.
func TestAckCountsOnlyFromTheProbedProxyInThisRun(t *testing.T) {
	probeR2 := func(incarnation uint64) (*Membership, Outgoing) {
		m := newMembership(incarnation)
		require.Len(t, m.AddSeeds([]string{"r1"}, 0), 1)
		learnMembers(m)
		for now := int64(2); ; now++ {
			for _, sent := range m.Tick(now) {
				if sent.Message.Type == Ping && sent.To == "r2" {
					return m, sent
				}
			}
		}
	}
	_, earlierPing := probeR2(1000)
	for name, c := range map[string]struct {
		from     string
		serialOf func(ping Outgoing) uint64
		counts   bool
	}{
		"the probed proxy":           {"r2", func(ping Outgoing) uint64 { return ping.Message.Serial }, true},
		"another proxy":              {"r1", func(ping Outgoing) uint64 { return ping.Message.Serial }, false},
		"ack of an earlier process":  {"r2", func(Outgoing) uint64 { return earlierPing.Message.Serial }, false},
		"a serial that was not sent": {"r2", func(Outgoing) uint64 { return 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			m, ping := probeR2(2000)
			ack := Message{Type: Ack, From: c.from, Serial: c.serialOf(ping)}
			m.HandleMessage(ack, m.now)
			require.Equal(t, !c.counts, m.DiscardedAcks == 1)
			m.Tick(m.now + m.ProbePeriodMs)
			probed, _ := m.Lookup("r2")
			require.Equal(t, c.counts, probed.State == Alive, "the probed proxy is suspected unless its own ack has arrived")
			if c.counts {
				m.HandleMessage(ack, m.now)
				require.EqualValues(t, 1, m.DiscardedAcks, "a duplicate ack")
			}
		})
	}
}

// An indirect ack is accepted only from a proxy that was sent a PingRequest.
func TestIndirectAckCountsOnlyFromAProxyThatWasAsked(t *testing.T) {
	for _, from := range []string{"r2", "r9"} {
		m := newMembership(5)
		learnMembers(m)
		var ping Outgoing
		asked := false
		for now := int64(2); !asked; now++ {
			for _, sent := range m.Tick(now) {
				if sent.Message.Type == Ping && ping.To == "" {
					ping = sent
				}
				isRequest := sent.Message.Type == PingRequest && sent.Message.Serial == ping.Message.Serial
				asked = asked || isRequest && sent.To != ping.To
			}
		}
		helper := map[string]string{"r1": "r2", "r2": "r1"}[ping.To]
		if from == "r2" {
			from = helper
		}
		m.HandleMessage(Message{Type: Ack, From: from, Serial: ping.Message.Serial}, m.now)
		m.Tick(m.now + m.ProbePeriodMs)
		probed, _ := m.Lookup(ping.To)
		require.Equal(t, from == helper, probed.State == Alive, "from %s", from)
	}
}
