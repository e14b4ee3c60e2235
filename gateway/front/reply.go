package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/hopheader"
	"basilcross.example/gateway/linger"
)

// The retry delays that callers get in the Retry-After header.
const (
	retryAfterNoConfig = 500 * time.Millisecond
	retryAfterNoTarget = 400 * time.Millisecond
	retryAfterFailure  = 200 * time.Millisecond
	// retryAfterDenied is sent while no zone may serve the request: an operator takes a
	// zone back, or the keys reach another zone, within seconds.
	retryAfterDenied = time.Second
	// retryAfterNoCoordinator is sent while there is no coordinator: the next one needs a second or two to
	// take over and to grant them.
	retryAfterNoCoordinator = time.Second
)

// refusal describes why a request, or one attempt, has no response to forward.
type refusal struct {
	status int
	cause  string
	// mayHaveRun is set unless it is certain that no target ran the request or will.
	mayHaveRun bool
	// awaitOwner makes the next attempt wait for the key's next owner.
	awaitOwner bool
	// ownerTrialIn is the time after which the key's owner, which did not hold the key, may be tried again;
	// 0 if that was not asked.
	ownerTrialIn time.Duration
	// linkDown is set if the request has to be forwarded, since the link to its key's owner is down.
	linkDown bool
	// restsFor is set if the request has to be sent through another instance, since the targets want none
	// from this one for that time.
	restsFor time.Duration
	// final forbids a retry.
	final           bool
	closeConnection bool
	// bodyUnread is set if the caller may still be sending the body, or waits for permission to.
	bodyUnread bool
	retryAfter time.Duration
	// targetStatus and queueLength (of the scheduler that refused) are only logged.
	targetStatus int
	queueLength  int
	// reason is set if admission refused the request, load is then that of the pool, and bound how long the
	// request might have waited. They are only logged and counted.
	reason string
	load   float64
	bound  time.Duration
}

// newNotRun returns a refusal for a request that certainly did not run.
func newNotRun(cause string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: cause, retryAfter: retryAfter}
}

// newRetryDenied returns the result of an attempt that the retry budget does not permit. If there was
// an attempt before, the caller gets the result of that.
func newRetryDenied(c *call) *refusal {
	r := newNotRun("retryDenied", retryAfterFailure)
	r.mayHaveRun, r.final = c.mayHaveRun, true
	return r
}

// responseStatus returns the status for the caller. A status that would state that the
// request did not run is replaced by 502 if it may have run.
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

func (f *Front) writeRefusal(w http.ResponseWriter, c *call, r *refusal) {
	status := r.responseStatus()
	h := w.Header()
	if f.keepAliveDisabled.Load() || r.closeConnection {
		h.Set("Connection", "close")
	}
	if c.id != "" {
		h.Set(f.Headers.RequestID, c.id)
	}
	if c.from != "" {
		result := forwardedResult{Target: c.lastTarget, Cause: r.cause, MayHaveRun: r.mayHaveRun, Account: c.account, RetryAfter: r.retryAfter}
		if r.cause == causeLinksDown || r.cause == causeTargetUnreached || r.cause == causeTargetRests {
			result.Suggested = f.suggestions(c)
		}
		h.Set(forwardHeader, result.encode())
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(max(0.05, r.retryAfter.Seconds()), 'f', 2, 64))
	}
	body := `{"cause":"` + r.cause + `"}`
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = io.WriteString(w, body)
	f.Metrics.recordRefusal(c, r, status)
	if f.TimeLimits != nil && c.route != nil && c.from == "" && status == http.StatusServiceUnavailable {
		f.TimeLimits.Refused(time.Now(), c.route.Name)
	}
	f.logRefused(c, r, strconv.Itoa(status))
}

func (f *Front) logRefused(c *call, r *refusal, outcome string) {
	route, leftMs := "", int64(0)
	if c.route != nil {
		route = c.route.Name
		leftMs = time.Until(c.deadline).Milliseconds()
	}
	fingerprint := ""
	if c.identity != nil {
		fingerprint = c.identity.String()
	}
	fields := []any{
		"request", c.id, "route", route, "service", c.service, "key", c.key, "outcome", outcome,
		"cause", r.cause, "fingerprint", fingerprint, "mayHaveRun", r.mayHaveRun, "sends", c.sends, "target", c.lastTarget, "queued", r.queueLength,
		"from", c.from, "carrier", c.carrier, "asked", c.carriersAsked, "waitedMs", c.queueTime.Milliseconds(), "ageMs", time.Since(c.arrived).Milliseconds(), "leftMs", leftMs,
		"retryAfterMs", r.retryAfter.Milliseconds(), "retryDenied", c.retryDenied,
	}
	if r.reason != "" {
		fields = append(fields, "reason", r.reason, "load", r.load, "boundMs", r.bound.Milliseconds())
	}
	event.RequestRefused.Log(f.Log, c.withOptional(fields...)...)
}

func (f *Front) writeResponse(w http.ResponseWriter, c *call, response *targetResponse) {
	h := w.Header()
	for name, values := range response.head.Header {
		h[name] = values
	}
	hopheader.Remove(h)
	if c.from != "" {
		result := forwardedResult{Answered: true, Target: c.lastTarget, Account: c.account}
		h.Set(forwardHeader, result.encode())
		if c.id != "" {
			h.Set(f.Headers.RequestID, c.id)
		}
	}
	if f.keepAliveDisabled.Load() {
		h.Set("Connection", "close")
	}
	if len(h["Content-Type"]) == 0 {
		// A nil value keeps net/http from adding a detected Content-Type.
		h["Content-Type"] = nil
	}
	if response.rest == nil {
		if c.method != http.MethodHead && response.head.StatusCode != http.StatusNoContent && response.head.StatusCode != http.StatusNotModified {
			h.Set("Content-Length", strconv.Itoa(len(response.body)))
		}
		w.WriteHeader(response.head.StatusCode)
		_, _ = w.Write(response.body)
	} else {
		f.stream(w, c, response)
	}
	f.Metrics.recordResponse(c, response.head.StatusCode)
	event.RequestAnswered.Log(f.Log, c.withOptional("request", c.id, "route", c.route.Name, "service", c.service, "key", c.key, "target", c.lastTarget,
		"from", c.from, "carrier", c.carrier, "status", response.head.StatusCode, "sends", c.sends, "waitedMs", c.queueTime.Milliseconds(), "tookMs", time.Since(c.arrived).Milliseconds())...)
}

// withOptional returns the fields of a log line. It adds the age of the caller's first attempt if the call is taken
// as a caller retry, and for how long the target had been leaving that the call was sent to.
func (c *call) withOptional(fields ...any) []any {
	if c.sinceFirst > 0 {
		fields = append(fields, "firstAttemptAgeMs", c.sinceFirst.Milliseconds())
	}
	if c.leavingFor > 0 {
		fields = append(fields, "leavingMs", c.leavingFor.Milliseconds())
	}
	return fields
}

// stream forwards a response that is not buffered completely. If it is truncated, the caller's
// connection is reset.
func (f *Front) stream(w http.ResponseWriter, c *call, response *targetResponse) {
	if n := response.head.ContentLength; n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(response.head.StatusCode)
	_, err := w.Write(response.body)
	if err == nil {
		_, err = io.Copy(w, response.rest)
	}
	response.finish(err == nil)
	if err == nil {
		return
	}
	event.AnswerCut.Log(f.Log, "request", c.id, "target", c.lastTarget, "error", err)
	linger.Abort(w)
}
