package placement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/placement"
	"gotest.tools/v3/assert"
)

var regions = map[string]string{"graz": "ost", "wien": "ost", "salzburg": "west"}

func ExamplePolicy_Filter() {
	p := &placement.Policy{Regions: regions}
	p, _, _ = p.WithEvacuated(time.Unix(1, 0), []string{"graz"})
	zones, _ := p.Filter("booking", []string{"graz", "salzburg", "wien"}, []string{"ost"})
	fmt.Println(zones)
	_, err := p.Filter("booking", []string{"graz", "salzburg"}, []string{"ost"})
	fmt.Println(err)
	// Output:
	// [wien]
	// placement: no zone may serve the request to service booking, which is bound to the regions ost; evacuated: graz
}

// Guards against a bound request that goes anywhere because its regions name none that is
// known, or because a zone's region is unknown.
func TestUnknownRegionPermitsNothing(t *testing.T) {
	p := &placement.Policy{Regions: regions}
	_, err := p.Filter("s", []string{"graz", "unknown", "salzburg"}, []string{"nowhere"})
	var denied *placement.DeniedError
	assert.Assert(t, errors.As(err, &denied))
	assert.Equal(t, len(denied.Evacuated), 0)
	assert.Assert(t, p.Check("s", "unknown", []string{"ost"}) != nil)
	assert.NilError(t, p.Check("s", "unknown", nil))
}

// Guards against an evacuation whose time is reset by each repeated row, and against a zone
// that is evacuated again and still counts as returned.
func TestEvacuationKeepsItsTime(t *testing.T) {
	start := time.Unix(100, 0)
	p, added, returned := (&placement.Policy{Regions: regions}).WithEvacuated(start, []string{"wien", "graz"})
	assert.DeepEqual(t, added, []string{"graz", "wien"})
	assert.Equal(t, len(returned), 0)
	p, added, returned = p.WithEvacuated(start.Add(time.Second), []string{"graz"})
	assert.Equal(t, len(added), 0)
	assert.DeepEqual(t, returned, []string{"wien"})
	assert.Equal(t, p.Evacuated["graz"], start)
	assert.Equal(t, p.Returned["wien"], start.Add(time.Second))
	p, _, _ = p.WithEvacuated(start.Add(2*time.Second), []string{"graz", "wien"})
	assert.Assert(t, p.IsEvacuated("wien") && p.Returned["wien"].IsZero())
}
