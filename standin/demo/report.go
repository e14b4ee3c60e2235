package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"basilcross.example/standin/judge"
	"basilcross.example/standin/scenario"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of a run.
type Report struct {
	Deployment      string                   `json:"deployment"`
	Seconds         int                      `json:"seconds"`
	Requests        Requests                 `json:"requests"`
	Violations      judge.Violations         `json:"violations"`
	LatencyMs       map[string]Latency       `json:"latencyMs"`
	Causes          map[string]int           `json:"causes"`
	Faults          []*FaultResult           `json:"faults"`
	Imbalance       map[string]float64       `json:"imbalanceMaxOverMean"`
	MovedShare      map[string]float64       `json:"movedShare"`
	LeastMovedShare map[string]float64       `json:"leastMovedShare"`
	Control         map[string]*ControlUsage `json:"control"`
	Platform        PlatformLoad             `json:"platform"`
	Unmet           []string                 `json:"unmet"`
	// Linearizable is "yes", "no", or "unknown" if the check timed out.
	Linearizable string `json:"linearizable"`
	// EndAnsweredPercent is the percentage of requests within endWindow that were answered.
	EndAnsweredPercent float64 `json:"endAnsweredPercent"`
	// Logs is the folder with the gateways' logs.
	Logs string `json:"logs"`
}

// Requests counts the requests of the load by outcome.
type Requests struct {
	Sent             int `json:"sent"`
	Answered         int `json:"answered"`
	RefusedDidNotRun int `json:"refusedDidNotRun"`
	Unknown          int `json:"unknown"`
}

// Latency holds percentiles in milliseconds, counted from the intended time of sending.
type Latency struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// ControlUsage is what a gateway used; CPU and memory include those for requests.
type ControlUsage struct {
	CPUShare          float64 `json:"cpuShare"`
	RSSMB             float64 `json:"rssMB"`
	BytesPerSecond    float64 `json:"bytesPerSecond"`
	MessagesPerSecond float64 `json:"messagesPerSecond"`
}

// PlatformLoad is the rate of calls to the table service.
type PlatformLoad struct {
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// usage holds the values of all counters at one time.
type usage struct {
	at       time.Time
	reads    uint64
	writes   uint64
	gateways map[string]gatewayUsage
}

type gatewayUsage struct {
	cpu    time.Duration
	rss    int64
	bytes  int64
	chunks int64
}

func (f *fleet) usage() usage {
	u := usage{at: time.Now(), gateways: map[string]gatewayUsage{}}
	u.reads, u.writes = f.store.Table.Counts()
	for _, g := range f.gateways {
		g.mu.Lock()
		gw := gatewayUsage{bytes: g.egress.ControlBytes.Load() + f.network.ControlBytes(g.controlAddress), chunks: g.egress.ControlChunks.Load()}
		if g.process != nil {
			gw.cpu, gw.rss = processUsage(g.process.Process.Pid)
		}
		g.mu.Unlock()
		u.gateways[g.Name] = gw
	}
	return u
}

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// processUsage reads the CPU time and resident memory of a process from /proc.
func processUsage(pid int) (cpu time.Duration, rss int64) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, 0
	}
	// The process name in parentheses may contain spaces; fields are counted after it.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	const user, system, resident = 11, 12, 21
	u, _ := strconv.ParseInt(fields[user], 10, 64)
	s, _ := strconv.ParseInt(fields[system], 10, 64)
	pages, _ := strconv.ParseInt(fields[resident], 10, 64)
	return time.Duration(u+s) * clockTick, pages * int64(os.Getpagesize())
}

func (u usage) since(before usage) usage {
	out := usage{at: before.at, reads: u.reads - before.reads, writes: u.writes - before.writes, gateways: map[string]gatewayUsage{}}
	for name, g := range u.gateways {
		prev := before.gateways[name]
		out.gateways[name] = gatewayUsage{cpu: max(0, g.cpu-prev.cpu), rss: g.rss, bytes: g.bytes - prev.bytes, chunks: g.chunks - prev.chunks}
	}
	return out
}

func (f *fleet) report(s *scenario.Scenario, began time.Time, faults []*FaultResult, used usage) *Report {
	ended := time.Now()
	seconds := ended.Sub(began).Seconds()
	r := &Report{
		Deployment: s.Deployment, Seconds: s.Seconds, Violations: f.history.CountViolations(), Faults: faults,
		LatencyMs: map[string]Latency{}, Causes: map[string]int{}, Imbalance: map[string]float64{},
		MovedShare: map[string]float64{}, LeastMovedShare: map[string]float64{}, Control: map[string]*ControlUsage{},
		Platform: PlatformLoad{ReadsPerSecond: float64(used.reads) / seconds, WritesPerSecond: float64(used.writes) / seconds},
	}
	r.Logs = f.logDir
	r.EndAnsweredPercent = endAnsweredPercent(f.history.CallsSince(0), began.Add(time.Duration(s.Seconds)*time.Second))
	r.countCalls(f.history.CallsSince(0))
	for _, fault := range faults {
		fault.Unanswered = unansweredAfter(f.history.CallsSince(0), fault.started)
	}
	for _, service := range f.deployment.Services {
		r.Imbalance[service.Name] = f.history.Imbalance(service.Name, began.Add(warmup), ended)
		if service.Sharded {
			r.MovedShare[service.Name] = f.history.MovedShare(service.Name, began, ended)
			r.LeastMovedShare[service.Name] = f.leastMovedShare(s)
		}
	}
	for name, g := range used.gateways {
		r.Control[name] = &ControlUsage{
			CPUShare: g.cpu.Seconds() / seconds, RSSMB: float64(g.rss) / (1 << 20),
			BytesPerSecond: float64(g.bytes) / seconds, MessagesPerSecond: float64(g.chunks) / seconds,
		}
	}
	r.Linearizable = linearizable(f.history)
	if r.Linearizable == "no" && len(s.Unfenced) == 0 {
		r.Unmet = append(r.Unmet, "reads and writes of a key are not linearizable")
	}
	r.checkExpectations(s.Expect)
	return r
}

func linearizable(h *judge.History) string {
	ok, complete := h.Linearizable()
	switch {
	case !ok:
		return "no"
	case !complete:
		return "unknown"
	default:
		return "yes"
	}
}

// faultWindow is how long after the start of a fault unanswered requests are attributed to it.
const faultWindow = 3 * time.Second

func unansweredAfter(calls []judge.Call, at time.Time) int {
	n := 0
	for _, c := range calls {
		if !c.Probe && c.Outcome != judge.Answered && c.Due.After(at) && c.Due.Before(at.Add(faultWindow)) {
			n++
		}
	}
	return n
}

// endWindow is the last part of a run, after all faults are reverted.
const endWindow = 1500 * time.Millisecond

func endAnsweredPercent(calls []judge.Call, end time.Time) float64 {
	sent, answered := 0, 0
	for _, c := range calls {
		if c.Probe || c.Due.Before(end.Add(-endWindow)) {
			continue
		}
		sent++
		if c.Outcome == judge.Answered {
			answered++
		}
	}
	return 100 * float64(answered) / float64(max(1, sent))
}

// leastMovedShare returns the share of keys that a planner with perfect knowledge would have
// moved: that of each target that was lost or drained, once.
func (f *fleet) leastMovedShare(s *scenario.Scenario) float64 {
	zones := map[string]string{}
	total := 0
	for _, i := range f.deployment.TargetInstances() {
		if i.Service.Sharded {
			zones[i.Name] = i.Zone.Name
			total++
		}
	}
	lost := map[string]bool{}
	for _, fault := range s.Faults {
		for name, zone := range zones {
			onTarget := slices.Contains([]string{"killTarget", "freezeTarget", "drainTarget"}, fault.Do) && fault.On == name
			if onTarget || fault.Do == "cutZone" && fault.On == zone {
				lost[name] = true
			}
		}
	}
	return float64(len(lost)) / float64(total)
}

func (r *Report) countCalls(calls []judge.Call) {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, c := range calls {
		if c.Probe {
			continue
		}
		r.Requests.Sent++
		switch c.Outcome {
		case judge.Answered:
			r.Requests.Answered++
		case judge.DidNotRun:
			r.Requests.RefusedDidNotRun++
		case judge.Unknown, judge.ConnectionBroken:
			r.Requests.Unknown++
		}
		if c.Outcome != judge.Answered {
			r.Causes[c.Cause+" "+c.Kind]++
			continue
		}
		h, ok := histograms[c.Kind]
		if !ok {
			h = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			histograms[c.Kind] = h
		}
		_ = h.RecordValue(c.Done.Sub(c.Due).Microseconds())
	}
	for kind, h := range histograms {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.LatencyMs[kind] = Latency{P50: at(50), P99: at(99), P999: at(99.9)}
	}
}

func (r *Report) checkExpectations(e scenario.Expect) {
	unmet := func(format string, args ...any) { r.Unmet = append(r.Unmet, fmt.Sprintf(format, args...)) }
	if n := r.Violations.Total(); n > 0 && (e.Violations == nil || n > *e.Violations) {
		unmet("%d violations", n)
	}
	for _, f := range r.Faults {
		if f.ServedAgainMs != nil && e.ServedAgainMs != nil && (*f.ServedAgainMs < 0 || *f.ServedAgainMs > *e.ServedAgainMs) {
			unmet("%s %s: served again after %d ms, expected %d", f.Do, f.On, *f.ServedAgainMs, *e.ServedAgainMs)
		}
		if f.InForceMs != nil && *f.InForceMs < 0 {
			unmet("the changed configuration did not come into force everywhere")
		}
	}
	r.checkPercentages(e, unmet)
}

func (r *Report) checkPercentages(e scenario.Expect, unmet func(format string, args ...any)) {
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, r.Requests.Sent)) }
	if e.AnsweredPercent != nil && percent(r.Requests.Answered) < *e.AnsweredPercent {
		unmet("%.2f%% answered, expected %.2f%%", percent(r.Requests.Answered), *e.AnsweredPercent)
	}
	if e.EndAnsweredPercent != nil && r.EndAnsweredPercent < *e.EndAnsweredPercent {
		unmet("%.2f%% answered at the end, expected %.2f%%", r.EndAnsweredPercent, *e.EndAnsweredPercent)
	}
	if e.UnknownPercent != nil && percent(r.Requests.Unknown) > *e.UnknownPercent {
		unmet("%.3f%% unknown, expected at most %.3f%%", percent(r.Requests.Unknown), *e.UnknownPercent)
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "\nrequests: %d sent, %d answered, %d refused and did not run, %d unknown\n",
		r.Requests.Sent, r.Requests.Answered, r.Requests.RefusedDidNotRun, r.Requests.Unknown)
	fmt.Fprintf(w, "violations: %+v\n", r.Violations)
	fmt.Fprintf(w, "values linearizable: %s\n", r.Linearizable)
	for _, kind := range sortedKeys(r.LatencyMs) {
		l := r.LatencyMs[kind]
		fmt.Fprintf(w, "  %-14s p50 %7.1f ms   p99 %7.1f ms   p99.9 %7.1f ms\n", kind, l.P50, l.P99, l.P999)
	}
	for _, cause := range sortedKeys(r.Causes) {
		fmt.Fprintf(w, "  not answered: %5d  %s\n", r.Causes[cause], cause)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault %-20s %-20s", f.Do, f.On)
		if f.ServedAgainMs != nil {
			fmt.Fprintf(w, " served again after %d ms,", *f.ServedAgainMs)
		}
		if f.InForceMs != nil {
			fmt.Fprintf(w, " in force everywhere after %d ms,", *f.InForceMs)
		}
		fmt.Fprintf(w, " %d not answered in the 3 s after\n", f.Unanswered)
	}
	for _, name := range sortedKeys(r.Imbalance) {
		fmt.Fprintf(w, "service %-10s max/mean %.2f, moved %.3f of the keys (least needed %.3f)\n", name, r.Imbalance[name], r.MovedShare[name], r.LeastMovedShare[name])
	}
	for _, name := range sortedKeys(r.Control) {
		c := r.Control[name]
		fmt.Fprintf(w, "  %-16s cpu %.3f of a core, %.0f MB, control %.0f bytes/s\n", name, c.CPUShare, c.RSSMB, c.BytesPerSecond)
	}
	fmt.Fprintf(w, "platform: %.1f reads/s, %.1f writes/s\n", r.Platform.ReadsPerSecond, r.Platform.WritesPerSecond)
	for _, u := range r.Unmet {
		fmt.Fprintln(w, "NOT MET:", u)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
