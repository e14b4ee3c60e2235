package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowName identifies a row of the store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// storeRow is a row as the store sends and receives it.
type storeRow struct {
	rowName

	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store: the calls rows-tx, rows-get, rows-parts and
// rows-feed, with the limits that the pages state for one call.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowName]storeRow
	changes []storeRow
	changed chan struct{}
}

const (
	maxRowsPerCall    = 500
	maxEntriesPerCall = 100
	maxRowBytes       = 65536
)

func startStore(address string) (*store, error) {
	s := &store{address: address, started: time.Now(), rows: map[rowName]storeRow{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row as the operator, an endpoint or another writer does.
func (s *store) put(table, key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putText(table, key, text)
}

func (s *store) putText(table, key string, text []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storeRow{rowName: rowName{table, "", key}, Value: text, Ver: s.ver})
	s.notify()
	return s.ver
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storeRow{rowName: rowName{table, "", key}, Ver: s.ver, Tombstone: true})
	s.notify()
}

// list returns the rows of a table.
func (s *store) list(table string) (rows []storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.rows {
		if name.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *store) apply(r storeRow) {
	if r.Tombstone {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, body)
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-parts":
		s.respond(w, http.StatusOK, map[string]any{"parts": []string{""}})
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond sends a response. s.mu need not be held.
func (s *store) respond(w http.ResponseWriter, status int, fields map[string]any) {
	if _, ok := fields["now"]; !ok {
		fields["now"] = s.now()
	}
	text, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// now is the store's steady clock.
func (s *store) now() string {
	return strconv.FormatInt((30*time.Second+time.Since(s.started)).Milliseconds(), 10) + "ms"
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var tx struct {
		Expected []storeRow `json:"expected_rev"`
		Set      []storeRow `json:"set_keys"`
		Remove   []rowName  `json:"remove"`
	}
	if json.Unmarshal(body, &tx) != nil || len(tx.Expected)+len(tx.Set)+len(tx.Remove) > maxEntriesPerCall {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, r := range tx.Set {
		if len(r.Value) > maxRowBytes || len(r.Key) > 200 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	ok := true
	current := []storeRow{}
	for _, c := range tx.Expected {
		row, exists := s.rows[c.rowName]
		ok = ok && row.Ver == c.Ver
		if exists {
			current = append(current, row)
		}
	}
	if !ok {
		ver := s.ver
		s.mu.Unlock()
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver})
		return
	}
	s.ver++
	for _, r := range tx.Set {
		s.apply(storeRow{rowName: r.rowName, Value: r.Value, Ver: s.ver})
	}
	for _, name := range tx.Remove {
		if _, exists := s.rows[name]; exists {
			s.apply(storeRow{rowName: name, Ver: s.ver, Tombstone: true})
		}
	}
	ver := s.ver
	s.notify()
	s.mu.Unlock()
	s.respond(w, http.StatusOK, map[string]any{"ver": ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerCall {
		limit = maxRowsPerCall
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	rows := []storeRow{}
	for name, row := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") &&
			(q.Get("to") == "" || name.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || werr != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows, ver := s.since(q.Get("table"), after)
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			s.respond(w, http.StatusOK, map[string]any{"rows": []storeRow{}, "ver": ver})
			return
		}
	}
}

// since returns the changed rows of a table, each with its last change, and the version up to which they
// are complete. s.mu must be held.
func (s *store) since(table string, after uint64) (rows []storeRow, ver uint64) {
	last := map[rowName]storeRow{}
	for _, c := range s.changes {
		if c.Table == table && c.Ver > after {
			last[c.rowName] = c
		}
	}
	for _, c := range last {
		rows = append(rows, c)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	if len(rows) > maxRowsPerCall {
		cut := rows[maxRowsPerCall-1].Ver
		for i, r := range rows {
			if r.Ver > cut {
				return rows[:i], cut
			}
		}
	}
	return rows, s.ver
}
