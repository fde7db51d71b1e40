package setup

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Schema is the JSON schema of an operator's configuration file.
//
//go:embed operator.schema.json
var Schema []byte

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(string(Schema)))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("operator.schema.json", doc); err != nil {
		return nil, err
	}
	return compiler.Compile("operator.schema.json")
})

// checkSchema validates a file against the schema. Its error names the first invalid key, or the line of a syntax error.
func checkSchema(text []byte) error {
	schema, err := compiledSchema()
	if err != nil {
		return fmt.Errorf("the schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(string(text)))
	if err != nil {
		var syntaxErr *json.SyntaxError
		if errors.As(err, &syntaxErr) {
			before := text[:min(int64(len(text)), syntaxErr.Offset)]
			return fmt.Errorf("line %d: %w", 1+strings.Count(string(before), "\n"), err)
		}
		return err
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(doc); errors.As(err, &invalid) {
		for len(invalid.Causes) > 0 {
			invalid = invalid.Causes[0]
		}
		return schemaError(invalid)
	} else if err != nil {
		return err
	}
	return nil
}

// schemaError returns a one-line error that begins with the invalid key.
func schemaError(invalid *jsonschema.ValidationError) error {
	key := instanceKey(invalid.InstanceLocation)
	child := func(name string) string {
		if key == "" {
			return name
		}
		return key + "." + name
	}
	switch k := invalid.ErrorKind.(type) {
	case *kind.Required:
		return fmt.Errorf("%s: missing", child(k.Missing[0]))
	case *kind.AdditionalProperties:
		return fmt.Errorf("%s: not a key that is known", child(k.Properties[0]))
	}
	text := invalid.Error()
	if _, after, ok := strings.Cut(text, "': "); ok {
		text = after
	}
	text, _, _ = strings.Cut(text, "\n")
	if key == "" {
		key = "the file"
	}
	return fmt.Errorf("%s: %s", key, text)
}

// instanceKey formats a location as a key, such as plan.forwarders or peers[2]; empty for the top level.
func instanceKey(location []string) (key string) {
	for _, part := range location {
		switch _, err := strconv.Atoi(part); {
		case err == nil:
			key += "[" + part + "]"
		case key != "":
			key += "." + part
		default:
			key = part
		}
	}
	return key
}
