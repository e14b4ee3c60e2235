package front

import (
	"sync"
	"time"

	"basilcross.example/gateway/peers"
)

// Loads sums up the work on keys between two reports.
type Loads struct {
	mu   sync.Mutex
	keys map[keyOf]time.Duration
}

type keyOf struct {
	service string
	key     int
}

// Add notes work on a key.
func (l *Loads) Add(service string, key int, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil {
		l.keys = map[keyOf]time.Duration{}
	}
	l.keys[keyOf{service, key}] += work
}

// reportKeys bounds the keys in one report, to fit into a datagram.
const reportKeys = 24

// Take returns what was noted since the last call, in reports.
func (l *Loads) Take() []*peers.Report {
	l.mu.Lock()
	keys := l.keys
	l.keys = nil
	l.mu.Unlock()
	var reports []*peers.Report
	for k, work := range keys {
		n := len(reports)
		if n == 0 || len(reports[n-1].Loads) == reportKeys {
			reports = append(reports, &peers.Report{})
			n++
		}
		reports[n-1].Loads = append(reports[n-1].Loads, peers.KeyLoad{Service: k.service, Key: k.key, Ms: int(work.Milliseconds())})
	}
	return reports
}
