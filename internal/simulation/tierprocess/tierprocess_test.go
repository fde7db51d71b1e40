package tierprocess

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/program"
)

func TestSixForwardersAndThreePlannersKilledInTurn(t *testing.T) {
	dir := t.TempDir()
	binary, err := program.Build(dir, "ferrypitch")
	require.NoError(t, err)
	r, err := Run(t.Context(), Config{
		Dir:            dir,
		Binary:         binary,
		Forwarders:     6,
		Planners:       3,
		Sets:           2,
		HostsPerSet:    3,
		Rate:           150,
		For:            14 * time.Second,
		Clients:        4,
		Faults:         true,
		PrimaryChanges: 1,
		Seed:           1,
	})
	require.NoError(t, err)
	if r.Violations > 0 || r.Sent < 500 {
		t.Errorf("%+v", *r)
	}
	if r.Sent != r.Answered+r.Throttled+r.Failed+r.Lost {
		t.Errorf("%d sent: %d answered, %d throttled, %d failed", r.Sent, r.Answered, r.Throttled, r.Failed)
	}
	if 10*r.Answered < 7*r.Sent {
		t.Errorf("only %d of %d answered", r.Answered, r.Sent)
	}
}
