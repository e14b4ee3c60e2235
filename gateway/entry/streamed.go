package entry

import "net/http"

// streamedResponse is the response to a request whose body is streamed to the target. If it begins before the end of the body,
// the caller's connection is not reused: another request on it would meet the reader of this one's body.
type streamedResponse struct {
	http.ResponseWriter
	call *call
}

// WriteHeader sends the header.
func (s *streamedResponse) WriteHeader(status int) {
	if !s.call.bodyEnded.Load() {
		s.Header().Set("Connection", "close")
	}
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the inner writer, for http.ResponseController.
func (s *streamedResponse) Unwrap() http.ResponseWriter { return s.ResponseWriter }
