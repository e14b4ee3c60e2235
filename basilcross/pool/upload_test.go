package pool_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/internal/rawserver"
	"basilcross.example/basilcross/pool"
	"gotest.tools/v3/assert"
)

// startTarget returns a pool of a target that calls serve for each connection, with the first request on it, and closes the
// connection afterwards.
func startTarget(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) *pool.Pool {
	t.Helper()
	p := &pool.Pool{Address: rawserver.Start(t, func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(c, r)
		}
	})}
	t.Cleanup(p.Close)
	return p
}

// upload sends a body of a size, with a length or in chunks, and returns the response's body.
func upload(t *testing.T, p *pool.Pool, size int, chunked bool) ([]byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	length := int64(size)
	if chunked {
		length = -1
	}
	res, err := p.Do(ctx, &pool.Request{
		Method: http.MethodPost, RequestURI: "/", Host: "x", Body: bytes.NewReader(make([]byte, size)), ContentLength: length,
		ID: "own", IDHeader: idHeader,
	})
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return io.ReadAll(res.Body)
}

// uploadSizes are the sizes of requests: one that is written before its response is read, and others up to what no socket holds, in bytes.
var uploadSizes = []int{10 << 10, 20 << 10, 300 << 10, 3 << 20}

const headWithoutLength = "HTTP/1.1 200 OK\r\n" + idHeader + ": own\r\nX-Signature: s\r\n\r\n"

// Guards against a part of a response without a length that is taken for the whole one: the target resets the connection while
// the request is still being written, and the write consumes the error that the reading of the response would have got.
func TestResponseResetDuringUploadIsCut(t *testing.T) {
	for _, size := range uploadSizes {
		for _, chunked := range []bool{false, true} {
			for _, part := range []int{0, 5, 3000, 70_000, 600_000} {
				for _, delay := range []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond} {
					for _, window := range []int{0, 4 << 10} {
						t.Run(fmt.Sprintf("upload %d, chunked %v, part %d, reset after %v, buffers %d", size, chunked, part, delay, window), func(t *testing.T) {
							t.Parallel()
							testReset(t, size, chunked, part, delay, window)
						})
					}
				}
			}
		}
	}
}

func testReset(t *testing.T, size int, chunked bool, part int, delay time.Duration, window int) {
	t.Helper()
	p := startTarget(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, headWithoutLength+strings.Repeat("x", part))
		time.Sleep(delay)
		_ = c.SetLinger(0)
	})
	p.Dial = dialWithBuffers(window)
	for range 4 {
		content, err := upload(t, p, size, chunked)
		assert.Assert(t, err != nil, "%d bytes are taken for the whole response", len(content))
	}
}

// dialWithBuffers returns a function that opens connections with socket buffers of a size in bytes; 0 leaves the default.
func dialWithBuffers(size int) pool.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if tcp, ok := c.(*net.TCPConn); ok && size > 0 {
			err = errors.Join(err, tcp.SetReadBuffer(size), tcp.SetWriteBuffer(size))
		}
		return c, err
	}
}

// Guards against responses that are rejected though they are whole: without a length, after the whole request, from a connection
// that ends in order; and with a length, while the request is still being written.
func TestWholeResponsesToUploadsAreAccepted(t *testing.T) {
	for _, size := range uploadSizes {
		for _, chunked := range []bool{false, true} {
			for _, part := range []int{0, 5, 3000, 600_000} {
				body := strings.Repeat("x", part)
				for name, serve := range map[string]func(c *net.TCPConn, r *http.Request){
					"after the request": func(c *net.TCPConn, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, headWithoutLength+body)
					},
					"in the middle, half-closed, the request is read on": func(c *net.TCPConn, r *http.Request) {
						_, _ = io.CopyN(io.Discard, r.Body, 5000)
						_, _ = io.WriteString(c, headWithoutLength+body)
						_ = c.CloseWrite()
						_, _ = io.Copy(io.Discard, r.Body)
					},
					"before the request, with a length": func(c *net.TCPConn, r *http.Request) {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: own\r\nContent-Length: %d\r\n\r\n%s", idHeader, part, body)
						_, _ = io.Copy(io.Discard, r.Body)
					},
				} {
					t.Run(fmt.Sprintf("%s, upload %d, chunked %v, response %d", name, size, chunked, part), func(t *testing.T) {
						t.Parallel()
						content, err := upload(t, startTarget(t, serve), size, chunked)
						assert.NilError(t, err)
						assert.Equal(t, len(content), part)
					})
				}
			}
		}
	}
}
