package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/config"
	"gotest.tools/v3/assert"
)

const valid = `{
 "services":[{"name":"menus","divided":true,"shards":64}],
 "defaults":{"deadline":"2s"},
 "kinds":[{"name":"lists","service":"menus","idempotent":true,"deadline":"800ms","priority":3}],
 "exceptions":[{"id":"slow-bakery","scope":{"service":"menus","key":"graz-7"},"set":{"deadline":"3s"},
  "reason":"the bakery's line is slow until March","author":"anna"}],
 "author":"anna","reason":"first configuration"}`

// Parse must report each error with the path of the field, as operators see it.
func TestParseReportsPath(t *testing.T) {
	tests := []struct {
		name, from, to, path string
	}{
		{name: "unknown field", from: `"priority":3`, to: `"prio":3`, path: "kinds[0].prio"},
		{name: "duplicate", from: `"author":"anna","reason":"first`, to: `"author":"a","author":"anna","reason":"first`, path: "author"},
		{name: "no unit", from: `"800ms"`, to: `"800"`, path: "kinds[0].deadline"},
		{name: "number for a duration", from: `"800ms"`, to: `800`, path: "kinds[0].deadline"},
		{name: "wrong type", from: `"priority":3`, to: `"priority":"high"`, path: "kinds.Rules.priority"},
		{name: "out of range", from: `"priority":3`, to: `"priority":12`, path: "kinds[0].priority"},
		{name: "no such service", from: `"service":"menus","idem`, to: `"service":"menu","idem`, path: "kinds[0].service"},
		{name: "no reason", from: `"the bakery's line is slow until March"`, to: `"slow"`, path: "exceptions[0].reason"},
		{name: "not JSON", from: `"author":"anna","reason":"first configuration"}`, to: `"author":`, path: "$"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := replaceOnce(t, valid, tt.from, tt.to)
			_, err := config.Parse([]byte(text))
			var field *config.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.Path, tt.path, "%v", err)
		})
	}
}

// An exception overrides a kind, and a kind the defaults.
func TestExplainReturnsDecidingRule(t *testing.T) {
	doc, err := config.Parse([]byte(valid))
	assert.NilError(t, err)
	query := config.Scope{Service: "menus", Kind: "lists", Key: "graz-7"}
	deadline := doc.Explain(query, time.Now())[0]
	assert.Equal(t, deadline.Rule, "exception slow-bakery")
	assert.Equal(t, deadline.Reason, "the bakery's line is slow until March")
	query.Key = "wien-1"
	assert.Equal(t, doc.Explain(query, time.Now())[0].Rule, "kind lists")
	assert.Equal(t, time.Duration(*doc.Resolve(query, time.Now()).Deadline), 800*time.Millisecond)
}

func TestExpiredExceptionIsIgnored(t *testing.T) {
	doc, err := config.Parse([]byte(valid))
	assert.NilError(t, err)
	doc.Exceptions[0].Expires = config.Ptr(time.Now().Add(-time.Second))
	r := doc.Resolve(config.Scope{Service: "menus", Kind: "lists", Key: "graz-7"}, time.Now())
	assert.Equal(t, time.Duration(*r.Deadline), 800*time.Millisecond)
}

func replaceOnce(t *testing.T, s, from, to string) string {
	t.Helper()
	assert.Assert(t, strings.Contains(s, from), "no %q in the document", from)
	return strings.Replace(s, from, to, 1)
}
