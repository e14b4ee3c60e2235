package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/routing"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// maxUpload is the size of the largest request of a test, in bytes.
const maxUpload = 4 << 20

// setUploadRoutes puts the routes of setRoutes in force with a limit on bodies of maxUpload.
func (f *fixture) setUploadRoutes() {
	f.setRoutes(4 * time.Second)
	c := *f.table.Load().Config
	c.Limits = routing.Limits{BodyBytes: maxUpload}
	f.setConfig(&c)
}

// newUploadFixture returns a fixture for uploads to a target of another instance if carried is set, of its own otherwise.
func newUploadFixture(t *testing.T, carried bool, serve func(c *net.TCPConn, r *http.Request)) *fixture {
	t.Helper()
	target := newFixture(t)
	target.setUploadRoutes()
	target.startConnTarget("t", serve)
	if !carried {
		return target
	}
	f := withoutLinks(t, startControl(t, http.HandlerFunc(target.front.ServeForwarded)))
	f.setUploadRoutes()
	return f
}

func unboundedHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n", platform.RequestID, r.Header.Get(platform.RequestID), platform.Signature)
}

// Guards against a part of a response without a length that reaches the caller as the whole one: the target resets the
// connection while the request is still being written.
func TestResponseResetDuringUploadIsNoSuccess(t *testing.T) {
	for _, carried := range []bool{false, true} {
		for _, size := range []int{20 << 10, 300 << 10, maxUpload} {
			for _, part := range []int{0, 3000, 300_000} {
				t.Run(fmt.Sprintf("carried %v, upload %d, part %d", carried, size, part), func(t *testing.T) {
					t.Parallel()
					f := newUploadFixture(t, carried, func(c *net.TCPConn, r *http.Request) {
						_, _ = io.WriteString(c, unboundedHead(r)+strings.Repeat("x", part))
						_ = c.SetLinger(0)
					})
					for range 4 {
						res, text := f.call(t.Context(), http.MethodPost, "/book/x", strings.Repeat("u", size))
						// A streamed part ends with a reset of the caller's connection.
						assert.Assert(t, res == nil || res.StatusCode == http.StatusBadGateway, "%d bytes of %d", len(text), part)
						if res != nil {
							break
						}
					}
				})
			}
		}
	}
}

// carry serves a forwarded request without its body and returns the header of the response.
func (f *fixture) carry(r *http.Request) http.Header {
	recorded := httptest.NewRecorder()
	empty := r.Clone(r.Context())
	empty.Body, empty.ContentLength = http.NoBody, 0
	f.front.ServeForwarded(recorded, empty)
	return recorded.Header()
}

// Guards against a part of a carrier's response that is taken for the whole one. Carriers state a length or send chunks; a faulty
// one may not.
func TestCarrierResetDuringUploadIsNoSuccess(t *testing.T) {
	for _, part := range []int{0, 3000, 300_000} {
		carrier, _ := startCarrier(t, &standin.Target{ID: "t"})
		f := withoutLinks(t, startConnServer(t, func(c *net.TCPConn, r *http.Request) {
			header := carrier.carry(r)
			header.Del("Content-Length")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = header.Write(c)
			_, _ = io.WriteString(c, "\r\n"+strings.Repeat("x", part))
			_ = c.SetLinger(0)
		}))
		f.setUploadRoutes()
		res, text := f.call(t.Context(), http.MethodPost, "/book/x", strings.Repeat("u", maxUpload))
		assert.Assert(t, res == nil || res.StatusCode == http.StatusBadGateway, "%d bytes of %d", len(text), part)
	}
}

// Guards against a broken response after which no other target is tried, though the request may be repeated.
func TestResponseResetDuringUploadIsRetriedIfIdempotent(t *testing.T) {
	f := newUploadFixture(t, false, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, unboundedHead(r)+"part")
		_ = c.SetLinger(0)
	})
	f.startConnTarget("whole", func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, unboundedHead(r)+"whole")
	})
	for range 8 {
		res, text := f.call(t.Context(), http.MethodPost, "/safe/x", strings.Repeat("u", maxUpload))
		assert.Assert(t, res != nil, text)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, text, "whole")
	}
}

// Guards against the loss of responses without a length that are whole: sent after the request, from a connection that ends in
// order.
func TestUnboundedResponseAfterUploadIsServed(t *testing.T) {
	for _, carried := range []bool{false, true} {
		for _, size := range []int{0, 20 << 10, maxUpload} {
			for _, length := range []int{0, 5, 600 << 10} {
				t.Run(fmt.Sprintf("carried %v, upload %d, response %d", carried, size, length), func(t *testing.T) {
					t.Parallel()
					f := newUploadFixture(t, carried, func(c *net.TCPConn, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, unboundedHead(r)+strings.Repeat("x", length))
					})
					res, text := f.call(t.Context(), http.MethodPost, "/book/x", strings.Repeat("u", size))
					assert.Assert(t, res != nil, text)
					assert.Equal(t, res.StatusCode, http.StatusOK)
					assert.Equal(t, len(text), length)
				})
			}
		}
	}
}
