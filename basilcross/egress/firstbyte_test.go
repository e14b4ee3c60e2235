package egress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"basilcross.example/basilcross/egress"
	"gotest.tools/v3/assert"
)

// Guards against long responses that are cut by the time limit for silent servers, and
// against silent servers that are waited for.
func TestOnlySilentServersTimeOut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-r.Context().Done()
			return
		}
		for range 10 {
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			time.Sleep(30 * time.Millisecond)
		}
	}))
	defer server.Close()
	get := func(path string) (int, bool) {
		ctx, cancel, timedOut := egress.WithFirstByte(t.Context(), 150*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+path, http.NoBody)
		assert.NilError(t, err)
		res, err := server.Client().Do(req)
		if err != nil {
			return 0, timedOut()
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		return len(text), timedOut()
	}
	n, timedOut := get("/long")
	assert.Assert(t, n == 40 && !timedOut)
	n, timedOut = get("/silent")
	assert.Assert(t, n == 0 && timedOut)
}
