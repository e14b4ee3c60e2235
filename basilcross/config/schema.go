package config

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/google/jsonschema-go/jsonschema"
)

// Schema returns the JSON Schema of a document, for editors and programs. It is
// less strict than Validate, which also checks fields against each other.
func Schema() ([]byte, error) {
	text := func(pattern, description string) *jsonschema.Schema {
		return &jsonschema.Schema{Type: "string", Pattern: pattern, Description: description}
	}
	schema, err := jsonschema.For[Document](&jsonschema.ForOptions{TypeSchemas: map[reflect.Type]*jsonschema.Schema{
		reflect.TypeFor[Duration](): text(`^([0-9.]+(ns|us|ms|s|m|h))+$`, "duration with its unit, such as 800ms"),
		reflect.TypeFor[Size]():     text(`^[0-9]+(B|KiB|MiB|GiB)$`, "size with its unit, such as 64KiB"),
	}})
	if err != nil {
		return nil, fmt.Errorf("generate schema of the configuration: %w", err)
	}
	return json.MarshalIndent(schema, "", "  ")
}
