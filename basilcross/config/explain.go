package config

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Source names the rule that decided a value.
type Source struct {
	Field  string `json:"field"`
	Value  any    `json:"value"`
	Rule   string `json:"rule"`
	Reason string `json:"reason,omitempty"`
}

// layer is one step of the order in which rules are laid over each other.
type layer struct {
	name   string
	reason string
	rules  Rules
}

// layers returns the rules that apply to the query, the weakest first. Of two
// exceptions, the one with more fields in its scope is the stronger; of equals,
// the later in the document.
func (d *Document) layers(q Scope, now time.Time) []layer {
	all := []layer{
		{name: "built in", rules: Defaults()},
		{name: "defaults", reason: d.Reason, rules: d.Defaults},
	}
	if k, ok := d.Kind(q.Service, q.Kind); ok {
		all = append(all, layer{name: "kind " + k.Name, reason: d.Reason, rules: k.Rules})
	}
	var matching []Exception
	for _, e := range d.Exceptions {
		if e.ActiveAt(now) && e.Scope.Matches(q) {
			matching = append(matching, e)
		}
	}
	slices.SortStableFunc(matching, func(a, b Exception) int {
		return cmp.Compare(a.Scope.specificity(), b.Scope.specificity())
	})
	for _, e := range matching {
		all = append(all, layer{name: "exception " + e.ID, reason: e.Reason, rules: e.Set})
	}
	return all
}

// Resolve returns the rules for the query at now; every field is set.
func (d *Document) Resolve(q Scope, now time.Time) Rules {
	var r Rules
	for _, l := range d.layers(q, now) {
		r = r.WithOverrides(l.rules)
	}
	return r
}

// Explain returns, for every field, the value and the rule that decided it.
func (d *Document) Explain(q Scope, now time.Time) []Source {
	fields := reflect.TypeFor[Rules]()
	sources := make([]Source, fields.NumField())
	for _, l := range d.layers(q, now) {
		v := reflect.ValueOf(l.rules)
		for i := range sources {
			if v.Field(i).IsNil() {
				continue
			}
			name, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
			sources[i] = Source{Field: name, Value: v.Field(i).Elem().Interface(), Rule: l.name, Reason: l.reason}
		}
	}
	return sources
}
