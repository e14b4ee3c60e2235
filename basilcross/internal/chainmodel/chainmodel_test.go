package chainmodel_test

import (
	"testing"

	"basilcross.example/basilcross/internal/chainmodel"
	"gotest.tools/v3/assert"
)

// With all rules no target's lease outlasts its leader's authority, for any
// delays and slow clocks. Without any one rule, some target's lease does.
func TestChainOfLeases(t *testing.T) {
	states, violated := chainmodel.Search(chainmodel.Rules{})
	assert.Assert(t, !violated)
	assert.Assert(t, states > 1000, "only %d states", states)
	t.Logf("all rules: %d states", states)
	for name, rules := range map[string]chainmodel.Rules{
		"poll counted from receipt":  {PollFromReceipt: true},
		"lease counted from receipt": {LeaseFromReceipt: true},
		"drift ignored":              {IgnoreDrift: true},
		"no re-check after a pause":  {NoRecheck: true},
		"lease of full length":       {UnboundedLease: true},
	} {
		t.Run(name, func(t *testing.T) {
			states, violated := chainmodel.Search(rules)
			assert.Assert(t, violated, "no violation found in %d states", states)
		})
	}
}
