package routing

import (
	"net"
	"strings"
)

// Table is an immutable index of a configuration.
type Table struct {
	Config   *Config
	hosts    map[string]map[string]*Route
	services map[string]*Service
}

// New returns the table of a configuration, which must not change afterwards.
func New(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
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

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
