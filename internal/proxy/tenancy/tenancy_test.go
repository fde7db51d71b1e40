package tenancy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/config"
)

var configured = &config.Config{Tenants: []config.Tenant{
	{Name: "north", ApiKeys: []string{"k1", "k2"}}, {Name: "south", ApiKeys: []string{"k3"}}, {Name: "empty"},
}}

func TestKeysAreAdmittedAsTheirTenants(t *testing.T) {
	secret := Secret{1}
	index := NewIndex(secret, configured)
	for key, want := range map[string]string{"k1": "north", "k2": "north", "k3": "south"} {
		tenant, ok := index.Admit(false, secret.Hash(key))
		require.True(t, ok)
		require.Equal(t, want, tenant)
	}
	for _, key := range []string{"", "k4", "north", "K1"} {
		_, ok := index.Admit(false, secret.Hash(key))
		require.False(t, ok, key)
	}
	_, ok := index.Admit(false, Secret{2}.Hash("k1"))
	require.False(t, ok, "the hash of another process")
	tenant, ok := index.Admit(true, secret.Hash("k4"))
	require.True(t, ok)
	require.Empty(t, tenant, "a public route needs no key")
	tenant, ok = Index{}.Admit(false, secret.Hash("k4"))
	require.True(t, ok)
	require.Empty(t, tenant)
	_, ok = NewIndex(secret, &config.Config{Tenants: []config.Tenant{}}).Admit(false, secret.Hash("k1"))
	require.False(t, ok, "an empty list of tenants admits no key")
}

func TestWorkGoesOnWhileItsTenantHoldsTheKey(t *testing.T) {
	secret := Secret{1}
	index := NewIndex(secret, configured)
	require.True(t, index.TenantHoldsKey("north", secret.Hash("k2")))
	require.False(t, index.TenantHoldsKey("south", secret.Hash("k2")), "the key belongs to another tenant")
	require.False(t, index.TenantHoldsKey("north", secret.Hash("k9")))
	require.False(t, index.AllowsAnonymous(false), "work that began without a key does not go on")
	require.True(t, index.AllowsAnonymous(true))
	require.True(t, Index{}.AllowsAnonymous(false))
}

func TestBoundsOnRevokedKeys(t *testing.T) {
	bounds := Bounds{RevokeMs: 5000, ConfigApplyMs: 4000, DowngradeMs: 250}
	require.EqualValues(t, 125, bounds.TransactionGraceMs())
	require.EqualValues(t, 1250, bounds.MaxLeaseLossMs())
	require.EqualValues(t, 1000, Bounds{RevokeMs: 9000, ConfigApplyMs: 9000}.TransactionGraceMs())
	require.Zero(t, Bounds{}.TransactionGraceMs())
	require.Zero(t, Bounds{}.MaxLeaseLossMs())
}
