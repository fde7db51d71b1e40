// Package config reads and checks the operator's configurations: a whole one, or a change
// of items by name. What the operator sent is kept byte for byte, with fields that are not known here, beside the
// checked form.
//
//	body -> Read -> Plan          a whole configuration
//	body, current -> Amend -> Plan    items put in and taken out by name
//
// Pure: no socket, no clock.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Kinds of routes, by what their reads must see (RULES.md).
const (
	KindLeader  = "leader"
	KindBounded = "bounded_staleness"
	KindOwned   = "owned"
)

// Config is a checked configuration. Body is what Config.Read answers.
type Config struct {
	Generation int64 `validate:"min=0"`
	Routes     []Route
	Services   []Service
	Limits     Limits
	Body       []byte `json:"-"`

	at layout
}

// Route says which service a database's sessions go to, and how. Times in milliseconds.
type Route struct {
	Name        string `validate:"required"`
	Host        string `validate:"required,printascii"`
	PathPrefix  string
	Kind        string  `validate:"oneof=leader bounded_staleness owned"`
	DeadlineMs  float64 `validate:"gt=0"`
	TargetMs    float64 `validate:"min=0"`
	Priority    float64
	Service     string  `validate:"required"`
	MaxTries    float64 `validate:"min=0"`
	StalenessMs float64 `validate:"min=0"`
}

// Service is a set of hosts of one database.
type Service struct {
	Name         string `validate:"required"`
	HealthPath   string
	MaxConns     float64 `validate:"min=0"`
	SyncReplicas float64 `validate:"min=0"`
}

// Limits bind all routes.
type Limits struct {
	MaxBodyBytes  float64 `validate:"min=0"`
	IdleTimeoutMs float64 `validate:"min=0"`
	TxnIdleMs     float64 `validate:"min=0"`
}

var check = validator.New(validator.WithRequiredStructEnabled())

// Read reads a whole configuration; the error names the fault.
func Read(body []byte) (*Config, error) { return ReadNext(nil, body) }

// whole reads a configuration of any shape.
func whole(body []byte) (*Config, error) {
	if len(body) > MaxBodyBytes {
		return nil, tooLong(len(body))
	}
	p := &Config{Body: body}
	if err := top(body, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

// top reads an object into a plan.
func top(body []byte, p *Config) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(p); err != nil {
		return fault(err)
	}
	if rest, _ := d.Token(); rest != nil || d.More() {
		return errors.New("the body: more behind the configuration")
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(body, &keys); err != nil {
		return fault(err)
	}
	for _, key := range []string{"Generation", "Routes", "Services"} {
		if _, ok := keys[key]; !ok {
			return fmt.Errorf("%s: missing", key)
		}
	}
	return nil
}

func fault(err error) error {
	var kind *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &kind):
		return fmt.Errorf("%s: %s does not fit (byte %d)", kind.Field, kind.Value, kind.Offset)
	case errors.As(err, &syntax):
		return fmt.Errorf("the body: byte %d: %w", syntax.Offset, err)
	}
	return fmt.Errorf("the body: %w", err)
}

func (p *Config) check() error {
	if err := tags("", p); err != nil {
		return err
	}
	if err := tags("Limits.", &p.Limits); err != nil {
		return err
	}
	for i := range p.Services {
		if err := tags(fmt.Sprintf("Services[%d].", i), &p.Services[i]); err != nil {
			return err
		}
	}
	for i := range p.Routes {
		if err := tags(fmt.Sprintf("Routes[%d].", i), &p.Routes[i]); err != nil {
			return err
		}
	}
	return p.cross(nil, false)
}

func tags(at string, v any) error {
	err := check.Struct(v)
	var bad validator.ValidationErrors
	if errors.As(err, &bad) && len(bad) > 0 {
		_, key, _ := strings.Cut(bad[0].Namespace(), ".")
		return fmt.Errorf("%s%s: %v: %s %s is wanted", at, key, bad[0].Value(), bad[0].Tag(), bad[0].Param())
	}
	return err
}

// amendment is a change of items by name.
type amendment struct {
	Generation *int64
	Upsert     map[string][]json.RawMessage
	Remove     map[string][]string
}

// Amend puts items into a configuration, or in the place of those of the same name, and takes out those that are
// named. All other bytes of the items stay as they were sent.
func Amend(current []byte, body []byte) (*Config, error) { return (&Config{Body: current}).Amend(body) }

// Amend is a plan's own: items that stay are not read and checked again.
func (p *Config) Amend(body []byte) (*Config, error) {
	current := p.Body
	var a amendment
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fault(err)
	}
	if a.Generation == nil {
		return nil, errors.New("Generation: missing")
	}
	keys, top, err := ordered(current)
	if err != nil {
		return nil, err
	}
	top["Generation"], _ = json.Marshal(*a.Generation)
	lists := map[string]bool{}
	for list := range a.Upsert {
		lists[list] = true
	}
	for list := range a.Remove {
		lists[list] = true
	}
	for _, list := range slices.Sorted(maps.Keys(lists)) { // in one order, whoever works it out
		var items []json.RawMessage
		if raw, ok := top[list]; ok {
			if err := json.Unmarshal(raw, &items); err != nil {
				return nil, fmt.Errorf("%s: no list of items", list)
			}
		} else {
			keys = append(keys, list)
		}
		kept, err := amend(list, items, a.Upsert[list], a.Remove[list])
		if err != nil {
			return nil, err
		}
		top[list] = append(append([]byte{'['}, bytes.Join(kept, []byte(","))...), ']')
	}
	whole := []byte{'{'}
	for i, k := range keys {
		if i > 0 {
			whole = append(whole, ',')
		}
		name, _ := json.Marshal(k)
		whole = append(append(append(whole, name...), ':'), top[k]...)
	}
	return ReadNext(p, append(whole, '}'))
}

func name(item json.RawMessage) (string, error) {
	var named struct{ Name string }
	if err := json.Unmarshal(item, &named); err != nil || named.Name == "" {
		return "", errors.New("an item without a Name")
	}
	return named.Name, nil
}

func amend(list string, items, upsert []json.RawMessage, remove []string) ([][]byte, error) {
	at := map[string]int{}
	for i, item := range items {
		n, err := name(item)
		if err != nil {
			return nil, fmt.Errorf("%s[%d]: %w", list, i, err)
		}
		at[n] = i
	}
	for _, n := range remove {
		if i, ok := at[n]; ok {
			items[i] = nil
			delete(at, n)
		}
	}
	for i, item := range upsert {
		n, err := name(item)
		if err != nil {
			return nil, fmt.Errorf("Upsert.%s[%d]: %w", list, i, err)
		}
		if k, ok := at[n]; ok {
			items[k] = item
			continue
		}
		at[n], items = len(items), append(items, item)
	}
	kept := make([][]byte, 0, len(items))
	for _, item := range items {
		if item != nil {
			kept = append(kept, item)
		}
	}
	return kept, nil
}

// ordered gives an object's keys in the order in which they stand, and their values.
func ordered(body []byte) (keys []string, top map[string]json.RawMessage, err error) {
	if err := json.Unmarshal(body, &top); err != nil {
		return nil, nil, fault(err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if _, err := d.Token(); err != nil {
		return nil, nil, err
	}
	for d.More() {
		k, err := d.Token()
		if err != nil {
			return nil, nil, err
		}
		var skip json.RawMessage
		if err := d.Decode(&skip); err != nil {
			return nil, nil, err
		}
		if key, ok := k.(string); ok {
			keys = append(keys, key)
		}
	}
	return keys, top, nil
}

// PeekGeneration reads the generation of a body that may be no whole configuration.
func PeekGeneration(body []byte) (generation int64, ok bool) {
	var p struct{ Generation *int64 }
	if json.Unmarshal(body, &p) != nil || p.Generation == nil {
		return 0, false
	}
	return *p.Generation, true
}
