package pool

import (
	"fmt"
	"hash/maphash"
	"net/http"
	"slices"
)

// maxRequests bounds the requests on one connection, which remembers their IDs.
const maxRequests = 256

// requestID is a hash of a request's ID; 0 is none. Two IDs with the same hash cost a new connection.
type requestID uint64

var idSeed = maphash.MakeSeed()

func newRequestID(r *Request) requestID {
	if r.IDHeader == "" || r.ID == "" {
		return 0
	}
	return requestID(max(1, maphash.String(idSeed, r.ID)))
}

// needsOwnConnection reports whether nothing distinguishes the response to the request from late responses to
// others on the same connection, or the other way round.
func (r *Request) needsOwnConnection() bool {
	return r.IDHeader != "" && (r.ID == "" || r.Method == http.MethodHead)
}

// carriedIDs are the IDs of the requests that were sent on a connection.
type carriedIDs struct {
	ids   []requestID
	count int
}

func (l *carriedIDs) add(id requestID) {
	l.count++
	if id != 0 {
		l.ids = append(l.ids, id)
	}
}

func (l *carriedIDs) has(id requestID) bool { return id != 0 && slices.Contains(l.ids, id) }

func (l *carriedIDs) full() bool { return len(l.ids) >= maxRequests }

// UnprovenError reports a response that may be a late second response to another request: it has no ID, on a
// connection that has carried others, or several IDs.
type UnprovenError struct {
	Header string
	// IDs are the values of the header.
	IDs []string
}

func (e *UnprovenError) Error() string {
	return fmt.Sprintf("response on a reused connection has the IDs %q in header %q, want one", e.IDs, e.Header)
}

// belongs reports whether a response belongs to the request. first is set for the first one on the
// connection. A response of which that is not known is an error: the next one would not be known either.
func (c *conn) belongs(r *Request, h http.Header, first bool) (bool, error) {
	if r.IDHeader == "" || r.ID == "" {
		return true, nil
	}
	ids := slices.Compact(slices.Clone(h.Values(r.IDHeader)))
	switch {
	case len(ids) == 1:
		return ids[0] == r.ID, nil
	case len(ids) == 0 && first:
		c.noReuse = true
		return true, nil
	}
	return false, &UnprovenError{Header: r.IDHeader, IDs: ids}
}
