package renewer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"basilcross.example/basilcross/grant"
	"gotest.tools/v3/assert"
)

// Guards against a target's status that counts though its response is cut off after it.
func TestStatusNeedsTheEndOfItsResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{}  ")
	}))
	defer server.Close()
	_, err := (&HTTPCaller{Client: server.Client()}).Order(t.Context(), strings.TrimPrefix(server.URL, "http://"), grant.Order{})
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
