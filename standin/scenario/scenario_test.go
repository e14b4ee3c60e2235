package scenario_test

import (
	"os"
	"path/filepath"
	"testing"

	"basilcross.example/standin/deployment"
	"basilcross.example/standin/scenario"
	"gotest.tools/v3/assert"
)

// Guards against a scenario file that a change of the format or of a deployment made invalid.
func TestScenarioFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		content, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = scenario.Parse(content)
		assert.NilError(t, err, file)
	}
}

// Guards against an invalid scenario whose error does not name the field and the valid values.
func TestErrorsNameInvalidFields(t *testing.T) {
	_, err := scenario.Parse([]byte(`{"deployment":"tortenprobe","seconds":5,"load":{"requestsPerSecond":10},
		"faults":[{"atMs":1,"do":"melt"},{"atMs":9000,"do":"killTarget","on":"nobody"}]}`))
	for _, want := range []string{`faults[0].do = "melt" is not known`, "killTarget", "faults[1].atMs = 9000", `faults[1].on = "nobody"`, "menus-graz-1"} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against a seed whose scenario is invalid or differs from one call to the next.
func TestRandomScenarioIsValidAndReproducible(t *testing.T) {
	for _, d := range deployment.All() {
		for seed := range uint64(100) {
			s := scenario.Random(d, seed, 20)
			assert.NilError(t, s.Validate())
			assert.Assert(t, len(s.Faults) > 0)
			assert.DeepEqual(t, s, scenario.Random(d, seed, 20))
		}
	}
}
