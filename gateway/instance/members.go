package instance

import (
	"sync"
	"time"
)

// membersTTL is how long a number of members counts after a lower one was reported: the time
// over which the users count retries.
const membersTTL = 10 * time.Second

// mostMembers is the highest number of members reported of late. A new coordinator has
// received few reports.
type mostMembers struct {
	mu    sync.Mutex
	count int
	at    time.Time
}

func (m *mostMembers) record(now time.Time, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if count >= m.count || now.Sub(m.at) > membersTTL {
		m.count, m.at = count, now
	}
}

// recent returns the highest number reported within membersTTL.
func (m *mostMembers) recent(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.at) > membersTTL {
		return 0
	}
	return m.count
}
