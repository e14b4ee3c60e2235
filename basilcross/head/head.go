// Package head finds responses whose heads are malformed, though net/http reads them: a field that it does not recognize
// may have been the one that frames the body, and a status without a meaning may be taken for an answer.
package head

import (
	"fmt"
	"net/http"
)

// Error reports a malformed head.
type Error struct {
	// Fault names what is wrong, such as "field name".
	Fault string
	// Text is the part of the head that has the fault, as far as it is known.
	Text string
	// Line is the number of the line, from 1 for the status line; 0 if it is not known.
	Line int
}

func (e *Error) Error() string {
	return fmt.Sprintf("malformed head of a response: %s in line %d: %q", e.Fault, e.Line, e.Text)
}

// The statuses that have a meaning.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an *Error if a response that net/http has read has a malformed head. What a parser drops, such as a length beside an
// encoding, only a Scanner finds.
func Check(res *http.Response) error {
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return &Error{Fault: "status", Text: res.Status, Line: 1}
	}
	if res.ProtoMajor < 1 || res.ProtoMajor > 2 {
		return &Error{Fault: "version", Text: res.Proto, Line: 1}
	}
	for name := range res.Header {
		if !isToken(name) {
			return &Error{Fault: "field name", Text: name}
		}
	}
	return checkJoined(res)
}

func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes are the bytes of which field names consist.
var tokenBytes = newByteSet("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")

func newByteSet(text string) (set [256]bool) {
	for i := range len(text) {
		set[text[i]] = true
	}
	return set
}
