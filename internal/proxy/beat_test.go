package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A beat for a host that is known at another address is refused, by whichever member takes it, and moves nothing.
func TestABeatFromAnotherAddressIsRefused(t *testing.T) {
	w := newCouncilWorld(3, 1, 0)
	w.RunFor(2 * s)
	for _, m := range w.council.members {
		status := 0
		m.f.HandleCall(http.MethodPost, "/Instances.Heartbeat/h1", "", []byte(`{"Service":"db","Address":"10.9.9.9:1","State":"serving","DbRole":"leader","CallSeq":9999}`),
			func(got int, _ []byte) { status = got })
		w.RunFor(s)
		require.Equal(t, http.StatusBadRequest, status)
	}
	w.RunFor(2 * s)
	require.Zero(t, w.council.calls, "its primary was good")
}
