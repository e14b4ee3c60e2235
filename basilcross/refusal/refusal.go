// Package refusal defines the responses to requests that were not answered: why, and
// whether the request ran.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a refused request ran at a target.
type Outcome string

// The outcomes. DidNotRun guarantees that no part of the request took effect. Unknown
// means that it may have run, or may still run.
const (
	DidNotRun Outcome = "didNotRun"
	Unknown   Outcome = "unknown"
)

// Response headers of a refusal, to be read by programs.
const (
	OutcomeHeader = "Basilcross-Outcome"
	CauseHeader   = "Basilcross-Cause"
)

// Cause is the numbered reason of a refusal. Numbers are never reused.
type Cause int

// The causes. Each number's meaning is in docs/REFUSALS.md.
const (
	BadRequest       Cause = 100
	UnknownService   Cause = 101
	UnknownKind      Cause = 102
	BodyTooLarge     Cause = 103
	NoConfig         Cause = 200
	NoOwner          Cause = 201
	OwnerMoving      Cause = 202
	NotOwner         Cause = 203
	NoAuthority      Cause = 204
	NoTarget         Cause = 205
	Stopping         Cause = 206
	QueueFull        Cause = 300
	DeadlinePassed   Cause = 301
	TargetShed       Cause = 302
	ConnectFailed    Cause = 400
	TargetSilent     Cause = 401
	AnswerCut        Cause = 402
	CallerGone       Cause = 403
	DuplicateRunning Cause = 405
)

var causeNames = map[Cause]string{
	BadRequest: "badRequest", UnknownService: "unknownService", UnknownKind: "unknownKind",
	BodyTooLarge: "bodyTooLarge", NoConfig: "noConfig", NoOwner: "noOwner",
	OwnerMoving: "ownerMoving", NotOwner: "notOwner", NoAuthority: "noAuthority",
	NoTarget: "noTarget", Stopping: "stopping", QueueFull: "queueFull", DeadlinePassed: "deadlinePassed",
	TargetShed: "targetShed", ConnectFailed: "connectFailed", TargetSilent: "targetSilent",
	AnswerCut: "answerCut", CallerGone: "callerGone",
	DuplicateRunning: "duplicateRunning",
}

// String returns the cause's name in camelCase, as sent to callers.
func (c Cause) String() string {
	if name, ok := causeNames[c]; ok {
		return name
	}
	return "cause" + strconv.Itoa(int(c))
}

// Error is a refusal that is sent to the caller.
type Error struct {
	Cause   Cause
	Outcome Outcome
	// RetryAfter is how long to wait before a retry; zero sends no advice.
	RetryAfter time.Duration
	// Detail is a human-readable text; programs read Cause and Outcome.
	Detail string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Cause, e.Outcome, e.Detail)
}

// New returns a refusal of a request that did not run.
func New(cause Cause, detail string) *Error {
	return &Error{Cause: cause, Outcome: DidNotRun, Detail: detail}
}

// NewUnknown returns a refusal of a request with an unknown outcome.
func NewUnknown(cause Cause, detail string) *Error {
	return &Error{Cause: cause, Outcome: Unknown, Detail: detail}
}

// Status returns the HTTP status code of the cause.
func (e *Error) Status() int {
	switch e.Cause {
	case BadRequest:
		return http.StatusBadRequest
	case UnknownService, UnknownKind:
		return http.StatusNotFound
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case QueueFull, TargetShed:
		return http.StatusTooManyRequests
	case DeadlinePassed, TargetSilent:
		return http.StatusGatewayTimeout
	case AnswerCut:
		return http.StatusBadGateway
	case DuplicateRunning:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// Body is the JSON body of a refusal.
type Body struct {
	Cause        int     `json:"cause"`
	Name         string  `json:"name"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	Detail       string  `json:"detail"`
}

// Write sends the refusal as the response to a request.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(e.Outcome))
	h.Set(CauseHeader, strconv.Itoa(int(e.Cause)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status())
	// The status line is sent already, so a failed write of the body can't be reported.
	_ = json.NewEncoder(w).Encode(Body{
		Cause:        int(e.Cause),
		Name:         e.Cause.String(),
		Outcome:      e.Outcome,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Detail:       e.Detail,
	})
}

// ceilSeconds rounds up to whole seconds, since Retry-After has no fractions and 0
// would cause an immediate retry.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
