package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
)

// What shows that a target has ended.
const (
	endRefused    = "refused"
	endSilent     = "silent"
	endOther      = "otherTarget"
	endRowGone    = "rowGone"
	endRestarted  = "restarted"
	endConnecting = "connectFailed"
)

const (
	// unfinishedTTL is how long the end of a target counts for a request that it left unfinished: its
	// row goes after three intervals of silence.
	unfinishedTTL = 4 * time.Second
	// failedTTL is the same for a request that the target answered with a failure: targets fail
	// requests for other reasons all the time.
	failedTTL = 1500 * time.Millisecond
	// maxUnfinished bounds the requests that are kept for a target, beyond its slots.
	maxUnfinished = 64
	// silenceProbeAfter is how long a target that closed a connection may answer nothing before it is
	// sent a health check, and silenceTimeout how long that may take. Together they are less than
	// callers wait before they send a request again.
	silenceProbeAfter = 25 * time.Millisecond
	silenceTimeout    = 300 * time.Millisecond
)

// watchDelays are the pauses between two looks at a target that closed a connection. A process that
// ends closes the others within that time.
var watchDelays = []time.Duration{
	10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond, 160 * time.Millisecond, 320 * time.Millisecond, 640 * time.Millisecond,
}

// unfinished is a request that a target did not answer, or answered with a failure.
type unfinished struct {
	fingerprint          quarantine.Fingerprint
	request, route, from string
	sent                 time.Time
	// failed is set if the target answered with a failure.
	failed bool
	at     time.Time
}

// endings keeps the requests that targets left unfinished until it is known whether the targets have
// ended. The zero value is ready to use.
type endings struct {
	// count is the number of targets with such requests.
	count   atomic.Int64
	mu      sync.Mutex
	targets map[roster.Incarnation]*endingTarget
}

// endingTarget is a target that left requests unfinished.
type endingTarget struct {
	target   *roster.Target
	requests []unfinished
	watched  bool
	// answeredSent is when the last request was sent that it answered.
	answeredSent time.Time
}

func (e *endings) add(now time.Time, t *roster.Target, u unfinished) {
	u.at = now
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	known := e.targets[t.Incarnation()]
	if known == nil {
		known = &endingTarget{target: t}
		if e.targets == nil {
			e.targets = map[roster.Incarnation]*endingTarget{}
		}
		e.targets[t.Incarnation()] = known
	}
	if len(known.requests) >= maxUnfinished {
		known.requests = known.requests[1:]
	}
	known.requests = append(known.requests, u)
	e.count.Store(int64(len(e.targets)))
}

// prune drops what does not count any more. e.mu must be held.
func (e *endings) prune(now time.Time) {
	for incarnation, known := range e.targets {
		known.requests = slices.DeleteFunc(known.requests, func(u unfinished) bool { return u.expired(now) })
		if len(known.requests) == 0 && !known.watched {
			delete(e.targets, incarnation)
		}
	}
	e.count.Store(int64(len(e.targets)))
}

func (u *unfinished) expired(now time.Time) bool {
	if u.failed {
		return now.Sub(u.at) > failedTTL
	}
	return now.Sub(u.at) > unfinishedTTL
}

// take returns the requests that a target left unfinished, and forgets them.
func (e *endings) take(now time.Time, incarnation roster.Incarnation) []unfinished {
	if e.count.Load() == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	known := e.targets[incarnation]
	if known == nil {
		return nil
	}
	requests := known.requests
	known.requests = nil
	return requests
}

// recordAnswer records that a target answered a request that was sent at the given time.
func (e *endings) recordAnswer(sent time.Time, incarnation roster.Incarnation) {
	if e.count.Load() == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.targets[incarnation]; known != nil {
		known.answeredSent = sent
	}
}

// beginWatch reports whether the target is to be watched and is not yet.
func (e *endings) beginWatch(incarnation roster.Incarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.targets[incarnation]
	if known == nil || known.watched {
		return false
	}
	known.watched = true
	return true
}

func (e *endings) endWatch(incarnation roster.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.targets[incarnation]; known != nil {
		known.watched = false
	}
}

// unanswered reports whether the target closed a connection, and has since answered no request that was
// sent later.
func (e *endings) unanswered(incarnation roster.Incarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.targets[incarnation]
	return known != nil && slices.ContainsFunc(known.requests, func(u unfinished) bool { return !u.failed && u.at.After(known.answeredSent) })
}

// others returns the other incarnations of a target that left requests unfinished.
func (e *endings) others(t *roster.Target) (list []*roster.Target) {
	if e.count.Load() == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for incarnation, known := range e.targets {
		if incarnation.ID == t.ID && incarnation.Started != t.Started {
			list = append(list, known.target)
		}
	}
	return list
}

// watchEnd looks for a while whether a target that left a request unfinished ends: whether it closes
// other connections and refuses new ones, or answers nothing any more.
func (f *Front) watchEnd(t *roster.Target) {
	if !f.endings.beginWatch(t.Incarnation()) {
		return
	}
	f.watches.Go(func() error {
		defer f.endings.endWatch(t.Incarnation())
		ctx, cancel := context.WithTimeout(f.abortContext, unfinishedTTL)
		defer cancel()
		if evidence := f.awaitEnd(ctx, t); evidence != "" {
			f.targetEnded(ctx, t, evidence)
		}
		return nil
	})
}

// awaitEnd returns what shows that the target has ended; nothing if it does not within the time.
func (f *Front) awaitEnd(ctx context.Context, t *roster.Target) (evidence string) {
	start, asked := time.Now(), false
	for _, delay := range watchDelays {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ""
		case <-timer.C:
		}
		// An open idle connection shows that the process is running, without a request to the target.
		if p := f.Pools.Get(t); (p.DropClosed() || p.IdleCount() == 0) && f.refusesConnections(ctx, t) {
			return endRefused
		}
		if asked || time.Since(start) < silenceProbeAfter || !f.endings.unanswered(t.Incarnation()) {
			continue
		}
		asked = true
		if evidence := f.checkHealth(ctx, t); evidence != "" {
			return evidence
		}
	}
	return ""
}

// checkHealth sends the target a health check, and returns what shows that it has ended.
func (f *Front) checkHealth(ctx context.Context, t *roster.Target) (evidence string) {
	table := f.Table()
	if table == nil {
		return ""
	}
	service := table.Service(t.Service)
	if service == nil || service.HealthPath == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(f.Headers.ExpectedTarget, t.ID)
	res, err := f.Pools.Get(t).Do(ctx, &pool.Request{Method: http.MethodGet, RequestURI: service.HealthPath, Host: t.Address, Header: header, IDHeader: f.Headers.RequestID})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return endRefused
	case errors.Is(err, context.DeadlineExceeded) && f.endings.unanswered(t.Incarnation()):
		return endSilent
	case err != nil:
		// A target resets connections that it has no room for.
		return ""
	}
	if err := pool.Discard(res, refusalLimit); err != nil {
		return ""
	}
	if id := res.Header.Get(f.Headers.AnsweringTarget); id != "" && id != t.ID {
		return endOther
	}
	return ""
}

// TargetsChanged must be called with the targets that the platform lists newly, and those that it lists no
// more or as draining.
func (f *Front) TargetsChanged(added, leaving []*roster.Target) {
	if f.endings.count.Load() == 0 {
		return
	}
	f.watches.Go(func() error {
		for _, t := range leaving {
			if !t.Draining {
				f.targetEnded(f.abortContext, t, endRowGone)
			}
		}
		for _, t := range added {
			for _, earlier := range f.endings.others(t) {
				f.targetEnded(f.abortContext, earlier, endRestarted)
			}
		}
		return nil
	})
}
