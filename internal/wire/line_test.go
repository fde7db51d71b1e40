package wire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCutLineRejectsLongAndMalformedLines(t *testing.T) {
	_, size, err := CutLine([]byte(strings.Repeat("x", MaxMessageBytes+1)), 0)
	require.ErrorIs(t, err, ErrMessageTooLong)
	require.Zero(t, size)
	for _, bad := range []string{"x\n", "\n", "a\rb\r\n", "a\x00\r\n"} {
		_, _, err = CutLine([]byte(bad), 0)
		require.ErrorIs(t, err, ErrMalformed, "%q", bad)
	}
}

func TestCutLineGoesOnWhereItStopped(t *testing.T) {
	buffer := []byte("QUERY x BEGIN\r\nBYE\r\n")
	line, size, err := CutLine(buffer[:6], 0)
	require.NoError(t, err)
	require.Nil(t, line)
	require.Zero(t, size)
	line, size, err = CutLine(buffer, 6)
	require.NoError(t, err)
	require.Equal(t, "QUERY x BEGIN", string(line))
	require.Equal(t, 15, size)
}
