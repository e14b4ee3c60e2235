package front_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/front"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// lockedBuffer is a buffer for log lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// refusals returns the lines of refused requests.
func (b *lockedBuffer) refusals() (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, "requestRefused") {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against refusals of which operators cannot see that admission is the reason, and against a changed
// log line where it is off.
func TestReasonOfRefusalIsLoggedAndCounted(t *testing.T) {
	for _, on := range []bool{false, true} {
		f := newFixture(t)
		log, registry := &lockedBuffer{}, prometheus.NewRegistry()
		f.front.Log, f.front.Metrics = slog.New(slog.NewTextHandler(log, nil)), front.NewMetrics(registry)
		if on {
			f.front.Broker.Dispatcher.Admission = &schedule.Admission{}
		}
		// A response is expected after 200 ms, so a request that waits for a slot is late.
		f.setRoutes(300 * time.Millisecond)
		started, release := make(chan bool, 3), make(chan bool)
		f.startTarget("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			started <- true
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}))
		var group sync.WaitGroup
		for range 3 {
			f.sent++
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/book/x", nil)
			assert.NilError(t, err)
			req.Host = "cakes.example"
			group.Go(func() {
				if res, err := http.DefaultClient.Do(req); err == nil {
					_ = res.Body.Close()
				}
			})
			<-started
		}
		// The target's slots are taken, and one more request may be sent ahead.
		res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "")
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(log.refusals()) > 0 {
				return poll.Success()
			}
			return poll.Continue("no line")
		})
		line := log.refusals()[0]
		assert.Assert(t, strings.Contains(line, "cause=busy"), line)
		for _, part := range []string{" reason=late ", " load=", " boundMs="} {
			assert.Equal(t, strings.Contains(line, part), on, "%s in %s", part, line)
		}
		counted := 0.0
		families, err := registry.Gather()
		assert.NilError(t, err)
		for _, family := range families {
			if family.GetName() == "basilcross_admission_refusals_total" {
				counted += family.GetMetric()[0].GetCounter().GetValue()
			}
		}
		assert.Equal(t, counted, map[bool]float64{false: 0, true: 1}[on])
		close(release)
		group.Wait()
	}
}
