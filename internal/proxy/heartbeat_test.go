package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A heartbeat that names another address than the known one of a host is rejected by every member and changes nothing.
func TestHeartbeatFromAnotherAddressIsRejected(t *testing.T) {
	sim := newClusterSimulation(3, 1, 0)
	sim.RunFor(2 * second)
	body := []byte(`{"Service":"db","Address":"10.9.9.9:1","State":"serving","DbRole":"leader","CallSeq":9999}`)
	for _, m := range sim.cluster.members {
		status := 0
		m.server.HandleCall(http.MethodPost, "/Instances.Heartbeat/h1", "", body, func(got int, _ []byte) { status = got })
		sim.RunFor(second)
		require.Equal(t, http.StatusBadRequest, status)
	}
	sim.RunFor(2 * second)
	require.Zero(t, sim.cluster.promotions, "the primary was healthy")
}
