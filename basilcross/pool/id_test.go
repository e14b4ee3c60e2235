package pool_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"basilcross.example/basilcross/pool"
	"gotest.tools/v3/assert"
)

const idHeader = "X-Request"

// echoServer returns each request's ID, or none, and counts the connections that it accepts.
func echoServer(t *testing.T, returnsID bool) (*pool.Pool, *atomic.Int64) {
	t.Helper()
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if returnsID {
			w.Header().Set(idHeader, r.Header.Get(idHeader))
		}
		_, _ = io.WriteString(w, r.Header.Get(idHeader))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	p := &pool.Pool{Address: s.Listener.Addr().String()}
	t.Cleanup(p.Close)
	return p, &opened
}

func doWithID(p *pool.Pool, method, id string) (string, error) {
	res, err := p.Do(context.Background(), &pool.Request{
		Method: method, RequestURI: "/", Host: "h", Header: http.Header{idHeader: {id}}, IDHeader: idHeader, ID: id,
	})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	return string(content), err
}

func TestConnectionsByRequestIDs(t *testing.T) {
	for name, c := range map[string]struct {
		returnsID bool
		method    string
		id        func(n int) string
		want      int64
	}{
		"requests share one connection":              {true, http.MethodGet, func(n int) string { return fmt.Sprint(n) }, 1},
		"attempts of a request do not":               {true, http.MethodGet, func(int) string { return "same" }, 6},
		"attempts use the connections of others":     {true, http.MethodGet, func(n int) string { return fmt.Sprint(n / 2) }, 2},
		"requests without an ID do not":              {true, http.MethodGet, func(int) string { return "" }, 6},
		"responses whose length the method tells":    {true, http.MethodHead, func(n int) string { return fmt.Sprint(n) }, 6},
		"requests to a target that returns no IDs":   {false, http.MethodGet, func(n int) string { return fmt.Sprint(n) }, 6},
		"attempts at a target that returns no IDs":   {false, http.MethodGet, func(int) string { return "same" }, 6},
		"requests without ID to such a target again": {false, http.MethodGet, func(int) string { return "" }, 6},
	} {
		t.Run(name, func(t *testing.T) {
			p, opened := echoServer(t, c.returnsID)
			for n := range 6 {
				content, err := doWithID(p, c.method, c.id(n))
				assert.NilError(t, err)
				if c.method != http.MethodHead {
					assert.Equal(t, content, c.id(n))
				}
			}
			assert.Equal(t, opened.Load(), c.want)
		})
	}
}

// Guards against a connection whose list of IDs grows without bound.
func TestConnectionCarriesBoundedRequests(t *testing.T) {
	p, opened := echoServer(t, true)
	const requests = 1000
	for n := range requests {
		_, err := doWithID(p, http.MethodGet, fmt.Sprint(n))
		assert.NilError(t, err)
	}
	assert.Assert(t, opened.Load() > 1 && opened.Load() <= requests/100, "%d connections", opened.Load())
}

// Guards against a response without an ID that is taken for the request's own after one to another request, or on
// a connection that has carried others.
func TestResponseWithoutIDIsUnproven(t *testing.T) {
	respond := func(id, body string) string {
		if id != "" {
			id = idHeader + ": " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	for name, responses := range map[string][]string{
		"after one to another request": {respond("other", "x") + respond("", "own")},
		"on a reused connection":       {respond("0", "first"), respond("", "own")},
		"after an interim response":    {respond("0", "first"), "HTTP/1.1 103 Early Hints\r\n\r\n" + respond("", "own")},
	} {
		t.Run(name, func(t *testing.T) {
			p := rawServer(t, responses...)
			defer p.Close()
			for n := range len(responses) - 1 {
				_, err := doWithID(p, http.MethodPost, fmt.Sprint(n))
				assert.NilError(t, err)
			}
			_, err := doWithID(p, http.MethodPost, "last")
			var failed *pool.Error
			var unproven *pool.UnprovenError
			assert.Assert(t, errors.As(err, &unproven), "%v", err)
			assert.Assert(t, errors.As(err, &failed) && failed.Wrote, "it may have run")
		})
	}
}

// Guards against an interim response by which the first response on a connection no longer counts as the first.
func TestFirstResponseWithoutIDCountsAfterInterimOne(t *testing.T) {
	p := rawServer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
	content, err := doWithID(p, http.MethodGet, "a")
	assert.NilError(t, err)
	assert.Equal(t, content, "own")
}

// Guards against a late second copy of one attempt's response that is taken for that of the next attempt with the
// same ID.
func TestAttemptsOfOneRequestShareNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var attempts atomic.Int64
	serve := func(c net.Conn) {
		defer c.Close()
		r, late := bufio.NewReader(c), ""
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			body := fmt.Sprint(attempts.Add(1))
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: same\r\nContent-Length: %d\r\n\r\n%s", idHeader, len(body), body)
			_, _ = io.WriteString(c, late+response)
			late = response
		}
	}
	//nolint:revive // ends with the listener
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	p := &pool.Pool{Address: l.Addr().String()}
	defer p.Close()
	for n := range 4 {
		content, err := doWithID(p, http.MethodGet, "same")
		assert.NilError(t, err)
		assert.Equal(t, content, fmt.Sprint(n+1))
	}
}
