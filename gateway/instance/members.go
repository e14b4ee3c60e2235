package instance

import (
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/front"
)

// mostMembers is the highest number of members reported of late. A new coordinator has
// received few reports.
type mostMembers struct {
	// ttl is how long a number counts after a lower one was reported: the time over which
	// retries are counted.
	ttl   time.Duration
	mu    sync.Mutex
	count int
	at    time.Time
}

func (m *mostMembers) record(now time.Time, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if count >= m.count || now.Sub(m.at) > m.ttl {
		m.count, m.at = count, now
	}
}

// recent returns the highest number reported within ttl.
func (m *mostMembers) recent(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.at) > m.ttl {
		return 0
	}
	return m.count
}

// countMembers returns the number of instances that share the fleet's retry
// budget. A new coordinator has received few reports yet: its count alone would
// give each instance a large part of the whole budget at once.
func (i *Instance) countMembers() int {
	return max(1, int(i.memberCount.Load()), i.peers.Count(), i.mostMembers.recent(time.Now()))
}

// retryLimits returns the limits of retries in force, and logs a change of the number of instances
// that share them. It is not known before the coordinator or a list of instances was heard of.
func (i *Instance) retryLimits() front.RetryLimits {
	s := i.liveSettings.Load()
	limits := front.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
	if i.memberCount.Load() > 0 || i.instances.Revision() > 0 {
		limits.Instances = i.countMembers()
	}
	if before := i.sharedBy.Swap(int64(limits.Instances)); before != int64(limits.Instances) {
		event.RetryShareChanged.Log(i.log, "instances", limits.Instances, "before", before, "coordinatorSays", i.memberCount.Load(),
			"listed", i.peers.Count(), "recent", i.mostMembers.recent(time.Now()), "share", limits.Share())
	}
	return limits
}
