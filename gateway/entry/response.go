package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/hopheader"
	"basilcross.example/gateway/linger"
)

// streamBufferSize is the size of the chunks in which long responses are forwarded.
const streamBufferSize = 32 << 10

// writeResponse forwards the target's response to the caller.
func (f *Front) writeResponse(w http.ResponseWriter, c *call, out *answered, start time.Time) {
	res := out.response
	h := w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	hopheader.Remove(h)
	if out.buffered {
		h.Set("Content-Length", strconv.Itoa(len(out.body)))
		w.WriteHeader(res.StatusCode)
		// A failed write means that the caller has disconnected.
		_, _ = w.Write(out.body)
		f.Metrics.answered(c, res.StatusCode, start)
		return
	}
	f.streamResponse(w, c, out)
	f.Metrics.answered(c, res.StatusCode, start)
}

// streamResponse forwards a long response as it arrives. If it is truncated, the
// caller's connection is reset, or the part would look complete.
func (f *Front) streamResponse(w http.ResponseWriter, c *call, out *answered) {
	res := out.response
	if res.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	for name := range res.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(res.StatusCode)
	if c.method == http.MethodHead {
		out.done(true)
		return
	}
	err := copyFlushing(w, res)
	out.done(err == nil)
	if err != nil {
		event.AnswerCut.Log(f.Log, "service", c.service, "error", err)
		linger.Abort(w)
	}
	for name, values := range res.Trailer {
		w.Header()[name] = values
	}
}

// copyFlushing copies the body. One of unknown length is flushed after each
// chunk, since it may be a slow stream of events.
func copyFlushing(w http.ResponseWriter, res *http.Response) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if res.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
