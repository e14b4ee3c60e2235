package coordinator

import (
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
)

// placedService holds a service's targets that may own keys, and what they were derived from.
type placedService struct {
	view    *roster.View
	policy  *placement.Policy
	table   *routing.Table
	targets *ownership.Targets
}

// targetsOf returns the targets of a service that may own keys. They are derived again only
// once something has changed.
func (l *leadership) targetsOf(service string, view *roster.View, policy *placement.Policy, table *routing.Table) *ownership.Targets {
	p := l.placed[service]
	if p == nil || p.view != view || p.policy != policy || p.table != table {
		list := placedTargets(view.OfService(service), policy, table.OwnerRegions(service))
		p = &placedService{view, policy, table, ownership.NewTargets(list)}
		l.placed[service] = p
	}
	return p.targets
}

// placedTargets returns a sharded service's targets; those that may not own keys are marked
// as draining, so that their keys move to others. Targets in evacuated zones may not. Nor
// may those outside the given regions, which all routes to the service permit, since the
// requests that are bound to them could not be served. If no target is left in the regions,
// any that is not in an evacuated zone may own keys.
func placedTargets(targets []*roster.Target, policy *placement.Policy, regions []string) []*roster.Target {
	if len(policy.Evacuated) == 0 && len(regions) == 0 {
		return targets
	}
	placed, permitted := markDraining(targets, policy, regions)
	if permitted == 0 && len(regions) > 0 {
		placed, _ = markDraining(targets, policy, nil)
	}
	return placed
}

// markDraining also returns the number of targets that are not draining.
func markDraining(targets []*roster.Target, policy *placement.Policy, regions []string) (placed []*roster.Target, permitted int) {
	placed = make([]*roster.Target, 0, len(targets))
	for _, t := range targets {
		if !t.Draining && policy.Check(t.Service, t.Zone, regions) != nil {
			draining := *t
			draining.Draining = true
			t = &draining
		}
		if !t.Draining {
			permitted++
		}
		placed = append(placed, t)
	}
	return placed, permitted
}
