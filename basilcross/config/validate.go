package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"
)

// MaxExceptions keeps the list of exceptions short enough to be read.
const MaxExceptions = 50

// FieldError is one fault in a document, at a path such as
// "kinds[2].deadline".
type FieldError struct {
	Path   string
	Value  any
	Reason string
}

func (e *FieldError) Error() string {
	if e.Value == nil {
		return e.Path + ": " + e.Reason
	}
	return fmt.Sprintf("%s = %v: %s", e.Path, e.Value, e.Reason)
}

var namePattern = regexp.MustCompile(`^[a-z][a-zA-Z0-9-]{0,62}$`)

const (
	nameRule     = "want 1 to 63 letters, digits or dashes, beginning with a small letter"
	minReason    = 10
	maxDeadline  = 10 * time.Minute
	maxPriority  = 9
	maxWeight    = 1000
	maxQueue     = 10_000
	maxRetries   = 10
	maxBody      = 1 << 30
	maxShards    = 16_384
	shardsIfZero = 64
)

// Parse reads a document strictly and validates it. All faults of content are
// reported together.
func Parse(data []byte) (*Document, error) {
	if err := checkDuplicates(data); err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, decodeError(data, dec, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &FieldError{Path: "$", Reason: "more text after the document"}
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Validate reports every fault of the document, joined.
func (d *Document) Validate() error {
	v := &validator{doc: d, services: map[string]bool{}}
	v.document()
	return errors.Join(v.faults...)
}

type validator struct {
	doc      *Document
	services map[string]bool
	faults   []error
}

func (v *validator) fault(path string, value any, reason string) {
	v.faults = append(v.faults, &FieldError{Path: path, Value: value, Reason: reason})
}

func (v *validator) document() {
	v.reason("reason", v.doc.Reason)
	v.author("author", v.doc.Author)
	if len(v.doc.Services) == 0 {
		v.fault("services", nil, "want at least one service")
	}
	for i, s := range v.doc.Services {
		v.service(fmt.Sprintf("services[%d]", i), s)
	}
	v.rules("defaults", v.doc.Defaults, Scope{})
	kinds := map[string]bool{}
	for i, k := range v.doc.Kinds {
		v.kind(fmt.Sprintf("kinds[%d]", i), k, kinds)
	}
	if n := len(v.doc.Exceptions); n > MaxExceptions {
		v.fault("exceptions", n, fmt.Sprintf("want at most %d; turn what many need into a default", MaxExceptions))
	}
	ids := map[string]bool{}
	for i, e := range v.doc.Exceptions {
		v.exception(fmt.Sprintf("exceptions[%d]", i), e, ids)
	}
}

func (v *validator) service(path string, s Service) {
	if !namePattern.MatchString(s.Name) {
		v.fault(path+".name", s.Name, nameRule)
	}
	if v.services[s.Name] {
		v.fault(path+".name", s.Name, "stands twice")
	}
	v.services[s.Name] = true
	if s.Shards < 0 || s.Shards > maxShards {
		v.fault(path+".shards", s.Shards, fmt.Sprintf("want 0 to %d", maxShards))
	}
	if !s.Divided && s.Shards != 0 {
		v.fault(path+".shards", s.Shards, "an undivided service has no shards")
	}
}

func (v *validator) kind(path string, k Kind, seen map[string]bool) {
	if !namePattern.MatchString(k.Name) {
		v.fault(path+".name", k.Name, nameRule)
	}
	if !v.services[k.Service] {
		v.fault(path+".service", k.Service, "no such service")
	}
	if seen[k.Service+"/"+k.Name] {
		v.fault(path+".name", k.Name, "stands twice in its service")
	}
	seen[k.Service+"/"+k.Name] = true
	v.rules(path, k.Rules, Scope{})
}

func (v *validator) exception(path string, e Exception, ids map[string]bool) {
	if !namePattern.MatchString(e.ID) {
		v.fault(path+".id", e.ID, nameRule)
	}
	if ids[e.ID] {
		v.fault(path+".id", e.ID, "stands twice")
	}
	ids[e.ID] = true
	v.reason(path+".reason", e.Reason)
	v.author(path+".author", e.Author)
	if e.Scope == (Scope{}) {
		v.fault(path+".scope", nil, "want at least one field; what holds everywhere is a default")
	}
	if e.Scope.Service != "" && !v.services[e.Scope.Service] {
		v.fault(path+".scope.service", e.Scope.Service, "no such service")
	}
	if e.Set == (Rules{}) {
		v.fault(path+".set", nil, "changes nothing")
	}
	v.rules(path+".set", e.Set, e.Scope)
}

func (v *validator) rules(path string, r Rules, scope Scope) {
	if r.Deadline != nil && (*r.Deadline <= 0 || time.Duration(*r.Deadline) > maxDeadline) {
		v.fault(path+".deadline", time.Duration(*r.Deadline), "want more than 0s and at most 10m")
	}
	v.whole(path+".priority", r.Priority, 0, maxPriority)
	v.whole(path+".queueLimit", r.QueueLimit, 0, maxQueue)
	v.whole(path+".retries", r.Retries, 0, maxRetries)
	if r.Weight != nil && (*r.Weight <= 0 || *r.Weight > maxWeight) {
		v.fault(path+".weight", *r.Weight, fmt.Sprintf("want more than 0 and at most %d", maxWeight))
	}
	if r.BodyLimit != nil && *r.BodyLimit > maxBody {
		v.fault(path+".bodyLimit", *r.BodyLimit, "want at most 1GiB")
	}
	if r.Drain != nil && scope.Target == "" && scope.Zone == "" {
		v.fault(path+".drain", *r.Drain, "only an exception for a target or a zone may drain")
	}
}

func (v *validator) whole(path string, field *int, low, high int) {
	if field != nil && (*field < low || *field > high) {
		v.fault(path, *field, fmt.Sprintf("want %d to %d", low, high))
	}
}

func (v *validator) reason(path, reason string) {
	if len(strings.TrimSpace(reason)) < minReason {
		v.fault(path, nil, fmt.Sprintf("want a written reason of at least %d characters", minReason))
	}
}

func (v *validator) author(path, author string) {
	if strings.TrimSpace(author) == "" {
		v.fault(path, nil, "want the name of whoever answers for it")
	}
}

// InitialShards returns how many shards a divided service starts with.
func (s Service) InitialShards() int {
	if s.Shards == 0 {
		return shardsIfZero
	}
	return s.Shards
}
