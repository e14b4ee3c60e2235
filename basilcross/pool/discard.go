package pool

import (
	"fmt"
	"io"
	"net/http"
)

// LengthError reports a response whose body is longer than what is read of it.
type LengthError struct{ Limit int64 }

func (e *LengthError) Error() string {
	return fmt.Sprintf("response body is longer than %d bytes", e.Limit)
}

// Discard reads and closes the body of a response that is used for its head only. An error means that the response is not
// whole, or that its end was not reached within the limit, which is in bytes: then its head proves nothing.
func Discard(res *http.Response, limit int64) error {
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return &LengthError{Limit: limit}
	}
	return nil
}
