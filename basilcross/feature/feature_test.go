package feature_test

import (
	"errors"
	"fmt"
	"testing"

	"basilcross.example/basilcross/feature"
	"gotest.tools/v3/assert"
)

func ExampleParse() {
	s, err := feature.Parse([]string{"pace", "admission"})
	fmt.Println(s.On(), err)
	_, err = feature.Parse([]string{"speed"})
	fmt.Println(err)
	// Output:
	// [admission pace] <nil>
	// feature "speed" does not exist: want admission, waitlist, speeds, pace, bodyBudget
}

// A misspelled name that were ignored would leave its feature off without a word.
func TestEachUnknownNameIsReported(t *testing.T) {
	s, err := feature.Parse([]string{"waitlists", "pace", ""})
	var unknown *feature.NameError
	assert.Assert(t, errors.As(err, &unknown))
	assert.ErrorContains(t, err, `"waitlists"`)
	assert.ErrorContains(t, err, `""`)
	assert.DeepEqual(t, s, feature.Set{Pace: true})
}

// Every feature can be named, and names are not confused with one another.
func TestNamesSwitchOnOneFeatureEach(t *testing.T) {
	for _, name := range feature.Names() {
		s, err := feature.Parse([]string{name})
		assert.NilError(t, err)
		assert.DeepEqual(t, s.On(), []string{name})
	}
}
