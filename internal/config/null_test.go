package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Amending a body that is JSON null, or not an object, returns an error and does not panic.
func TestAmendmentOfANonObjectIsRejected(t *testing.T) {
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
