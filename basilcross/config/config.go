// Package config is the fleet's configuration: fleet-wide defaults and a short
// list of exceptions, each with a written reason.
package config

import (
	"fmt"
	"slices"
	"time"
)

// Document is one immutable version of the configuration.
type Document struct {
	// Version is given by the table service; zero in a proposal.
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	// Defaults hold for every kind that names nothing else.
	Defaults Rules `json:"defaults"`
	// Kinds are the sorts of requests, such as lookups and confirmations.
	Kinds      []Kind      `json:"kinds"`
	Exceptions []Exception `json:"exceptions,omitempty"`
	// Author and Reason account for this version.
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// Service is a set of targets of one kind.
type Service struct {
	Name string `json:"name"`
	// Sharded services have one owner for each key.
	Sharded bool `json:"divided"`
	// Shards is how many shards a divided service starts with; 0 means 64.
	Shards int `json:"shards,omitempty"`
}

// Kind is a sort of request to a service, with the rules that differ from the
// defaults.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Idempotent requests may run twice without harm.
	Idempotent bool `json:"idempotent"`
	Rules
}

// Rules are the values that defaults, kinds and exceptions can set. A nil
// field sets nothing.
type Rules struct {
	// Deadline is the longest time that a request may take.
	Deadline *Duration `json:"deadline,omitempty"`
	// Priority orders requests for a slot; 0 goes first, 9 last.
	Priority *int `json:"priority,omitempty"`
	// Weight is a request's share of work against others, for balance.
	Weight *float64 `json:"weight,omitempty"`
	// QueueLimit is how many requests may wait for one target's slot.
	QueueLimit *int `json:"queueLimit,omitempty"`
	// Retries is how often a request may be sent again.
	Retries *int `json:"retries,omitempty"`
	// BodyLimit is the largest request body.
	BodyLimit *Size `json:"bodyLimit,omitempty"`
	// Drain takes a target out of use. It may only stand in an exception
	// whose scope names a target or an availability zone.
	Drain *bool `json:"drain,omitempty"`
}

// Scope is where an exception holds. Empty fields match everything.
type Scope struct {
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Target  string `json:"target,omitempty"`
	Key     string `json:"key,omitempty"`
}

// Exception changes rules within a scope.
type Exception struct {
	ID      string     `json:"id"`
	Scope   Scope      `json:"scope"`
	Set     Rules      `json:"set"`
	Reason  string     `json:"reason"`
	Author  string     `json:"author"`
	Expires *time.Time `json:"expires,omitempty"`
}

// Defaults returns the rules that hold where a document sets none.
func Defaults() Rules {
	return Rules{
		Deadline:   Ptr(Duration(2 * time.Second)),
		Priority:   Ptr(5),
		Weight:     Ptr(1.0),
		QueueLimit: Ptr(64),
		Retries:    Ptr(3),
		BodyLimit:  Ptr(Size(1 << 20)),
		Drain:      Ptr(false),
	}
}

// Ptr returns a pointer to v, for the optional fields of Rules.
func Ptr[T any](v T) *T { return &v }

// WithOverrides returns r with every field that top sets replaced.
func (r Rules) WithOverrides(top Rules) Rules {
	override(&r.Deadline, top.Deadline)
	override(&r.Priority, top.Priority)
	override(&r.Weight, top.Weight)
	override(&r.QueueLimit, top.QueueLimit)
	override(&r.Retries, top.Retries)
	override(&r.BodyLimit, top.BodyLimit)
	override(&r.Drain, top.Drain)
	return r
}

func override[T any](field **T, top *T) {
	if top != nil {
		*field = top
	}
}

// Service returns the service of this name.
func (d *Document) Service(name string) (s Service, ok bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// Kind returns the kind of this name in a service.
func (d *Document) Kind(service, name string) (k Kind, ok bool) {
	i := slices.IndexFunc(d.Kinds, func(k Kind) bool { return k.Service == service && k.Name == name })
	if i < 0 {
		return Kind{}, false
	}
	return d.Kinds[i], true
}

// ActiveAt tells whether the exception holds at now.
func (e *Exception) ActiveAt(now time.Time) bool {
	return e.Expires == nil || now.Before(*e.Expires)
}

// Matches tells whether the exception's scope covers the query.
func (s Scope) Matches(q Scope) bool {
	return fieldMatches(s.Service, q.Service) && fieldMatches(s.Kind, q.Kind) && fieldMatches(s.Zone, q.Zone) &&
		fieldMatches(s.Target, q.Target) && fieldMatches(s.Key, q.Key)
}

func fieldMatches(field, value string) bool { return field == "" || field == value }

// specificity counts the fields that a scope names.
func (s Scope) specificity() int {
	n := 0
	for _, f := range []string{s.Service, s.Kind, s.Zone, s.Target, s.Key} {
		if f != "" {
			n++
		}
	}
	return n
}

// HeadKey is the key of the row that says which version is in force.
const HeadKey = "head/config"

// Head is that row.
type Head struct {
	Version uint64 `json:"version"`
}

// VersionKey is the key of a version's row, which never changes.
func VersionKey(version uint64) string {
	return fmt.Sprintf("config/%020d", version)
}
