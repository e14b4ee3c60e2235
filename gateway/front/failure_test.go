package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// failing returns a handler that responds to each request with a signed failure.
func failing(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "signed-by-"+id)
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "failed at ", id)
	})
}

// Guards against a gateway's 502 instead of the failure response of a target, if the
// request is not retried or no retry succeeds.
func TestTargetFailureIsForwarded(t *testing.T) {
	for name, targets := range map[string][]string{
		"no other target":          {"a"},
		"the others fail as well":  {"a", "b", "c"},
		"one of them sheds always": {"a", "shed"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setRoutes(5 * time.Second)
			for _, id := range targets {
				if id == "shed" {
					f.startTarget(id, http.HandlerFunc(shed))
					continue
				}
				f.startTarget(id, failing(id))
			}
			// More requests than the retry budget covers.
			for range 80 {
				res, body := f.call(t.Context(), http.MethodGet, "/safe/x", "")
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

// Guards against a failure response that is forwarded although another target can
// answer the request.
func TestFailureIsReplacedByAnotherTargetsResponse(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("a", failing("a"))
	f.startTarget("b", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "s")
	}))
	for range 4 {
		res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}
