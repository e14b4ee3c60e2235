package instance

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"basilcross.example/gateway/logsink"
	"gotest.tools/v3/assert"
)

// Guards against metrics that docs/METRICS.md does not list.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	sink := logsink.New(io.Discard)
	i := New(Defaults(), slog.New(slog.NewJSONHandler(sink, nil)), sink)
	families, err := i.registry.Gather()
	assert.NilError(t, err)
	found := 0
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), "basilcross_") {
			continue
		}
		found++
		assert.Assert(t, strings.Contains(string(page), "`"+f.GetName()+"`"), f.GetName())
	}
	assert.Equal(t, found, 19)
}

// Guards against bodies within the configuration's limit that take more memory at a time than the instance has, against a
// limit on held bytes that nothing calls for, or that is not the stated share of the memory, and against its metric
// missing on the page.
func TestStatedMemoryLimitsHeldBytes(t *testing.T) {
	assert.Assert(t, !testInstance().bodies.Limited())
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	for _, features := range [][]string{nil, {"bodyBudget"}} {
		s := Defaults()
		s.MemoryMB, s.Features = 184, features
		sink := logsink.New(io.Discard)
		i := New(s, slog.New(slog.NewJSONHandler(sink, nil)), sink)
		assert.Equal(t, i.front.Bodies.Bytes, int64(46<<20))
		families, err := i.registry.Gather()
		assert.NilError(t, err)
		names := ""
		for _, f := range families {
			names += f.GetName() + "\n"
		}
		const held = "basilcross_held_body_bytes"
		assert.Assert(t, strings.Contains(names, held) && strings.Contains(string(page), "`"+held+"`"))
	}
	s := Defaults()
	s.Features = []string{"bodyBudget"}
	sink := logsink.New(io.Discard)
	assert.Assert(t, New(s, slog.New(slog.NewJSONHandler(sink, nil)), sink).bodies.Limited(), "of the machine's memory")
}

// Guards against profiles that are served without being enabled, and against a
// setting without effect.
func TestProfilesAreServedOnlyIfEnabled(t *testing.T) {
	for _, on := range []bool{false, true} {
		i := testInstance()
		i.settings.Pprof = on
		response := httptest.NewRecorder()
		i.metricsHandler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/debug/pprof/heap", nil))
		assert.Equal(t, response.Code == http.StatusOK, on)
	}
}
