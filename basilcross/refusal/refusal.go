// Package refusal says, for callers and for programs, why a request was not
// answered and whether it ran.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a refused request ran at a target.
type Outcome string

// The outcomes. DidNotRun is a promise: no part of the request took effect.
// Unknown is honest doubt: it may have run, or may still run.
const (
	DidNotRun Outcome = "didNotRun"
	Unknown   Outcome = "unknown"
)

// Response headers of a refusal, for programs.
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
	NoTarget: "noTarget", QueueFull: "queueFull", DeadlinePassed: "deadlinePassed",
	TargetShed: "targetShed", ConnectFailed: "connectFailed", TargetSilent: "targetSilent",
	AnswerCut: "answerCut", CallerGone: "callerGone",
	DuplicateRunning: "duplicateRunning",
}

// String returns the cause's name in camelCase.
func (c Cause) String() string {
	if name, ok := causeNames[c]; ok {
		return name
	}
	return "cause" + strconv.Itoa(int(c))
}

// Error is a refusal on its way to the caller.
type Error struct {
	Cause   Cause
	Outcome Outcome
	// RetryAfter is when a retry is worth while; zero gives no advice.
	RetryAfter time.Duration
	// Detail is for people; programs read Cause and Outcome.
	Detail string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Cause, e.Outcome, e.Detail)
}

// New returns a refusal that ran nothing.
func New(cause Cause, detail string) *Error {
	return &Error{Cause: cause, Outcome: DidNotRun, Detail: detail}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(cause Cause, detail string) *Error {
	return &Error{Cause: cause, Outcome: Unknown, Detail: detail}
}

// Status returns the HTTP status code that fits the cause.
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

// Body is the JSON answer of a refusal.
type Body struct {
	Cause        int     `json:"cause"`
	Name         string  `json:"name"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	Detail       string  `json:"detail"`
}

// Write answers a request with the refusal.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(e.Outcome))
	h.Set(CauseHeader, strconv.Itoa(int(e.Cause)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status())
	// The status line is out already; a failed body write has nobody to tell.
	_ = json.NewEncoder(w).Encode(Body{
		Cause:        int(e.Cause),
		Name:         e.Cause.String(),
		Outcome:      e.Outcome,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Detail:       e.Detail,
	})
}

// ceilSeconds rounds up, since Retry-After has no fractions and 0 would
// invite an immediate retry.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
