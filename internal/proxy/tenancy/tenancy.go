// Package tenancy maps clients' keys to tenants, and bounds how long sessions and transactions may continue after their key is
// revoked.
//
//	CONNECT's key, Secret of the process -> Secret.Hash -> KeyHash, which the session stores instead of the key
//	tenants of the configuration         -> NewIndex    -> Index
//	KeyHash                              -> Index.Admit -> name of the tenant, which is sent to hosts
//
// Keys are compared only by their keyed hashes: the time of a comparison reveals nothing about a key, and a hash can't be computed
// outside the process.
//
// The package reads no clock and no random source: the secret is an argument, and times are numbers of milliseconds.
package tenancy

import (
	"github.com/zeebo/blake3"

	"ferrypitch/internal/config"
)

// Secret is the process's key for KeyHash, generated at start.
type Secret [32]byte

// KeyHash is the keyed hash of a client's key.
type KeyHash [32]byte

// Hash returns the keyed hash of a client's key.
func (s Secret) Hash(key string) KeyHash { return sum(s.hasher(), key) }

func (s Secret) hasher() *blake3.Hasher {
	hasher, err := blake3.NewKeyed(s[:])
	if err != nil {
		panic(err) // NewKeyed fails only if the key is not 32 bytes long
	}
	return hasher
}

func sum(hasher *blake3.Hasher, key string) (hash KeyHash) {
	hasher.Reset()
	_, _ = hasher.WriteString(key) // never fails
	hasher.Sum(hash[:0])
	return hash
}

// Index maps the hashes of the keys in one configuration to their tenants. The zero value is the index of a configuration without
// a list of tenants, where clients need no key.
type Index struct {
	keysRequired bool // the configuration has a list of tenants
	tenants      map[KeyHash]string
}

// NewIndex returns the index of a configuration.
func NewIndex(secret Secret, configured *config.Config) Index {
	if !configured.HasTenants() {
		return Index{}
	}
	index := Index{keysRequired: true, tenants: make(map[KeyHash]string, len(configured.Tenants))}
	hasher := secret.hasher()
	for i := range configured.Tenants {
		tenant := &configured.Tenants[i]
		for _, key := range tenant.ApiKeys {
			index.tenants[sum(hasher, key)] = tenant.Name
		}
	}
	return index
}

// RequiresKeys reports whether clients need a key, except on public routes.
func (i Index) RequiresKeys() bool { return i.keysRequired }

// Admit returns the tenant under which a client's statements run on a route. The name is empty where clients need no key: on a
// public route, and if the configuration has no list of tenants. ok is false if no tenant holds the key.
func (i Index) Admit(publicRoute bool, key KeyHash) (tenant string, ok bool) {
	if i.AllowsAnonymous(publicRoute) {
		return "", true
	}
	tenant, ok = i.tenants[key]
	return tenant, ok
}

// AllowsAnonymous reports whether clients of a route need no key.
func (i Index) AllowsAnonymous(publicRoute bool) bool { return publicRoute || !i.keysRequired }

// TenantHoldsKey reports whether the tenant under which a session's statement or transaction began still holds the session's key.
func (i Index) TenantHoldsKey(tenant string, key KeyHash) bool {
	return !i.keysRequired || i.tenants[key] == tenant
}
