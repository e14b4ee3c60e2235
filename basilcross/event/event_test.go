package event_test

import (
	"testing"

	"basilcross.example/basilcross/event"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Two events with one number would be the same to an operator's alert.
func TestNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, e := range event.Catalogue() {
		assert.Equal(t, seen[e.Number], "", "number %d", e.Number)
		seen[e.Number] = e.Name
	}
}

// docs/EVENTS.md is the golden file; -update writes it.
func TestPageMatchesCatalogue(t *testing.T) {
	golden.Assert(t, event.Markdown(), "../../../docs/EVENTS.md")
}
