package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"basilcross.example/basilcross/grant"
	"gotest.tools/v3/assert"
)

// writeRaw takes over the connection of a request, writes bytes to it and closes it.
func writeRaw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// Guards against a target that stops in the middle of its response's head and closes: the caller gets a success with
// an empty body, or a short one, that looks whole.
func TestResponseCutAnywhereIsNoSuccess(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\n" + grant.AttemptHeader + ": 1\r\nContent-Length: 5\r\n\r\ntorte"
	for n := range len(whole) {
		f := newFixture(t)
		f.configure()
		f.assign(func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, strings.Replace(whole, ": 1\r", ": "+r.Header.Get(grant.AttemptHeader)+"\r", 1)[:n])
		}, true)
		res, content := f.do(http.MethodPost, "/menus/entry/graz-7", "")
		assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%d bytes: %s", n, content)
	}
}

// Guards against a streamed response that ends early and looks complete to an HTTP/1.0 caller, which knows its end
// by the end of the connection only.
func TestStreamCutShortLooksCutToAnyCaller(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			f.assign(func(w http.ResponseWriter, r *http.Request) {
				writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ntorte\r\n", grant.AttemptHeader, r.Header.Get(grant.AttemptHeader)))
			}, true)
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "GET /menus/lists/graz-7 %s\r\nHost: h\r\n\r\n", version)
			assert.NilError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		})
	}
}
