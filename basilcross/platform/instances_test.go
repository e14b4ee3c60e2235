package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"basilcross.example/basilcross/platform"
	"gotest.tools/v3/assert"
)

const goodInstance = `{"id":"t1","zone":"graz","region":"ost","address":"10.0.0.9:80","role":"target","service":"menus","slots":3}`

// Guards against one odd entry of the instance list, by another writer, that keeps the whole list from being read.
func TestInvalidEntriesAreLeftOut(t *testing.T) {
	var list string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
	defer server.Close()
	for _, odd := range []string{
		`null`, `7`, `[]`, `{}`, `"t2"`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		`{"id":"t2","address":"10.0.0.9:99999"}`, `{"id":"t2","address":"10.0.0.9:0"}`, `{"id":"t2","address":"10.0.0.9"}`, `{"id":"t2","address":7}`,
		`{"id":"t2","address":"10.0.0.9:80","slots":1e400}`, `{"id":"t2","address":"10.0.0.9:80","slots":99999999999999999999}`,
		`{"id":"t2","address":"10.0.0.9:80","slots":9223372036854775807}`, `{"id":"t2","address":"10.0.0.9:80","slots":-1}`,
		`{"id":7,"address":"10.0.0.9:80"}`, `{"id":"","address":"10.0.0.9:80"}`, `{"id":"t2","address":"10.0.0.9:80","leaving":"no"}`,
	} {
		var invalid []error
		c := &platform.Client{BaseURL: server.URL, OnInvalid: func(err error) { invalid = append(invalid, err) }}
		list = "[" + odd + "," + goodInstance + "]"
		got, err := c.Instances(t.Context())
		assert.NilError(t, err, "%.60s", odd)
		assert.Equal(t, len(got), 1, "%.60s", odd)
		assert.Equal(t, got[0].ID, "t1")
		assert.Equal(t, len(invalid), 1, "%.60s", odd)
		list = "[" + strings.Replace(odd, `"t2"`, `"t1"`, 1) + "]"
		got, err = c.Instances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(got) == 1, strings.Contains(list, `"id":"t1"`), "%s", list)
	}
}
