// Package configcheck finds what is wrong with an operator's configuration before it is in force, and how
// it differs from the one that is.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"basilcross.example/basilcross/routing"
)

// FieldNames are the names of a configuration's fields in the operator's format.
type FieldNames struct {
	Version, Routes, Services, Limits string

	Name, Host, Prefix, Type, Timeout, Objective, Priority, MaxAttempts, Service, Split, Weight, Regions string

	HealthPath, MaxConns, Sharded, WarmupTime, ColdTime, ColdRate string

	HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout string
}

// Options say what a configuration is checked against. The zero value is usable.
type Options struct {
	Names FieldNames
	// CallerLimit is how long callers wait at most; 0 is not known.
	CallerLimit time.Duration
	// HeldBytes is how many bytes of bodies an instance may hold; 0 is no limit.
	HeldBytes int64
}

// Finding is one statement about a configuration.
type Finding struct {
	// Path is the field, such as "routes[2].timeout".
	Path string `json:"path"`
	// Entry is the name of the route or service; empty for other fields.
	Entry string `json:"entry,omitempty"`
	Text  string `json:"text"`
}

// Report is the result of a check. A configuration with errors must not be sent; remarks are about what is
// permitted, and may be meant.
type Report struct {
	Errors  []Finding `json:"errors"`
	Remarks []Finding `json:"remarks"`
}

// checker collects the findings of one configuration.
type checker struct {
	Options
	config *routing.Config
	report Report
}

// Check examines a configuration.
func Check(c *routing.Config, o Options) Report {
	k := &checker{Options: o, config: c}
	k.checkRoutes()
	k.checkServices()
	k.checkLimits()
	return k.report
}

func (k *checker) fail(path, entry, format string, args ...any) {
	k.report.Errors = append(k.report.Errors, Finding{path, entry, fmt.Sprintf(format, args...)})
}

func (k *checker) remark(path, entry, format string, args ...any) {
	k.report.Remarks = append(k.report.Remarks, Finding{path, entry, fmt.Sprintf(format, args...)})
}

// at returns the path of an entry of a list, and of a field of it if there is one.
func at(list string, i int, field string) string {
	path := fmt.Sprintf("%s[%d]", list, i)
	if field != "" {
		path += "." + field
	}
	return path
}

func (k *checker) checkRoutes() {
	if len(k.config.Routes) == 0 {
		k.fail(k.Names.Routes, "", "there are none, so every request gets 404")
	}
	names, places := map[string]int{}, map[string]int{}
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		path := func(field string) string { return at(k.Names.Routes, i, field) }
		if r.Name == "" {
			k.fail(path(k.Names.Name), "", "it is empty")
		}
		if first, ok := names[r.Name]; ok {
			k.fail(path(k.Names.Name), r.Name, "%s has the same name: their response times and the time limits of their callers are learnt together", at(k.Names.Routes, first, ""))
		} else {
			names[r.Name] = i
		}
		place := strings.ToLower(r.Host) + " " + r.Prefix
		if first, ok := places[place]; ok {
			// The table keeps the last one.
			k.fail(at(k.Names.Routes, first, ""), k.config.Routes[first].Name, "it never matches, since %s has the same %s and %s", path(""), k.Names.Host, k.Names.Prefix)
		}
		places[place] = i
		k.checkMatch(path, r)
		k.checkTimes(path, r)
		k.checkSplit(path, r)
	}
}

// checkMatch finds routes that no request matches.
func (k *checker) checkMatch(path func(string) string, r *routing.Route) {
	if r.Host == "" {
		k.fail(path(k.Names.Host), r.Name, "it is empty, so no request matches")
	}
	if strings.ContainsAny(r.Host, " \t/*?#") {
		k.fail(path(k.Names.Host), r.Name, "%q is not a host name, so no request matches", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		k.fail(path(k.Names.Prefix), r.Name, "%q does not begin with a slash, so no request matches", r.Prefix)
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		k.fail(path(k.Names.Prefix), r.Name, "%q does not end with a slash, so no request matches", r.Prefix)
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		k.fail(path(k.Names.Prefix), r.Name, "%q has a query or a fragment, which are not part of a path, so no request matches", r.Prefix)
	}
}

// checkTimes finds limits of a route that contradict one another.
func (k *checker) checkTimes(path func(string) string, r *routing.Route) {
	if r.Timeout < 0 {
		k.fail(path(k.Names.Timeout), r.Name, "%v is below 0", r.Timeout)
	}
	if r.Objective < 0 {
		k.fail(path(k.Names.Objective), r.Name, "%v is below 0", r.Objective)
	}
	if r.Priority < 0 {
		k.fail(path(k.Names.Priority), r.Name, "%d is below 0", r.Priority)
	}
	if r.Timeout == 0 {
		k.remark(path(k.Names.Timeout), r.Name, "it is not set, so only the time that the caller states limits a request, or 30 s if it states none")
	}
	if r.Objective == 0 {
		k.remark(path(k.Names.Objective), r.Name, "it is not set, so requests count as late from the start: they are served after others of their priority, and refused first in overload")
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		k.fail(path(k.Names.Objective), r.Name, "%v is above %s, %v", r.Objective, k.Names.Timeout, r.Timeout)
	}
	if k.CallerLimit > 0 && r.Timeout > k.CallerLimit {
		k.remark(path(k.Names.Timeout), r.Name, "%v is above the %v for which callers wait", r.Timeout, k.CallerLimit)
	}
	if u, ok := r.Type.(routing.Unknown); ok {
		k.remark(path(k.Names.Type), r.Name, "%q is not known to this version: requests run at most once", u.Name)
	}
	if r.Idempotent() && r.MaxAttempts == 1 {
		k.remark(path(k.Names.MaxAttempts), r.Name, "it is 1 or not set, although the requests may be repeated")
	}
}

func (k *checker) checkSplit(path func(string) string, r *routing.Route) {
	total := 0
	var seen []string
	for i, s := range r.Split {
		weight := fmt.Sprintf("%s[%d].%s", path(k.Names.Split), i, k.Names.Weight)
		switch {
		case s.Weight < 0:
			k.fail(weight, r.Name, "%d is below 0", s.Weight)
		case s.Weight == 0 && len(r.Split) > 1:
			k.remark(weight, r.Name, "it is 0, so %q gets no requests of this route", s.Service)
		}
		total += max(0, s.Weight)
		field := fmt.Sprintf("%s[%d].%s", path(k.Names.Split), i, k.Names.Service)
		if len(r.Split) == 1 {
			field = path(k.Names.Service)
		}
		if slices.Contains(seen, s.Service) {
			k.fail(field, r.Name, "%q is listed twice", s.Service)
		}
		seen = append(seen, s.Service)
		if !slices.ContainsFunc(k.config.Services, func(o routing.Service) bool { return o.Name == s.Service }) {
			k.fail(field, r.Name, "%q is not in %s, so its requests are not divided by key and its warm-up is not limited", s.Service, k.Names.Services)
		}
	}
	// A route with one service sends it everything, whatever its weight.
	if total == 0 && len(r.Split) > 1 {
		k.fail(path(k.Names.Split), r.Name, "all weights are 0, so no request is served")
	}
}

func (k *checker) checkServices() {
	names := map[string]int{}
	table := routing.New(k.config)
	for i := range k.config.Services {
		s := &k.config.Services[i]
		path := func(field string) string { return at(k.Names.Services, i, field) }
		if s.Name == "" {
			k.fail(path(k.Names.Name), "", "it is empty")
		}
		if first, ok := names[s.Name]; ok {
			k.fail(at(k.Names.Services, first, ""), s.Name, "it has no effect, since %s has the same name", path(""))
		}
		names[s.Name] = i
		if s.MaxConns < 0 {
			k.fail(path(k.Names.MaxConns), s.Name, "%d is below 0", s.MaxConns)
		}
		k.checkWarmup(path, s)
		k.checkUse(path, s, table)
	}
}

func (k *checker) checkWarmup(path func(string) string, s *routing.Service) {
	if s.WarmupTime < 0 {
		k.fail(path(k.Names.WarmupTime), s.Name, "%v is below 0", s.WarmupTime)
	}
	if s.ColdTime < 0 {
		k.fail(path(k.Names.ColdTime), s.Name, "%v is below 0", s.ColdTime)
	}
	if s.ColdRate < 0 {
		k.fail(path(k.Names.ColdRate), s.Name, "%v is below 0", s.ColdRate)
	}
	if s.ColdTime > 0 && s.ColdRate == 0 {
		k.remark(path(k.Names.ColdTime), s.Name, "it has no effect without %s: cold targets get any number of requests", k.Names.ColdRate)
	}
	if s.ColdRate > 0 && s.ColdTime == 0 {
		k.remark(path(k.Names.ColdRate), s.Name, "it has no effect without %s", k.Names.ColdTime)
	}
}

// checkUse finds services without requests, and sharded ones whose owners can't serve all of them.
func (k *checker) checkUse(path func(string) string, s *routing.Service, table *routing.Table) {
	used, bound := false, false
	for _, r := range k.config.Routes {
		for _, share := range r.Split {
			if share.Service == s.Name {
				used = used || share.Weight > 0 || len(r.Split) == 1
				bound = bound || len(r.Regions) > 0
			}
		}
	}
	if !used {
		k.remark(path(""), s.Name, "no route sends it requests")
	}
	if bound && s.Sharded && len(table.OwnerRegions(s.Name)) == 0 {
		k.fail(path(""), s.Name, "its routes permit no region in common (%s), and a key has one owner: some requests are always refused", k.Names.Regions)
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	path := func(field string) string { return k.Names.Limits + "." + field }
	for _, n := range []struct {
		field string
		value int64
	}{{k.Names.HeaderBytes, l.HeaderBytes}, {k.Names.BodyBytes, l.BodyBytes}, {k.Names.HeaderTimeout, int64(l.HeaderTimeout)}, {k.Names.IdleTimeout, int64(l.IdleTimeout)}} {
		if n.value < 0 {
			k.fail(path(n.field), "", "it is below 0")
		}
	}
	if k.HeldBytes > 0 && l.BodyBytes > k.HeldBytes/4 {
		k.remark(path(k.Names.BodyBytes), "", "%d is above %d, a quarter of the bytes of bodies that an instance holds: larger bodies are accepted only while no other body above 8 KiB is held", l.BodyBytes, k.HeldBytes/4)
	}
}
