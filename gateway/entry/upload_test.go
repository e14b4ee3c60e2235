package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/grant"
	"gotest.tools/v3/assert"
)

// configureUploads sets the configuration of configure with a limit of 4 MiB on bodies.
func (f *fixture) configureUploads() {
	f.configure()
	document := *f.view.Load().Config
	document.Version++
	for i := range document.Kinds {
		document.Kinds[i].BodyLimit = config.Ptr(config.Size(4 << 20))
	}
	assert.NilError(f.t, f.view.SetConfig(&document))
}

// respondUnbounded takes over the connection of a request and sends a response without a length, then ends the connection.
func respondUnbounded(w http.ResponseWriter, r *http.Request, body string, reset bool) {
	id := r.Header.Get(grant.AttemptHeader)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", grant.AttemptHeader, id, body)
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// post sends an upload and returns the status, 0 if the connection ended before the end of the response.
func (f *fixture) post(size int) (status int, content string) {
	f.t.Helper()
	res, err := http.Post(f.url+"/menus/entry/graz-7", "text/plain", strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(text)
}

// Guards against a part of a response without a length that reaches the caller as the whole one: the target resets the
// connection while the request is still being written.
func TestResponseResetDuringUploadIsNoSuccess(t *testing.T) {
	for _, size := range []int{20 << 10, 300 << 10, 4 << 20} {
		for _, part := range []int{0, 3000, 70_000} {
			t.Run(fmt.Sprintf("upload %d, part %d", size, part), func(t *testing.T) {
				f := newFixture(t)
				f.configureUploads()
				f.assign(func(w http.ResponseWriter, r *http.Request) {
					respondUnbounded(w, r, strings.Repeat("x", part), true)
				}, true)
				for range 4 {
					status, content := f.post(size)
					assert.Assert(t, status == 0 || status >= http.StatusInternalServerError, "%d with %d bytes", status, len(content))
				}
			})
		}
	}
}

// Guards against the loss of responses without a length that are whole: sent after the request, from a connection that ends in
// order.
func TestUnboundedResponseAfterUploadIsServed(t *testing.T) {
	for _, size := range []int{0, 20 << 10, 4 << 20} {
		for _, length := range []int{0, 5, 600 << 10} {
			f := newFixture(t)
			f.configureUploads()
			f.assign(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				respondUnbounded(w, r, strings.Repeat("x", length), false)
			}, true)
			status, content := f.post(size)
			assert.Equal(t, status, http.StatusOK, "upload %d, response %d", size, length)
			assert.Equal(t, len(content), length)
		}
	}
}

// Guards against a request that reaches its target with a part of its body missing, and looks whole: the server discards what it has
// not read when the target responds early.
func TestEarlyResponseLeavesTheRequestWhole(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<17)
	for _, chunked := range []bool{false, true} {
		for _, length := range []string{"5", ""} {
			for _, early := range []int64{0, 100_000, 1_000_000} {
				t.Run(fmt.Sprintf("chunked %v, response of length %q after %d bytes", chunked, length, early), func(t *testing.T) {
					f := newFixture(t)
					f.configureUploads()
					received := make(chan error, 1)
					f.assign(func(w http.ResponseWriter, r *http.Request) {
						control := http.NewResponseController(w)
						_ = control.EnableFullDuplex()
						first, _ := io.ReadAll(io.LimitReader(r.Body, early))
						if length != "" {
							w.Header().Set("Content-Length", length)
						}
						_, _ = io.WriteString(w, "early")
						_ = control.Flush()
						rest, err := io.ReadAll(r.Body)
						if err == nil && !bytes.Equal(append(first, rest...), body) {
							err = fmt.Errorf("%d of %d bytes look whole", len(first)+len(rest), len(body))
						} else {
							err = nil
						}
						received <- err
					}, true)
					var content io.Reader = bytes.NewReader(body)
					if chunked {
						content = io.MultiReader(content)
					}
					res, err := http.Post(f.url+"/menus/entry/graz-7", "text/plain", content)
					assert.NilError(t, err)
					defer res.Body.Close()
					text, err := io.ReadAll(res.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(text), "early")
					assert.NilError(t, <-received)
				})
			}
		}
	}
}

// Guards against a request that is refused since the target has answered the one before it on the same connection while that was
// still being sent.
func TestRequestAfterEarlyResponseIsServed(t *testing.T) {
	f := newFixture(t)
	f.configureUploads()
	f.assign(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_ = http.NewResponseController(w).EnableFullDuplex()
		}
		_, _ = io.WriteString(w, r.Method)
	}, true)
	const size, first = 200_000, 100_000
	for n := range 20 {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		assert.NilError(t, err)
		reader := bufio.NewReader(c)
		_, err = fmt.Fprintf(c, "POST /menus/entry/graz-7 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("u", first))
		assert.NilError(t, err)
		res, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		_, _ = io.WriteString(c, strings.Repeat("u", size-first)+"GET /menus/lists/graz-7 HTTP/1.1\r\nHost: h\r\n\r\n")
		if !res.Close {
			res, err = http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusOK, "%d: %s", n, text)
		}
		assert.NilError(t, c.Close())
	}
}
