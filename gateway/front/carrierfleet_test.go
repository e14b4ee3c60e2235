package front

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

const (
	fleetSize        = 89
	fleetZones       = 4
	fleetStrong      = 8
	requestsPerFleet = 1865.0
	// meanWork is the time that a request occupies its carrier.
	meanWork = 375 * time.Millisecond
	// requiredAtCut is how often requests at instances without links must be served by others.
	requiredAtCut = 0.95
)

// simulatedFleet has the instances of a large deployment, of which some have lost their links. A
// request takes no time but that of the target.
type simulatedFleet struct {
	rand    *rand.Rand
	all     []*simulatedInstance
	byName  map[string]*simulatedInstance
	started time.Time
}

type simulatedInstance struct {
	forwarder *Forwarder
	cut       bool
	// ends are when the requests end that it carries.
	ends []time.Time
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	f := &simulatedFleet{rand: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simulatedInstance{}, started: time.Now()}
	p := &peers.Peers{Self: peers.Instance{Name: "observer"}}
	list := map[string]peers.Instance{}
	for n := range fleetSize {
		i := peers.Instance{Name: fmt.Sprintf("z%d-%d", n%fleetZones, n/fleetZones), Zone: fmt.Sprintf("z%d", n%fleetZones), Control: "127.0.0.1:1", Cores: 0.16}
		if n < fleetStrong {
			i.Cores = 0.8
		}
		list[i.Name] = i
		f.all = append(f.all, &simulatedInstance{forwarder: &Forwarder{Self: i, Peers: p, Region: func(zone string) string {
			return map[string]string{"z0": "ost", "z1": "ost"}[zone]
		}}})
		f.byName[i.Name] = f.all[n]
	}
	p.SetInstances(list)
	return f
}

// carry reports whether the instance has room for another request, which ends at a time.
func (i *simulatedInstance) carry(now, end time.Time) bool {
	open := i.ends[:0]
	for _, e := range i.ends {
		if e.After(now) {
			open = append(open, e)
		}
	}
	i.ends = open
	if len(open) >= max(minCarried, int(carriedPerCore*i.forwarder.Self.Cores)) {
		return false
	}
	i.ends = append(i.ends, end)
	return true
}

// serve reports whether a request at an instance without links is served by another one.
func (f *simulatedFleet) serve(now time.Time, i *simulatedInstance, service string) bool {
	search := carrierSearch{forwarder: i.forwarder, service: service}
	for {
		carrier, ok := search.next(now)
		if !ok {
			return false
		}
		other := f.byName[carrier.Name]
		cause := causeLinksDown
		if !other.cut {
			if other.carry(now, now.Add(time.Duration(f.rand.ExpFloat64()*float64(meanWork)))) {
				i.forwarder.recordServed(now, &carrier, service)
				return true
			}
			cause = causeCarrierFull
		}
		search.suggest(other.forwarder.suggestions(now, service, nil))
		i.forwarder.avoidAfter(now, &carrier, service, cause)
	}
}

// share returns the share of requests that are served at instances without links, from one second
// after they are lost on.
func (f *simulatedFleet) share() float64 {
	served, sent := 0, 0
	for at := time.Duration(0); at < 4*time.Second; at += time.Duration(f.rand.ExpFloat64() / requestsPerFleet * float64(time.Second)) {
		i, service := f.all[f.rand.IntN(len(f.all))], "unsharded"
		if f.rand.Float64() < 600/requestsPerFleet {
			service = "sharded"
		}
		if !i.cut {
			continue
		}
		ok := f.serve(f.started.Add(at), i, service)
		if at < time.Second {
			continue
		}
		sent++
		if ok {
			served++
		}
	}
	return float64(served) / float64(sent)
}

// Guards against refusals in a large fleet of which a zone, a region or most have lost their links.
func TestInstancesWithoutLinksServeInLargeFleet(t *testing.T) {
	for name, isCut := range map[string]func(i *peers.Instance, draw float64) bool{
		"zone": func(i *peers.Instance, _ float64) bool { return i.Zone == "z0" },
		"zone but two small": func(i *peers.Instance, _ float64) bool {
			return i.Zone == "z0" && !strings.HasSuffix(i.Name, "-7") && !strings.HasSuffix(i.Name, "-8")
		},
		"region":                func(i *peers.Instance, _ float64) bool { return i.Zone == "z0" || i.Zone == "z1" },
		"all zones but one":     func(i *peers.Instance, _ float64) bool { return i.Zone != "z3" },
		"the largest":           func(i *peers.Instance, _ float64) bool { return i.Cores > 0.5 },
		"half":                  func(_ *peers.Instance, draw float64) bool { return draw < 0.5 },
		"nine of ten":           func(i *peers.Instance, draw float64) bool { return draw < 0.9 && i.Name != "z1-0" && i.Name != "z3-0" },
		"all but the largest":   func(i *peers.Instance, _ float64) bool { return i.Cores < 0.5 },
		"zone, largest of rest": func(i *peers.Instance, _ float64) bool { return i.Zone == "z0" || i.Cores > 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newSimulatedFleet(seed)
				for _, i := range f.all {
					i.cut = isCut(&i.forwarder.Self, f.rand.Float64())
				}
				share := f.share()
				t.Logf("seed %d: %.4f", seed, share)
				assert.Check(t, share >= requiredAtCut)
			}
		})
	}
}
