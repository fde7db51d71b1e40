package errcode

import (
	"cmp"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAnAnswerAndIsDocumented(t *testing.T) {
	docs, err := os.ReadFile("../../docs/operators/system.md")
	require.NoError(t, err)
	seen := map[string]bool{}
	for kind := range KindCount {
		require.NotEmpty(t, kind.String(), "kind %d", kind)
		require.False(t, seen[kind.String()], "the name %s is used by another kind too", kind)
		require.GreaterOrEqual(t, kind.HTTPStatus(), 400, "%s", kind)
		code := cmp.Or(string(kind.Code()), "-")
		row := fmt.Sprintf("\n| `%s` | %s | %d | %s |\n", kind, code, kind.HTTPStatus(), kind.Message())
		require.Contains(t, string(docs), row, "%s is not documented", kind)
		seen[kind.String()] = true
	}
}

func TestOnlyCodesThatKeepNothingNameARetryDelay(t *testing.T) {
	require.Equal(t, "ERROR RETRY no host can serve it in time; 350\r\n", string(NoHostAvailable.Append(nil, 350)))
	for kind := range KindCount {
		if line := string(kind.Append(nil, 900)); kind.Code() != "" && !kind.Code().NothingKept() {
			require.False(t, strings.Contains(line, "900"), "%s", line)
		}
	}
}
