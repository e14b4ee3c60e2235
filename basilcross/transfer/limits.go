package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Limits bound a response by its progress: one that keeps arriving is received however long it takes.
// A fixed time for a whole response would end each one that is larger than its link carries in that time,
// and each new attempt would begin with its first byte again.
type Limits struct {
	// Head bounds the time until the response begins; 0 leaves that to the request's context.
	Head time.Duration
	// Stall is the time in which MinBytes must arrive of the body, unless it ends; 0 means 1.5 s, in
	// which a lost packet or two are sent again, and 1 KiB.
	Stall    time.Duration
	MinBytes int64
	// MaxBytes bounds the body; 0 is no limit.
	MaxBytes int64
	// OnBegin, if set, is called when the response begins.
	OnBegin func()
}

// The Stall and the MinBytes that replace zero.
const (
	defaultStall    = 1500 * time.Millisecond
	defaultMinBytes = 1 << 10
)

func (l Limits) withDefaults() Limits {
	if l.Stall == 0 {
		l.Stall = defaultStall
	}
	if l.MinBytes == 0 {
		l.MinBytes = defaultMinBytes
	}
	return l
}

// LimitError reports which limit a response exceeded.
type LimitError struct {
	// Limit is "head", "stall" or "size".
	Limit string
	// Received is how many bytes of the body had arrived.
	Received int64
	Limits   Limits
}

func (e *LimitError) Error() string {
	switch e.Limit {
	case "head":
		return fmt.Sprintf("transfer: no response within %v", e.Limits.Head)
	case "stall":
		return fmt.Sprintf("transfer: fewer than %d bytes within %v after %d bytes", e.Limits.MinBytes, e.Limits.Stall, e.Received)
	}
	return fmt.Sprintf("transfer: body exceeds %d bytes", e.Limits.MaxBytes)
}

// Doer sends requests; *http.Client does.
type Doer interface {
	Do(r *http.Request) (*http.Response, error)
}

// Client sends requests within Limits. HTTP must be set.
type Client struct {
	HTTP   Doer
	Limits Limits
}

// Do sends a request. The errors, also those of the body, are *LimitError if a limit was exceeded.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	b := &boundedBody{limits: c.Limits.withDefaults(), cancel: cancel, ctx: ctx}
	if c.Limits.Head > 0 {
		b.timer = time.AfterFunc(c.Limits.Head, func() { b.exceed("head") })
	}
	res, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		b.stop()
		err = b.explain(err)
		cancel(nil)
		return nil, err
	}
	if c.Limits.OnBegin != nil {
		c.Limits.OnBegin()
	}
	b.begin(res.Body)
	res.Body = b
	return res, nil
}

// boundedBody is a response's body within limits.
type boundedBody struct {
	io.ReadCloser
	limits Limits
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	received int64
	// checked is how many bytes had arrived at the last check for a stall.
	checked int64
	stopped bool
}

// begin replaces the limit of the head by that of the body.
func (b *boundedBody) begin(body io.ReadCloser) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ReadCloser = body
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	b.timer = time.AfterFunc(b.limits.Stall, b.check)
}

func (b *boundedBody) check() {
	b.mu.Lock()
	stalled := !b.stopped && b.received-b.checked < b.limits.MinBytes
	b.checked = b.received
	if !b.stopped && !stalled {
		b.timer.Reset(b.limits.Stall)
	}
	b.mu.Unlock()
	if stalled {
		b.exceed("stall")
	}
}

func (b *boundedBody) exceed(limit string) {
	b.mu.Lock()
	received := b.received
	b.mu.Unlock()
	b.cancel(&LimitError{Limit: limit, Received: received, Limits: b.limits})
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	b.received += int64(n)
	received := b.received
	b.mu.Unlock()
	if b.limits.MaxBytes > 0 && received > b.limits.MaxBytes {
		b.exceed("size")
		b.stop()
		return 0, context.Cause(b.ctx)
	}
	if err != nil {
		b.stop()
	}
	return n, b.explain(err)
}

// Close ends the transfer.
func (b *boundedBody) Close() error {
	b.stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func (b *boundedBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.timer != nil {
		b.timer.Stop()
	}
}

// explain returns the limit that was exceeded in place of the error that this caused.
func (b *boundedBody) explain(err error) error {
	var limit *LimitError
	if err != nil && !errors.Is(err, io.EOF) && errors.As(context.Cause(b.ctx), &limit) {
		return limit
	}
	return err
}
