package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/bodybudget"
	"basilcross.example/basilcross/event"
)

const (
	// causeBodyBudget is the cause of refusals of bodies that do not fit into the limit on held bytes,
	// causeBodyStalled of those that lost their share, since they arrived too slowly.
	causeBodyBudget  = "bodyBudget"
	causeBodyStalled = "bodyStalled"
	// firstBuffer is the size of a body's first buffer. If the body's length is stated, the next ones are the
	// length divided by powers of sizedGrowth: up to a quarter of the length is copied, and a caller that
	// sends nothing takes little. Otherwise they double up to doubledBuffer, and then grow by half, since the
	// whole buffer is reserved; while it is copied, the one before is held besides.
	firstBuffer   = 8 << 10
	sizedGrowth   = 8
	doubledBuffer = 64 << 10
	// drainBytes and drainTime bound what is read and discarded from a caller that is refused while it
	// sends. A connection that is closed with unread bytes is reset, and the caller may lose the response.
	drainBytes = 16 << 20
	drainTime  = 2 * time.Second
	// retryWaitDivisor limits a refused caller's wait before it sends the request again to a third of its time
	// left, as callers do.
	retryWaitDivisor = 3
)

// readBudgetedBody reads the body as readBody does, within the limit on held bytes.
func (f *Front) readBudgetedBody(c *call, w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	err := f.reserveAndRead(c, w, http.MaxBytesReader(nil, r.Body, limit), r.ContentLength, limit)
	if err == nil {
		return nil
	}
	var full *bodybudget.FullError
	var stalled *stalledError
	switch {
	case errors.As(err, &full):
		refused := newNotRun(causeBodyBudget, full.RetryAfter)
		refused.final, refused.closeConnection, refused.bodyUnread = true, true, true
		return refused
	case errors.As(err, &stalled):
		return &refusal{status: http.StatusRequestTimeout, cause: causeBodyStalled, final: true, closeConnection: true, bodyUnread: true}
	}
	refused := newBodyNotRead(err)
	refused.bodyUnread = errors.Is(err, os.ErrDeadlineExceeded)
	return refused
}

// readCarriedBody reads the body of a forwarded request within the limit on held bytes. declined is the
// cause if this instance can't serve the request.
func (f *Front) readCarriedBody(c *call, w http.ResponseWriter, r *http.Request) (declined string) {
	err := f.reserveAndRead(c, w, http.MaxBytesReader(nil, r.Body, maxForwardedBody), r.ContentLength, maxForwardedBody)
	var full *bodybudget.FullError
	switch {
	case errors.As(err, &full):
		return causeCarrierFull
	case err != nil:
		return causeCarrierNotReady
	}
	return ""
}

// stalledError reports a body that lost its share.
type stalledError struct{ received int64 }

func (e *stalledError) Error() string { return "front: the body arrives too slowly" }

// reserveAndRead reserves the body's bytes and reads it. If it fails, the call holds neither.
func (f *Front) reserveAndRead(c *call, w http.ResponseWriter, body io.Reader, length, limit int64) error {
	if length == 0 {
		return nil
	}
	reserved := min(length, limit)
	if length < 0 {
		reserved = min(firstBuffer, limit+1)
	}
	share, err := f.Bodies.Reserve(time.Now(), reserved, c.maxRetryWait())
	if err == nil {
		c.share = share
		reading := &bodyReading{share: share, control: http.NewResponseController(w)}
		reading.begin()
		c.body, err = readGrowing(reading.count(body), c, length, limit)
		err = reading.end(err)
	}
	if err != nil {
		c.releaseBody()
		f.recordBodyRefusal(c, length, err)
	}
	return err
}

// maxRetryWait returns how long the caller waits at most before it sends the call again if it is refused now.
func (c *call) maxRetryWait() time.Duration { return max(0, time.Until(c.deadline)) / retryWaitDivisor }

// readGrowing reads a body into a buffer that grows with what arrives. A body of unknown length, which is
// negative, reserves the buffer before it grows.
func readGrowing(r io.Reader, c *call, length, limit int64) ([]byte, error) {
	largest := length
	if length < 0 {
		// One more byte than the limit finds out whether the body exceeds it.
		largest = limit + 1
	}
	buffer := make([]byte, 0, min(largest, firstBuffer))
	for int64(len(buffer)) != length {
		if len(buffer) == cap(buffer) {
			size := min(nextSize(int64(cap(buffer)), length), largest)
			if length < 0 {
				if err := c.share.Grow(time.Now(), size, c.maxRetryWait()); err != nil {
					return nil, err
				}
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(buffer)) == length) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// nextSize returns the size of the buffer that follows a full one.
func nextSize(size, length int64) int64 {
	switch {
	case length >= 0:
		next := length
		for next/sizedGrowth > size {
			next /= sizedGrowth
		}
		return next
	case size < doubledBuffer:
		return 2 * size
	}
	return size + size/2
}

// bodyReading interrupts the reading of a body that loses its share.
type bodyReading struct {
	share    *bodybudget.Share
	control  *http.ResponseController
	received atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	ended   bool
	stalled bool
}

func (b *bodyReading) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(bodybudget.StallTime, b.check)
}

func (b *bodyReading) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	if b.stalled = b.share.Stalled(time.Now(), b.received.Load()); b.stalled {
		// A deadline in the past unblocks the read.
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
		return
	}
	b.timer.Reset(bodybudget.StallTime)
}

// end returns the result of the reading, whose error is err.
func (b *bodyReading) end(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
	_ = b.control.SetReadDeadline(time.Time{})
	// The deadline of check may end net/http's own read of a body that has just arrived, which cancels the
	// request's context.
	if b.stalled {
		return &stalledError{received: b.received.Load()}
	}
	return err
}

func (b *bodyReading) count(r io.Reader) io.Reader { return countingReader{r, &b.received} }

type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

// recordBodyRefusal counts and logs that a body was refused, or lost its share.
func (f *Front) recordBodyRefusal(c *call, length int64, err error) {
	var full *bodybudget.FullError
	var stalled *stalledError
	reason := bodybudget.Stalled
	attrs := []any{"request", c.id, "route", c.route.Name, "service", c.service, "from", c.from, "stated", length, "limit", f.Bodies.Bytes}
	switch {
	case errors.As(err, &full):
		reason = full.Reason
		attrs = append(attrs, "wanted", full.Size, "held", full.Held, "retryAfterMs", full.RetryAfter.Milliseconds())
	case errors.As(err, &stalled):
		attrs = append(attrs, "received", stalled.received, "held", f.Bodies.Held())
	default:
		return
	}
	f.Metrics.bodies.WithLabelValues(string(reason)).Inc()
	event.BodyRefused.Log(f.Log, append(attrs, "reason", string(reason))...)
}

// refuseUnread writes a refusal to a caller that may still be sending its body, and reads a bounded part
// of the rest, so that the caller gets the response before its connection is closed.
func (f *Front) refuseUnread(w http.ResponseWriter, r *http.Request, write func()) {
	control := http.NewResponseController(w)
	// Without it, the server would read the body before it sends the response.
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	write()
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
}

// releaseBody drops the call's body and gives its share back.
func (c *call) releaseBody() {
	if c.share != nil {
		c.body = nil
		c.share.Release(time.Now())
	}
}

// shrinkBody drops the call's body before a response is sent that is buffered completely, and keeps of its
// share what the response takes: the caller may read slowly. A response that is streamed may have begun
// before the target received the whole body, which is still held then.
func (c *call) shrinkBody(response *targetResponse) {
	if c.share != nil && response.rest == nil {
		c.body = nil
		c.share.Shrink(time.Now(), int64(len(response.body)))
	}
}
