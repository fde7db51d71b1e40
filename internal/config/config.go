package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// MaxBodyBytes is the maximum size of a configuration's body (8 MiB).
const MaxBodyBytes = 8 << 20

// Route kinds. They determine how fresh reads are.
const (
	KindLeader           = "leader"            // reads go to the primary
	KindBoundedStaleness = "bounded_staleness" // reads may miss writes of the last StalenessMs
	KindReadYourWrites   = "owned"             // a session's reads include its own writes
)

// Config is a validated configuration.
type Config struct {
	Generation int64 `validate:"min=0"`
	Routes     []Route
	Services   []Service
	Limits     Limits
	Tenants    []Tenant // if nil, clients do not have to authenticate
	Body       []byte   `json:"-"` // bytes as received from the operator

	layout layout // of Body; empty if Body was not split
}

// Route assigns the sessions of the database named Host to a service.
type Route struct {
	Name        string `validate:"required"`
	Host        string `validate:"required,printascii"`
	PathPrefix  string
	Kind        string  `validate:"oneof=leader bounded_staleness owned"`
	DeadlineMs  float64 `validate:"gt=0"`  // time limit of a statement
	TargetMs    float64 `validate:"min=0"` // latency target of an operation
	Priority    float64 // 0 is the highest priority
	Service     string  `validate:"required"`
	MaxTries    float64 `validate:"min=0"` // retries over which a client's deadline is spread while no lease is valid
	StalenessMs float64 `validate:"min=0"` // maximum staleness of reads; only for KindBoundedStaleness
	Public      bool    // clients do not need a tenant's API key
}

// Service is a set of database hosts, one primary and its replicas.
type Service struct {
	Name         string  `validate:"required"`
	HealthPath   string  // not used by the proxies and the control plane
	MaxConns     float64 `validate:"min=0"` // maximum connections to one host, from all proxies together
	SyncReplicas float64 `validate:"min=0"` // not used by the proxies and the control plane
}

// Limits has limits that apply to all routes.
type Limits struct {
	MaxBodyBytes  float64 `validate:"min=0"`
	IdleTimeoutMs float64 `validate:"min=0"`
	TxnIdleMs     float64 `validate:"min=0"` // idle time after which a transaction may be aborted
}

// Read decodes and validates a complete configuration. Errors about a field are of type *FieldError.
func Read(body []byte) (*Config, error) { return ReadNext(nil, body) }

// PeekGeneration returns the generation in a body, which does not have to be a valid configuration.
func PeekGeneration(body []byte) (generation int64, ok bool) {
	var config struct{ Generation *int64 }
	if json.Unmarshal(body, &config) != nil || config.Generation == nil {
		return 0, false
	}
	return *config.Generation, true
}

// readFull decodes and validates a configuration of any layout, without reusing a previous one.
func readFull(body []byte) (*Config, error) {
	if len(body) > MaxBodyBytes {
		return nil, fmt.Errorf("the body: %d bytes, %d at most", len(body), MaxBodyBytes)
	}
	config := &Config{Body: body}
	if err := decode(body, config); err != nil {
		return nil, err
	}
	return config, config.validate()
}

// decode decodes a complete configuration, or the skeleton of one, and checks that the required keys exist.
func decode(body []byte, config *Config) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(config); err != nil {
		return decodeError(err)
	}
	if rest, _ := decoder.Token(); rest != nil || decoder.More() {
		return errors.New("the body: unexpected data after the configuration")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return decodeError(err)
	}
	for _, key := range []string{"Generation", "Routes", "Services"} {
		if _, ok := fields[key]; !ok {
			return &FieldError{Key: key, Reason: "missing"}
		}
	}
	return nil
}

// decodeError adds the field or the byte offset to an error of encoding/json.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	var syntaxError *json.SyntaxError
	switch {
	case errors.As(err, &typeError):
		return &FieldError{Key: typeError.Field, Reason: fmt.Sprintf("%s has the wrong type (byte %d)", typeError.Value, typeError.Offset)}
	case errors.As(err, &syntaxError):
		return fmt.Errorf("the body: byte %d: %w", syntaxError.Offset, err)
	}
	return fmt.Errorf("the body: %w", err)
}
