// Package admin serves the operators' HTTP API: health checks, metrics, and the
// calls of the basilcross command line.
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
	"basilcross.example/gateway/adminauth"
	"basilcross.example/gateway/leader"
	"basilcross.example/gateway/view"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxConfigBytes is the size limit of a submitted configuration.
const maxConfigBytes = 1 << 20

// Options configure a Handler; all fields but Pprof must be set.
type Options struct {
	Instance string
	Zone     string
	View     *view.View
	Table    table.Client
	Leader   *leader.Leader
	Ready    func() bool
	// Planning reports whether this instance is the planner.
	Planning   func(now time.Time) bool
	Registry   *prometheus.Registry
	Log        *slog.Logger
	Pprof      bool
	Authorizer adminauth.Authorizer
}

// Handler is the HTTP handler of the admin address.
type Handler struct {
	Options

	mux       *http.ServeMux
	configLog configlog.Log
}

// New returns a Handler. Options.Authorizer guards /v1/ and /debug/.
func New(o Options) *Handler {
	h := &Handler{Options: o, mux: http.NewServeMux(), configLog: configlog.Log{Table: o.Table}}
	h.mux.HandleFunc("GET /livez", h.livez)
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	guarded := http.NewServeMux()
	guarded.HandleFunc("GET /v1/status", h.status)
	guarded.HandleFunc("GET /v1/owner", h.owner)
	guarded.HandleFunc("GET /v1/assignment", h.assignment)
	guarded.HandleFunc("GET /v1/config", h.config)
	guarded.HandleFunc("GET /v1/config/explain", h.explain)
	guarded.HandleFunc("POST /v1/config/check", h.checkConfig)
	guarded.HandleFunc("POST /v1/config", h.submitConfig)
	guarded.HandleFunc("GET /v1/audit", h.audit)
	h.mux.Handle("/v1/", h.Authorizer.Wrap(guarded))
	if o.Pprof {
		guarded.HandleFunc("GET /debug/pprof/", pprof.Index)
		guarded.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		h.mux.Handle("/debug/", h.Authorizer.Wrap(guarded))
	}
	return h
}

// ServeHTTP routes a request to its call.
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

// Status is the response of the status call.
type Status struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Ready    bool              `json:"ready"`
	Versions map[string]uint64 `json:"versions"`
	Planning bool              `json:"planning"`
	Leader   leader.Status     `json:"leader"`
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, Status{
		Instance: h.Instance,
		Zone:     h.Zone,
		Ready:    h.Ready(),
		Versions: h.View.Load().Versions(),
		Planning: h.Planning(time.Now()),
		Leader:   h.Leader.Status(),
	})
}

// Owner is the response of the owner call.
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
	if s == nil || s.ShardMap == nil {
		h.writeError(w, http.StatusNotFound, errors.New("no divided service "+strconv.Quote(service)))
		return
	}
	hash := shard.Hash(service, key)
	found, _ := s.ShardMap.Find(hash)
	h.writeJSON(w, Owner{
		Service: service, Key: key, Hash: hash, Shard: found,
		Target: s.Targets[found.Owner], Version: s.Assignment.Version, Cause: s.Assignment.Cause,
	})
}

func (h *Handler) assignment(w http.ResponseWriter, r *http.Request) {
	s := h.View.Load().Services[r.FormValue("service")]
	if s == nil {
		h.writeError(w, http.StatusNotFound, errors.New("no service "+strconv.Quote(r.FormValue("service"))))
		return
	}
	h.writeJSON(w, s.Assignment)
}

func (h *Handler) config(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil && r.FormValue("version") != "" {
		h.writeError(w, http.StatusBadRequest, errors.New("version: want a number"))
		return
	}
	doc, err := h.configLog.Version(r.Context(), version)
	var missing *configlog.NotFoundError
	switch {
	case errors.As(err, &missing):
		h.writeError(w, http.StatusNotFound, err)
	case err != nil:
		h.writeError(w, http.StatusServiceUnavailable, err)
	default:
		h.writeJSON(w, doc)
	}
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	doc := h.View.Load().Config
	if doc == nil {
		h.writeError(w, http.StatusNotFound, errors.New("no configuration is in force yet"))
		return
	}
	h.writeJSON(w, doc.Explain(config.Scope{
		Service: r.FormValue("service"),
		Kind:    r.FormValue("kind"),
		Zone:    r.FormValue("zone"),
		Target:  r.FormValue("target"),
		Key:     r.FormValue("key"),
	}, time.Now()))
}

func (h *Handler) checkConfig(w http.ResponseWriter, r *http.Request) {
	doc, err := readConfig(r)
	if err != nil {
		h.writeError(w, http.StatusUnprocessableEntity, err)
		return
	}
	h.writeJSON(w, doc)
}

func readConfig(r *http.Request) (*config.Document, error) {
	content, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxConfigBytes))
	if err != nil {
		return nil, err
	}
	return config.Parse(content)
}

// SubmitResponse is the response to an accepted configuration.
type SubmitResponse struct {
	Version uint64 `json:"version"`
}

// submitConfig accepts a document as the successor of version basedOn.
func (h *Handler) submitConfig(w http.ResponseWriter, r *http.Request) {
	basedOn, err := strconv.ParseUint(r.FormValue("basedOn"), 10, 64)
	if err != nil || r.FormValue("id") == "" {
		h.writeError(w, http.StatusBadRequest, errors.New("want basedOn, a version, and id, a unique word, in the query"))
		return
	}
	doc, err := readConfig(r)
	if err != nil {
		h.writeError(w, http.StatusUnprocessableEntity, err)
		return
	}
	version, err := h.configLog.Accept(r.Context(), configlog.Proposal{BasedOn: basedOn, Document: doc, ID: r.FormValue("id")})
	var conflict *configlog.ConflictError
	switch {
	case errors.As(err, &conflict):
		h.writeError(w, http.StatusConflict, err)
	case err != nil:
		h.writeError(w, http.StatusServiceUnavailable, err)
	default:
		event.ConfigAccepted.Log(h.Log, "version", version, "author", doc.Author, "reason", doc.Reason)
		h.Leader.NudgeAll(context.WithoutCancel(r.Context()))
		h.writeJSON(w, SubmitResponse{Version: version})
	}
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	stream := r.FormValue("stream")
	if stream != audit.Operators && stream != audit.System {
		h.writeError(w, http.StatusBadRequest, errors.New("stream: want operators or system"))
		return
	}
	records, err := audit.Read(r.Context(), h.Table, stream)
	if err != nil {
		h.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	h.writeJSON(w, records)
}

func (h *Handler) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		h.Log.Debug("write admin response", "error", err)
	}
}

// ErrorResponse is the response body of a failed call.
type ErrorResponse struct {
	Error string `json:"error"`
}

func (h *Handler) writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is already sent, so a failed write cannot be reported.
	_ = json.NewEncoder(w).Encode(ErrorResponse{Error: err.Error()})
}
