package config

import (
	"fmt"
	"strings"
)

// maxKeyBytes is the maximum length of an API key.
const maxKeyBytes = 4096

// Tenant is a customer whose clients authenticate with one of its API keys. Hosts receive the tenant's name, but never a key.
type Tenant struct {
	Name     string   `validate:"required,printascii,max=256"`
	ApiKeys  []string //nolint:revive,staticcheck // the key in the operator's JSON
	RatePerS *float64 `validate:"omitempty,min=0"` // operations per second over all proxies; nil if not limited
	Burst    float64  `validate:"min=0"`           // operations beyond RatePerS that may be made at once
}

// HasRateLimit reports whether the tenant has a rate limit.
func (t *Tenant) HasRateLimit() bool { return t.RatePerS != nil }

// HasTenants reports whether clients have to authenticate. A configuration with an empty list of tenants admits no clients, except
// on public routes.
func (c *Config) HasTenants() bool { return c.Tenants != nil }

// keyPosition is the position of an API key in a configuration. Errors contain the position and never the key.
type keyPosition struct{ tenant, index int }

func (p keyPosition) String() string {
	return fmt.Sprintf("Tenants[%d].ApiKeys[%d]", p.tenant, p.index)
}

// validateTenants validates each tenant, and checks that no two tenants share a name or a key. The same key may occur twice in one
// tenant.
func (c *Config) validateTenants() error {
	names := make(map[string]bool, len(c.Tenants))
	positions := make(map[string]keyPosition, len(c.Tenants))
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if err := validateFields(tenant); err != nil {
			return prefixKey(fmt.Sprintf("Tenants[%d]", i), err)
		}
		if strings.ContainsRune(tenant.Name, ' ') {
			return &FieldError{fmt.Sprintf("Tenants[%d].Name", i), "contains a blank; hosts receive the name as one word"}
		}
		if names[tenant.Name] {
			return &FieldError{fmt.Sprintf("Tenants[%d].Name", i), fmt.Sprintf("%q: duplicate name", tenant.Name)}
		}
		names[tenant.Name] = true
		for j, key := range tenant.ApiKeys {
			position := keyPosition{tenant: i, index: j}
			if reason := invalidKeyReason(key); reason != "" {
				return &FieldError{position.String(), reason}
			}
			if other, taken := positions[key]; taken && other.tenant != i {
				return &FieldError{position.String(), "the same key as " + other.String()}
			}
			positions[key] = position
		}
	}
	return nil
}

// invalidKeyReason returns why a text is not a valid key, or an empty string if it is valid. Clients send the key as one word of
// the CONNECT command.
func invalidKeyReason(key string) string {
	switch {
	case key == "":
		return "empty"
	case len(key) > maxKeyBytes:
		return fmt.Sprintf("%d bytes, %d at most", len(key), maxKeyBytes)
	case strings.ContainsAny(key, " \t\r\n"):
		return "contains a blank; clients send the key as one word"
	}
	return ""
}
