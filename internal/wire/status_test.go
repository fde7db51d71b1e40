package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseHostStatus(t *testing.T) {
	status, err := ParseHostStatus("follower 3 3.1209 0 12 2 17")
	require.NoError(t, err)
	require.Equal(t, HostStatus{Timeline: 3, ReceivedPosition: Position{3, 1209}, LagMs: 12, BusySlots: 2, Connections: 17}, status)
	for _, bad := range []string{"", "follower", "boss 3 3.1 0 1 2 3", "leader x 3.1 0 1 2 3", "leader 3 31 0 1 2 3", "leader 3 3.1 0 -1 2 3"} {
		_, err = ParseHostStatus(bad)
		require.Error(t, err, bad)
	}
}

// A malformed status must be discarded as a whole, whichever field is invalid. A role from a partly parsed status would mislead a
// failover.
func TestMalformedStatusIsNotReadInPart(t *testing.T) {
	for _, row := range []string{"leader 7 3.1209 8 12 two 17", "leader 7 3-1209 8 12 2 17", "leader 7 3.1209 8 12 2 x"} {
		status, err := ParseHostStatus(row)
		require.ErrorIs(t, err, ErrMalformed, row)
		require.Zero(t, status, row)
	}
}
