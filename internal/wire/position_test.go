package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPositionsAreOrderedByTimelineFirst(t *testing.T) {
	require.True(t, Position{3, 9}.Before(Position{4, 1}))
	require.False(t, Position{4, 1}.Before(Position{4, 1}))
	require.False(t, Position{}.Known())
}

func TestParsePositionReadsWhatStringReturns(t *testing.T) {
	for _, position := range []Position{{3, 1209}, {0, 1}, {1<<64 - 1, 1<<64 - 1}} {
		parsed, err := ParsePosition([]byte(position.String()))
		require.NoError(t, err)
		require.Equal(t, position, parsed)
	}
	unknown, err := ParsePosition([]byte("-"))
	require.NoError(t, err)
	require.False(t, unknown.Known())
	for _, malformed := range []string{"", "1", ".", "1.", ".1", "1.2.3", "-1.2", "1.-2", "18446744073709551616.1"} {
		parsed, err := ParsePosition([]byte(malformed))
		require.ErrorIs(t, err, ErrMalformed, malformed)
		require.False(t, parsed.Known(), malformed)
	}
}
