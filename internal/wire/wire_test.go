package wire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestsAreReadAsThePagesShowThem(t *testing.T) {
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
	for line, answered := range map[string]bool{ // whether there is an id to answer to
		"": false, "HELLO": false, "QUERY": false, "QUERY - STAT": false, "BYE now": false, "CONNECT": false, "CONNECT db": false,
		"QUERY x": true, "QUERY x FETCH": true, "QUERY x STORE a": true, "QUERY x FENCE 1.2 FETCH a": true, "QUERY x BEGIN STORE": true,
		"QUERY x PREPARE s DROP q": true, "QUERY x COMMIT now": true, "QUERY x STAT": true, "QUERY x RESET": true, "QUERY x SET a": true,
	} {
		r, err := ParseRequest([]byte(line))
		require.Error(t, err, line)
		require.Equal(t, answered, r.ID != "", line)
	}
}

func answer(t *testing.T, text string) (a Response, whole bool, err error) {
	rest := []byte(text)
	for len(rest) > 0 && !whole && err == nil {
		line, n, bad := CutLine(rest, 0)
		require.NoError(t, bad)
		require.NotZero(t, n, "%q", rest)
		whole, err = a.AddLine(line, rest[:n])
		rest = rest[n:]
	}
	return a, whole, err
}

func TestAnswersAreGatheredToTheirEnd(t *testing.T) {
	a, whole, err := answer(t, "ROW q\r\nDONE 7.1f3\r\nIDLE I 3.1209\r\n")
	require.NoError(t, err)
	require.True(t, whole)
	require.Equal(t, Position{3, 1209}, a.Position)
	require.Equal(t, "ROW q\r\nDONE 7.1f3\r\n", string(a.Lines))
	require.True(t, a.Stamp)
	a, _, err = answer(t, "ERROR READONLY i-7f\r\nIDLE E 3.1209\r\n")
	require.NoError(t, err)
	require.Equal(t, CodeReadOnly, a.Code)
	require.EqualValues(t, 'E', a.State)
	for _, bad := range []string{"DONE x\r\nROW y\r\n", "DONE x\r\nDONE x\r\n", "ERROR \r\n", "IDLE X 1.2\r\n", "IDLE I 12\r\n", "NEWS\r\n", "DONE x\r\nERROR A b\r\n"} {
		_, _, err = answer(t, bad)
		require.Error(t, err, bad)
	}
	s, err := ParseHostStatus("follower 3 3.1209 0 12 2 17")
	require.NoError(t, err)
	require.Equal(t, HostStatus{Term: 3, Received: Position{3, 1209}, LagMs: 12, Busy: 2, Conns: 17}, s)
	for _, bad := range []string{"", "follower", "boss 3 3.1 0 1 2 3", "leader x 3.1 0 1 2 3", "leader 3 31 0 1 2 3", "leader 3 3.1 0 -1 2 3"} {
		_, err = ParseHostStatus(bad)
		require.Error(t, err, bad)
	}
}

func TestPositionsAreOrderedByTermFirst(t *testing.T) {
	require.True(t, Position{3, 9}.Before(Position{4, 1}))
	require.False(t, Position{4, 1}.Before(Position{4, 1}))
	require.False(t, Position{}.Known())
}

func TestLongLinesAreTurnedAwayBeforeTheyAreHeld(t *testing.T) {
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
		var a Response
		for rest := in; ; {
			line, n, err := CutLine(rest, 0)
			if err != nil || n == 0 {
				return
			}
			if r, err := ParseRequest(line); err == nil && r.ID != "" {
				again, bad := ParseRequest(line)
				if bad != nil || again != r || string(AppendQuery(nil, r.ID, r.Text)) != string(rest[:n]) {
					t.Fatalf("%q is not written as it was read", line)
				}
			}
			if whole, err := a.AddLine(line, rest[:n]); whole || err != nil {
				a = Response{}
			}
			ParseHostStatus(string(line))
			rest = rest[n:]
		}
	})
}
