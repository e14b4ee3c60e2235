// Package operator decides what a call to the admin address may do.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// Authorizer lets calls through by bearer token. A file that is not set asks for
// nothing: the admin address is then only as safe as its network. The files
// are read at each call, so tokens change without a restart.
type Authorizer struct {
	// ReadFile holds the token that may read, ChangeFile the one that may
	// read and change.
	ReadFile   string
	ChangeFile string
}

// DeniedError says why a call was turned away; it never holds a token.
type DeniedError struct {
	Status int
	Reason string
}

func (e *DeniedError) Error() string { return e.Reason }

// Authorize tells whether the request may go on.
func (g *Authorizer) Authorize(r *http.Request) error {
	files := []string{g.ChangeFile}
	if r.Method == http.MethodGet {
		files = append(files, g.ReadFile)
	}
	given, hasToken := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	open := true
	for _, file := range files {
		if file == "" {
			continue
		}
		open = false
		match, err := fileHoldsToken(file, given)
		if err != nil {
			return &DeniedError{Status: http.StatusServiceUnavailable, Reason: err.Error()}
		}
		if hasToken && match {
			return nil
		}
	}
	switch {
	case open:
		return nil
	case hasToken:
		return &DeniedError{Status: http.StatusForbidden, Reason: "this token may not do that"}
	default:
		return &DeniedError{Status: http.StatusUnauthorized, Reason: "want a bearer token"}
	}
}

// fileHoldsToken compares hashes in constant time, so that neither the length nor the
// beginning of the token can be found out by timing.
func fileHoldsToken(file, given string) (bool, error) {
	content, err := os.ReadFile(file) //nolint:gosec // named in the settings
	if err != nil {
		return false, fmt.Errorf("token file is not readable: %w", err)
	}
	token := strings.TrimSpace(string(content))
	want, have := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(given))
	return token != "" && subtle.ConstantTimeCompare(want[:], have[:]) == 1, nil
}

// Wrap wraps a handler.
func (g *Authorizer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.Authorize(r); err != nil {
			status := http.StatusForbidden
			var denied *DeniedError
			if errors.As(err, &denied) {
				status = denied.Status
			}
			http.Error(w, err.Error(), status)
			return
		}
		next.ServeHTTP(w, r)
	})
}
