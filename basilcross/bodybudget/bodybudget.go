// Package bodybudget limits the bytes of request bodies that an instance holds.
package bodybudget

import (
	"fmt"
	"sync"
	"time"
)

const (
	// SmallBody is the size up to which a body is small. Small bodies have a part of the budget to
	// themselves, so that they are not refused because of large ones.
	SmallBody = 8 << 10
	// smallPart is that part of the budget: one in smallPart.
	smallPart = 8
	// largestPart is the part of the budget that a large body may take beside others: one in largestPart.
	largestPart = 4
	// StallTime is the time in which StallBytes must arrive of a body while others are refused. It
	// allows for the retransmission of a lost packet or two.
	StallTime = 1500 * time.Millisecond
	// StallBytes is the least that must arrive in StallTime.
	StallBytes = 1 << 10
	// initialHoldTime is the estimate of the time for which a body is held until bodies were released.
	initialHoldTime = time.Second
	// holdTimeParts is how often the bytes that a class may take are released until an earlier estimate
	// of that time has a weight of 1/e.
	holdTimeParts = 2
)

// Reason says why a body was refused, or lost its share.
type Reason string

// The reasons.
const (
	// Full: the body does not fit into what is left.
	Full Reason = "full"
	// Quarter: the body would take more than a quarter of the budget while others are held.
	Quarter Reason = "quarter"
	// SmallFull: small bodies take the whole part that is kept for them, and the others take the rest.
	SmallFull Reason = "smallFull"
	// Stalled: the body arrived too slowly while others were refused.
	Stalled Reason = "stalled"
)

// FullError reports that a body does not fit.
type FullError struct {
	Reason Reason
	// Size is the number of bytes that the body wants, Held that of all bodies, Limit the budget.
	Size, Held, Limit int64
	// RetryAfter is the time after which the body is expected to fit.
	RetryAfter time.Duration
}

func (e *FullError) Error() string {
	return fmt.Sprintf("bodybudget: %s: no room for %d bytes: %d of %d are held", e.Reason, e.Size, e.Held, e.Limit)
}

// Budget shares out the bytes that bodies may take. A body that is larger than the budget is held alone,
// beside small ones. The zero value has no limit. It is safe for concurrent use.
type Budget struct {
	// Bytes is the limit; 0 is none. It must not change while shares are held.
	Bytes int64

	mu    sync.Mutex
	small held
	large held
}

// held are the bodies of a class.
type held struct {
	count int
	bytes int64
	// epoch is the time from which ages are counted; ageSum is the sum of size x begin since then, in
	// byte seconds.
	epoch     time.Time
	ageSum    float64
	refusedAt time.Time
	// holdTime is the mean time for which bodies were held, weighted by their sizes, and releasedBytes the
	// bytes from which it was taken, up to holdTimeParts times the class's capacity; 0 if none were released.
	holdTime      time.Duration
	releasedBytes int64
	// promised is the number of bytes of refused bodies that are expected to return for the room
	// that is released next; promisedAt is when that was so.
	promised   float64
	promisedAt time.Time
}

func (h *held) add(s *Share, sign int64) {
	if h.epoch.IsZero() {
		h.epoch = s.began
	}
	h.count += int(sign)
	h.bytes += sign * s.size
	h.ageSum += float64(sign*s.size) * s.began.Sub(h.epoch).Seconds()
	if h.count == 0 {
		h.epoch, h.ageSum = time.Time{}, 0
	}
}

// expectedHoldTime returns the time for which a body is held: the mean so far, or the mean age of those
// that are held now if they are held for longer.
func (h *held) expectedHoldTime(now time.Time) time.Duration {
	expected := h.holdTime
	if expected == 0 {
		expected = initialHoldTime
	}
	if h.bytes > 0 {
		begin := time.Duration(h.ageSum / float64(h.bytes) * float64(time.Second))
		expected = max(expected, now.Sub(h.epoch)-begin)
	}
	return expected
}

// wait returns the time after which the missing bytes are expected to be released, and those that were
// promised to others before. The class may take capacity bytes, and releases as many in the time for
// which a body is held. If the caller waits that long, the bytes are promised to it.
func (h *held) wait(now time.Time, missing, size, capacity int64, maxWait time.Duration) time.Duration {
	hold := h.expectedHoldTime(now)
	released := float64(capacity) * now.Sub(h.promisedAt).Seconds() / hold.Seconds()
	h.promised, h.promisedAt = max(0, h.promised-released), now
	part := h.promised / float64(capacity)
	if h.bytes > 0 {
		part += float64(min(max(missing, 0), h.bytes)) / float64(h.bytes)
	}
	wait := time.Duration(part * float64(hold))
	if wait <= maxWait {
		h.promised += float64(min(size, capacity))
	}
	return wait
}

// recordRelease updates the mean time for which bodies are held.
func (h *held) recordRelease(took time.Duration, released, capacity int64) {
	took = max(took, time.Millisecond)
	h.releasedBytes = min(h.releasedBytes+released, holdTimeParts*capacity)
	weight := min(1, float64(released)/float64(max(1, h.releasedBytes)))
	h.holdTime += time.Duration(weight * float64(took-h.holdTime))
}

// Share is what one body takes of a Budget. Its methods do nothing after its release.
type Share struct {
	budget   *Budget
	size     int64
	began    time.Time
	released bool
	// checkedAt is when Stalled was called last, and received what had arrived by then.
	checkedAt time.Time
	received  int64
}

// Limited reports whether there is a limit.
func (b *Budget) Limited() bool { return b != nil && b.Bytes > 0 }

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small.bytes + b.large.bytes
}

// Reserve takes the bytes for a body; a body of unknown length begins with what it needs first. If they
// do not fit, the error is a *FullError. The caller that sends the body waits for at most maxWait
// before it returns, so a later time is promised to others.
func (b *Budget) Reserve(now time.Time, size int64, maxWait time.Duration) (*Share, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Share{budget: b, began: now, checkedAt: now}
	if reason := b.refuses(s, size); reason != "" {
		return nil, b.refuse(now, reason, size, size, maxWait)
	}
	s.size = size
	b.class(size).add(s, 1)
	return s, nil
}

// Grow makes the share as large as size. If the bytes do not fit, the error is a *FullError, and the
// share stays as it is.
func (s *Share) Grow(now time.Time, size int64, maxWait time.Duration) error {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.released || size <= s.size {
		return nil
	}
	if reason := b.refuses(s, size); reason != "" {
		return b.refuse(now, reason, size, size-s.size, maxWait)
	}
	s.resize(size)
	return nil
}

// Shrink releases all but size bytes of the share.
func (s *Share) Shrink(now time.Time, size int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.released || size >= s.size {
		return
	}
	s.budget.release(now, s, s.size-size)
	s.resize(size)
}

// Release gives the share back.
func (s *Share) Release(now time.Time) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.released {
		return
	}
	s.budget.release(now, s, s.size)
	s.budget.class(s.size).add(s, -1)
	s.size, s.released = 0, true
}

// resize changes the share's size, and with it perhaps its class. s.budget.mu must be held.
func (s *Share) resize(size int64) {
	s.budget.class(s.size).add(s, -1)
	s.size = size
	s.budget.class(size).add(s, 1)
}

// Stalled reports whether a body must give its share back, since it arrives too slowly while others are
// refused. It is called each StallTime with the number of bytes received so far. A small body stalls only
// while small ones are refused.
func (s *Share) Stalled(now time.Time, received int64) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	slow := received-s.received < StallBytes
	since := s.checkedAt
	s.checkedAt, s.received = now, received
	if !slow || s.released {
		return false
	}
	refused := b.small.refusedAt
	if s.size > SmallBody && b.large.refusedAt.After(refused) {
		refused = b.large.refusedAt
	}
	return !refused.IsZero() && !refused.Before(since)
}

func (b *Budget) class(size int64) *held {
	if size <= SmallBody {
		return &b.small
	}
	return &b.large
}

// refuses returns why a share can't have the size; nothing if it can. b.mu must be held.
func (b *Budget) refuses(s *Share, size int64) Reason {
	if b.Bytes <= 0 {
		return ""
	}
	small, large, others := b.small.bytes, b.large.bytes, b.large.count
	if s.size > SmallBody {
		large -= s.size
		others--
	} else {
		small -= s.size
	}
	if size <= SmallBody {
		if small+size <= b.Bytes/smallPart || small+size+large <= b.Bytes || small+large == 0 {
			return ""
		}
		return SmallFull
	}
	switch {
	case others == 0 && size > b.Bytes-b.Bytes/smallPart && small <= b.Bytes/smallPart:
		return ""
	case others > 0 && size > b.Bytes/largestPart:
		return Quarter
	case large+size > b.Bytes-max(small, b.Bytes/smallPart):
		return Full
	}
	return ""
}

// refuse records a refusal and returns it. Of size, more bytes are missing. b.mu must be held.
func (b *Budget) refuse(now time.Time, reason Reason, size, more int64, maxWait time.Duration) error {
	h := b.class(size)
	h.refusedAt = now
	missing := h.bytes + more - b.capacity(h)
	if reason == Quarter {
		missing = h.bytes
	}
	return &FullError{
		Reason: reason, Size: size, Held: b.small.bytes + b.large.bytes, Limit: b.Bytes,
		RetryAfter: h.wait(now, missing, more, b.capacity(h), maxWait),
	}
}

// capacity returns the number of bytes that a class may take while the others take all they may.
func (b *Budget) capacity(h *held) int64 {
	if h == &b.small {
		return max(1, b.Bytes/smallPart)
	}
	return max(1, b.Bytes-max(b.small.bytes, b.Bytes/smallPart))
}

// release records that bytes of a share are released. b.mu must be held.
func (b *Budget) release(now time.Time, s *Share, bytes int64) {
	if b.Bytes > 0 {
		h := b.class(s.size)
		h.recordRelease(now.Sub(s.began), bytes, b.capacity(h))
	}
}
