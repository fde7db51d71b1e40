package replay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

// Events of kinds that a newer release has added are passed over: they come after those of the decision module.
func TestEventsOfANewerSchemaArePassedOver(t *testing.T) {
	for _, kind := range []int{len(record.Schema), len(record.Schema) + 7, -1} {
		require.Equal(t, besideModule, classify(kind))
		r := &Replay{started: true}
		require.NoError(t, r.Apply(format.Event{Kind: kind}))
		require.Zero(t, r.Calls)
	}
}
