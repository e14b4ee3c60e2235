package entry

import (
	"strconv"
	"time"

	"basilcross.example/basilcross/refusal"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests. Labels are names of the configuration and fixed
// words, so their number is bounded.
type Metrics struct {
	requests  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

// NewMetrics returns metrics registered at r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilcross_requests_total",
			Help: "Requests by outcome: answered, didNotRun or unknown, with the cause of a refusal.",
		}, []string{"service", "kind", "outcome", "cause"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilcross_retries_total",
			Help: "Attempts after the first, by what went wrong before.",
		}, []string{"service", "kind", "cause"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:                        "basilcross_request_seconds",
			Help:                        "Time from a request's arrival to the end of its answer.",
			NativeHistogramBucketFactor: 1.1,
		}, []string{"service", "kind"}),
	}
	r.MustRegister(m.requests, m.retries, m.durations)
	return m
}

func (m *Metrics) answered(c *call, status int, began time.Time) {
	m.requests.WithLabelValues(c.service, c.kindName, "answered", strconv.Itoa(status/100)+"xx").Inc()
	m.durations.WithLabelValues(c.service, c.kindName).Observe(time.Since(began).Seconds())
}

func (m *Metrics) refused(c *call, e *refusal.Error, began time.Time) {
	m.requests.WithLabelValues(c.service, c.kindName, string(e.Outcome), e.Cause.String()).Inc()
	m.durations.WithLabelValues(c.service, c.kindName).Observe(time.Since(began).Seconds())
}

func (m *Metrics) retried(c *call, cause refusal.Cause) {
	m.retries.WithLabelValues(c.service, c.kindName, cause.String()).Inc()
}
