package pool

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// JoinedError reports a response whose head has the beginning of another one within a line: the target stopped
// in the middle of one head and began the next. Its status and headers belong to different responses.
type JoinedError struct{ Text string }

func (e *JoinedError) Error() string {
	return fmt.Sprintf("response has the beginning of another one in its head: %q", e.Text)
}

var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// CheckHead returns a *JoinedError if the head of a response has the beginning of another one in it.
func CheckHead(res *http.Response) error {
	if isJoined(res.Status) {
		return &JoinedError{Text: res.Status}
	}
	for _, values := range res.Header {
		for _, v := range values {
			if isJoined(v) {
				return &JoinedError{Text: v}
			}
		}
	}
	return nil
}

func isJoined(text string) bool {
	// Most values are ruled out without the expression.
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}
