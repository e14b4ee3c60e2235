package adminauth_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"basilcross.example/gateway/adminauth"
	"gotest.tools/v3/assert"
)

func tokenFile(t *testing.T, token string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(name, []byte(token+"\n"), 0o600))
	return name
}

func statusOf(g *adminauth.Authorizer, method, token string) int {
	r := httptest.NewRequest(method, "/v1/config", http.NoBody)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	g.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, r)
	return w.Code
}

// The read token must permit reading only, and a prefix of a token nothing.
func TestTokenPermissions(t *testing.T) {
	g := &adminauth.Authorizer{ReadFile: tokenFile(t, "look"), ChangeFile: tokenFile(t, "touch")}
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
		assert.Equal(t, statusOf(g, tt.method, tt.token), tt.want, "%s %q", tt.method, tt.token)
	}
}

// The token file is empty, as after a failed replacement. It must not permit requests
// without a token or with an empty one.
func TestEmptyTokenFileDeniesAccess(t *testing.T) {
	g := &adminauth.Authorizer{ReadFile: tokenFile(t, ""), ChangeFile: tokenFile(t, "")}
	assert.Equal(t, statusOf(g, http.MethodPost, ""), http.StatusUnauthorized)
	assert.Equal(t, statusOf(g, http.MethodGet, " "), http.StatusForbidden)
}

func TestTokenChangesWithoutRestart(t *testing.T) {
	name := tokenFile(t, "old")
	g := &adminauth.Authorizer{ChangeFile: name}
	assert.NilError(t, os.WriteFile(name, []byte("new"), 0o600))
	assert.Equal(t, statusOf(g, http.MethodPost, "new"), http.StatusOK)
	assert.Equal(t, statusOf(g, http.MethodPost, "old"), http.StatusForbidden)
}
