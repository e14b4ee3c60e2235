// Package pool keeps HTTP/1.1 connections to one target and sends requests on
// them. Its errors state with certainty whether a failed request was sent.
//
// An http.Transport retries some requests by itself and picks any idle
// connection. Neither is acceptable for a request that must run at most once.
package pool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"basilcross.example/basilcross/head"
)

const (
	// freshFor is how long after its last response a connection counts as
	// fresh. Middleboxes drop the state of connections only after idle times
	// far longer than this.
	freshFor = 2 * time.Second
	// maxIdleTime is the age of its last response at which a connection is closed.
	maxIdleTime = 30 * time.Second
	// maxAge bounds the age of a connection, with jitter, so that load follows
	// changes of address and no connection stays open forever.
	maxAge = 10 * time.Minute
	// defaultIdleLimit replaces an IdleLimit of zero.
	defaultIdleLimit = 8
	bufferSize       = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections to one address. Address must be set; the other
// fields may stay zero.
type Pool struct {
	Address string
	Dial    DialFunc
	// OnOverdue, if set, is called when a response exceeds OverdueAfter.
	OnOverdue func(now time.Time)
	// IdleLimit is how many idle connections are kept; 0 means 8.
	IdleLimit int

	mu   sync.Mutex
	idle []*conn
	// invalidBefore invalidates connections whose last response is older.
	invalidBefore time.Time
	closed        bool
}

// Request is an HTTP request to a target.
type Request struct {
	Method string
	// RequestURI is the path and query, such as "/menus/lists/graz-7?day=2".
	RequestURI string
	Host       string
	Header     http.Header
	Body       io.Reader
	// ContentLength is the body's length in bytes; -1 sends it in chunks.
	ContentLength int64
	// RequireFresh allows only a connection that received a response within
	// freshFor, or a new one. It is set for requests that must not run twice.
	RequireFresh bool
	// OverdueAfter is how long a response may take before the idle connections
	// are invalidated; 0 means no limit. The request itself continues to wait.
	OverdueAfter time.Duration
	// BeforeSend is called once a connection is open, immediately before the
	// first byte is written. Its error cancels the request.
	BeforeSend func(now time.Time) error
	// IDHeader, if set, names the header in which the target returns the request's ID. A
	// response with another ID is a late second one to an earlier request: it is read and
	// discarded, and the connection is not reused. One without an ID counts only as the
	// first response on a connection, which is not reused either.
	IDHeader string
	// ID identifies the request. Attempts may share it: each gets a connection that has
	// not carried the ID yet. A request without an ID gets a connection of its own, as do
	// HEAD requests: only the request tells that their responses have no body.
	ID string
	// SetHeaders, if set, sets the headers that depend on the time of sending.
	SetHeaders func(now time.Time, h http.Header)
}

// Stage is the step at which a request failed.
type Stage int

// The stages of a request.
const (
	// Dialing: no connection; nothing was sent.
	Dialing Stage = iota
	// Checking: BeforeSend returned an error; nothing was sent.
	Checking
	// Writing: the request was not written completely.
	Writing
	// Waiting: the request was written and no response was received.
	Waiting
)

// Error is returned for a request that received no response.
type Error struct {
	Stage Stage
	// Wrote is set if any byte was written to the network.
	Wrote bool
	// Reused is set if the connection had carried a request before.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("request failed at stage %d: %v", e.Stage, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

type conn struct {
	net.Conn
	source  source
	reader  *bufio.Reader
	writer  *bufio.Writer
	carried carriedIDs
	// lastResponse is when the last response was read; for a new connection,
	// when it was opened.
	lastResponse time.Time
	expires      time.Time
	reused       bool
	wrote        bool
	// keepAliveTimeout is the idle timeout that the target stated in its
	// Keep-Alive header; 0 if it stated none.
	keepAliveTimeout time.Duration
	// noReuse is set if the connection must not return to the pool.
	noReuse bool
}

// Write records in wrote that bytes were written to the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	return n, err
}

// Do sends the request and returns the response once its header was read. The
// caller must close the body; the connection is reused only if the body was
// read to its end. The context bounds the whole exchange, including the reading
// of the body. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*http.Response, error) {
	id := newRequestID(r)
	c, err := p.get(ctx, r, id)
	if err != nil {
		return nil, &Error{Stage: Dialing, Cause: err}
	}
	c.wrote = false
	c.carried.add(id)
	c.noReuse = c.noReuse || r.needsOwnConnection() || c.carried.full()
	// A deadline in the past unblocks a read or write when ctx is cancelled.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	stopWatch := p.watchOverdue(r)
	res, failed := c.exchange(r)
	stopWatch()
	if failed != nil {
		stop()
		_ = c.Close()
		if cause := ctx.Err(); cause != nil {
			failed.Cause = cause
		}
		return nil, failed
	}
	c.keepAliveTimeout = parseKeepAlive(res.Header)
	res.Body = &responseBody{ReadCloser: res.Body, pool: p, conn: c, stop: stop, reusable: !res.Close && !c.noReuse}
	return res, nil
}

// watchOverdue invalidates the idle connections when a response is overdue. A
// new connection costs a millisecond; each idle one whose state a middlebox
// between the two ends has lost would cost a timeout.
func (p *Pool) watchOverdue(r *Request) (stop func()) {
	if r.OverdueAfter <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(r.OverdueAfter, func() {
		now := time.Now()
		p.Invalidate(now)
		if p.OnOverdue != nil {
			p.OnOverdue(now)
		}
	})
	return func() { timer.Stop() }
}

func (c *conn) exchange(r *Request) (*http.Response, *Error) {
	if r.BeforeSend != nil {
		if err := r.BeforeSend(time.Now()); err != nil {
			return nil, &Error{Stage: Checking, Reused: c.reused, Cause: err}
		}
	}
	if r.SetHeaders != nil {
		r.SetHeaders(time.Now(), r.Header)
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return c.exchangeDuplex(r)
	}
	if err := c.send(r); err != nil {
		return nil, &Error{Stage: Writing, Wrote: c.wrote, Reused: c.reused, Cause: err}
	}
	res, err := c.receive(r)
	if err != nil {
		return nil, &Error{Stage: Waiting, Wrote: true, Reused: c.reused, Cause: err}
	}
	return res, nil
}

func parseKeepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

func (c *conn) send(r *Request) error {
	w := c.writer
	w.Reset(c)
	_, _ = w.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	switch {
	case r.ContentLength > 0 || r.ContentLength == 0 && r.Body != nil:
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", r.ContentLength)
		if err := copyExactly(w, r.Body, r.ContentLength); err != nil {
			return err
		}
	case r.ContentLength < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if err := copyChunked(w, r.Body); err != nil {
			return err
		}
	default:
		_, _ = w.WriteString("\r\n")
	}
	return w.Flush()
}

// receive reads the header of the final response; it skips interim (1xx) responses and those to other
// requests.
func (c *conn) receive(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	c.source.bound(maxPrelude)
	defer c.source.unbound()
	first := c.carried.count == 1
	for {
		res, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("target sent %s, which is not supported", res.Status)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		belongs, err := c.belongs(r, res.Header, first)
		if belongs || err != nil {
			return res, err
		}
		first, c.noReuse = false, true
		if res.Close {
			return nil, fmt.Errorf("target closed the connection after a response to another request")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next response.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.source.beginHead(buffered); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	return res, head.Check(res)
}

func (p *Pool) get(ctx context.Context, r *Request, id requestID) (*conn, error) {
	if r.needsOwnConnection() {
		return p.open(ctx)
	}
	now := time.Now()
	for {
		c := p.pop(id)
		if c == nil {
			return p.open(ctx)
		}
		if !p.usable(c, now) {
			_ = c.Close()
			continue
		}
		if r.RequireFresh && now.Sub(c.lastResponse) > freshFor {
			// Requests that may be retried can still use it.
			p.put(c)
			return p.open(ctx)
		}
		return c, nil
	}
}

// pop removes and returns the freshest connection, which received a response last, of those
// that have not carried the ID; nil if there is none.
func (p *Pool) pop(id requestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.carried.has(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) usable(c *conn, now time.Time) bool {
	p.mu.Lock()
	invalid := c.lastResponse.Before(p.invalidBefore)
	p.mu.Unlock()
	limit := maxIdleTime
	if c.keepAliveTimeout > 0 {
		// Half of it: the target's timer started before ours, and a request
		// sent while the target closes the connection may have run.
		limit = min(limit, c.keepAliveTimeout/2)
	}
	unexpired := now.Before(c.expires) && now.Sub(c.lastResponse) < limit
	return !invalid && unexpired && c.reader.Buffered() == 0 && openAndIdle(c.Conn)
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	raw, err := dial(ctx, "tcp", p.Address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	lifetime := maxAge - rand.N(maxAge/4)
	c := &conn{Conn: raw, lastResponse: now, expires: now.Add(lifetime)}
	c.source.Reader = raw
	c.reader = bufio.NewReaderSize(&c.source, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// Warm opens a connection and keeps it for a later request.
func (p *Pool) Warm(ctx context.Context) error {
	c, err := p.open(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) put(c *conn) {
	limit := p.IdleLimit
	if limit == 0 {
		limit = defaultIdleLimit
	}
	p.mu.Lock()
	if p.closed || len(p.idle) >= limit {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Invalidate is called after a request received no response in time. A
// middlebox may have lost the state of all open connections at once, while new
// ones work; every connection without a response since now is closed.
func (p *Pool) Invalidate(now time.Time) {
	p.mu.Lock()
	p.invalidBefore = now
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Close closes the idle connections; those in use close after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Invalidate(time.Now())
}

// IdleCount returns how many idle connections the pool holds.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
