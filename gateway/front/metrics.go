package front

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of callers' requests.
type Metrics struct {
	requests      *prometheus.CounterVec
	durations     *prometheus.HistogramVec
	queueTimes    *prometheus.HistogramVec
	retries       *prometheus.CounterVec
	forwarded     *prometheus.CounterVec
	carried       *prometheus.CounterVec
	endedUnder    *prometheus.CounterVec
	rejections    *prometheus.CounterVec
	denied        *prometheus.CounterVec
	arrivals      *prometheus.CounterVec
	deposits      *prometheus.CounterVec
	afterLeaving  *prometheus.HistogramVec
	callerRetries *prometheus.CounterVec
	admission     *prometheus.CounterVec
	bodies        *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilcross_requests_total", Help: "Requests of callers by service, status and cause.",
		}, []string{"service", "status", "cause"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "basilcross_request_seconds", Help: "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"service"}),
	}
	m.queueTimes = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "basilcross_queue_seconds", Help: "Time that a request waited for places at targets, all attempts together.",
		Buckets: prometheus.ExponentialBuckets(0.001, 3, 9),
	}, []string{"service"})
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_repetitions_total", Help: "Requests that were sent to a target once more, out of the budget.",
	}, []string{"service"})
	m.forwarded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_forwarded_requests_total", Help: "Requests sent through another instance, by outcome.",
	}, []string{"service", "outcome"})
	m.carried = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_carried_requests_total", Help: "Requests served for another instance, by status and cause.",
	}, []string{"service", "status", "cause"})
	m.endedUnder = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_requests_ended_with_target_total", Help: "Requests under which their target ended.",
	}, []string{"service"})
	m.rejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_target_rejections_total", Help: "Requests that a target received and did not run, by cause.",
	}, []string{"service", "cause"})
	m.denied = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_retries_denied_total", Help: "Requests that were not retried, since the budget of retries was exhausted.",
	}, []string{"service"})
	m.arrivals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_target_arrivals_total", Help: "Requests that a target received, or may have: of this instance's callers, or carried ones.",
	}, []string{"service", "path"})
	m.deposits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_retry_deposits_total", Help: "Requests that the budget of retries counted.",
	}, []string{"service"})
	m.afterLeaving = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "basilcross_sent_after_leaving_seconds", Help: "Time from when a target was first seen to leave to a request that was sent to it.",
		Buckets: []float64{0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5},
	}, []string{"service"})
	m.admission = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_admission_refusals_total", Help: "Requests that admission refused, by reason.",
	}, []string{"service", "reason"})
	m.callerRetries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_caller_retries_total", Help: "Requests that were recognized as sent again by their caller after a refusal.",
	}, []string{"service"})
	m.bodies = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_body_refusals_total", Help: "Requests refused by the limit on held bytes of bodies, by reason.",
	}, []string{"reason"})
	r.MustRegister(m.requests, m.durations, m.queueTimes, m.retries, m.forwarded, m.carried, m.endedUnder, m.rejections, m.denied, m.arrivals, m.deposits, m.afterLeaving, m.callerRetries, m.admission, m.bodies)
	return m
}

func (m *Metrics) recordResponse(c *call, status int) {
	if c.from != "" {
		m.carried.WithLabelValues(c.service, strconv.Itoa(status), "").Inc()
		return
	}
	m.requests.WithLabelValues(c.service, strconv.Itoa(status), "").Inc()
	m.durations.WithLabelValues(c.service).Observe(time.Since(c.arrived).Seconds())
	m.queueTimes.WithLabelValues(c.service).Observe(c.queueTime.Seconds())
}

func (m *Metrics) recordRefusal(c *call, r *refusal, status int) {
	if r.reason != "" {
		m.admission.WithLabelValues(c.service, r.reason).Inc()
	}
	if c.from != "" {
		m.carried.WithLabelValues(c.service, strconv.Itoa(status), r.cause).Inc()
		return
	}
	m.requests.WithLabelValues(c.service, strconv.Itoa(status), r.cause).Inc()
	if c.service != "" {
		m.queueTimes.WithLabelValues(c.service).Observe(c.queueTime.Seconds())
	}
}

func (m *Metrics) recordCallerGone(c *call) {
	m.requests.WithLabelValues(c.service, "", "callerGone").Inc()
}

// recordArrival counts an arrival by whose caller's call it was.
func (m *Metrics) recordArrival(c *call) {
	path := "own"
	if c.from != "" {
		path = "carried"
	}
	m.arrivals.WithLabelValues(c.service, path).Inc()
}

func (m *Metrics) recordForwarded(c *call, outcome string) {
	m.forwarded.WithLabelValues(c.service, outcome).Inc()
}
