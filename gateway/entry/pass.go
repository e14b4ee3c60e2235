package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/hop"
)

// streamBufferSize is the size of the pieces in which long answers are passed on.
const streamBufferSize = 32 << 10

// writeResponse gives the target's answer to the caller.
func (f *Front) writeResponse(w http.ResponseWriter, c *call, out *answered, began time.Time) {
	res := out.response
	h := w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	hop.Remove(h)
	if out.buffered {
		h.Set("Content-Length", strconv.Itoa(len(out.body)))
		w.WriteHeader(res.StatusCode)
		// A failed write means that the caller has gone; nobody to tell.
		_, _ = w.Write(out.body)
		f.Metrics.answered(c, res.StatusCode, began)
		return
	}
	f.streamResponse(w, c, out)
	f.Metrics.answered(c, res.StatusCode, began)
}

// streamResponse passes on a long answer as it comes. If it is cut short, the caller's
// connection is broken off: ended properly, the part would look whole.
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
		panic(http.ErrAbortHandler)
	}
	for name, values := range res.Trailer {
		w.Header()[name] = values
	}
}

// copyFlushing copies the body, and flushes each piece of one whose length is
// unknown, since such an answer may be a slow stream of events.
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
