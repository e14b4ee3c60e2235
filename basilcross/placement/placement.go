// Package placement decides in which availability zones a request may be served: in those
// of its route's regions that are not evacuated.
package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Policy says which availability zones may serve requests. It is immutable; the zero value
// permits every zone to requests that are not bound to regions.
type Policy struct {
	// Regions maps each zone to its region.
	Regions map[string]string
	// Evacuated holds the zones that the operator has evacuated, with the time at which
	// this instance learned of it.
	Evacuated map[string]time.Time
	// Returned holds the zones that were taken back, with the time at which this instance
	// learned of it. Their targets may be cold without having reported it yet.
	Returned map[string]time.Time
}

// DeniedError means that no zone that has targets of the service may serve the request.
type DeniedError struct {
	Service string
	// Regions are the regions that the route permits; empty if it permits all.
	Regions []string
	// Evacuated are the zones that would be permitted if they were not evacuated.
	Evacuated []string
}

func (e *DeniedError) Error() string {
	text := "placement: no zone may serve the request to service " + e.Service
	if len(e.Regions) > 0 {
		text += ", which is bound to the regions " + strings.Join(e.Regions, ", ")
	}
	if len(e.Evacuated) > 0 {
		text += fmt.Sprintf("; evacuated: %s", strings.Join(e.Evacuated, ", "))
	}
	return text
}

// InRegions reports whether a zone lies in one of the regions; an empty list contains all
// zones. A zone of an unknown region lies in no region of a list.
func (p *Policy) InRegions(zone string, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, p.Regions[zone])
}

// IsEvacuated reports whether a zone is evacuated.
func (p *Policy) IsEvacuated(zone string) bool { return !p.Evacuated[zone].IsZero() }

// Check returns a *DeniedError if a target of the zone must not get a request that is bound
// to the regions.
func (p *Policy) Check(service, zone string, regions []string) error {
	switch {
	case !p.InRegions(zone, regions):
		return &DeniedError{Service: service, Regions: regions}
	case p.IsEvacuated(zone):
		return &DeniedError{Service: service, Regions: regions, Evacuated: []string{zone}}
	}
	return nil
}

// Filter returns the zones that may serve a request that is bound to the regions, in the
// given order. If there are none, the error is a *DeniedError.
func (p *Policy) Filter(service string, zones, regions []string) ([]string, error) {
	var permitted, evacuated []string
	for _, zone := range zones {
		switch {
		case !p.InRegions(zone, regions):
		case p.IsEvacuated(zone):
			evacuated = append(evacuated, zone)
		default:
			permitted = append(permitted, zone)
		}
	}
	if len(permitted) == 0 {
		return nil, &DeniedError{Service: service, Regions: regions, Evacuated: evacuated}
	}
	return permitted, nil
}

// WithEvacuated returns the policy with exactly the given zones evacuated, and the zones
// that it adds and takes back. A zone that was evacuated before keeps its time.
func (p *Policy) WithEvacuated(now time.Time, zones []string) (next *Policy, added, returned []string) {
	next = &Policy{Regions: p.Regions, Evacuated: map[string]time.Time{}, Returned: maps.Clone(p.Returned)}
	if next.Returned == nil {
		next.Returned = map[string]time.Time{}
	}
	for _, zone := range zones {
		since, known := p.Evacuated[zone]
		if !known {
			since = now
			added = append(added, zone)
		}
		next.Evacuated[zone] = since
		delete(next.Returned, zone)
	}
	for zone := range p.Evacuated {
		if !next.IsEvacuated(zone) {
			next.Returned[zone] = now
			returned = append(returned, zone)
		}
	}
	slices.Sort(added)
	slices.Sort(returned)
	return next, added, returned
}
