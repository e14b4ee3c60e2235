package instance

import (
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/platform"
	"github.com/prometheus/client_golang/prometheus"
)

func (i *Instance) registerMetrics(r prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("basilcross_config_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if routes := i.state.routes.Load(); routes != nil {
			return float64(routes.Config.Version)
		}
		return 0
	})
	gauge("basilcross_config_lag_seconds", "Time for which another instance has had a newer configuration.", func() float64 {
		return i.configLag.lag(time.Now()).Seconds()
	})
	gauge("basilcross_routes_of_unknown_type", "Routes of the configuration in force whose type is not known.", func() float64 {
		n := 0.0
		if routes := i.state.routes.Load(); routes != nil {
			for _, r := range routes.Config.Routes {
				if _, unknown := r.Type.(routing.Unknown); unknown {
					n++
				}
			}
		}
		return n
	})
	gauge("basilcross_targets", "Targets that the platform names.", func() float64 {
		return float64(i.state.roster.Load().Len())
	})
	gauge("basilcross_cold_targets", "Targets that are warming up.", func() float64 {
		n, now := 0.0, time.Now()
		for t := range i.state.roster.Load().All() {
			if _, cold := i.state.coldRate(now, t); cold || t.IsCold(now) {
				n++
			}
		}
		return n
	})
	gauge("basilcross_evacuated_zones", "Availability zones that the operator has evacuated.", func() float64 {
		return float64(len(i.state.policy().Evacuated))
	})
	gauge("basilcross_services_unreached", "Services of which this instance reaches no target.", func() float64 {
		return float64(len(i.links.DownServices(time.Now())))
	})
	gauge("basilcross_suspected_requests", "Requests under which targets have ended, not yet quarantined.", func() float64 {
		suspects, _ := i.quarantiner.list.Count(time.Now())
		return float64(suspects)
	})
	gauge("basilcross_quarantined_requests", "Requests that do not reach targets, since three have ended under each.", func() float64 {
		_, quarantined := i.quarantiner.list.Count(time.Now())
		return float64(quarantined)
	})
	gauge("basilcross_rate_limited_targets", "Targets that state how many requests per second they accept.", func() float64 {
		return float64(len(i.limiter.limits.All()))
	})
	gauge("basilcross_paced_targets", "Targets that have started or recovered, and get few requests at a time from this scheduler.", func() float64 {
		return float64(i.dispatcher.PacedTargets())
	})
	gauge("basilcross_resting_targets", "Targets that want no requests from this instance for a while.", func() float64 {
		resting, _ := i.withdrawn.Count(time.Now())
		return float64(resting)
	})
	gauge("basilcross_stated_leaving_targets", "Targets that state in their answers that they leave.", func() float64 {
		_, leaving := i.withdrawn.Count(time.Now())
		return float64(leaving)
	})
	gauge("basilcross_instances", "Instances among which retries are shared.", func() float64 {
		return float64(i.countMembers())
	})
	gauge("basilcross_retry_share", "Retries that this instance may send in a burst.", func() float64 {
		return i.retryLimits().Share()
	})
	gauge("basilcross_leading", "1 if this instance coordinates, as far as it knows.", func() float64 {
		if i.replicator.isCoordinator() {
			return 1
		}
		return 0
	})
	gauge("basilcross_coordinator_silence_seconds", "Time since the coordinator's last sign of life; -1 if none was heard.", func() float64 {
		at := i.lastHeartbeat.Load()
		if at == nil {
			return -1
		}
		return time.Since(*at).Seconds()
	})
	if i.features.Speeds {
		i.registerSpeedMetrics(r)
	}
	gauge("basilcross_tables_failing", "Tables of the store that cannot be kept up from it.", func() float64 {
		n := 0.0
		for _, m := range i.mirrors {
			if m.Failing() {
				n++
			}
		}
		return n
	})
	if i.bodies.Limited() {
		gauge("basilcross_held_body_bytes", "Bytes that are reserved for bodies of requests.", func() float64 {
			return float64(i.bodies.Held())
		})
	}
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilcross_store_calls_total", Help: "Calls to the platform's store by kind, table and outcome.",
	}, []string{"call", "table", "outcome"})
	r.MustRegister(calls)
	i.store.OnCall = func(c platform.Call) {
		calls.WithLabelValues(c.Kind, c.Table, c.Outcome).Inc()
		event.StoreCalled.Log(i.log, "call", c.Kind, "table", c.Table, "outcome", c.Outcome, "tookMs", c.Duration.Milliseconds())
	}
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "basilcross_log_bytes_total", Help: "Bytes of log lines written.",
	}, func() float64 { return float64(i.sink.BytesWritten.Load()) }))
}

// speedMetrics exports what this instance knows of targets' speeds while it coordinates.
type speedMetrics struct {
	*Instance
	certainty, load *prometheus.Desc
}

func (i *Instance) registerSpeedMetrics(r prometheus.Registerer) {
	r.MustRegister(&speedMetrics{
		Instance:  i,
		certainty: prometheus.NewDesc("basilcross_target_speed_certainty", "Mean certainty of the estimated speeds of sharded services' targets.", nil, nil),
		load:      prometheus.NewDesc("basilcross_target_load_per_slot", "Load per slot of sharded services' targets, by class of their estimated speed.", []string{"speed"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (m *speedMetrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector.
func (m *speedMetrics) Collect(ch chan<- prometheus.Metric) {
	status := m.coordinator.SpeedStatus()
	ch <- prometheus.MustNewConstMetric(m.certainty, prometheus.GaugeValue, status.Certainty)
	for class, load := range status.LoadPerSlot {
		ch <- prometheus.MustNewConstMetric(m.load, prometheus.GaugeValue, load, coordinator.SpeedClass(class).String())
	}
}
