package errcode

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEachKindHasItsRowAndStandsInTheDocs(t *testing.T) {
	docs, err := os.ReadFile("../../docs/operators/system.md")
	require.NoError(t, err)
	seen := map[string]bool{}
	for k := range KindCount {
		require.NotEmpty(t, k.String(), "kind %d", k)
		require.False(t, seen[k.String()], "%s stands twice", k)
		require.GreaterOrEqual(t, k.Status(), 400, "%s", k)
		require.Contains(t, string(docs), "`"+k.String()+"`", "the docs lack %s", k)
		seen[k.String()] = true
	}
}

func TestOnlyAPromiseNamesATimeToComeBack(t *testing.T) {
	require.Equal(t, "ERROR RETRY no host can serve it in time; 350\r\n", string(NoHostAvailable.Append(nil, 350)))
	for k := range KindCount {
		if line := string(k.Append(nil, 900)); k.Code() != "" && !k.Code().NothingKept() {
			require.False(t, strings.Contains(line, "900"), "%s", line)
		}
	}
}
