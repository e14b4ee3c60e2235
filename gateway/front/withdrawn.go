package front

import (
	"context"
	"net/http"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
)

// maxExcluded bounds the withdrawn targets in a request for a slot, so that it fits into a datagram. The
// others are passed over just before the request is sent.
const maxExcluded = 24

// excludedTargets returns the targets that a call must not be sent to: those that it was sent to before, and
// those that want no requests from this instance.
func (f *Front) excludedTargets(c *call) map[string]bool {
	withdrawn, _ := f.Withdrawn.Withdrawn(time.Now(), c.service)
	if len(withdrawn) == 0 {
		return c.excluded
	}
	all := map[string]bool{}
	for id := range c.excluded {
		all[id] = true
	}
	for _, id := range withdrawn {
		if len(all) < maxExcluded {
			all[id] = true
		}
	}
	return all
}

// TargetLeavesError is returned for a request whose target is not listed any more, or is listed as leaving.
type TargetLeavesError struct{ Target string }

func (e *TargetLeavesError) Error() string { return "front: target " + e.Target + " leaves" }

// checkListed returns a *TargetLeavesError if the call must not be sent to its target, which may have begun to leave
// while the call waited for a slot or a connection. A thin instance lists no targets; its hub has checked.
func (f *Front) checkListed(now time.Time, c *call, t *roster.Target) error {
	c.leavingFor = 0
	if f.Thin() {
		return nil
	}
	listed := f.Roster.Load().Find(t.ID)
	if listed == nil || listed.Started != t.Started || !listed.Accepts(now, c.sharded) {
		return &TargetLeavesError{Target: t.ID}
	}
	if listed.Draining {
		c.leavingFor = now.Sub(listed.LeavingSince)
		f.Metrics.afterLeaving.WithLabelValues(c.service).Observe(c.leavingFor.Seconds())
	}
	return nil
}

// passOverWithdrawn makes the next attempt choose another target than one that wants no request from this
// instance. The owner of a key cannot be passed over: another instance may send it the call, or the key moves
// to another one if it leaves.
func (f *Front) passOverWithdrawn(ctx context.Context, c *call, t *roster.Target, wait time.Duration) (*targetResponse, *refusal) {
	c.lastTarget = t.ID
	r := newNotRun(causeTargetRests, wait)
	if wait == 0 {
		r = newNotRun(causeTargetLeaves, retryAfterNoTarget)
	}
	f.logAttempt(c, r, nil)
	switch {
	case !c.sharded:
		f.exclude(c, t.ID)
	case wait == 0:
		r.awaitOwner = true
	default:
		return f.sendElsewhere(ctx, c, wait)
	}
	return nil, r
}

// sendElsewhere sends a call through another instance, since the targets want no requests from this one for
// the given time. If none would serve it, it is refused for that time.
func (f *Front) sendElsewhere(ctx context.Context, c *call, wait time.Duration) (*targetResponse, *refusal) {
	if c.mayForward() {
		response, refused := f.forward(ctx, c)
		if !c.declined {
			return response, refused
		}
	}
	r := newNotRun(causeTargetRests, wait)
	r.final = true
	return nil, r
}

// minProlonged is the least time by which a rest must be prolonged to be logged: all requests under way
// get the same answer.
const minProlonged = 100 * time.Millisecond

// recordWithdrawal records that the target wants no requests of this instance for a while, or leaves.
func (f *Front) recordWithdrawal(c *call, t *roster.Target, res *http.Response) {
	now := time.Now()
	for _, text := range res.Header.Values(f.Headers.Leaving) {
		leaving, err := f.ParseLeaving(text)
		if err != nil {
			f.logWithdrawalUnusable(c, t, text, err)
		}
		if leaving && f.Withdrawn.Leave(now, t) {
			f.OnLeaving(t)
		}
	}
	if res.StatusCode != http.StatusServiceUnavailable {
		f.Withdrawn.Answered(now, t.Incarnation())
		return
	}
	rests := false
	for _, text := range res.Header.Values(f.Headers.Rest) {
		rest, err := f.ParseRest(text)
		if err != nil {
			f.logWithdrawalUnusable(c, t, text, err)
			continue
		}
		rests = rests || rest > 0
		if prolonged := f.Withdrawn.Rest(now, t, rest); prolonged >= minProlonged {
			event.TargetRests.Log(f.Log, "request", c.id, "target", t.ID, "service", t.Service, "forMs", rest.Milliseconds())
		}
	}
	if !rests {
		f.Withdrawn.Answered(now, t.Incarnation())
	}
}

func (f *Front) logWithdrawalUnusable(c *call, t *roster.Target, text string, err error) {
	if _, logged := f.withdrawalErrors.LoadOrStore(c.service, true); !logged {
		event.WithdrawalUnusable.Log(f.Log, "service", c.service, "target", t.ID, "text", text, "error", err)
	}
}

// shedResult returns how a request ended that its target turned away. Versions that do not know Rested ignore
// the result, so it is used only where the scheduler paces targets.
func (f *Front) shedResult(t *roster.Target) schedule.Result {
	if wait, ok := f.Withdrawn.Check(time.Now(), t.Incarnation(), true); f.Pace && !ok && wait > 0 {
		return schedule.Rested
	}
	return schedule.Shed
}
