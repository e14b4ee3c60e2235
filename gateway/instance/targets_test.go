package instance

import (
	"fmt"
	"testing"

	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/mirror"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

const sharedAddress = "10.0.0.9:80"

func rowOf(id, service string, started, revision uint64) platform.Row {
	text := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":3},`+
		`"status":{"state":"ready","seq":%d,"warmup_left":"0s"}}`, sharedAddress, started, service, revision)
	return platform.Row{Table: platform.TargetTable, Key: id, Value: []byte(text), Revision: revision}
}

func serviceRow(version int, service string) platform.Row {
	text := fmt.Sprintf(`{"version":"r%d","routes":[{"name":"a","host":"a.example","prefix":"/","route_type":"safe","timeout":"2s","target_latency":"1s",`+
		`"priority":1,"service":%q,"max_attempts":2}],"services":[{"name":%q}],"limits":{}}`, version, service, service)
	return platform.Row{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(text), Revision: uint64(version)}
}

// Guards against a row of another writer, whose service no configuration names, that is taken for the target at its
// address, or replaces the target under its ID.
func TestTargetOfUnnamedServiceIsNotListed(t *testing.T) {
	real, other := rowOf("t", "s", 1, 1), rowOf("other", "unheard-of", 2, 2)
	overwritten := rowOf("t", "unheard-of", 2, 2)
	config := serviceRow(1, "s")
	full := func(rows ...platform.Row) mirror.Update { return mirror.Update{Full: true, Rows: rows, Revision: 9} }
	changed := func(rows ...platform.Row) mirror.Update { return mirror.Update{Rows: rows, Revision: 9} }
	for name, apply := range map[string]func(s *state){
		"in a full copy": func(s *state) {
			s.applyOperatorRows(full(config))
			s.applyTargets(full(real, other))
		},
		"in a change": func(s *state) {
			s.applyOperatorRows(full(config))
			s.applyTargets(full(real))
			s.applyTargets(changed(other))
			s.applyTargets(changed(other))
		},
		"before the configuration": func(s *state) {
			s.applyTargets(full(real, other))
			s.applyOperatorRows(full(config))
		},
		"under the ID of a target": func(s *state) {
			s.applyOperatorRows(full(config))
			s.applyTargets(full(real))
			s.applyTargets(changed(overwritten))
		},
		"under the ID of a target, in a full copy": func(s *state) {
			s.applyOperatorRows(full(config))
			s.applyTargets(full(real))
			s.applyTargets(full(overwritten))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &testInstance().state
			apply(s)
			view := s.roster.Load()
			assert.Equal(t, view.Len(), 1)
			assert.Equal(t, view.At(sharedAddress).Service, "s")
			assert.Equal(t, view.At(sharedAddress).Started, int64(1))
		})
	}
}

// Guards against targets that are missing after a configuration has named their service, or gone after one no longer does.
func TestTargetIsListedOnceItsServiceIsNamed(t *testing.T) {
	s := &testInstance().state
	s.applyOperatorRows(mirror.Update{Full: true, Rows: []platform.Row{serviceRow(1, "s")}})
	s.applyTargets(mirror.Update{Full: true, Rows: []platform.Row{rowOf("a", "s", 1, 1), rowOf("b", "next", 2, 2), rowOf("c", "next", 3, 3)}, Revision: 3})
	s.applyTargets(mirror.Update{Rows: []platform.Row{{Table: platform.TargetTable, Key: "c", Removed: true, Revision: 4}}, Revision: 4})
	assert.Equal(t, s.roster.Load().Len(), 1)
	s.applyOperatorRows(mirror.Update{Rows: []platform.Row{serviceRow(2, "next")}})
	view := s.roster.Load()
	assert.Assert(t, view.Find("a") != nil && view.Find("b") != nil && view.Find("c") == nil)
	s.applyTargets(mirror.Update{Rows: []platform.Row{rowOf("a", "s", 1, 5)}, Revision: 5})
	assert.Equal(t, s.roster.Load().Find("a").Seq, int64(5))
	assert.Assert(t, s.routes.Load().Service("s") == (*routing.Service)(nil))
}
