package wire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseRequestReadsTheProtocolsExamples(t *testing.T) {
	for line, want := range map[string]Request{
		"CONNECT lepu270 u3f1":               {Kind: Connect, Name: "lepu270", Shape: "u3f1"},
		"BYE":                                {Kind: Bye},
		"QUERY 5c0e BEGIN":                   {Kind: Begin, ID: "5c0e", Text: "BEGIN"},
		"QUERY 5c0e BEGIN FETCH":             {Kind: BeginRead, ID: "5c0e", Text: "BEGIN FETCH"},
		"QUERY 5c0e FETCH 1a4":               {Kind: Fetch, ID: "5c0e", Text: "FETCH 1a4"},
		"QUERY 5c0e STORE 1a4 x y":           {Kind: Store, ID: "5c0e", Text: "STORE 1a4 x y"},
		"QUERY 5c0e SET tz a b c":            {Kind: Set, ID: "5c0e", Text: "SET tz a b c", Name: "tz", Shape: "a b c"},
		"QUERY 5c0e PREPARE s1 STORE q2c":    {Kind: Prepare, ID: "5c0e", Text: "PREPARE s1 STORE q2c", Name: "s1", Shape: "STORE q2c"},
		"QUERY 5c0e EXECUTE s1 1a4 xkqpwnzd": {Kind: Execute, ID: "5c0e", Text: "EXECUTE s1 1a4 xkqpwnzd", Name: "s1", Rest: "1a4 xkqpwnzd"},
		"QUERY 5c0e CLOSE s1":                {Kind: CloseName, ID: "5c0e", Text: "CLOSE s1", Name: "s1"},
		"QUERY 5c0e COMMIT":                  {Kind: Commit, ID: "5c0e", Text: "COMMIT"},
		"QUERY 5c0e ABORT":                   {Kind: Abort, ID: "5c0e", Text: "ABORT"},
	} {
		got, err := ParseRequest([]byte(line))
		require.NoError(t, err, line)
		require.Equal(t, want, got, line)
	}
	for line, hasID := range map[string]bool{ // whether the error can be answered to an id
		"": false, "HELLO": false, "QUERY": false, "QUERY - STAT": false, "BYE now": false, "CONNECT": false, "CONNECT db": false,
		"QUERY x": true, "QUERY x FETCH": true, "QUERY x STORE a": true, "QUERY x FENCE 1.2 FETCH a": true, "QUERY x BEGIN STORE": true,
		"QUERY x PREPARE s DROP q": true, "QUERY x COMMIT now": true, "QUERY x STAT": true, "QUERY x RESET": true, "QUERY x SET a": true,
	} {
		request, err := ParseRequest([]byte(line))
		require.Error(t, err, line)
		require.Equal(t, hasID, request.ID != "", line)
	}
}

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
	require.True(t, response.Stamp)
	response, _, err = readResponse(t, "ERROR READONLY i-7f\r\nIDLE E 3.1209\r\n")
	require.NoError(t, err)
	require.Equal(t, CodeReadOnly, response.Code)
	require.EqualValues(t, 'E', response.State)
	for _, bad := range []string{"DONE x\r\nROW y\r\n", "DONE x\r\nDONE x\r\n", "ERROR \r\n", "IDLE X 1.2\r\n", "IDLE I 12\r\n", "NEWS\r\n", "DONE x\r\nERROR A b\r\n"} {
		_, _, err = readResponse(t, bad)
		require.Error(t, err, bad)
	}
	status, err := ParseHostStatus("follower 3 3.1209 0 12 2 17")
	require.NoError(t, err)
	require.Equal(t, HostStatus{Term: 3, Received: Position{3, 1209}, LagMs: 12, Busy: 2, Conns: 17}, status)
	for _, bad := range []string{"", "follower", "boss 3 3.1 0 1 2 3", "leader x 3.1 0 1 2 3", "leader 3 31 0 1 2 3", "leader 3 3.1 0 -1 2 3"} {
		_, err = ParseHostStatus(bad)
		require.Error(t, err, bad)
	}
}

// Callers look at the role of a status even if a later field is malformed.
func TestMalformedStatusKeepsTheFieldsBeforeTheFault(t *testing.T) {
	status, err := ParseHostStatus("leader 7 3.1209 8 12 two 17")
	require.ErrorIs(t, err, ErrMalformed)
	require.Equal(t, HostStatus{Leader: true, Term: 7, Received: Position{3, 1209}, Held: 8, LagMs: 12}, status)
	status, err = ParseHostStatus("leader 7 3-1209 8 12 2 17")
	require.ErrorIs(t, err, ErrMalformed)
	require.Equal(t, HostStatus{Leader: true}, status)
}

func TestPositionsAreOrderedByTimelineFirst(t *testing.T) {
	require.True(t, Position{3, 9}.Before(Position{4, 1}))
	require.False(t, Position{4, 1}.Before(Position{4, 1}))
	require.False(t, Position{}.Known())
}

func TestCutLineRejectsLongAndMalformedLines(t *testing.T) {
	_, n, err := CutLine([]byte(strings.Repeat("x", MaxMessageBytes+1)), 0)
	require.ErrorIs(t, err, ErrMessageTooLong)
	require.Zero(t, n)
	for _, bad := range []string{"x\n", "\n", "a\rb\r\n", "a\x00\r\n"} {
		_, _, err = CutLine([]byte(bad), 0)
		require.ErrorIs(t, err, ErrMalformed, "%q", bad)
	}
}

func FuzzWire(f *testing.F) {
	for _, s := range []string{"QUERY 5c FENCE 3.1 FETCH 1\r\n", "ROW a\r\nDONE b\r\nIDLE T 1.2\r\n", "ERROR OVERLOAD x\r\n", "CONNECT a b\r\n", "\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var response Response
		for rest := in; ; {
			line, size, err := CutLine(rest, 0)
			if err != nil || size == 0 {
				return
			}
			if request, err := ParseRequest(line); err == nil && request.ID != "" {
				again, err := ParseRequest(line)
				if err != nil || again != request || string(AppendQuery(nil, request.ID, request.Text)) != string(rest[:size]) {
					t.Fatalf("%q is not written as it was read", line)
				}
			}
			if complete, err := response.AddLine(line, rest[:size]); complete || err != nil {
				response = Response{}
			}
			_, _ = ParseHostStatus(string(line)) // any line, only that it does not panic
			rest = rest[size:]
		}
	})
}
