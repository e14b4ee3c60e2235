package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// failing answers each request with a failure of its own.
func failing(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "signed-by-"+id)
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "failed at ", id)
	})
}

// Guards against a gateway's own 502 in place of the answer that a target gave,
// where the request is not sent again after all.
func TestTargetFailureIsForwarded(t *testing.T) {
	for name, targets := range map[string][]string{
		"no other target":          {"a"},
		"the others fail as well":  {"a", "b", "c"},
		"one of them sheds always": {"a", "shed"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.route(5 * time.Second)
			for _, id := range targets {
				if id == "shed" {
					b.handler(id, http.HandlerFunc(shed))
					continue
				}
				b.handler(id, failing(id))
			}
			// More than the retry budget allows to send again.
			for range 80 {
				res, body := b.call(t.Context(), http.MethodGet, "/safe/x", "")
				if res.StatusCode == http.StatusServiceUnavailable {
					assert.Equal(t, name, "one of them sheds always")
					continue
				}
				assert.Equal(t, res.StatusCode, http.StatusInternalServerError, body)
				assert.Equal(t, "signed-by-"+body[len("failed at "):], res.Header.Get(platform.Signature))
			}
		})
	}
}

// Guards against a failure that is passed on though another target answers.
func TestFailureIsReplacedByAnotherTargetsResponse(t *testing.T) {
	b := newFixture(t)
	b.route(5 * time.Second)
	b.handler("a", failing("a"))
	b.handler("b", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "s")
	}))
	for range 4 {
		res, _ := b.call(t.Context(), http.MethodGet, "/safe/x", "")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}
