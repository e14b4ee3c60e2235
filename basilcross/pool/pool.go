// Package pool keeps HTTP/1.1 connections to one target and sends requests on
// them under rules that tell for certain whether a failed request was sent.
//
// An http.Transport repeats some requests on its own, and picks any idle
// connection. Neither fits a request that must run at most once.
package pool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// freshFor is how long after its last answer a connection counts as
	// proved. Middle boxes lose track of connections only after silences far
	// longer than this.
	freshFor = 2 * time.Second
	// maxIdleTime is the age of a connection's last answer after which it is closed.
	maxIdleTime = 30 * time.Second
	// maxAge bounds a connection's life, with jitter, so that load follows
	// changes of address and no connection lives for ever.
	maxAge = 10 * time.Minute
	// defaultIdleLimit bounds idle connections where IdleLimit is zero.
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
	// OnOverdue, if set, is told when an answer is overdue.
	OnOverdue func(now time.Time)
	// IdleLimit is how many idle connections are kept; 0 means 8.
	IdleLimit int

	mu   sync.Mutex
	idle []*conn
	// invalidBefore marks connections whose last answer is older as suspect.
	invalidBefore time.Time
	closed        bool
}

// Request is what is sent to a target.
type Request struct {
	Method string
	// RequestURI is the request URI, such as "/menus/lists/graz-7?day=2".
	RequestURI string
	Host       string
	Header     http.Header
	Body       io.Reader
	// ContentLength is the body's length; -1 sends it in chunks.
	ContentLength int64
	// RequireFresh asks for a connection that was lately proved alive, or a new
	// one. It is set for requests that must not run twice.
	RequireFresh bool
	// OverdueAfter is how long an answer may take before the other connections
	// become suspect; 0 is for ever. The request itself waits on.
	OverdueAfter time.Duration
	// BeforeSend is called when a connection is at hand, immediately before the
	// first byte is written. Its error stops the request.
	BeforeSend func(now time.Time) error
	// Matches, if set, tells whether an answer belongs to this request. Others
	// are late second answers to earlier requests: they are read and dropped,
	// and the connection is not used again.
	Matches func(h http.Header) bool
	// SetHeaders, if set, fills in what depends on the moment of sending.
	SetHeaders func(now time.Time, h http.Header)
}

// Stage is how far a request got.
type Stage int

// The stages of a request.
const (
	// Dialing: no connection; nothing was sent.
	Dialing Stage = iota
	// Checking: Before refused; nothing was sent.
	Checking
	// Writing: the request was not written to its end.
	Writing
	// Waiting: all was written and no answer came.
	Waiting
)

// Error is a request without an answer.
type Error struct {
	Stage Stage
	// Wrote is set if any byte was handed to the network.
	Wrote  bool
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
	reader *bufio.Reader
	writer *bufio.Writer
	// lastResponse is when the last answer ended; for a new connection, when
	// it was opened.
	lastResponse time.Time
	expires      time.Time
	reused       bool
	wrote        bool
	// keepAliveTimeout is how long the target says that it keeps an idle connection;
	// 0 if it does not say.
	keepAliveTimeout time.Duration
	// noReuse connections are not used again.
	noReuse bool
}

// Write notes that bytes left for the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	return n, err
}

// Do sends the request and returns the answer's head. The body must be read to
// its end or closed; only a connection whose answer was read whole is used
// again. The context bounds the whole exchange, the reading of the body
// included.
func (p *Pool) Do(ctx context.Context, r *Request) (*http.Response, error) {
	c, err := p.get(ctx, r.RequireFresh)
	if err != nil {
		return nil, &Error{Stage: Dialing, Cause: err}
	}
	c.wrote = false
	// Cancellation reaches a blocked read or write through the deadline.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	calm := p.watchOverdue(r)
	res, failed := c.exchange(r)
	calm()
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

// watchOverdue makes the idle connections suspect when an answer is overdue. Dropping
// them costs a millisecond each; finding out one by one that something between
// the two ends has lost track of them costs a timeout each.
func (p *Pool) watchOverdue(r *Request) (calm func()) {
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
	sent := make(chan error, 1)
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return c.exchangeDuplex(r, sent)
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

// maxBufferedBody is the body that fits into the socket's buffers, so that its
// writer cannot block while the target answers early and reads no further.
const maxBufferedBody = 16 << 10

// exchangeDuplex reads the answer while the body is still being written: a
// target may answer before it has read a long body. What is then left of the
// body belongs to nobody, so the connection is not used again.
func (c *conn) exchangeDuplex(r *Request, sent chan error) (*http.Response, *Error) {
	var group errgroup.Group
	group.Go(func() error {
		err := c.send(r)
		if err != nil {
			// The reader would wait for an answer to half a request.
			_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
		}
		sent <- err
		return nil
	})
	res, err := c.receive(r)
	if err == nil {
		select {
		case werr := <-sent:
			c.noReuse = c.noReuse || werr != nil
		default:
			c.noReuse = true
		}
		return res, nil
	}
	_ = c.SetDeadline(time.Unix(1, 0))
	werr := <-sent
	if werr != nil && !c.wrote {
		return nil, &Error{Stage: Writing, Reused: c.reused, Cause: werr}
	}
	return nil, &Error{Stage: Waiting, Wrote: true, Reused: c.reused, Cause: err}
}

// earlyResponseTimeout is how long an answer that was sent before the connection broke
// may take to be read: it lies in the socket's buffer already.
const earlyResponseTimeout = 100 * time.Millisecond

// parseKeepAlive reads the seconds in a Keep-Alive header.
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

// receive reads the answer's head, past any interim answers.
func (c *conn) receive(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for {
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("target switched protocols")
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(res.Header) {
			return res, nil
		}
		c.noReuse = true
		if res.Close {
			return nil, fmt.Errorf("target answered another request and closed")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
	}
}

func (p *Pool) get(ctx context.Context, proved bool) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			return p.open(ctx)
		}
		if !p.usable(c, now) {
			_ = c.Close()
			continue
		}
		if proved && now.Sub(c.lastResponse) > freshFor {
			// Still good for requests that may be repeated.
			p.put(c)
			return p.open(ctx)
		}
		return c, nil
	}
}

// pop takes the connection used last, which is the best proved one.
func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) usable(c *conn, now time.Time) bool {
	p.mu.Lock()
	suspect := c.lastResponse.Before(p.invalidBefore)
	p.mu.Unlock()
	limit := maxIdleTime
	if c.keepAliveTimeout > 0 {
		// Half of it: the target's timer started earlier than ours, and a
		// request that crosses its close may have run.
		limit = min(limit, c.keepAliveTimeout/2)
	}
	fresh := now.Before(c.expires) && now.Sub(c.lastResponse) < limit
	return !suspect && fresh && c.reader.Buffered() == 0 && openAndIdle(c.Conn)
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
	life := maxAge - rand.N(maxAge/4)
	c := &conn{Conn: raw, lastResponse: now, expires: now.Add(life)}
	c.reader = bufio.NewReaderSize(raw, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c, nil
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

// Invalidate is called after a request got no answer in time. Something between
// the two ends may have lost track of all open connections at once, while new
// ones work; every connection without an answer since is dropped.
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

// Close closes the idle connections and keeps no others.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Invalidate(time.Now())
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
