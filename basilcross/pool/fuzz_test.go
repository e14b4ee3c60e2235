package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/pool"
	"gotest.tools/v3/assert"
)

// A target answers with arbitrary bytes. The pool never panics, never hangs
// past its deadline, and what it calls a whole answer has its stated length.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntorte")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntor")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ntorte\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\ntorte!")
	f.Fuzz(func(t *testing.T, answer string) {
		near, far := net.Pipe()
		done := make(chan struct{})
		defer func() { <-done }()
		//nolint:revive // a helper of one test
		go func() {
			defer close(done)
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_ = far.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.Copy(far, strings.NewReader(answer))
			_ = far.Close()
		}()
		p := &pool.Pool{Address: "x", Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
		defer p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		res, err := p.Do(ctx, &pool.Request{Method: "GET", RequestURI: "/", Host: "x"})
		if err != nil {
			return
		}
		defer res.Body.Close()
		content, err := io.ReadAll(res.Body)
		if err == nil && res.ContentLength >= 0 {
			assert.Equal(t, int64(len(content)), res.ContentLength)
		}
	})
}
