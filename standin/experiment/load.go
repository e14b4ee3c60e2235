// Package experiment simulates loads against the product's scheduler, in virtual time
// and without a network, and compares the results with those of an oracle and of
// queues in order of arrival.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Load describes the requests of a simulation and its targets. Times are in
// milliseconds, except Seconds, which is the length of a run.
type Load struct {
	Name    string `json:"name"`
	Seconds int    `json:"seconds"`
	// Levels are the request rates to simulate, as shares of the targets' capacity.
	Levels []float64 `json:"levels"`
	// Sharded requests have one target each; others may go to any target.
	Sharded bool `json:"divided"`
	// HotTargetShare of all requests goes to one target of a sharded service, in
	// addition to its regular share.
	HotTargetShare float64  `json:"busyShare"`
	Targets        []Target `json:"targets"`
	Kinds          []Kind   `json:"kinds"`
	// OneWayDelays are the network delays of a message to or from an instance, one
	// for each instance that receives requests.
	OneWayDelays []float64 `json:"transitsMs"`
	Bursts       []Burst   `json:"bursts"`
	// ImmediateRetryShare is the share of callers that retry without the requested wait.
	ImmediateRetryShare float64 `json:"atOnceShare"`
	// Admission, Waitlist and Pace switch on the features of the same names.
	Admission bool `json:"admission"`
	Waitlist  bool `json:"waitlist"`
	// FirstAttemptKnown counts the objective of a caller retry from the first attempt, as a perfect
	// estimate of that attempt's time would.
	FirstAttemptKnown bool `json:"firstAttemptKnown"`
	Pace              bool `json:"pace"`

	// observe, if set, is called with each request's outcome.
	observe func(r *request, inTime bool)
}

// Target is a group of identical targets.
type Target struct {
	Count int `json:"count"`
	Slots int `json:"slots"`
	// Slowness is the processing time as a multiple of an average target's.
	Slowness float64 `json:"slowness"`
	// ShedShare is the probability that a target sheds a request.
	ShedShare float64 `json:"shedShare"`
	// SlowFactor multiplies Slowness from SlowFrom on for SlowDuration.
	SlowFrom     float64 `json:"slowFromMs"`
	SlowDuration float64 `json:"slowForMs"`
	SlowFactor   float64 `json:"slowTimes"`
	// Added is when the targets are added; 0 if they are there from the beginning.
	Added float64 `json:"addedMs"`
	// The targets end at Lost, and start again at Back under the same IDs.
	Lost float64 `json:"lostMs"`
	Back float64 `json:"backMs"`
	// From RestFrom on for RestDuration they turn requests away and ask for a rest until its end.
	RestFrom     float64 `json:"restFromMs"`
	RestDuration float64 `json:"restForMs"`
	// From FlapFrom on until FlapEnd they accept no connections during the first FlapDown of each FlapPeriod.
	FlapFrom   float64 `json:"flapFromMs"`
	FlapEnd    float64 `json:"flapEndMs"`
	FlapPeriod float64 `json:"flapEveryMs"`
	FlapDown   float64 `json:"flapForMs"`
}

// Kind is a kind of request, with its share of the load and what a response is worth.
type Kind struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// MeanWork is the mean processing time at an average target; Spread is the
	// largest deviation from it, as a share of it.
	MeanWork float64 `json:"workMs"`
	Spread   float64 `json:"spread"`
	// Sigma, if above 0, makes the work lognormal instead; it is the standard deviation of
	// the work's logarithm.
	Sigma float64 `json:"sigma"`
	// TailShare of the requests take a random multiple of their work, between the two
	// TailFactors. MeanWork includes them.
	TailShare   float64    `json:"tail"`
	TailFactors [2]float64 `json:"tailTimes"`
	Worth       float64    `json:"worth"`
	LateWorth   float64    `json:"lateWorth"`
	Priority    int        `json:"priority"`
	Objective   float64    `json:"objectiveMs"`
	Deadline    float64    `json:"deadlineMs"`
	// DeadlineSpread is by how much the deadlines of callers are shorter at most, as a share
	// of Deadline; they are evenly distributed.
	DeadlineSpread float64 `json:"deadlineSpread"`
	// MaxRetries is how often a refused caller retries.
	MaxRetries int `json:"retries"`
}

// Burst multiplies the request rate by Factor from Start on for Duration.
type Burst struct {
	Start    float64 `json:"atMs"`
	Duration float64 `json:"forMs"`
	Factor   float64 `json:"times"`
}

// FieldError reports an invalid field of a load and what is expected of it.
type FieldError struct {
	Field, Want string
}

func (e *FieldError) Error() string { return e.Field + ": want " + e.Want }

// Parse decodes a load and validates it; unknown fields are errors.
func Parse(text []byte) (*Load, error) {
	l := &Load{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(l); err != nil {
		return nil, fmt.Errorf("parse load: %w", err)
	}
	return l, l.Validate()
}

// Read reads and validates a load from a file.
func Read(file string) (*Load, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	l, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("load file %s: %w", file, err)
	}
	return l, nil
}

// Validate returns all invalid fields, joined, as a *FieldError each.
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
	check(l.HotTargetShare == 0 || l.Sharded, "busyShare", "a sharded service (divided: true)")
	check(0 <= l.ImmediateRetryShare && l.ImmediateRetryShare <= 1, "atOnceShare", "a share from 0 to 1")
	check(len(l.OneWayDelays) > 0, "transitsMs", "at least one")
	check(len(l.Targets) > 0, "targets", "at least one")
	for i, t := range l.Targets {
		t.validate(check, fmt.Sprintf("targets[%d].", i))
	}
	check(len(l.Kinds) > 0, "kinds", "at least one")
	for i, k := range l.Kinds {
		k.validate(check, fmt.Sprintf("kinds[%d].", i))
	}
	for i, b := range l.Bursts {
		check(b.Factor > 0, fmt.Sprintf("bursts[%d].times", i), "a number above 0")
	}
	return errors.Join(errs...)
}

// validate checks the kind's fields, whose names begin with prefix.
func (k *Kind) validate(check func(ok bool, field, want string), prefix string) {
	check(k.Name != "", prefix+"name", "a name")
	check(k.Share > 0, prefix+"share", "a number above 0")
	check(k.MeanWork > 0, prefix+"workMs", "a number above 0")
	check(0 <= k.Spread && k.Spread < 1, prefix+"spread", "a share below 1")
	check(k.Sigma >= 0 && (k.Sigma == 0 || k.Spread == 0), prefix+"sigma", "a number of 0 or more, without spread")
	check(0 <= k.TailShare && k.TailShare < 1, prefix+"tail", "a share below 1")
	check(k.TailShare == 0 || 0 < k.TailFactors[0] && k.TailFactors[0] <= k.TailFactors[1], prefix+"tailTimes", "two numbers above 0, the lower one first")
	check(0 <= k.DeadlineSpread && k.Deadline*(1-k.DeadlineSpread) >= k.Objective, prefix+"deadlineSpread", "a share that leaves objectiveMs")
	check(k.Worth > 0, prefix+"worth", "a number above 0")
	check(0 <= k.LateWorth && k.LateWorth <= k.Worth, prefix+"lateWorth", "at most worth")
	check(k.Objective > 0, prefix+"objectiveMs", "a number above 0")
	check(k.Deadline >= k.Objective, prefix+"deadlineMs", "at least objectiveMs")
}

// validate checks the fields of the targets, whose names begin with prefix.
func (t *Target) validate(check func(ok bool, field, want string), prefix string) {
	check(t.Count > 0, prefix+"count", "a number above 0")
	check(t.Slots > 0, prefix+"slots", "a number above 0")
	check(t.Slowness > 0, prefix+"slowness", "a number above 0")
	check(0 <= t.ShedShare && t.ShedShare < 1, prefix+"shedShare", "a share below 1")
	check(t.Lost == 0 || t.Back > t.Lost, prefix+"backMs", "a time after lostMs")
	check(t.FlapEnd == 0 || t.FlapPeriod > 0, prefix+"flapEveryMs", "a number above 0")
	check(t.SlowDuration == 0 || t.SlowFactor > 0, prefix+"slowTimes", "a number above 0")
}

// capacity returns the requests per second that the targets can serve if work is distributed evenly.
func (l *Load) capacity() float64 {
	work, shares := 0.0, 0.0
	for _, k := range l.Kinds {
		work += k.Share * k.MeanWork / 1000
		shares += k.Share
	}
	slots := 0.0
	for _, t := range l.Targets {
		slots += float64(t.Count*t.Slots) / t.Slowness
	}
	return slots / (work / shares)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
