package seatmodel_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"basilcross.example/basilcross/internal/seatmodel"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

// mutations leave one rule out each.
var mutations = []struct {
	name  string
	rules seatmodel.Rules
}{
	{"Authority is counted from sending, not from receipt", seatmodel.Rules{CountFromReceipt: true}},
	{"Eviction needs f + 1 confirmations, not f", seatmodel.Rules{FewerConfirmations: true}},
	{"The authority from the table is waited out", seatmodel.Rules{NoTableWait: true}},
	{"Promises made before are waited out", seatmodel.Rules{NoExtensionWait: true}},
	{"Clocks may drift", seatmodel.Rules{IgnoreDrift: true}},
	{"A renewal without an answer is read back, not assumed", seatmodel.Rules{SkipReadBack: true}},
	{"Authority is checked again after a pause", seatmodel.Rules{NoRecheck: true}},
	{"The eviction is announced in the row", seatmodel.Rules{NoIntent: true}},
	{"A new holder reads the other seats' rows", seatmodel.Rules{SuccessorReadsNoRows: true}},
	{"A new holder confirms nothing for one period", seatmodel.Rules{SuccessorConfirms: true}},
	{"The taking write depends on the row's version", seatmodel.Rules{ClaimUnconditionally: true}},
	{"Who refrains does not extend", seatmodel.Rules{ExtendAfterRefrain: true}},
}

// limit is above the number of states with all rules in force.
const limit = 4_000_000

func TestNoTwoHolders(t *testing.T) {
	r := seatmodel.Search(seatmodel.Rules{}, limit)
	assert.Assert(t, r.Complete, "the search did not end")
	assert.Assert(t, r.Trace == nil, "%v", r.Trace)
	t.Logf("%d states", r.States)
}

// Each rule is switched off alone, and the search finds two holders. The page
// with the shortest ways there is written with -update.
func TestEveryRuleIsNeeded(t *testing.T) {
	var page strings.Builder
	page.WriteString("# What goes wrong without each rule\n\nMade by a test from the search of the package `seatmodel`: for every rule, the\nshortest way to two holders of a seat once that rule is left out.\n")
	for _, m := range mutations {
		r := seatmodel.Search(m.rules, limit)
		assert.Assert(t, r.Trace != nil, "%s: not caught in %d states", m.name, r.States)
		fmt.Fprintf(&page, "\n## %s\n\nWithout it, after %d states:\n\n", m.name, r.States)
		for i, step := range r.Trace {
			fmt.Fprintf(&page, "%d. %s\n", i+1, step)
		}
	}
	golden.Assert(t, page.String(), "../../../../docs/design/counterexamples.md")
}

// Long histories with many renewals, rounds of extension, hand-overs and
// attempts at eviction, chosen at random.
func TestRandomWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trace := seatmodel.Walk(seatmodel.Rules{}, 400, func(n int) int {
			return rapid.IntRange(0, n-1).Draw(t, "step")
		})
		if trace != nil {
			t.Fatalf("two holders after %d steps: %v", len(trace), trace)
		}
	})
}

// The walks are not blind: each rule left out is found by them too.
func TestWalksFindEveryMutation(t *testing.T) {
	const walks, steps = 20_000, 400
	for _, m := range mutations {
		random := rand.New(rand.NewPCG(1, 1))
		found := false
		for i := 0; i < walks && !found; i++ {
			found = seatmodel.Walk(m.rules, steps, random.IntN) != nil
		}
		assert.Assert(t, found, "%s", m.name)
	}
}
