package demo_test

import (
	"io"
	"testing"

	"basilcross.example/standin/demo"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
	"basilcross.example/standin/scenario"
	"gotest.tools/v3/assert"
)

// Guards against violations under load when targets and gateways are killed, frozen, drained
// or stopped, responses of the table are lost and a zone is cut off. Requests may be refused
// meanwhile, but some must be answered, and running gateways must get the newest configuration.
func TestNoViolationsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts twelve gateways")
	}
	s := &scenario.Scenario{
		Deployment: "tortenprobe", Seed: 7, Seconds: 14, Load: scenario.Load{RequestsPerSecond: 150},
		Faults: []scenario.Fault{
			{AtMs: 1000, Do: "killTarget", On: "menus-graz-1", ForMs: 3000},
			{AtMs: 1500, Do: "loseStoreAnswers", ForMs: 1500},
			{AtMs: 3500, Do: "freezeTarget", On: "menus-wien-2", ForMs: 2500},
			{AtMs: 4000, Do: "killGateway", On: "gw-wien-1", ForMs: 1500},
			{AtMs: 6500, Do: "cutZone", On: "salzburg", ForMs: 3000},
			{AtMs: 7000, Do: "freezeGateway", On: "gw-innsbruck-1", ForMs: 2000},
			{AtMs: 10000, Do: "stopGateway", On: "gw-graz-2", ForMs: 1},
			{AtMs: 10500, Do: "changeConfig"},
			{AtMs: 11000, Do: "drainTarget", On: "menus-graz-3"},
		},
	}
	assert.NilError(t, s.Validate())
	r, err := demo.Run(t.Context(), s, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, r.Violations, judge.Violations{})
	assert.Equal(t, r.Linearizable, "yes")
	assert.Assert(t, r.Requests.Answered > 0)
	assert.Equal(t, len(r.Unmet), 0, "%v", r.Unmet)
}

// Guards against violations that only repeated and overlapping faults cause; the command
// soak runs more seeds.
func TestNoViolationsUnderRandomFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts twelve gateways")
	}
	d, err := deployment.Find("tortenprobe")
	assert.NilError(t, err)
	for _, seed := range []uint64{1, 2} {
		r, err := demo.Run(t.Context(), scenario.Random(d, seed, 16), io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, len(r.Unmet), 0, "seed %d: %v, logs in %s", seed, r.Unmet, r.Logs)
	}
}
