// Package scenario reads the load, faults and expectations of a run of the demo.
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
	// Unfenced lists targets that do not check grants.
	Unfenced []string `json:"unfenced,omitempty"`
	Faults   []Fault  `json:"faults"`
	Expect   Expect   `json:"expect"`
}

// Load configures the rate of requests.
type Load struct {
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// Pipelines is how many callers of each gateway send a second request before the first one is answered, and
	// read long responses through small receive buffers.
	Pipelines int `json:"pipelines,omitempty"`
	// Uploads is how many callers of each gateway send requests of 900 KiB.
	Uploads int `json:"uploads,omitempty"`
}

// Fault is a fault to inject, with its start time and its duration; see At and For.
type Fault struct {
	AtMs  int    `json:"atMs"`
	Do    string `json:"do"`
	On    string `json:"on,omitempty"`
	ForMs int    `json:"forMs,omitempty"`
}

// Expect holds the bounds that a run must meet; a nil bound is not checked.
type Expect struct {
	Violations      *int     `json:"violations,omitempty"`
	ServedAgainMs   *int     `json:"servedAgainMs,omitempty"`
	AnsweredPercent *float64 `json:"answeredPercent,omitempty"`
	UnknownPercent  *float64 `json:"unknownPercent,omitempty"`
	// EndAnsweredPercent is the minimum of answered requests at the end of the run.
	EndAnsweredPercent *float64 `json:"endAnsweredPercent,omitempty"`
}

// ResourceType is the type of resource that a fault is applied to.
type ResourceType int

// The resource types.
const (
	NoResource ResourceType = iota
	TargetResource
	GatewayResource
	ZoneResource
)

// FaultTypes maps the known fault types to the types of resource that they are applied to.
var FaultTypes = map[string]ResourceType{
	"killTarget": TargetResource, "freezeTarget": TargetResource, "drainTarget": TargetResource, "startTarget": TargetResource,
	"killGateway": GatewayResource, "freezeGateway": GatewayResource, "stopGateway": GatewayResource, "startGateway": GatewayResource,
	"cutZone": ZoneResource, "cutZoneOneWay": ZoneResource, "cutZoneFromPlatform": ZoneResource, "cutRegions": NoResource,
	"storeDown": NoResource, "storeSlow": NoResource, "loseStoreAnswers": NoResource,
	"silenceConnections": NoResource, "resetConnections": NoResource, "slowLinks": NoResource, "changeConfig": NoResource,
	"repeatResponses": NoResource, "breakResponses": NoResource,
}

// Parse decodes and validates a scenario. Unknown fields are errors.
func Parse(content []byte) (*Scenario, error) {
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	var s Scenario
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("decode scenario: %w", err)
	}
	return &s, s.Validate()
}

// Validate returns all errors of the scenario, joined.
func (s *Scenario) Validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf("scenario: "+format, args...)) }
	d, err := deployment.Find(s.Deployment)
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	if s.Seconds < 1 || s.Seconds > 3600 {
		addError("seconds = %d: want 1 to 3600", s.Seconds)
	}
	s.Load.validate(addError)
	for i, name := range s.Unfenced {
		if names := ResourceNames(d, TargetResource); !slices.Contains(names, name) {
			addError("unfenced[%d] = %q is not known, want one of %s", i, name, strings.Join(names, ", "))
		}
	}
	for i, f := range s.Faults {
		resource, known := FaultTypes[f.Do]
		if !known {
			addError("faults[%d].do = %q is not known, want one of %s", i, f.Do, strings.Join(faultTypeNames(), ", "))
			continue
		}
		if f.AtMs < 0 || f.AtMs > s.Seconds*1000 {
			addError("faults[%d].atMs = %d: want 0 to the end of the run", i, f.AtMs)
		}
		if f.ForMs < 0 {
			addError("faults[%d].forMs = %d: want 0 or more", i, f.ForMs)
		}
		if names := ResourceNames(d, resource); resource != NoResource && !slices.Contains(names, f.On) {
			addError("faults[%d].on = %q is not known, want one of %s", i, f.On, strings.Join(names, ", "))
		}
	}
	return errors.Join(errs...)
}

func (l Load) validate(addError func(format string, args ...any)) {
	if l.RequestsPerSecond <= 0 || l.RequestsPerSecond > 20000 {
		addError("load.requestsPerSecond = %v: want more than 0 and at most 20000", l.RequestsPerSecond)
	}
	if l.Pipelines < 0 || l.Pipelines > 50 {
		addError("load.pipelines = %d: want 0 to 50", l.Pipelines)
	}
	if l.Uploads < 0 || l.Uploads > 50 {
		addError("load.uploads = %d: want 0 to 50", l.Uploads)
	}
}

func faultTypeNames() []string {
	var names []string
	for name := range FaultTypes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ResourceNames returns the names of the deployment's resources of a type.
func ResourceNames(d deployment.Deployment, resource ResourceType) []string {
	var names []string
	switch resource {
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

// Default returns the scenario of a run without a scenario file: one fault of each common type.
func Default(d deployment.Deployment, seconds int) *Scenario {
	totalMs := seconds * 1000
	targets := d.TargetInstances()
	sharded := targets[len(targets)-1]
	maxViolations, maxServedAgainMs := 0, 2000
	return &Scenario{
		Deployment: d.Name,
		Seed:       1,
		Seconds:    seconds,
		Load:       Load{RequestsPerSecond: 400},
		Faults: []Fault{
			{AtMs: totalMs * 8 / 100, Do: "killTarget", On: sharded.Name, ForMs: totalMs * 25 / 100},
			{AtMs: totalMs * 22 / 100, Do: "killGateway", On: d.GatewayInstances()[1].Name, ForMs: totalMs * 12 / 100},
			{AtMs: totalMs * 38 / 100, Do: "cutZone", On: d.Zones[2].Name, ForMs: totalMs * 14 / 100},
			{AtMs: totalMs * 60 / 100, Do: "storeDown", ForMs: totalMs * 10 / 100},
			{AtMs: totalMs * 78 / 100, Do: "drainTarget", On: targets[len(targets)-3].Name},
			{AtMs: totalMs * 86 / 100, Do: "changeConfig"},
		},
		Expect: Expect{Violations: &maxViolations, ServedAgainMs: &maxServedAgainMs},
	}
}

// At returns the start time of the fault, counted from the start of the run.
func (f Fault) At() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }

// For returns the duration of the fault; zero means until the end of the run.
func (f Fault) For() time.Duration { return time.Duration(f.ForMs) * time.Millisecond }
