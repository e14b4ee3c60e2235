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
	"basilcross.example/basilcross/refusal"
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

// Guards against a broken refusal that is taken for a whole one: nothing of a broken response proves that the request did not run.
func TestBrokenRefusalDoesNotProveThatNothingRan(t *testing.T) {
	for _, reason := range []grant.RefusalReason{grant.Shed, grant.Leaving, grant.Moved} {
		for name, framing := range map[string]string{
			"shorter than stated":    "Content-Length: 20\r\n\r\nfull",
			"without the last chunk": "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n",
			"without end":            "\r\n" + strings.Repeat("full", 300_000),
		} {
			f := newFixture(t)
			f.configure()
			f.assign(func(w http.ResponseWriter, r *http.Request) {
				writeRaw(w, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\n%s",
					grant.AttemptHeader, r.Header.Get(grant.AttemptHeader), grant.RefusedHeader, reason, framing))
			}, true)
			res, content := f.do(http.MethodPost, "/menus/entry/graz-7", "")
			assert.Equal(t, res.Header.Get(refusal.OutcomeHeader), string(refusal.Unknown), "%s, %s: %s", reason, name, content)
		}
	}
}
