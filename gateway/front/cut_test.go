package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// signedResponse returns a target's whole response to a request.
func signedResponse(id string, length bool, body string) string {
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if !length {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s", platform.RequestID, id, platform.Signature, framing)
}

// Guards against a target that stops in the middle of its response's head and closes: the caller gets a success with
// an empty body, or a short one, that looks whole. So may one whose request went through another instance.
func TestResponseCutAnywhereIsNoSuccess(t *testing.T) {
	for _, length := range []bool{true, false} {
		whole := len(signedResponse("id1", length, "torte"))
		for _, carried := range []bool{false, true} {
			t.Run(fmt.Sprintf("length %v, carried %v", length, carried), func(t *testing.T) {
				t.Parallel()
				for n := 0; n < whole; n += 3 {
					target := newFixture(t)
					target.setRoutes(4 * time.Second)
					target.startRawTarget("t", func(id string) string { return signedResponse(id, length, "torte")[:n] })
					f := target
					if carried {
						f = withoutLinks(t, startControl(t, http.HandlerFunc(target.front.ServeForwarded)))
					}
					res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
					assert.Assert(t, res != nil, text)
					assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%d bytes: %s", n, text)
				}
			})
		}
	}
}

// Guards against a success without the target's signature that reaches the caller since it is too long to be buffered, and
// against a long failure whose status would falsely state that the request did not run.
func TestLongResponseIsCheckedLikeShortOnes(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		for _, size := range []int{10, 300_000, 3_000_000} {
			f := newFixture(t)
			f.setRoutes(4 * time.Second)
			f.startRawTarget("t", func(id string) string {
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, platform.RequestID, id, size, strings.Repeat("x", size))
			})
			res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
			assert.Assert(t, res != nil, text)
			assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%s, %d bytes", status, size)
		}
	}
}

// Guards against a streamed response that ends early and looks complete to an HTTP/1.0 caller, which knows its end
// by the end of the connection only.
func TestStreamCutShortLooksCutToAnyCaller(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			f := newFixture(t)
			f.setRoutes(4 * time.Second)
			f.startRawTarget("t", func(id string) string {
				whole := signedResponse(id, false, strings.Repeat("x", 600<<10))
				return whole[:len(whole)-1000]
			})
			c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
			assert.NilError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "GET /safe/x %s\r\nHost: cakes.example\r\n%s: id1\r\n\r\n", version, platform.RequestID)
			assert.NilError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		})
	}
}

// Guards against a target that begins a refusal, stops in the middle of its head, and continues with the response to a request
// that it has run: the caller gets a statement that the request did not run.
func TestBeginningOfRefusalBeforeResponseIsNoRefusal(t *testing.T) {
	for _, beginning := range []string{"HTTP/1.1 503 ", "HTTP/1.1 503 Service Unavailable\r\n" + platform.NotExecuted + ": "} {
		f := newFixture(t)
		f.setRoutes(4 * time.Second)
		f.startRawTarget("t", func(id string) string { return beginning + signedResponse(id, true, "torte") })
		res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
		assert.Assert(t, res != nil, text)
		assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
	}
}

// Guards against a broken refusal that is taken for a whole one: nothing of a broken response proves that the request did not run.
func TestBrokenRefusalDoesNotProveThatNothingRan(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "421 Misdirected Request", "429 Too Many Requests"} {
		for name, framing := range map[string]string{
			"shorter than stated":    "Content-Length: 20\r\n\r\nfull",
			"cut in a chunk":         "Transfer-Encoding: chunked\r\n\r\n14\r\nfull",
			"cut before a chunk":     "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
			"without the last chunk": "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n",
			"no chunks":              "Transfer-Encoding: chunked\r\n\r\nfull",
			"without end":            "\r\n" + strings.Repeat("full", 300_000),
		} {
			for _, carried := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, carried %v", status, name, carried), func(t *testing.T) {
					t.Parallel()
					f := newUploadFixture(t, carried, func(c *net.TCPConn, r *http.Request) {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s", status, platform.RequestID, r.Header.Get(platform.RequestID), platform.NotExecuted, framing)
					})
					res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
					assert.Assert(t, res != nil, text)
					assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
				})
			}
		}
	}
}

// Guards against a carrier's statement that it has not sent the request, in a response that is broken.
func TestBrokenDeclineDoesNotProveThatNothingRan(t *testing.T) {
	carrier, _ := startCarrier(t, &standin.Target{ID: "t"})
	breakLinks(carrier.front.Links)
	carrier.front.ReachesTargets = func(context.Context, string) bool { return false }
	f := withoutLinks(t, startConnServer(t, func(c *net.TCPConn, r *http.Request) {
		recorded := httptest.NewRecorder()
		carrier.front.ServeForwarded(recorded, r)
		recorded.Header().Set("Content-Length", "20")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Declined\r\n", recorded.Code)
		_ = recorded.Header().Write(c)
		_, _ = io.WriteString(c, "\r\npart")
	}))
	res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Assert(t, res != nil, text)
	assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
}
