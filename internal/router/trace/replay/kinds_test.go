package replay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

// A replay skips events of unknown kinds, which a newer release may have added at the end of the schema.
func TestEventsOfANewerSchemaArePassedOver(t *testing.T) {
	for _, kind := range []int{len(record.Schema), len(record.Schema) + 7, -1} {
		require.Equal(t, ignored, classify(kind))
		r := &Replay{started: true}
		require.NoError(t, r.Apply(format.Event{Kind: kind}))
		require.Zero(t, r.Calls)
	}
}
