package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	secretA = "w9422ubu8fcmta3f9cn7"
	secretB = "c688kkbw7yjdawqkq8vt"
)

func withTenants(tenants string) string {
	return strings.TrimSuffix(validBody, "}") + `,"Tenants":` + tenants + "}"
}

func TestTenantsAreRead(t *testing.T) {
	config, err := Read([]byte(withTenants(`[{"Name":"a","ApiKeys":["` + secretA + `","` + secretA + `"],"Priority":1,"RatePerS":231,"Burst":20},
		{"Name":"b","ApiKeys":[]}]`)))
	require.NoError(t, err, "a key twice in one tenant, and a tenant without keys")
	require.True(t, config.HasTenants())
	require.True(t, config.Tenants[0].HasRateLimit())
	require.Equal(t, 231.0, *config.Tenants[0].RatePerS)
	require.False(t, config.Tenants[1].HasRateLimit())

	noTenants, err := Read([]byte(validBody))
	require.NoError(t, err)
	require.False(t, noTenants.HasTenants())
	empty, err := Read([]byte(withTenants("[]")))
	require.NoError(t, err)
	require.True(t, empty.HasTenants(), "an empty list of tenants admits no clients; a missing list admits all")
}

// Errors name the position of an API key, and never contain the key.
func TestErrorsOfTenantsNameTheKeyPositionAndNotTheKey(t *testing.T) {
	for key, tenants := range map[string]string{
		"Tenants[1].ApiKeys[1]: the same key as Tenants[0].ApiKeys[0]": `[{"Name":"a","ApiKeys":["` + secretA + `"]},{"Name":"b","ApiKeys":["` +
			secretB + `","` + secretA + `"]}]`,
		"Tenants[1].Name":                `[{"Name":"a","ApiKeys":["` + secretA + `"]},{"Name":"a"}]`,
		"Tenants[0].Name":                `[{"ApiKeys":["` + secretA + `"]}]`,
		"Tenants[0].Name: contains a bl": `[{"Name":"a b"}]`,
		"Tenants[0].ApiKeys[0]":          `[{"Name":"a","ApiKeys":[""]}]`,
		"Tenants[0].ApiKeys[1]":          `[{"Name":"a","ApiKeys":["` + secretB + `","` + secretA + " x" + `"]}]`,
		"Tenants[0].RatePerS":            `[{"Name":"a","ApiKeys":["` + secretA + `"],"RatePerS":-1}]`,
		"Tenants[0].Burst":               `[{"Name":"a","ApiKeys":["` + secretA + `"],"RatePerS":1,"Burst":-1}]`,
		"Tenants.RatePerS":               `[{"Name":"a","ApiKeys":["` + secretA + `"],"RatePerS":"` + secretB + `"}]`,
		"Tenants":                        `{"a":"` + secretA + `"}`,
		"4096 at most":                   `[{"Name":"a","ApiKeys":["` + strings.Repeat(secretA, 3277) + `"]}]`,
	} {
		_, err := Read([]byte(withTenants(tenants)))
		require.Error(t, err, key)
		require.Contains(t, err.Error(), key)
		require.NotContains(t, err.Error(), secretA)
		require.NotContains(t, err.Error(), secretB)
	}
}

// A key shared by two tenants is rejected even if an amendment adds only the second tenant, so that the first one is unchanged from
// the previous configuration.
func TestSharedKeyIsFoundInALaterVersion(t *testing.T) {
	first, err := Read([]byte(withTenants(`[{"Name":"a","ApiKeys":["` + secretA + `"]}]`)))
	require.NoError(t, err)
	_, err = first.Amend([]byte(`{"Generation":9,"Upsert":{"Tenants":[{"Name":"b","ApiKeys":["` + secretA + `"]}]}}`))
	require.ErrorContains(t, err, "Tenants[1].ApiKeys[0]")
	next, err := first.Amend([]byte(`{"Generation":9,"Remove":{"Tenants":["a"]}}`))
	require.NoError(t, err)
	require.True(t, next.HasTenants(), "the last tenant was removed, so no clients are admitted")
}
