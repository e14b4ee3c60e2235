package front

import (
	"time"

	"basilcross.example/basilcross/retry"
)

const (
	// retryBudgetShare is the share of the limits that the instances use. The margin covers
	// changes of the number of instances, and the time between a request and its retries.
	retryBudgetShare = 0.75
	// smallShareRatio replaces it for the ratio where an instance's part of the slack is less than
	// one retry. Retries are saved up for half a window then, and a window and a half has at
	// most twice the requests that the users count.
	smallShareRatio = 0.5
)

// RetryLimits limit the retries that all instances together may send.
type RetryLimits struct {
	// Ratio is the allowed share of retries to requests.
	Ratio float64
	// Slack is the number of retries allowed in each Window on top of Ratio.
	Slack  float64
	Window time.Duration
	// Instances is the number of instances that share Slack; 0 if it is not known.
	Instances int
}

// Share is how many retries one instance may send in a burst: its part of the slack.
func (l RetryLimits) Share() float64 {
	if l.Instances <= 0 {
		return 0
	}
	return l.Slack * retryBudgetShare / float64(l.Instances)
}

// serviceBudget is an instance's part of the retries to a service.
type serviceBudget struct {
	retry.Budget
	// halfWindow is the number of the half window to which the balance belongs, where retries are not
	// saved up for longer.
	halfWindow int64
}

// apply sets the budget to the limits in force. In any window all instances together may then send
// the slack and the ratio of the requests, whatever each of them has saved up.
func (b *serviceBudget) apply(now time.Time, l RetryLimits) {
	share := l.Share()
	if share >= 1 {
		b.Set(l.Ratio*retryBudgetShare, share)
		return
	}
	if current := now.UnixNano() / max(1, int64(l.Window/2)); current != b.halfWindow {
		b.halfWindow = current
		b.Clear()
	}
	b.Set(l.Ratio*smallShareRatio, 1)
}

// budget returns a service's retry budget, set to this instance's share of the limits. It starts empty:
// an earlier incarnation of this instance may have spent the share a moment ago.
func (f *Front) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = &serviceBudget{}
		if !f.FirstStart {
			b.Clear()
		}
		f.budgets[service] = b
	}
	b.apply(time.Now(), f.RetryLimits())
	return &b.Budget
}

// payRetry takes a retry from the budget if a target received the call before, also through another instance, and
// reports whether the call may be sent to a target. It is called last before that, since the limits hold for the
// moment at which retries arrive.
func (f *Front) payRetry(c *call) bool {
	if f.prepay(c) {
		return true
	}
	f.denyRetry(c)
	return false
}

// prepay takes the next arrival from the budget if it is a retry, and reports whether it is paid for. A carrier pays
// for it itself if its sender has not.
func (f *Front) prepay(c *call) bool {
	if c.arrivals == 0 || c.paid {
		return true
	}
	if !f.budget(c.service).TryWithdraw() {
		return false
	}
	c.paid = true
	f.Metrics.retries.WithLabelValues(c.service).Inc()
	return true
}

// denyRetry records that the budget has no retry for the call.
func (f *Front) denyRetry(c *call) {
	c.retryDenied = true
	f.Metrics.denied.WithLabelValues(c.service).Inc()
}
