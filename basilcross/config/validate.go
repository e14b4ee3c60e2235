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
	wantName        = "want 1 to 63 letters, digits or dashes, beginning with a small letter"
	minReasonLength = 10
	maxDeadline     = 10 * time.Minute
	maxPriority     = 9
	maxWeight       = 1000
	maxQueueLimit   = 10_000
	maxRetries      = 10
	maxBodyLimit    = 1 << 30
	maxShards       = 16_384
	defaultShards   = 64
)

// Parse reads a document strictly and validates it. All faults of content are
// reported together.
func Parse(data []byte) (*Document, error) {
	if err := checkDuplicateMembers(data); err != nil {
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
	v.checkDocument()
	return errors.Join(v.errs...)
}

type validator struct {
	doc      *Document
	services map[string]bool
	errs     []error
}

func (v *validator) addError(path string, value any, reason string) {
	v.errs = append(v.errs, &FieldError{Path: path, Value: value, Reason: reason})
}

func (v *validator) checkDocument() {
	v.checkReason("reason", v.doc.Reason)
	v.checkAuthor("author", v.doc.Author)
	if len(v.doc.Services) == 0 {
		v.addError("services", nil, "want at least one service")
	}
	for i, s := range v.doc.Services {
		v.checkService(fmt.Sprintf("services[%d]", i), s)
	}
	v.checkRules("defaults", v.doc.Defaults, Scope{})
	kinds := map[string]bool{}
	for i, k := range v.doc.Kinds {
		v.checkKind(fmt.Sprintf("kinds[%d]", i), k, kinds)
	}
	if n := len(v.doc.Exceptions); n > MaxExceptions {
		v.addError("exceptions", n, fmt.Sprintf("want at most %d; turn what many need into a default", MaxExceptions))
	}
	ids := map[string]bool{}
	for i, e := range v.doc.Exceptions {
		v.checkException(fmt.Sprintf("exceptions[%d]", i), e, ids)
	}
}

func (v *validator) checkService(path string, s Service) {
	if !namePattern.MatchString(s.Name) {
		v.addError(path+".name", s.Name, wantName)
	}
	if v.services[s.Name] {
		v.addError(path+".name", s.Name, "stands twice")
	}
	v.services[s.Name] = true
	if s.Shards < 0 || s.Shards > maxShards {
		v.addError(path+".shards", s.Shards, fmt.Sprintf("want 0 to %d", maxShards))
	}
	if !s.Sharded && s.Shards != 0 {
		v.addError(path+".shards", s.Shards, "an undivided service has no shards")
	}
}

func (v *validator) checkKind(path string, k Kind, seen map[string]bool) {
	if !namePattern.MatchString(k.Name) {
		v.addError(path+".name", k.Name, wantName)
	}
	if !v.services[k.Service] {
		v.addError(path+".service", k.Service, "no such service")
	}
	if seen[k.Service+"/"+k.Name] {
		v.addError(path+".name", k.Name, "stands twice in its service")
	}
	seen[k.Service+"/"+k.Name] = true
	v.checkRules(path, k.Rules, Scope{})
}

func (v *validator) checkException(path string, e Exception, ids map[string]bool) {
	if !namePattern.MatchString(e.ID) {
		v.addError(path+".id", e.ID, wantName)
	}
	if ids[e.ID] {
		v.addError(path+".id", e.ID, "stands twice")
	}
	ids[e.ID] = true
	v.checkReason(path+".reason", e.Reason)
	v.checkAuthor(path+".author", e.Author)
	if e.Scope == (Scope{}) {
		v.addError(path+".scope", nil, "want at least one field; what holds everywhere is a default")
	}
	if e.Scope.Service != "" && !v.services[e.Scope.Service] {
		v.addError(path+".scope.service", e.Scope.Service, "no such service")
	}
	if e.Set == (Rules{}) {
		v.addError(path+".set", nil, "changes nothing")
	}
	v.checkRules(path+".set", e.Set, e.Scope)
}

func (v *validator) checkRules(path string, r Rules, scope Scope) {
	if r.Deadline != nil && (*r.Deadline <= 0 || time.Duration(*r.Deadline) > maxDeadline) {
		v.addError(path+".deadline", time.Duration(*r.Deadline), "want more than 0s and at most 10m")
	}
	v.checkRange(path+".priority", r.Priority, 0, maxPriority)
	v.checkRange(path+".queueLimit", r.QueueLimit, 0, maxQueueLimit)
	v.checkRange(path+".retries", r.Retries, 0, maxRetries)
	if r.Weight != nil && (*r.Weight <= 0 || *r.Weight > maxWeight) {
		v.addError(path+".weight", *r.Weight, fmt.Sprintf("want more than 0 and at most %d", maxWeight))
	}
	if r.BodyLimit != nil && *r.BodyLimit > maxBodyLimit {
		v.addError(path+".bodyLimit", *r.BodyLimit, "want at most 1GiB")
	}
	if r.Drain != nil && scope.Target == "" && scope.Zone == "" {
		v.addError(path+".drain", *r.Drain, "only an exception for a target or a zone may drain")
	}
}

func (v *validator) checkRange(path string, field *int, low, high int) {
	if field != nil && (*field < low || *field > high) {
		v.addError(path, *field, fmt.Sprintf("want %d to %d", low, high))
	}
}

func (v *validator) checkReason(path, reason string) {
	if len(strings.TrimSpace(reason)) < minReasonLength {
		v.addError(path, nil, fmt.Sprintf("want a written reason of at least %d characters", minReasonLength))
	}
}

func (v *validator) checkAuthor(path, author string) {
	if strings.TrimSpace(author) == "" {
		v.addError(path, nil, "want the name of whoever answers for it")
	}
}

// InitialShards returns how many shards a divided service starts with.
func (s Service) InitialShards() int {
	if s.Shards == 0 {
		return defaultShards
	}
	return s.Shards
}
