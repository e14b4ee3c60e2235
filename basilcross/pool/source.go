package pool

import (
	"fmt"
	"io"

	"basilcross.example/basilcross/head"
)

// maxPrelude bounds what is read of a target until the body of a response begins, in bytes: its head, interim
// responses, and responses to other requests. Targets send heads of a few hundred bytes; without a bound one
// that sends header lines without end takes all memory.
const maxPrelude = 128 << 10

// PreludeError reports that a target has sent too much before the body of a response.
type PreludeError struct{ Limit int64 }

func (e *PreludeError) Error() string {
	return fmt.Sprintf("target sent more than %d bytes before the body of its response", e.Limit)
}

// source reads from a connection, within a bound while one is set, and checks the heads of responses before they are
// parsed.
type source struct {
	io.Reader
	bounded     bool
	limit, left int64
	scanner     head.Scanner
}

func (s *source) bound(limit int64) { s.bounded, s.limit, s.left = true, limit, limit }

func (s *source) unbound() { s.bounded = false }

// beginHead must be called before a head is parsed, with the bytes that were read and not parsed yet.
func (s *source) beginHead(buffered []byte) error {
	s.scanner = head.Scanner{}
	return s.scanner.Scan(buffered)
}

func (s *source) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.Reader.Read(p)
	}
	if s.left <= 0 {
		return 0, &PreludeError{Limit: s.limit}
	}
	n, err := s.Reader.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if fault := s.scanner.Scan(p[:n]); fault != nil {
		return 0, fault
	}
	return n, err
}
