// Package experiment plays loads against the product's decisions about slots, in
// virtual time and without a network, and sets them beside what a queue could do
// that knows everything ahead.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Load is who asks for what, and who serves it. All times are in milliseconds.
type Load struct {
	Name    string `json:"name"`
	Seconds int    `json:"seconds"`
	// Levels are the loads to play, as shares of what the targets can do.
	Levels []float64 `json:"levels"`
	// Sharded requests have one target each; others may go to any one.
	Sharded bool `json:"divided"`
	// HotTargetShare of all requests goes to one target of a divided service, beside
	// its own part.
	HotTargetShare float64  `json:"busyShare"`
	Targets        []Target `json:"targets"`
	Kinds          []Kind   `json:"kinds"`
	// OneWayDelays are the times of a message to and from the instances by which
	// callers come, one for each instance.
	OneWayDelays []float64 `json:"transitsMs"`
	Bursts       []Burst   `json:"bursts"`
	// ImmediateRetryShare is the share of callers that repeat at once, whatever they are told.
	ImmediateRetryShare float64 `json:"atOnceShare"`
}

// Target is a group of equal targets.
type Target struct {
	Count int `json:"count"`
	Slots int `json:"slots"`
	// Slowness is how long they need for the work of an average one.
	Slowness float64 `json:"slowness"`
	// ShedShare is the share of requests that they refuse by chance.
	ShedShare float64 `json:"shedShare"`
	// SlowFrom and SlowFor are when they need SlowTimes as long.
	SlowFrom     float64 `json:"slowFromMs"`
	SlowDuration float64 `json:"slowForMs"`
	SlowFactor   float64 `json:"slowTimes"`
}

// Kind is a kind of request.
type Kind struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// MeanWork is the mean for an average target, Spread the most by which it
	// differs, as a share of it.
	MeanWork  float64 `json:"workMs"`
	Spread    float64 `json:"spread"`
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	Priority  int     `json:"priority"`
	Objective float64 `json:"objectiveMs"`
	Deadline  float64 `json:"deadlineMs"`
	// MaxRetries is how often a caller comes back that was refused.
	MaxRetries int `json:"retries"`
}

// Burst is a time with more requests than usual.
type Burst struct {
	Start    float64 `json:"atMs"`
	Duration float64 `json:"forMs"`
	Factor   float64 `json:"times"`
}

// FieldError says which field of a load cannot be used, and why.
type FieldError struct {
	Field, Want string
}

func (e *FieldError) Error() string { return e.Field + ": want " + e.Want }

// Parse decodes a load and checks it.
func Parse(text []byte) (*Load, error) {
	l := &Load{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(l); err != nil {
		return nil, fmt.Errorf("parse load: %w", err)
	}
	return l, l.Validate()
}

// Read reads a load from a file.
func Read(file string) (*Load, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	l, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return l, nil
}

// Validate returns all that cannot be used, as a *FieldError each.
func (l *Load) Validate() error {
	var errs []error
	check := func(ok bool, field, want string) {
		if !ok {
			errs = append(errs, &FieldError{Field: field, Want: want})
		}
	}
	check(l.Name != "", "name", "a name")
	check(l.Seconds > 0, "seconds", "a number above 0")
	check(len(l.Levels) > 0, "levels", "at least one")
	for i, v := range l.Levels {
		check(v > 0, fmt.Sprintf("levels[%d]", i), "a number above 0")
	}
	check(0 <= l.HotTargetShare && l.HotTargetShare < 1, "busyShare", "a share below 1")
	check(l.HotTargetShare == 0 || l.Sharded, "busyShare", "a divided service")
	check(0 <= l.ImmediateRetryShare && l.ImmediateRetryShare <= 1, "atOnceShare", "a share")
	check(len(l.OneWayDelays) > 0, "transitsMs", "at least one")
	check(len(l.Targets) > 0, "targets", "at least one")
	for i, t := range l.Targets {
		at := fmt.Sprintf("targets[%d].", i)
		check(t.Count > 0, at+"count", "a number above 0")
		check(t.Slots > 0, at+"slots", "a number above 0")
		check(t.Slowness > 0, at+"slowness", "a number above 0")
		check(0 <= t.ShedShare && t.ShedShare < 1, at+"shedShare", "a share below 1")
		check(t.SlowDuration == 0 || t.SlowFactor > 0, at+"slowTimes", "a number above 0")
	}
	check(len(l.Kinds) > 0, "kinds", "at least one")
	for i, k := range l.Kinds {
		at := fmt.Sprintf("kinds[%d].", i)
		check(k.Name != "", at+"name", "a name")
		check(k.Share > 0, at+"share", "a number above 0")
		check(k.MeanWork > 0, at+"workMs", "a number above 0")
		check(0 <= k.Spread && k.Spread < 1, at+"spread", "a share below 1")
		check(k.Worth > 0, at+"worth", "a number above 0")
		check(0 <= k.LateWorth && k.LateWorth <= k.Worth, at+"lateWorth", "at most worth")
		check(k.Objective > 0, at+"objectiveMs", "a number above 0")
		check(k.Deadline >= k.Objective, at+"deadlineMs", "at least objectiveMs")
	}
	for i, b := range l.Bursts {
		check(b.Factor > 0, fmt.Sprintf("bursts[%d].times", i), "a number above 0")
	}
	return errors.Join(errs...)
}

// capacity is how many requests per second the targets can do, if the work is
// shared out evenly.
func (l *Load) capacity() float64 {
	work, shares := 0.0, 0.0
	for _, k := range l.Kinds {
		work += k.Share * k.MeanWork / 1000
		shares += k.Share
	}
	can := 0.0
	for _, t := range l.Targets {
		can += float64(t.Count*t.Slots) / t.Slowness
	}
	return can / (work / shares)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
