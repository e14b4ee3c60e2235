package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/refusal"
	"gotest.tools/v3/assert"
)

// Guards against a malformed response that reaches the caller, or proves that the request did not run.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":                "HTTP/1.1 000 OK\r\n%ID%Content-Length: 5\r\n",
		"status 999":                "HTTP/1.1 999 OK\r\n%ID%Content-Length: 5\r\n",
		"blank in a name":           "HTTP/1.1 200 OK\r\n%ID%Content-Length: 5\r\nX Odd: 1\r\n",
		"control byte in a name":    "HTTP/1.1 200 OK\r\n%ID%Content-Length: 5\r\nX\x01Odd: 1\r\n",
		"blank behind a length":     "HTTP/1.1 200 OK\r\n%ID%Content-Length : 3\r\n",
		"blank behind an encoding":  "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding : chunked\r\n",
		"length beside an encoding": "HTTP/1.1 200 OK\r\n%ID%Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"odd refusal":               "HTTP/1.1 503 Full\r\n%ID%Content-Length: 5\r\nX Odd: 1\r\n" + grant.RefusedHeader + ": shed\r\n",
	} {
		f := newFixture(t)
		f.configure()
		f.assign(func(w http.ResponseWriter, r *http.Request) {
			id := grant.AttemptHeader + ": " + r.Header.Get(grant.AttemptHeader) + "\r\n"
			writeRaw(w, strings.Replace(head, "%ID%", id, 1)+"\r\n5\r\ntorte\r\n0\r\n\r\n")
		}, true)
		res, content := f.do(http.MethodPost, "/menus/entry/graz-7", "")
		assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%s: %s", name, content)
		assert.Equal(t, res.Header.Get(refusal.OutcomeHeader), string(refusal.Unknown), name)
	}
}
