package platform_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"basilcross.example/basilcross/platform"
	"basilcross.example/basilcross/pool"
	"gotest.tools/v3/assert"
)

// zeros is an endless text.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against an object of which a part is taken for all of it, since it is longer than what is read.
func TestObjectBeyondTheLimitIsAnError(t *testing.T) {
	const limit = 64 << 20
	for _, size := range []int64{limit, limit + 1} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.CopyN(w, zeros{}, size)
		}))
		defer server.Close()
		content, err := (&platform.Client{BaseURL: server.URL}).Get(t.Context(), "snapshot")
		var long *pool.LengthError
		assert.Equal(t, errors.As(err, &long), size > limit, "%d bytes: %v", size, err)
		assert.Assert(t, err != nil || int64(len(content)) == size)
	}
}

// Guards against a list of which a part counts, since it is whole JSON.
func TestInstanceListNeedsItsEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "["+goodInstance+"]"+strings.Repeat(" ", 100))
	}))
	defer server.Close()
	_, err := (&platform.Client{BaseURL: server.URL}).Instances(t.Context())
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
