// Package lograte bounds how many log lines each event may write, so that one
// event that repeats under load neither costs the processor nor pushes the
// others' lines out.
package lograte

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
)

const (
	// defaultLimit is how many lines an event may write in a window where Limit
	// is zero: more than an instance answers requests at the load it is made for.
	defaultLimit = 400
	// window is the time in which lines are counted.
	window = time.Second
)

// Handler is a slog.Handler that passes on a limited number of lines for each
// event, and counts the others in a line of their own. Next must be set.
type Handler struct {
	Next slog.Handler
	// Limit is how many lines an event may write in a second; zero is 400.
	Limit int

	counts *counts
	once   sync.Once
}

// counts are the lines of each event in the present window.
type counts struct {
	mu    sync.Mutex
	began time.Time
	seen  map[int64]int
}

// Enabled passes the question on.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.Next.Enabled(ctx, l) }

// WithAttrs returns a handler that counts together with this one.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{Next: h.Next.WithAttrs(a), Limit: h.Limit, counts: h.shared()}
}

// WithGroup returns a handler that counts together with this one.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Next: h.Next.WithGroup(name), Limit: h.Limit, counts: h.shared()}
}

// Handle writes the line unless its event has written too many.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	c := h.shared()
	number := numberOf(r)
	c.mu.Lock()
	left := c.roll(r.Time, h.limit())
	c.seen[number]++
	over := number != 0 && c.seen[number] > h.limit()
	c.mu.Unlock()
	log := slog.New(h.Next)
	for n, lines := range left {
		event.LinesLeftOut.Log(log, "of", n, "lines", lines)
	}
	if over {
		return nil
	}
	return h.Next.Handle(ctx, r)
}

func (h *Handler) limit() int {
	if h.Limit > 0 {
		return h.Limit
	}
	return defaultLimit
}

func (h *Handler) shared() *counts {
	h.once.Do(func() {
		if h.counts == nil {
			h.counts = &counts{seen: map[int64]int{}}
		}
	})
	return h.counts
}

// roll begins a new window if the present one is over, and returns how many
// lines of which events were left out in that.
func (c *counts) roll(now time.Time, limit int) map[int64]int {
	if now.Sub(c.began) < window {
		return nil
	}
	var left map[int64]int
	for n, seen := range c.seen {
		if n == 0 || seen <= limit {
			continue
		}
		if left == nil {
			left = map[int64]int{}
		}
		left[n] = seen - limit
	}
	c.began = now
	clear(c.seen)
	return left
}

// numberOf returns the event's number; 0 if the line has none.
func numberOf(r slog.Record) (number int64) {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == event.NumberKey {
			number = a.Value.Int64()
			return false
		}
		return true
	})
	return number
}
