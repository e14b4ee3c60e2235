// Package scenario reads what the demo is to do and to expect.
package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"basilcross.example/standin/deployment"
)

// Scenario is a run of the demo; see docs/SCENARIOS.md.
type Scenario struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Seconds    int    `json:"seconds"`
	Load       Load   `json:"load"`
	// Unfenced names targets that do not check grants.
	Unfenced []string `json:"unfenced,omitempty"`
	Faults   []Fault  `json:"faults"`
	Expect   Expect   `json:"expect"`
}

// Load is the rate of requests.
type Load struct {
	RequestsPerSecond float64 `json:"requestsPerSecond"`
}

// Fault is one thing that goes wrong.
type Fault struct {
	AtMs  int    `json:"atMs"`
	Do    string `json:"do"`
	On    string `json:"on,omitempty"`
	ForMs int    `json:"forMs,omitempty"`
}

// Expect are bounds; a missing one is not checked.
type Expect struct {
	Violations      *int     `json:"violations,omitempty"`
	ServedAgainMs   *int     `json:"servedAgainMs,omitempty"`
	AnsweredPercent *float64 `json:"answeredPercent,omitempty"`
	UnknownPercent  *float64 `json:"unknownPercent,omitempty"`
	// EndAnsweredPercent is the least share of the last requests.
	EndAnsweredPercent *float64 `json:"endAnsweredPercent,omitempty"`
}

// ResourceType says what a verb is done to.
type ResourceType int

// The sorts of things that verbs are done to.
const (
	NoResource ResourceType = iota
	TargetResource
	GatewayResource
	ZoneResource
)

// FaultTypes are the known faults.
var FaultTypes = map[string]ResourceType{
	"killTarget": TargetResource, "freezeTarget": TargetResource, "drainTarget": TargetResource, "startTarget": TargetResource,
	"killGateway": GatewayResource, "freezeGateway": GatewayResource, "stopGateway": GatewayResource, "startGateway": GatewayResource,
	"cutZone": ZoneResource, "cutZoneOneWay": ZoneResource, "cutZoneFromPlatform": ZoneResource, "cutRegions": NoResource,
	"storeDown": NoResource, "storeSlow": NoResource, "loseStoreAnswers": NoResource,
	"silenceConnections": NoResource, "resetConnections": NoResource, "slowLinks": NoResource, "changeConfig": NoResource,
}

// Parse reads a scenario strictly.
func Parse(content []byte) (*Scenario, error) {
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	var s Scenario
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return &s, s.Validate()
}

// Validate reports every fault of the scenario, joined.
func (s *Scenario) Validate() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf("scenario: "+format, args...)) }
	d, err := deployment.Find(s.Deployment)
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	if s.Seconds < 1 || s.Seconds > 3600 {
		fault("seconds = %d: want 1 to 3600", s.Seconds)
	}
	if s.Load.RequestsPerSecond <= 0 || s.Load.RequestsPerSecond > 20000 {
		fault("load.requestsPerSecond = %v: want more than 0 and at most 20000", s.Load.RequestsPerSecond)
	}
	for i, name := range s.Unfenced {
		if names := ResourceNames(d, TargetResource); !slices.Contains(names, name) {
			fault("unfenced[%d] = %q is not known; known are %s", i, name, strings.Join(names, ", "))
		}
	}
	for i, f := range s.Faults {
		on, known := FaultTypes[f.Do]
		if !known {
			fault("faults[%d].do = %q is not known; known are %s", i, f.Do, strings.Join(faultTypeNames(), ", "))
			continue
		}
		if f.AtMs < 0 || f.AtMs > s.Seconds*1000 {
			fault("faults[%d].atMs = %d: want 0 to the end of the run", i, f.AtMs)
		}
		if f.ForMs < 0 {
			fault("faults[%d].forMs = %d: want 0 or more", i, f.ForMs)
		}
		if names := ResourceNames(d, on); on != NoResource && !slices.Contains(names, f.On) {
			fault("faults[%d].on = %q is not known; known are %s", i, f.On, strings.Join(names, ", "))
		}
	}
	return errors.Join(faults...)
}

func faultTypeNames() []string {
	var names []string
	for v := range FaultTypes {
		names = append(names, v)
	}
	slices.Sort(names)
	return names
}

// ResourceNames returns the names that a verb may be done to.
func ResourceNames(d deployment.Deployment, on ResourceType) []string {
	var names []string
	switch on {
	case TargetResource:
		for _, i := range d.TargetInstances() {
			names = append(names, i.Name)
		}
	case GatewayResource:
		for _, i := range d.GatewayInstances() {
			names = append(names, i.Name)
		}
	case ZoneResource:
		for _, z := range d.Zones {
			names = append(names, z.Name)
		}
	case NoResource:
	}
	return names
}

// Default is the run without a scenario file: one fault of each common sort.
func Default(d deployment.Deployment, seconds int) *Scenario {
	span := seconds * 1000
	targets := d.TargetInstances()
	divided := targets[len(targets)-1]
	zero, again := 0, 2000
	return &Scenario{
		Deployment: d.Name,
		Seed:       1,
		Seconds:    seconds,
		Load:       Load{RequestsPerSecond: 400},
		Faults: []Fault{
			{AtMs: span * 8 / 100, Do: "killTarget", On: divided.Name, ForMs: span * 25 / 100},
			{AtMs: span * 22 / 100, Do: "killGateway", On: d.GatewayInstances()[1].Name, ForMs: span * 12 / 100},
			{AtMs: span * 38 / 100, Do: "cutZone", On: d.Zones[2].Name, ForMs: span * 14 / 100},
			{AtMs: span * 60 / 100, Do: "storeDown", ForMs: span * 10 / 100},
			{AtMs: span * 78 / 100, Do: "drainTarget", On: targets[len(targets)-3].Name},
			{AtMs: span * 86 / 100, Do: "changeConfig"},
		},
		Expect: Expect{Violations: &zero, ServedAgainMs: &again},
	}
}

// At returns when the fault begins.
func (f Fault) At() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }

// For returns how long it lasts; zero is to the end.
func (f Fault) For() time.Duration { return time.Duration(f.ForMs) * time.Millisecond }
