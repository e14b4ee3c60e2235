package head

import (
	"net/http"
	"regexp"
	"strings"
)

var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// checkJoined returns an *Error if the head has the beginning of another one within a line: the server stopped in the middle of
// one head and began the next. Its status and fields belong to different responses.
func checkJoined(res *http.Response) error {
	if isJoined(res.Status) {
		return &Error{Fault: "the beginning of another response", Text: res.Status}
	}
	for _, values := range res.Header {
		for _, v := range values {
			if isJoined(v) {
				return &Error{Fault: "the beginning of another response", Text: v}
			}
		}
	}
	return nil
}

func isJoined(text string) bool {
	// Most values are ruled out without the expression.
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}
