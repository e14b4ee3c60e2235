package front

import (
	"sync"
	"time"

	"basilcross.example/gateway/peers"
)

// Loads sums the work on each key between two reports.
type Loads struct {
	mu   sync.Mutex
	keys map[serviceKey]time.Duration
}

type serviceKey struct {
	service string
	key     int
}

// Add records work on a key.
func (l *Loads) Add(service string, key int, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil {
		l.keys = map[serviceKey]time.Duration{}
	}
	l.keys[serviceKey{service, key}] += work
}

// AddReport adds the loads in another instance's report.
func (l *Loads) AddReport(r *peers.Report) {
	for _, load := range r.Loads {
		l.Add(load.Service, load.Key, time.Duration(load.Ms)*time.Millisecond)
	}
}

// maxKeysPerReport limits the keys in one report, so that it fits into a datagram.
const maxKeysPerReport = 24

// TakeReports removes the work recorded since the last call and returns it in reports of
// at most maxKeysPerReport keys.
func (l *Loads) TakeReports() []*peers.Report {
	l.mu.Lock()
	keys := l.keys
	l.keys = nil
	l.mu.Unlock()
	var reports []*peers.Report
	for k, work := range keys {
		n := len(reports)
		if n == 0 || len(reports[n-1].Loads) == maxKeysPerReport {
			reports = append(reports, &peers.Report{})
			n++
		}
		reports[n-1].Loads = append(reports[n-1].Loads, peers.KeyLoad{Service: k.service, Key: k.key, Ms: int(work.Milliseconds())})
	}
	return reports
}
