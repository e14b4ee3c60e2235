// Package quarantine finds poison requests, each of which ends the targets that run it, and keeps
// them from reaching further ones.
//
// When a target ends, all requests that it was running are suspects, and at most one is the cause. The
// cause ends other targets too and is never answered; others are answered elsewhere.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Threshold is how many targets must have ended under a request for it to be quarantined.
	Threshold = 3
	// answeredFor is how long an answer shows that a request is no poison: a path that many callers
	// ask for is under way whenever targets end, and is answered within that time.
	answeredFor = 2 * time.Second
	// suspectTTL is how long the end of a target counts. Callers come again within minutes.
	suspectTTL = 5 * time.Minute
	// firstDuration is how long a request is quarantined first. It doubles each time, up to
	// maxDuration: the release of a target or the data may have been corrected meanwhile, and each
	// trial ends a target if not.
	firstDuration = 10 * time.Minute
	maxDuration   = 2 * time.Hour
	// answerSpans times answeredFor is how long answers are kept: longer than most requests that a target
	// leaves without a response until it ends.
	answerSpans = 5
	// maxSuspects, maxEntries and maxAnswered (for each span) bound the memory.
	maxSuspects = 512
	maxEntries  = 32
	maxAnswered = 8192
)

// List has the suspects, the quarantined requests and those answered of late. The zero value is
// ready to use, and safe for concurrent use.
type List struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	entries  map[Fingerprint]*Entry
	// answered are the times at which requests were answered last: since rotatedAt, and in the spans
	// before it.
	answered  [answerSpans]map[Fingerprint]time.Time
	rotatedAt time.Time
}

// suspect is a request under which targets ended.
type suspect struct {
	// targets are the targets' incarnations.
	targets map[string]bool
	last    time.Time
}

// Entry is a quarantined request.
type Entry struct {
	Fingerprint Fingerprint
	// Targets are the incarnations that ended under it, as far as they are known.
	Targets []string
	// Until is when the quarantine ends. For as long again the first end of a target renews it.
	Until    time.Time
	Duration time.Duration
}

// isActive reports whether the request must not reach a target.
func (e *Entry) isActive(now time.Time) bool { return now.Before(e.Until) }

// isOver reports whether nothing is held against the request any more.
func (e *Entry) isOver(now time.Time) bool { return now.Sub(e.Until) >= e.Duration }

// Left returns how long the request must not reach a target, and false if it may.
func (l *List) Left(now time.Time, f Fingerprint) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil || !e.isActive(now) {
		return 0, false
	}
	return e.Until.Sub(now), true
}

// Suspect is a request under which fewer than Threshold targets have ended.
type Suspect struct {
	Fingerprint Fingerprint
	Targets     []string
	// Last is when the last of them ended.
	Last time.Time
}

// Suspects returns the n requests under which targets ended last.
func (l *List) Suspects(now time.Time, n int) (list []Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, s := range l.suspects {
		if now.Sub(s.last) <= suspectTTL {
			list = append(list, Suspect{f, slices.Sorted(maps.Keys(s.targets)), s.last})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return b.Last.Compare(a.Last) })
	return list[:min(n, len(list))]
}

// Empty reports whether no request is quarantined.
func (l *List) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) == 0
}

// Ends returns how many targets have ended under the request.
func (l *List) Ends(now time.Time, f Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil && !e.isOver(now) {
		return Threshold
	}
	if s := l.suspects[f]; s != nil && now.Sub(s.last) <= suspectTTL {
		return len(s.targets)
	}
	return 0
}

// MaySuspect reports whether a target's end may be due to the request that was sent to it at the given
// time: the request was not answered shortly before or after.
func (l *List) MaySuspect(sent time.Time, f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.wasAnswered(sent, f)
}

// RecordEnd records that an incarnation of a target ended while it ran the request, which was sent to it at
// the given time, as this instance or another has seen. It returns the entry if the request is quarantined by this. cleared is set if
// this instance knows better: the request was answered here of late.
func (l *List) RecordEnd(now, sent time.Time, f Fingerprint, target string) (entry *Entry, cleared bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil && !e.isOver(now) {
		return l.recordFurtherEnd(now, e, target), false
	}
	s := l.suspects[f]
	if s == nil || now.Sub(s.last) > suspectTTL {
		s = &suspect{targets: map[string]bool{}}
		l.addSuspect(f, s)
	}
	s.targets[target], s.last = true, now
	if len(s.targets) < Threshold {
		return nil, false
	}
	delete(l.suspects, f)
	if l.wasAnswered(sent, f) {
		return nil, true
	}
	e := &Entry{Fingerprint: f, Targets: slices.Sorted(maps.Keys(s.targets)), Until: now.Add(firstDuration), Duration: firstDuration}
	l.addEntry(now, e)
	l.explain(e)
	return e, false
}

// recordFurtherEnd renews an entry whose time was over. It returns nil if the request is quarantined
// already: a run may have begun before that was known.
func (l *List) recordFurtherEnd(now time.Time, e *Entry, target string) *Entry {
	if e.isActive(now) || slices.Contains(e.Targets, target) {
		return nil
	}
	renewed := &Entry{Fingerprint: e.Fingerprint, Targets: []string{target}, Duration: min(2*e.Duration, maxDuration)}
	renewed.Until = now.Add(renewed.Duration)
	l.entries[e.Fingerprint] = renewed
	return renewed
}

// explain takes the ends of targets from the other suspects: the request was their cause.
func (l *List) explain(e *Entry) {
	for f, s := range l.suspects {
		for _, target := range e.Targets {
			delete(s.targets, target)
		}
		if len(s.targets) == 0 {
			delete(l.suspects, f)
		}
	}
}

// RecordAnswer records that a target has answered the request. It reports whether the request was
// suspected or quarantined, which must be reported to other instances.
func (l *List) RecordAnswer(now time.Time, f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateAnswered(now)
	if len(l.answered[0]) < maxAnswered {
		if l.answered[0] == nil {
			l.answered[0] = map[Fingerprint]time.Time{}
		}
		l.answered[0][f] = now
	}
	return l.clear(f)
}

// Clear drops all that is held against the request. It reports whether anything was.
func (l *List) Clear(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(f)
}

func (l *List) clear(f Fingerprint) bool {
	known := l.suspects[f] != nil || l.entries[f] != nil
	delete(l.suspects, f)
	delete(l.entries, f)
	return known
}

// Merge adds an entry that another instance has. It reports whether the request was not quarantined
// here before.
func (l *List) Merge(now time.Time, e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.isOver(now) || l.wasAnswered(now, e.Fingerprint) {
		return false
	}
	if known := l.entries[e.Fingerprint]; known != nil && !known.Until.Before(e.Until) {
		return false
	}
	added := l.entries[e.Fingerprint] == nil
	delete(l.suspects, e.Fingerprint)
	l.addEntry(now, &e)
	return added
}

// Entries returns the quarantined requests, also those whose next end renews the quarantine.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return nil
	}
	l.dropOver(now)
	list := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// Count returns the number of suspects, and of quarantined requests.
func (l *List) Count(now time.Time) (suspects, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.isActive(now) {
			quarantined++
		}
	}
	for _, s := range l.suspects {
		if now.Sub(s.last) <= suspectTTL {
			suspects++
		}
	}
	return suspects, quarantined
}

func (l *List) addSuspect(f Fingerprint, s *suspect) {
	if l.suspects == nil {
		l.suspects = map[Fingerprint]*suspect{}
	}
	if len(l.suspects) >= maxSuspects {
		var oldest Fingerprint
		var at time.Time
		for other, known := range l.suspects {
			if at.IsZero() || known.last.Before(at) {
				oldest, at = other, known.last
			}
		}
		delete(l.suspects, oldest)
	}
	l.suspects[f] = s
}

// addEntry adds an entry. If there are too many, the one that ends first is dropped.
func (l *List) addEntry(now time.Time, e *Entry) {
	l.dropOver(now)
	if l.entries == nil {
		l.entries = map[Fingerprint]*Entry{}
	}
	if l.entries[e.Fingerprint] == nil && len(l.entries) >= maxEntries {
		var first *Entry
		for _, other := range l.entries {
			if first == nil || other.Until.Before(first.Until) {
				first = other
			}
		}
		delete(l.entries, first.Fingerprint)
	}
	l.entries[e.Fingerprint] = e
}

func (l *List) dropOver(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ Fingerprint, e *Entry) bool { return e.isOver(now) })
}

// wasAnswered reports whether the request was answered after the given time, or within answeredFor before.
func (l *List) wasAnswered(at time.Time, f Fingerprint) bool {
	for _, span := range l.answered {
		if answeredAt, ok := span[f]; ok {
			return at.Sub(answeredAt) < answeredFor
		}
	}
	return false
}

// rotateAnswered begins a new span of answers when the last is over.
func (l *List) rotateAnswered(now time.Time) {
	if now.Sub(l.rotatedAt) < answeredFor {
		return
	}
	copy(l.answered[1:], l.answered[:answerSpans-1])
	l.answered[0], l.rotatedAt = nil, now
}
