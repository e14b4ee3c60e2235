package entry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/shard"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// assignRepeating makes a target the owner of all keys that sends the chosen responses twice.
func (f *fixture) assignRepeating(s *standin.Repeater) {
	f.t.Helper()
	address, err := s.Start()
	assert.NilError(f.t, err)
	f.t.Cleanup(s.Close)
	assert.NilError(f.t, f.view.ApplyDelta(assignment.Delta{
		Service: "menus", To: 1,
		Targets: []assignment.Target{{ID: "t", Service: "menus", Address: address, Fenced: true, Slots: 8, State: assignment.Active}},
		Shards:  []shard.Shard{{Last: ^uint64(0), Owner: "t", Epoch: 1}},
	}))
}

// Guards against a late second copy of one attempt's refusal that is taken for the response to the next
// attempt: the request runs twice. Targets that return no IDs are as safe.
func TestLateCopyOfRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	for name, returnsID := range map[string]bool{"target returns IDs": true, "target returns none": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			var attempts, runs atomic.Int64
			f.assignRepeating(&standin.Repeater{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if returnsID {
						w.Header().Set(grant.AttemptHeader, r.Header.Get(grant.AttemptHeader))
					}
					if attempts.Add(1) == 1 {
						w.Header().Set(grant.RefusedHeader, string(grant.NotOwner))
						w.WriteHeader(http.StatusConflict)
						return
					}
					runs.Add(1)
					_, _ = io.WriteString(w, "ran")
				}),
				Repeats: func(_ *http.Request, status int) bool { return status != http.StatusOK },
			})
			res, content := f.do(http.MethodPost, "/menus/entry/graz-7", "torte")
			assert.Equal(t, res.StatusCode, http.StatusOK, content)
			assert.Equal(t, content, "ran")
			assert.Equal(t, runs.Load(), int64(1))
			assert.Equal(t, res.Header.Get(grant.AttemptHeader), "")
		})
	}
}
