package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
)

// A member knows when each host's last nomination ended, also those of other leaders.
func TestRecentNominationsAreRemembered(t *testing.T) {
	nominations := newRecentNominations()
	nominate := func(host string, nowMs int64) {
		nominations.applied(&statemachine.Change{NominatePrimary: &statemachine.NominatePrimary{Service: "db", Host: host}}, nowMs)
	}
	nominate("h1", 100)
	nominate("h1", 200)
	require.Empty(t, nominations.endedAt["db"], "h1 is still nominated")
	nominate("h2", 300)
	nominations.applied(&statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "db", Host: "h2"}}, 400)
	require.Equal(t, map[string]int64{"h1": 300, "h2": 400}, nominations.endedAt["db"])
	nominate("h3", 500)
	nominate("h1", 401+nominationRetentionMs)
	require.Equal(t, map[string]int64{"h3": 401 + nominationRetentionMs}, nominations.endedAt["db"], "the others are too old")
}
