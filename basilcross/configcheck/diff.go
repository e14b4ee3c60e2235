package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"basilcross.example/basilcross/routing"
)

// Change is one difference between two configurations.
type Change struct {
	// Entry is "route NAME", "service NAME", or the name of a part without entries.
	Entry string `json:"entry"`
	// Field is empty if the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	// Before and After are empty if there was, or is, no such entry.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// property is a field of an entry as text.
type property struct{ name, value string }

func (p property) text() string {
	if p.value == "" {
		return `""`
	}
	return p.value
}

// Diff returns how a configuration differs from the one in force. Routes and services are compared by their
// names; of several with one name, the last one counts.
func Diff(inForce, next *routing.Config, names FieldNames) (changes []Change) {
	version := func(c *routing.Config) []property { return []property{{names.Version, fmt.Sprint(c.Version)}} }
	changes = append(changes, compare("configuration", version(inForce), version(next))...)
	changes = append(changes, compareEntries("route", routes(inForce, names), routes(next, names))...)
	changes = append(changes, compareEntries("service", services(inForce, names), services(next, names))...)
	return append(changes, compare(names.Limits, limits(inForce, names), limits(next, names))...)
}

// CheckVersion returns an error if a configuration would not come into force, since the one in force is
// as new.
func CheckVersion(inForce, next *routing.Config, names FieldNames) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Path: names.Version, Text: fmt.Sprintf("%d is not newer than %d, which is in force: it would be ignored", next.Version, inForce.Version)}}
}

// entries are the properties of routes or services, in the order of the configuration.
type entries struct {
	order  []string
	byName map[string][]property
}

func (e *entries) add(name string, p []property) {
	if e.byName == nil {
		e.byName = map[string][]property{}
	}
	if _, known := e.byName[name]; !known {
		e.order = append(e.order, name)
	}
	e.byName[name] = p
}

func compareEntries(kind string, before, after entries) (changes []Change) {
	for _, name := range before.order {
		if after.byName[name] == nil {
			changes = append(changes, Change{Entry: kind + " " + name, Before: describe(before.byName[name])})
		}
	}
	for _, name := range after.order {
		old, p := before.byName[name], after.byName[name]
		if old == nil {
			changes = append(changes, Change{Entry: kind + " " + name, After: describe(p)})
			continue
		}
		changes = append(changes, compare(kind+" "+name, old, p)...)
	}
	return changes
}

func compare(entry string, before, after []property) (changes []Change) {
	for i, p := range after {
		if before[i].value != p.value {
			changes = append(changes, Change{Entry: entry, Field: p.name, Before: before[i].text(), After: p.text()})
		}
	}
	return changes
}

func describe(list []property) string {
	var parts []string
	for _, p := range list {
		parts = append(parts, p.name+" "+p.text())
	}
	return strings.Join(parts, ", ")
}

func routes(c *routing.Config, n FieldNames) (e entries) {
	for i := range c.Routes {
		r := &c.Routes[i]
		var shares []string
		for _, s := range r.Split {
			shares = append(shares, fmt.Sprintf("%s:%d", s.Service, s.Weight))
		}
		e.add(r.Name, []property{
			{n.Host, r.Host},
			{n.Prefix, r.Prefix},
			{n.Type, typeName(r.Type)},
			{n.Timeout, r.Timeout.String()},
			{n.Objective, r.Objective.String()},
			{n.Priority, fmt.Sprint(r.Priority)},
			{n.MaxAttempts, fmt.Sprint(r.MaxAttempts)},
			{n.Split, list(shares)},
			// Their order has no meaning.
			{n.Regions, list(slices.Sorted(slices.Values(r.Regions)))},
		})
	}
	return e
}

func list(parts []string) string { return "[" + strings.Join(parts, " ") + "]" }

func typeName(t routing.RouteType) string {
	switch t := t.(type) {
	case routing.Safe:
		return "safe"
	case routing.Upload:
		return "upload"
	case routing.Unknown:
		return t.Name
	case routing.Unsafe, nil:
	}
	return "unsafe"
}

func services(c *routing.Config, n FieldNames) (e entries) {
	for _, s := range c.Services {
		e.add(s.Name, []property{
			{n.HealthPath, s.HealthPath},
			{n.MaxConns, fmt.Sprint(s.MaxConns)},
			{n.Sharded, fmt.Sprint(s.Sharded)},
			{n.WarmupTime, s.WarmupTime.String()},
			{n.ColdTime, s.ColdTime.String()},
			{n.ColdRate, fmt.Sprint(s.ColdRate)},
		})
	}
	return e
}

func limits(c *routing.Config, n FieldNames) []property {
	return []property{
		{n.HeaderBytes, fmt.Sprint(c.Limits.HeaderBytes)},
		{n.BodyBytes, fmt.Sprint(c.Limits.BodyBytes)},
		{n.HeaderTimeout, c.Limits.HeaderTimeout.String()},
		{n.IdleTimeout, c.Limits.IdleTimeout.String()},
	}
}
