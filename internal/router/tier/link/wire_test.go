package link

import (
	"encoding/hex"
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Encoded messages of protocol version 1. They must not change, since planners and
// forwarders of different releases exchange them during an upgrade.
const (
	wireGreeting = "66706c6e0102010203040506070809000000000000000000000000000000026631c84ac4d0c2a32a3a8a6fb4c5d42bf93d"
	wireChange   = "0000007601a80107020204a2010102182905a201010218290602071907d00882af0161610263783a3103617a04616b052206" +
		"f93e0007f5080109a201010218290a070b18630c020d18620e010f03a40161620263793a32050009a201010218290a1b78ca" +
		"71d7c9ffc2ae98a7817cb66925ca47651ae96e9704dc"
	wireRemoval = "0000005101a80107020304a2010102182a05a2010102182a06020881a90161610260050009a2010102182a0b18630c020d18" +
		"620e010f03098161620a1bd069dae6e80915d67797549ff3d5f52b179c9e4f396312d7"
	wireReport = "0000003002a2011907d00281a9016161020403010403050206020719012c0808091905dc2ff9e564f4c1354c732c885918f2" +
		"62d3"
	wireViewRequest = "0000001103367eef2e6dfcbd1eff10a75fc3e607ef"
)

func TestWireFormat(t *testing.T) {
	greeting := Greeting{
		Version: ProtocolVersion, Refusal: RefusalCapacity, Incarnation: 0x0102030405060708, Nonce: [16]byte{9}, Name: "f1",
	}
	checkWire(t, "a greeting", AppendGreeting(nil, greeting, &key), wireGreeting)

	forwarder, planner := sessions()
	var fleet view.View
	fleet.ApplyList(view.Version{Generation: 1, Revision: 41}, true, []view.Host{
		{
			Name: "a", Address: "x:1", Zone: "z", Model: "k", Set: -3, Size: 1.5, ListedPrimary: true,
			ListedState: policy.Draining, BootedAt: 7,
		},
		{Name: "b", Address: "y:2"},
	})
	fleet.AddEvidence(view.Evidence{Name: "a", Position: 99, Role: policy.Replica, RolePosition: 98, RoleChanges: 1}, 1000)
	fleet.SetLateness("a", 3)
	fleet.RouterCount = 2
	change := fleet.TakeChanges(7, 2)
	change.ReportInterval = 2000
	checkWire(t, "a change", planner.Seal(nil, KindChange, EncodeBody(change)), wireChange)

	fleet.ApplyList(view.Version{Generation: 1, Revision: 42}, true, []view.Host{{Name: "a"}})
	checkWire(t, "a removal", planner.Seal(nil, KindChange, EncodeBody(fleet.TakeChanges(7, 3))), wireRemoval)

	report := Report{Interval: 2000, Observations: []Observation{{
		Evidence:  view.Evidence{Name: "a", Position: 4, Role: policy.Primary, RolePosition: 3, RoleChanges: 2},
		Responses: 2, LatenessSum: 300, BootedAt: 8, ColdWork: 1500,
	}}}
	checkWire(t, "a report", forwarder.Seal(nil, KindReport, EncodeBody(report)), wireReport)
	checkWire(t, "a request for the full view", forwarder.Seal(nil, KindViewRequest, nil), wireViewRequest)
}

// checkWire compares an encoded message with its expected bytes in hexadecimal.
func checkWire(t *testing.T, message string, sent []byte, expected string) {
	t.Helper()
	if encoded := hex.EncodeToString(sent); encoded != expected {
		t.Errorf("%s is encoded as %s, expected %s", message, encoded, expected)
	}
}
