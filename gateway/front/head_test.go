package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// malformedHeads are heads of signed responses, without the empty line at their end, that are malformed.
var malformedHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 OK\r\nContent-Length: 5",
	"status 000 without length": "HTTP/1.1 000 OK",
	"status 600":                "HTTP/1.1 600 OK\r\nContent-Length: 5",
	"status 999":                "HTTP/1.1 999 OK\r\nContent-Length: 5",
	"blank in a name":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Odd: 1",
	"blank behind a name":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Odd : 1",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x01Odd: 1",
	"blank behind a length":     "HTTP/1.1 200 OK\r\nContent-Length : 3",
	"blank before a length":     "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 3",
	"blank behind an encoding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
	"length beside an encoding": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
	"odd refusal":               "HTTP/1.1 503 Full\r\nX Odd: 1\r\nContent-Length: 5\r\n" + platform.NotExecuted + ": 1",
	"refusal with status 000":   "HTTP/1.1 000 Full\r\nContent-Length: 5\r\n" + platform.NotExecuted + ": 1",
}

// writeMalformed writes a signed response with a malformed head and a body that would do for most framings.
func writeMalformed(c *net.TCPConn, r *http.Request, head string) {
	line, fields, _ := strings.Cut(head, "\r\n")
	if fields != "" {
		fields += "\r\n"
	}
	_, _ = fmt.Fprintf(c, "%s\r\n%s: %s\r\n%s: s\r\n%s\r\n5\r\ntorte\r\n0\r\n\r\n",
		line, platform.RequestID, r.Header.Get(platform.RequestID), platform.Signature, fields)
}

// Guards against a malformed response that reaches the caller, or proves that the request did not run.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		for _, carried := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, carried %v", name, carried), func(t *testing.T) {
				t.Parallel()
				// The connection stays open, so that the response must be rejected by its head.
				f := newUploadFixture(t, carried, func(c *net.TCPConn, r *http.Request) {
					writeMalformed(c, r, head)
					_, _ = io.Copy(io.Discard, c)
				})
				start := time.Now()
				res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
				assert.Assert(t, res != nil, text)
				assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
				assert.Assert(t, time.Since(start) < 2*time.Second, "not rejected by its head")
			})
		}
	}
}

// Guards against a malformed response of a carrier that reaches the caller, or proves that the request did not run.
func TestMalformedResponseOfCarrierIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		carrier, _ := startCarrier(t, &standin.Target{ID: "t"})
		f := withoutLinks(t, startConnServer(t, func(c *net.TCPConn, r *http.Request) {
			writeMalformed(c, r, head+"\r\nBasilcross-Forward: "+carrier.carry(r).Get("Basilcross-Forward"))
		}))
		res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
		assert.Assert(t, res != nil, text)
		assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%s: %s", name, text)
	}
}

// Guards against a malformed response after which no other target is tried, though the request may be repeated.
func TestMalformedResponseIsRetriedIfIdempotent(t *testing.T) {
	for name, head := range malformedHeads {
		f := newUploadFixture(t, false, func(c *net.TCPConn, r *http.Request) { writeMalformed(c, r, head) })
		f.startRawTarget("whole", func(id string) string {
			return strings.Replace(signedResponse(id, true, "whole"), "\r\n", "\r\nConnection: close\r\n", 1)
		})
		for range 4 {
			res, text := f.call(t.Context(), http.MethodGet, "/safe/x", "")
			assert.Assert(t, res != nil, text)
			assert.Equal(t, res.StatusCode, http.StatusOK, "%s: %s", name, text)
			assert.Equal(t, text, "whole")
		}
	}
}
