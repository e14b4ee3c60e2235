package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxBufferedBody is the longest body that surely fits into the socket's
	// buffers: writing it can't block on a target that responds early and stops reading.
	maxBufferedBody = 16 << 10
	// earlyResponseTimeout bounds the reading of a response that was sent before
	// the connection failed: it is in the socket's receive buffer already.
	earlyResponseTimeout = 100 * time.Millisecond
	// lateRequestTimeout is how long a target that has ended its side of the connection
	// may take to receive the rest of the request.
	lateRequestTimeout = time.Second
)

// sending is a request that is written while its response is read.
type sending struct {
	// ended is closed when nothing more is written; err says then why the request was
	// not written completely, nil if it was.
	ended chan struct{}
	err   error
}

// wait returns why the request was not written completely, nil if it was.
func (s *sending) wait(timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.ended:
		return s.err
	case <-timer.C:
		return fmt.Errorf("request is still being written %v after the end of the response", timeout)
	}
}

// exchangeDuplex reads the response while the body is still being written: a
// target may respond before it has read a long body. The body may then
// be sent incompletely, so the connection is not reused.
func (c *conn) exchangeDuplex(r *Request) (*http.Response, *Error) {
	s := &sending{ended: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error {
		defer close(s.ended)
		s.err = c.send(r)
		if s.err != nil {
			// Without it, receive would wait for a response to a partial request.
			_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
		}
		return nil
	})
	res, err := c.receive(r)
	if err == nil {
		select {
		case <-s.ended:
			c.noReuse = c.noReuse || s.err != nil
		default:
			c.noReuse = true
		}
		if endsWithConnection(res) {
			res.Body = &lastBody{ReadCloser: res.Body, request: s}
		}
		return res, nil
	}
	_ = c.SetDeadline(time.Unix(1, 0))
	<-s.ended
	if s.err != nil && !c.wrote {
		return nil, &Error{Stage: Writing, Reused: c.reused, Cause: s.err}
	}
	return nil, &Error{Stage: Waiting, Wrote: true, Reused: c.reused, Cause: err}
}

// endsWithConnection reports whether only the end of the connection marks the end of the body.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// EndError reports a response of which it is not known whether it is whole: its body ends with the
// connection, on which the request was not written completely.
type EndError struct{ Cause error }

func (e *EndError) Error() string {
	return fmt.Sprintf("end of connection does not prove the end of the response: %v", e.Cause)
}

// Unwrap returns why the request was not written completely.
func (e *EndError) Unwrap() error { return e.Cause }

// lastBody is a body that ends with the connection. A reset is reported to the next operation on the socket
// only: if that is a write, reads get the same end of file as after an orderly close. So the end of file counts
// only if no write has failed, and none is left that may.
type lastBody struct {
	io.ReadCloser
	request *sending
}

func (b *lastBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.request.wait(lateRequestTimeout); cause != nil {
			err = &EndError{Cause: cause}
		}
	}
	return n, err
}
