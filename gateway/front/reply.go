package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/hop"
)

// The times after which callers are told to come back.
const (
	retryAfterNoConfig = 500 * time.Millisecond
	retryAfterNoTarget = 400 * time.Millisecond
	retryAfterFailure  = 200 * time.Millisecond
)

// refusal is why a request, or an attempt, was not answered.
type refusal struct {
	status int
	cause  string
	// mayHaveRun is set unless it is certain that no target ran it or will.
	mayHaveRun bool
	// reachedTarget is set if a target got it.
	reachedTarget bool
	// awaitOwner waits for the key's owner before the next attempt.
	awaitOwner      bool
	final           bool
	closeConnection bool
	retryAfter      time.Duration
	// targetStatus and queued are what the decision was made from.
	targetStatus int
	queueLength  int
}

// newNotRun is a refusal that promises that the request did not run.
func newNotRun(cause string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: cause, retryAfter: retryAfter}
}

// responseStatus returns the status to answer with: none that promises too much.
func (r *refusal) responseStatus() int {
	if !r.mayHaveRun {
		return r.status
	}
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		return http.StatusBadGateway
	}
	return r.status
}

// writeRefusal answers with a status of our own.
func (f *Front) writeRefusal(w http.ResponseWriter, c *call, r *refusal) {
	status := r.responseStatus()
	h := w.Header()
	if f.keepAliveDisabled.Load() || r.closeConnection {
		h.Set("Connection", "close")
	}
	if c.id != "" {
		h.Set(f.Headers.RequestID, c.id)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(max(0.05, r.retryAfter.Seconds()), 'f', 2, 64))
	}
	body := `{"cause":"` + r.cause + `"}`
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has gone; nobody to tell.
	_, _ = io.WriteString(w, body)
	f.Metrics.refused(c, r, status)
	f.logRefused(c, r, strconv.Itoa(status))
}

func (f *Front) logRefused(c *call, r *refusal, outcome string) {
	route, left := "", int64(0)
	if c.route != nil {
		route = c.route.Name
		left = time.Until(c.deadline).Milliseconds()
	}
	event.RequestRefused.Log(f.Log, "request", c.id, "route", route, "service", c.service, "key", c.key, "outcome", outcome,
		"cause", r.cause, "mayHaveRun", r.mayHaveRun, "sends", c.sends, "target", c.lastTarget, "queued", r.queueLength,
		"waitedMs", c.queueTime.Milliseconds(), "ageMs", time.Since(c.arrived).Milliseconds(), "leftMs", left,
		"retryAfterMs", r.retryAfter.Milliseconds())
}

// writeResponse gives the target's answer to the caller.
func (f *Front) writeResponse(w http.ResponseWriter, c *call, a *targetResponse) {
	h := w.Header()
	for name, values := range a.head.Header {
		h[name] = values
	}
	hop.Remove(h)
	if f.keepAliveDisabled.Load() {
		h.Set("Connection", "close")
	}
	if len(h["Content-Type"]) == 0 {
		// Without this the library would guess one.
		h["Content-Type"] = nil
	}
	if a.rest == nil {
		if c.method != http.MethodHead && a.head.StatusCode != http.StatusNoContent && a.head.StatusCode != http.StatusNotModified {
			h.Set("Content-Length", strconv.Itoa(len(a.body)))
		}
		w.WriteHeader(a.head.StatusCode)
		_, _ = w.Write(a.body)
	} else {
		f.stream(w, c, a)
	}
	f.Metrics.answered(c, a.head.StatusCode)
	event.RequestAnswered.Log(f.Log, "request", c.id, "route", c.route.Name, "service", c.service, "key", c.key, "target", c.lastTarget,
		"status", a.head.StatusCode, "sends", c.sends, "waitedMs", c.queueTime.Milliseconds(), "tookMs", time.Since(c.arrived).Milliseconds())
}

// stream passes on a long answer. If it is cut short, the caller's connection
// is broken off: ended properly, the part would look whole.
func (f *Front) stream(w http.ResponseWriter, c *call, a *targetResponse) {
	if n := a.head.ContentLength; n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(a.head.StatusCode)
	_, err := w.Write(a.body)
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	a.finish(err == nil)
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	event.AnswerCut.Log(f.Log, "request", c.id, "target", c.lastTarget, "error", err)
	panic(http.ErrAbortHandler)
}
