package config_test

import (
	"encoding/json"
	"testing"

	"basilcross.example/basilcross/config"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// No input makes Parse panic, and a document that it accepts is accepted again
// after encoding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"services":[{"name":"a"}],"defaults":{"bodyLimit":"9223372036854775807GiB"}}`))
	f.Add([]byte(`{"services":[[[[`))
	f.Add([]byte(`{"exceptions":[{"expires":"0000-00-00"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		doc, err := config.Parse(content)
		if err != nil {
			return
		}
		again, err := json.Marshal(doc)
		assert.NilError(t, err)
		_, err = config.Parse(again)
		assert.NilError(t, err, "%s", again)
	})
}

// The schema must state the units of durations; -update writes the golden file.
func TestSchemaHasUnits(t *testing.T) {
	schema, err := config.Schema()
	assert.NilError(t, err)
	var s struct {
		Properties map[string]struct {
			Properties map[string]struct{ Pattern string }
		}
	}
	assert.NilError(t, json.Unmarshal(schema, &s))
	assert.Assert(t, s.Properties["defaults"].Properties["deadline"].Pattern != "", "%s", schema)
	golden.Assert(t, string(schema)+"\n", "../../../docs/config.schema.json")
}
