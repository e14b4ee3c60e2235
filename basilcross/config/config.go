// Package config has the fleet's configuration: defaults for the whole fleet and
// a short list of exceptions, each with a reason.
package config

import (
	"fmt"
	"slices"
	"time"
)

// Document is one immutable version of the configuration.
type Document struct {
	// Version is assigned by the table service; zero in a proposal.
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	// Defaults apply to every kind that does not set its own.
	Defaults Rules `json:"defaults"`
	// Kinds are the kinds of requests, such as lookups and confirmations.
	Kinds      []Kind      `json:"kinds"`
	Exceptions []Exception `json:"exceptions,omitempty"`
	// Author and Reason say who made this version, and why.
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// Service is a set of targets that run the same requests.
type Service struct {
	Name string `json:"name"`
	// Sharded services have one owner per key.
	Sharded bool `json:"divided"`
	// Shards is the initial number of shards of a sharded service; 0 means 64.
	Shards int `json:"shards,omitempty"`
}

// Kind is a kind of request to a service, with the rules that differ from the
// defaults.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Idempotent requests may be executed more than once.
	Idempotent bool `json:"idempotent"`
	Rules
}

// Rules are the values that defaults, kinds and exceptions can set. A nil
// field is not set.
type Rules struct {
	// Deadline is the maximum duration of a request.
	Deadline *Duration `json:"deadline,omitempty"`
	// Priority orders the requests that wait for a slot; 0 is first, 9 last.
	Priority *int `json:"priority,omitempty"`
	// Weight is the work of a request relative to others, for load balancing.
	Weight *float64 `json:"weight,omitempty"`
	// QueueLimit is the number of requests that may wait for a slot of one target.
	QueueLimit *int `json:"queueLimit,omitempty"`
	// Retries is how often a request may be retried.
	Retries *int `json:"retries,omitempty"`
	// BodyLimit is the maximum size of a request body.
	BodyLimit *Size `json:"bodyLimit,omitempty"`
	// Drain takes a target out of use. It may only be set by an exception
	// whose scope names a target or an availability zone.
	Drain *bool `json:"drain,omitempty"`
}

// Scope is what an exception applies to. Empty fields match everything.
type Scope struct {
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Target  string `json:"target,omitempty"`
	Key     string `json:"key,omitempty"`
}

// Exception sets rules within a scope, until it expires.
type Exception struct {
	ID      string     `json:"id"`
	Scope   Scope      `json:"scope"`
	Set     Rules      `json:"set"`
	Reason  string     `json:"reason"`
	Author  string     `json:"author"`
	Expires *time.Time `json:"expires,omitempty"`
}

// Defaults returns the rules that apply where a document sets none.
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

// WithOverrides returns r with the fields that overrides sets replaced.
func (r Rules) WithOverrides(overrides Rules) Rules {
	override(&r.Deadline, overrides.Deadline)
	override(&r.Priority, overrides.Priority)
	override(&r.Weight, overrides.Weight)
	override(&r.QueueLimit, overrides.QueueLimit)
	override(&r.Retries, overrides.Retries)
	override(&r.BodyLimit, overrides.BodyLimit)
	override(&r.Drain, overrides.Drain)
	return r
}

func override[T any](field **T, value *T) {
	if value != nil {
		*field = value
	}
}

// Service returns the service with this name.
func (d *Document) Service(name string) (s Service, ok bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// Kind returns the kind of a service with this name.
func (d *Document) Kind(service, name string) (k Kind, ok bool) {
	i := slices.IndexFunc(d.Kinds, func(k Kind) bool { return k.Service == service && k.Name == name })
	if i < 0 {
		return Kind{}, false
	}
	return d.Kinds[i], true
}

// ActiveAt reports whether the exception has not expired at now.
func (e *Exception) ActiveAt(now time.Time) bool {
	return e.Expires == nil || now.Before(*e.Expires)
}

// Matches reports whether the scope covers the query.
func (s Scope) Matches(q Scope) bool {
	return fieldMatches(s.Service, q.Service) && fieldMatches(s.Kind, q.Kind) && fieldMatches(s.Zone, q.Zone) &&
		fieldMatches(s.Target, q.Target) && fieldMatches(s.Key, q.Key)
}

func fieldMatches(field, value string) bool { return field == "" || field == value }

// specificity returns the number of fields that the scope sets.
func (s Scope) specificity() int {
	n := 0
	for _, f := range []string{s.Service, s.Kind, s.Zone, s.Target, s.Key} {
		if f != "" {
			n++
		}
	}
	return n
}

// HeadKey is the key of the head row, which has the version in force.
const HeadKey = "head/config"

// Head is the content of the head row.
type Head struct {
	Version uint64 `json:"version"`
}

// VersionKey returns the key of a version's row, which never changes.
func VersionKey(version uint64) string {
	return fmt.Sprintf("config/%020d", version)
}
