package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseHostStatus(t *testing.T) {
	status, err := ParseHostStatus("follower 3 3.1209 0 12 2 17")
	require.NoError(t, err)
	require.Equal(t, HostStatus{Timeline: 3, Received: Position{3, 1209}, LagMs: 12, BusySlots: 2, Connections: 17}, status)
	for _, bad := range []string{"", "follower", "boss 3 3.1 0 1 2 3", "leader x 3.1 0 1 2 3", "leader 3 31 0 1 2 3", "leader 3 3.1 0 -1 2 3"} {
		_, err = ParseHostStatus(bad)
		require.Error(t, err, bad)
	}
}

// Callers look at the role of a status even if a later field is malformed.
func TestMalformedStatusKeepsTheFieldsBeforeTheFault(t *testing.T) {
	status, err := ParseHostStatus("leader 7 3.1209 8 12 two 17")
	require.ErrorIs(t, err, ErrMalformed)
	require.Equal(t, HostStatus{IsPrimary: true, Timeline: 7, Received: Position{3, 1209}, PausedTimeline: 8, LagMs: 12}, status)
	status, err = ParseHostStatus("leader 7 3-1209 8 12 2 17")
	require.ErrorIs(t, err, ErrMalformed)
	require.Equal(t, HostStatus{IsPrimary: true}, status)
}
