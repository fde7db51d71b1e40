package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldError is returned for a field that is missing or invalid. Validating the same body again returns the same error.
type FieldError struct {
	Key    string // path of the field in the configuration, for example Routes[2].Kind
	Reason string
}

// Error implements error. The text is the key followed by the reason.
func (e *FieldError) Error() string { return e.Key + ": " + e.Reason }

var validate = validator.New(validator.WithRequiredStructEnabled())

// validateFields validates a struct according to its tags.
func validateFields(item any) error {
	err := validate.Struct(item)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return err
	}
	_, key, _ := strings.Cut(violations[0].Namespace(), ".")
	return &FieldError{key, fmt.Sprintf("%v: violates the constraint %s %s", violations[0].Value(), violations[0].Tag(), violations[0].Param())}
}

// prefixKey prepends the path of an item to the key of a FieldError about one of the item's fields.
func prefixKey(path string, err error) error {
	var fieldError *FieldError
	if errors.As(err, &fieldError) {
		return &FieldError{path + "." + fieldError.Key, fieldError.Reason}
	}
	return err
}

// validate validates each item, and then the references between items.
func (c *Config) validate() error {
	if err := validateFields(c); err != nil {
		return err
	}
	if err := validateFields(&c.Limits); err != nil {
		return prefixKey("Limits", err)
	}
	for i := range c.Services {
		if err := validateFields(&c.Services[i]); err != nil {
			return prefixKey(fmt.Sprintf("Services[%d]", i), err)
		}
	}
	for i := range c.Routes {
		if err := validateFields(&c.Routes[i]); err != nil {
			return prefixKey(fmt.Sprintf("Routes[%d]", i), err)
		}
	}
	if err := c.validateTenants(); err != nil {
		return err
	}
	return c.validateReferences(c.conflictsWithEarlier())
}

// routeConflict tells which unique properties a route shares with another route.
type routeConflict struct{ address, name bool }

// validateReferences checks that names are unique, that the service of each route exists, and that no two routes have the same
// address. conflictOf returns the conflict of the route at an index with the routes that it has to be compared with.
func (c *Config) validateReferences(conflictOf func(index int) routeConflict) error {
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		name := c.Services[i].Name
		if services[name] {
			return &FieldError{fmt.Sprintf("Services[%d].Name", i), fmt.Sprintf("%q: duplicate name", name)}
		}
		services[name] = true
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		found := conflictOf(i)
		switch {
		case !services[route.Service]:
			return &FieldError{fmt.Sprintf("Routes[%d].Service", i), fmt.Sprintf("%q: no such service", route.Service)}
		case found.address:
			return &FieldError{fmt.Sprintf("Routes[%d].Host", i), fmt.Sprintf("%q with %q: another route has this address", route.Host, route.PathPrefix)}
		case found.name:
			return &FieldError{fmt.Sprintf("Routes[%d].Name", i), fmt.Sprintf("%q: duplicate name", route.Name)}
		}
	}
	return nil
}

// conflictsWithEarlier returns a function that compares a route with all routes before it. The function must be called once for
// each index, in increasing order.
func (c *Config) conflictsWithEarlier() func(index int) routeConflict {
	type address struct{ host, pathPrefix string }
	addresses := make(map[address]bool, len(c.Routes))
	names := make(map[string]bool, len(c.Routes))
	return func(index int) routeConflict {
		route := &c.Routes[index]
		at := address{route.Host, route.PathPrefix}
		found := routeConflict{address: addresses[at], name: names[route.Name]}
		addresses[at], names[route.Name] = true, true
		return found
	}
}

// conflictsWith returns a function that compares a route with those at the indices in others.
func (c *Config) conflictsWith(others []int) func(index int) routeConflict {
	return func(index int) (found routeConflict) {
		route := &c.Routes[index]
		for _, otherIndex := range others {
			if otherIndex == index {
				continue
			}
			other := &c.Routes[otherIndex]
			found.address = found.address || other.Host == route.Host && other.PathPrefix == route.PathPrefix
			found.name = found.name || other.Name == route.Name
		}
		return found
	}
}
