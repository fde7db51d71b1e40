package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func readResponse(t *testing.T, text string) (response Response, complete bool, err error) {
	rest := []byte(text)
	for len(rest) > 0 && !complete && err == nil {
		line, size, lineErr := CutLine(rest, 0)
		require.NoError(t, lineErr)
		require.NotZero(t, size, "%q", rest)
		complete, err = response.AddLine(line, rest[:size])
		rest = rest[size:]
	}
	return response, complete, err
}

func TestResponseIsCompleteAtIdle(t *testing.T) {
	response, complete, err := readResponse(t, "ROW q\r\nDONE 7.1f3\r\nIDLE I 3.1209\r\n")
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, Position{3, 1209}, response.Position)
	require.Equal(t, "ROW q\r\nDONE 7.1f3\r\n", string(response.Lines))
	require.True(t, response.HasStamp)
	response, _, err = readResponse(t, "ERROR READONLY i-7f\r\nIDLE E 3.1209\r\n")
	require.NoError(t, err)
	require.Equal(t, CodeReadOnly, response.Code)
	require.EqualValues(t, 'E', response.State)
	for _, bad := range []string{"DONE x\r\nROW y\r\n", "DONE x\r\nDONE x\r\n", "ERROR \r\n", "IDLE X 1.2\r\n", "IDLE I 12\r\n", "NEWS\r\n", "DONE x\r\nERROR A b\r\n"} {
		_, _, err = readResponse(t, bad)
		require.Error(t, err, bad)
	}
}
