package operator_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"basilcross.example/gateway/operator"
	"gotest.tools/v3/assert"
)

func file(t *testing.T, token string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(name, []byte(token+"\n"), 0o600))
	return name
}

func call(g *operator.Gate, method, token string) int {
	r := httptest.NewRequest(method, "/v1/config", http.NoBody)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	g.Guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, r)
	return w.Code
}

func TestRoles(t *testing.T) {
	g := &operator.Gate{ReadFile: file(t, "look"), ChangeFile: file(t, "touch")}
	for _, tt := range []struct {
		method, token string
		want          int
	}{
		{http.MethodGet, "look", http.StatusOK},
		{http.MethodGet, "touch", http.StatusOK},
		{http.MethodPost, "touch", http.StatusOK},
		{http.MethodPost, "look", http.StatusForbidden},
		{http.MethodGet, "loo", http.StatusForbidden},
		{http.MethodGet, "", http.StatusUnauthorized},
	} {
		assert.Equal(t, call(g, tt.method, tt.token), tt.want, "%s %q", tt.method, tt.token)
	}
}

// The token file is empty, as after a failed replacement. An empty token must
// not open the door.
func TestEmptyTokenFileLetsNobodyIn(t *testing.T) {
	g := &operator.Gate{ReadFile: file(t, ""), ChangeFile: file(t, "")}
	assert.Equal(t, call(g, http.MethodPost, ""), http.StatusUnauthorized)
	assert.Equal(t, call(g, http.MethodGet, " "), http.StatusForbidden)
}

func TestTokenChangesWithoutRestart(t *testing.T) {
	name := file(t, "old")
	g := &operator.Gate{ChangeFile: name}
	assert.NilError(t, os.WriteFile(name, []byte("new"), 0o600))
	assert.Equal(t, call(g, http.MethodPost, "new"), http.StatusOK)
	assert.Equal(t, call(g, http.MethodPost, "old"), http.StatusForbidden)
}
