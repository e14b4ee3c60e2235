// Package store stands in for the platform: table service, object store and a
// lagging instance list over HTTP, with switches for what goes wrong.
package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/platform"
	"basilcross.example/basilcross/table"
	"github.com/cespare/xxhash/v2"
)

// listLag is how far the instance list is behind.
const listLag = time.Second

// Store is the platform. The zero value is empty and works.
type Store struct {
	Table   table.Memory
	Objects object.Memory

	mu            sync.Mutex
	down          bool
	delay         time.Duration
	loseResponses bool
	listings      []listing
}

type listing struct {
	platform.Instance
	listed  time.Time
	leaving time.Time
}

// SetDown makes every call fail.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay delays every call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLoseResponses loses the answers to writes after they have taken effect.
func (s *Store) SetLoseResponses(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = lose
}

// AddInstance lists an instance.
func (s *Store) AddInstance(i platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listings = append(s.listings, listing{Instance: i, listed: time.Now()})
}

// SetLeaving marks an instance as leaving, or takes the mark back.
func (s *Store) SetLeaving(id string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.listings {
		if s.listings[i].ID != id {
			continue
		}
		s.listings[i].leaving = time.Time{}
		if leaving {
			s.listings[i].leaving = time.Now()
		}
	}
}

// Instances returns the list as the platform shows it now.
func (s *Store) Instances() []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Instance
	shown := time.Now().Add(-listLag)
	for _, l := range s.listings {
		i := l.Instance
		i.Leaving = !l.leaving.IsZero() && l.leaving.Before(shown)
		out = append(out, i)
	}
	return out
}

// ServeHTTP serves the platform's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, slow, lose := s.down, s.delay, s.loseResponses
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(slow)
	switch {
	case r.URL.Path == platform.TransactPath:
		s.serveTransact(w, r, lose)
	case r.URL.Path == platform.InstancesPath:
		s.serveInstances(w, r)
	case strings.HasPrefix(r.URL.Path, platform.ObjectPath):
		s.serveObject(w, r, strings.TrimPrefix(r.URL.Path, platform.ObjectPath))
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveTransact(w http.ResponseWriter, r *http.Request, lose bool) {
	var tx table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	res, err := s.Table.Transact(r.Context(), tx)
	if err != nil || lose && len(tx.Puts) > 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, res)
}

func (s *Store) serveInstances(w http.ResponseWriter, r *http.Request) {
	content, err := json.Marshal(s.Instances())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(content), 16)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request, name string) {
	if r.Method == http.MethodPut {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.Objects.Put(r.Context(), name, content); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
		return
	}
	content, err := s.Objects.Get(r.Context(), name)
	if err != nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(content)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write is the other end's loss, as it would be in life.
	_ = json.NewEncoder(w).Encode(v)
}
