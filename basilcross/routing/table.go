package routing

import (
	"net"
	"slices"
	"strings"
)

// Table is an immutable index of a configuration.
type Table struct {
	Config   *Config
	hosts    map[string]map[string]*Route
	services map[string]*Service
	// ownerRegions are the regions that all bound routes of a service permit.
	ownerRegions map[string][]string
	boundKinds   map[uint32]bool
}

// New returns the table of a configuration, which must not change afterwards.
func New(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string]map[string]*Route{}, services: map[string]*Service{}, ownerRegions: map[string][]string{}, boundKinds: map[uint32]bool{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
		t.bindOwners(r)
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Find returns the host's route with the longest prefix of the path, or nil. Route
// prefixes end with a slash, so only prefixes of the path that do are looked up.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		bare, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		prefixes = t.hosts[strings.ToLower(bare)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// bindOwners restricts the owners of the keys of the route's services to its regions.
func (t *Table) bindOwners(r *Route) {
	if len(r.Regions) == 0 {
		return
	}
	t.boundKinds[r.Kind()] = true
	for _, s := range r.Split {
		regions, bound := t.ownerRegions[s.Service]
		if !bound {
			t.ownerRegions[s.Service] = r.Regions
			continue
		}
		t.ownerRegions[s.Service] = slices.DeleteFunc(slices.Clone(regions), func(region string) bool {
			return !slices.Contains(r.Regions, region)
		})
	}
}

// OwnerRegions returns the regions that all routes to a service permit, in which the
// owners of its keys can serve every request. It is empty if no route is bound to regions,
// or if no region is permitted by all.
func (t *Table) OwnerRegions(service string) []string { return t.ownerRegions[service] }

// IsBound reports whether the requests of a kind are bound to regions.
func (t *Table) IsBound(kind uint32) bool { return t.boundKinds[kind] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
