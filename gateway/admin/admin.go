// Package admin serves operators: health, metrics, and the calls of the
// basilcross command line.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"basilcross.example/basilcross/audit"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/configlog"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/shard"
	"basilcross.example/basilcross/table"
	"basilcross.example/gateway/leader"
	"basilcross.example/gateway/operator"
	"basilcross.example/gateway/view"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxDocument bounds a submitted configuration.
const maxDocument = 1 << 20

// Options are what the handler needs; all fields but Pprof must be set.
type Options struct {
	Instance string
	Zone     string
	View     *view.View
	Table    table.Client
	Leader   *leader.Duty
	Ready    func() bool
	// Planning tells whether this instance is the planner.
	Planning func(now time.Time) bool
	Registry *prometheus.Registry
	Log      *slog.Logger
	Pprof    bool
	Gate     operator.Authorizer
}

// Handler serves the admin address.
type Handler struct {
	Options

	mux  *http.ServeMux
	docs configlog.Log
}

// New returns a handler.
func New(o Options) *Handler {
	h := &Handler{Options: o, mux: http.NewServeMux(), docs: configlog.Log{Table: o.Table}}
	h.mux.HandleFunc("GET /livez", h.livez)
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	guarded := http.NewServeMux()
	guarded.HandleFunc("GET /v1/status", h.status)
	guarded.HandleFunc("GET /v1/owner", h.owner)
	guarded.HandleFunc("GET /v1/assignment", h.assignment)
	guarded.HandleFunc("GET /v1/config", h.config)
	guarded.HandleFunc("GET /v1/config/explain", h.explain)
	guarded.HandleFunc("POST /v1/config/check", h.check)
	guarded.HandleFunc("POST /v1/config", h.accept)
	guarded.HandleFunc("GET /v1/audit", h.audit)
	h.mux.Handle("/v1/", h.Gate.Wrap(guarded))
	if o.Pprof {
		guarded.HandleFunc("GET /debug/pprof/", pprof.Index)
		guarded.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		h.mux.Handle("/debug/", h.Gate.Wrap(guarded))
	}
	return h
}

// ServeHTTP serves operators.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// Status is what the status call answers.
type Status struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Ready    bool              `json:"ready"`
	Versions map[string]uint64 `json:"versions"`
	Planning bool              `json:"planning"`
	Leader   leader.Status     `json:"leader"`
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	h.answer(w, Status{
		Instance: h.Instance,
		Zone:     h.Zone,
		Ready:    h.Ready(),
		Versions: h.View.Load().Versions(),
		Planning: h.Planning(time.Now()),
		Leader:   h.Leader.Status(),
	})
}

// Owner is what the owner call answers.
type Owner struct {
	Service string      `json:"service"`
	Key     string      `json:"key"`
	Hash    uint64      `json:"hash"`
	Shard   shard.Shard `json:"shard"`
	Target  any         `json:"target"`
	Version uint64      `json:"version"`
	Cause   string      `json:"cause"`
}

func (h *Handler) owner(w http.ResponseWriter, r *http.Request) {
	service, key := r.FormValue("service"), r.FormValue("key")
	s := h.View.Load().Services[service]
	if s == nil || s.Map == nil {
		h.fail(w, http.StatusNotFound, errors.New("no divided service "+strconv.Quote(service)))
		return
	}
	hash := shard.Hash(service, key)
	found, _ := s.Map.Find(hash)
	h.answer(w, Owner{
		Service: service, Key: key, Hash: hash, Shard: found,
		Target: s.Targets[found.Owner], Version: s.Assignment.Version, Cause: s.Assignment.Cause,
	})
}

func (h *Handler) assignment(w http.ResponseWriter, r *http.Request) {
	s := h.View.Load().Services[r.FormValue("service")]
	if s == nil {
		h.fail(w, http.StatusNotFound, errors.New("no service "+strconv.Quote(r.FormValue("service"))))
		return
	}
	h.answer(w, s.Assignment)
}

func (h *Handler) config(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil && r.FormValue("version") != "" {
		h.fail(w, http.StatusBadRequest, errors.New("version: want a number"))
		return
	}
	doc, err := h.docs.Version(r.Context(), version)
	var missing *configlog.NotFoundError
	switch {
	case errors.As(err, &missing):
		h.fail(w, http.StatusNotFound, err)
	case err != nil:
		h.fail(w, http.StatusServiceUnavailable, err)
	default:
		h.answer(w, doc)
	}
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	doc := h.View.Load().Config
	if doc == nil {
		h.fail(w, http.StatusNotFound, errors.New("no configuration is in force yet"))
		return
	}
	h.answer(w, doc.Explain(config.Scope{
		Service: r.FormValue("service"),
		Kind:    r.FormValue("kind"),
		Zone:    r.FormValue("zone"),
		Target:  r.FormValue("target"),
		Key:     r.FormValue("key"),
	}, time.Now()))
}

func (h *Handler) check(w http.ResponseWriter, r *http.Request) {
	doc, err := readDocument(r)
	if err != nil {
		h.fail(w, http.StatusUnprocessableEntity, err)
		return
	}
	h.answer(w, doc)
}

func readDocument(r *http.Request) (*config.Document, error) {
	content, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxDocument))
	if err != nil {
		return nil, err
	}
	return config.Parse(content)
}

// Accepted is what a successful submission answers.
type Accepted struct {
	Version uint64 `json:"version"`
}

// accept takes a document as the successor of the version in the query.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) {
	basedOn, err := strconv.ParseUint(r.FormValue("basedOn"), 10, 64)
	if err != nil || r.FormValue("id") == "" {
		h.fail(w, http.StatusBadRequest, errors.New("want basedOn, a version, and id, a unique word, in the query"))
		return
	}
	doc, err := readDocument(r)
	if err != nil {
		h.fail(w, http.StatusUnprocessableEntity, err)
		return
	}
	version, err := h.docs.Accept(r.Context(), configlog.Proposal{BasedOn: basedOn, Document: doc, ID: r.FormValue("id")})
	var conflict *configlog.ConflictError
	switch {
	case errors.As(err, &conflict):
		h.fail(w, http.StatusConflict, err)
	case err != nil:
		h.fail(w, http.StatusServiceUnavailable, err)
	default:
		event.ConfigAccepted.Log(h.Log, "version", version, "author", doc.Author, "reason", doc.Reason)
		h.Leader.NudgeAll(context.WithoutCancel(r.Context()))
		h.answer(w, Accepted{Version: version})
	}
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	stream := r.FormValue("stream")
	if stream != audit.Operators && stream != audit.System {
		h.fail(w, http.StatusBadRequest, errors.New("stream: want operators or system"))
		return
	}
	records, err := audit.Read(r.Context(), h.Table, stream)
	if err != nil {
		h.fail(w, http.StatusServiceUnavailable, err)
		return
	}
	h.answer(w, records)
}

func (h *Handler) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		h.Log.Debug("admin answer", "error", err)
	}
}

// Problem is the body of a failed call.
type Problem struct {
	Error string `json:"error"`
}

func (h *Handler) fail(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is out already; a failed body write has nobody to tell.
	_ = json.NewEncoder(w).Encode(Problem{Error: err.Error()})
}
