// Package adminauth authorizes requests to the admin address.
package adminauth

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// Authorizer checks bearer tokens. It permits requests to which no file applies: without
// files the admin address is only as safe as its network. The files are read at each
// request, so tokens can be replaced without a restart.
type Authorizer struct {
	// ReadFile holds the token that permits GET requests, ChangeFile the one that
	// permits all. An empty name means that there is no such token.
	ReadFile   string
	ChangeFile string
}

// DeniedError holds the HTTP status and the reason of a rejected request, never a
// token.
type DeniedError struct {
	Status int
	Reason string
}

func (e *DeniedError) Error() string { return e.Reason }

// Authorize returns a *DeniedError unless the request is permitted.
func (a *Authorizer) Authorize(r *http.Request) error {
	files := []string{a.ChangeFile}
	if r.Method == http.MethodGet {
		files = append(files, a.ReadFile)
	}
	token, hasToken := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	open := true
	for _, file := range files {
		if file == "" {
			continue
		}
		open = false
		match, err := fileHoldsToken(file, token)
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

// fileHoldsToken reports whether a file holds the given token. It compares hashes in
// constant time, so that timing reveals neither the length nor a prefix of the token.
func fileHoldsToken(file, given string) (bool, error) {
	content, err := os.ReadFile(file) //nolint:gosec // named in the settings
	if err != nil {
		return false, fmt.Errorf("token file is not readable: %w", err)
	}
	token := strings.TrimSpace(string(content))
	want, got := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(given))
	return token != "" && subtle.ConstantTimeCompare(want[:], got[:]) == 1, nil
}

// Wrap returns a handler that calls next for permitted requests only.
func (a *Authorizer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := a.Authorize(r); err != nil {
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
