package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An amendment of a body that is the JSON null, or no object, is refused and does not panic.
func TestAmendmentOfNoObjectIsRefused(t *testing.T) {
	change := []byte(`{"Generation":2}`)
	for _, current := range []string{"null", " null ", "[]", "7", ""} {
		_, err := Amend([]byte(current), change)
		require.Error(t, err, "%q", current)
	}
	for _, bad := range []string{"null", "[]", `{"Generation":2,"Upsert":null,"Remove":{"Routes":null}}`} {
		_, err := Amend([]byte(`{"Generation":1,"Routes":[],"Services":[]}`), []byte(bad))
		if bad[0] != '{' {
			require.Error(t, err, "%q", bad)
		}
	}
}
