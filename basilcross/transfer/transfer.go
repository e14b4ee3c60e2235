// Package transfer observes how the responses of HTTP calls arrive.
package transfer

import (
	"errors"
	"io"
	"net/http"
	"time"

	"basilcross.example/basilcross/head"
)

// Transport reports how the responses to calls arrived, and rejects those with a malformed head. Base must be set.
type Transport struct {
	Base http.RoundTripper
	// OnEnd, if set, is called once for each response when its body ends.
	OnEnd func(e End)
}

// End describes how a response arrived.
type End struct {
	// Address is the server's host:port, and Path that of the call.
	Address, Path string
	// Bytes is the number of bytes of the body that were received.
	Bytes int64
	// Duration is the time from the call to the body's end.
	Duration time.Duration
	// Err says why the body was not received to its end; nil if it was.
	Err error
}

// RoundTrip sends a request. It implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	start := time.Now()
	res, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := head.Check(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	res.Body = &body{ReadCloser: res.Body, onEnd: t.OnEnd, start: start, end: End{Address: r.URL.Host, Path: r.URL.Path}}
	return res, nil
}

// ErrNotRead is the error of a response whose reader closed it before its end.
var ErrNotRead = errors.New("transfer: body closed before its end")

type body struct {
	io.ReadCloser
	onEnd func(End)
	start time.Time
	end   End
	ended bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.end.Bytes += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.report(nil)
	case err != nil:
		b.report(err)
	}
	return n, err
}

func (b *body) Close() error {
	b.report(ErrNotRead)
	return b.ReadCloser.Close()
}

func (b *body) report(err error) {
	if b.ended {
		return
	}
	b.ended = true
	if b.onEnd != nil {
		b.end.Duration, b.end.Err = time.Since(b.start), err
		b.onEnd(b.end)
	}
}
