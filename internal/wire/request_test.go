package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseRequestReadsTheProtocolsExamples(t *testing.T) {
	for line, want := range map[string]Request{
		"CONNECT lepu270 u3f1":               {Kind: Connect, Name: "lepu270", Value: "u3f1"},
		"BYE":                                {Kind: Bye},
		"QUERY 5c0e BEGIN":                   {Kind: Begin, ID: "5c0e", Text: "BEGIN"},
		"QUERY 5c0e BEGIN FETCH":             {Kind: BeginReadOnly, ID: "5c0e", Text: "BEGIN FETCH"},
		"QUERY 5c0e FETCH 1a4":               {Kind: Fetch, ID: "5c0e", Text: "FETCH 1a4"},
		"QUERY 5c0e STORE 1a4 x y":           {Kind: Store, ID: "5c0e", Text: "STORE 1a4 x y"},
		"QUERY 5c0e SET tz a b c":            {Kind: Set, ID: "5c0e", Text: "SET tz a b c", Name: "tz", Value: "a b c"},
		"QUERY 5c0e PREPARE s1 STORE q2c":    {Kind: Prepare, ID: "5c0e", Text: "PREPARE s1 STORE q2c", Name: "s1", Value: "STORE q2c"},
		"QUERY 5c0e EXECUTE s1 1a4 xkqpwnzd": {Kind: Execute, ID: "5c0e", Text: "EXECUTE s1 1a4 xkqpwnzd", Name: "s1", Arguments: "1a4 xkqpwnzd"},
		"QUERY 5c0e CLOSE s1":                {Kind: ClosePrepared, ID: "5c0e", Text: "CLOSE s1", Name: "s1"},
		"QUERY 5c0e COMMIT":                  {Kind: Commit, ID: "5c0e", Text: "COMMIT"},
		"QUERY 5c0e ABORT":                   {Kind: Abort, ID: "5c0e", Text: "ABORT"},
	} {
		got, err := ParseRequest([]byte(line))
		require.NoError(t, err, line)
		require.Equal(t, want, got, line)
	}
	for line, hasID := range map[string]bool{ // whether the rejected request has an id to respond to
		"": false, "HELLO": false, "QUERY": false, "QUERY - STAT": false, "BYE now": false, "CONNECT": false, "CONNECT db": false,
		"QUERY x": true, "QUERY x FETCH": true, "QUERY x STORE a": true, "QUERY x FENCE 1.2 FETCH a": true, "QUERY x BEGIN STORE": true,
		"QUERY x PREPARE s DROP q": true, "QUERY x COMMIT now": true, "QUERY x STAT": true, "QUERY x RESET": true, "QUERY x SET a": true,
	} {
		request, err := ParseRequest([]byte(line))
		require.Error(t, err, line)
		require.Equal(t, hasID, request.ID != "", line)
	}
}
