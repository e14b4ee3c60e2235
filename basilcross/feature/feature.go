// Package feature names the parts of the product that take effect only where a deployment's
// settings call for them.
package feature

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Set says which features are on. The zero value has none.
type Set struct {
	// Admission refuses at once what waiting would make late.
	Admission bool
	// Waitlist spreads the return of refused callers over the capacity that is expected then, and counts
	// the objective of a request that returns from its caller's first attempt.
	Waitlist bool
	// Speeds keeps the measured speeds of targets, so that instances that start know them.
	Speeds bool
	// Pace limits the requests to a target that has started or recovered, by how it answers.
	Pace bool
	// BodyBudget bounds the bytes of request bodies that an instance holds also if its memory is not stated.
	BodyBudget bool
}

// field is a feature's name and its place in a Set.
type field struct {
	name string
	of   func(*Set) *bool
}

var fields = []field{
	{"admission", func(s *Set) *bool { return &s.Admission }},
	{"waitlist", func(s *Set) *bool { return &s.Waitlist }},
	{"speeds", func(s *Set) *bool { return &s.Speeds }},
	{"pace", func(s *Set) *bool { return &s.Pace }},
	{"bodyBudget", func(s *Set) *bool { return &s.BodyBudget }},
}

// Names returns the names of all features.
func Names() (names []string) {
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

// NameError is the name of a feature that does not exist.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("feature %q does not exist: want %s", e.Name, strings.Join(Names(), ", "))
}

// Parse returns the set of the named features. Each unknown name is a *NameError; they are joined.
func Parse(names []string) (s Set, err error) {
	var errs []error
	for _, name := range names {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			errs = append(errs, &NameError{Name: name})
			continue
		}
		*fields[i].of(&s) = true
	}
	return s, errors.Join(errs...)
}

// On returns the names of the features that are on.
func (s Set) On() (names []string) {
	for _, f := range fields {
		if *f.of(&s) {
			names = append(names, f.name)
		}
	}
	return names
}
