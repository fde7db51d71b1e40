package policy

import "testing"

func TestPeerUpdateRoundTrip(t *testing.T) {
	for _, update := range []peerUpdate{
		{"1a", 0, Replica, 0},
		{"1a", 0, Primary, peerLatencyUnknown},
		{"zz9", 1234560, Replica, peerRejecting},
		{"zz9", 1234560, Primary, peerConnsExhausted},
	} {
		decoded, ok := decodePeerUpdate(update.encode())
		if !ok || decoded != update {
			t.Errorf("%+v became %+v, ok %v", update, decoded, ok)
		}
	}
}

// The format must stay compatible with routers of other versions.
func TestPeerUpdateFormat(t *testing.T) {
	if got := (peerUpdate{"1a", 1234567, Primary, 3}).encode(); got != "1a.2cob7" {
		t.Errorf("encoded as %q", got)
	}
	for _, text := range []string{"", ".", "1a", "1a.", "1a.-1", "1a.zzzzzzzzzzzzzzzzz", "1a.!"} {
		if update, ok := decodePeerUpdate(text); ok {
			t.Errorf("%q was decoded as %+v", text, update)
		}
	}
}
