package speed

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"basilcross.example/basilcross/roster"
)

const (
	// rowVersion is the version of the row's format.
	rowVersion = 1
	// maxRowBytes bounds a row, since the store limits its values to 64 KB.
	maxRowBytes = 60 << 10
	// minKeptAnswers is the number of responses below which an estimate is not worth keeping.
	minKeptAnswers = 4.0
	// significantChange is the relative change of an estimate above which a row is written again. It is
	// beyond what changes by chance: maxChance standard deviations of responseDeviation, that of the
	// logarithm of one response's time. Of hundreds of targets, some always change by a tenth by chance.
	significantChange = 0.1
	maxChance         = 2.5
	responseDeviation = 0.85
)

// VersionError is returned for a row whose format has a version that is not known.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("speed row has unknown version %d", e.Version)
}

// row is the value of a row. The estimates are in arrays, since names of fields would make up most of
// its bytes.
type row struct {
	Version int `json:"version"`
	// Targets are [id, started, microseconds, answers].
	Targets []rowTarget `json:"targets"`
}

type rowTarget struct {
	id                             string
	started, microseconds, answers int64
}

func (t rowTarget) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{t.id, t.started, t.microseconds, t.answers})
}

func (t *rowTarget) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&t.id, &t.started, &t.microseconds, &t.answers})
}

// Encode returns the row that keeps the estimates. The least certain ones are left out if it would be
// too large.
func Encode(estimates []Estimate) []byte {
	list := slices.Clone(estimates)
	slices.SortStableFunc(list, func(a, b Estimate) int { return int(b.Answers) - int(a.Answers) })
	r := row{Version: rowVersion, Targets: []rowTarget{}}
	size := 0
	for _, e := range list {
		t := rowTarget{e.Target.ID, e.Target.Started, int64(math.Round(e.Seconds * 1e6)), int64(e.Answers)}
		text, err := t.MarshalJSON()
		if size += len(text) + 1; err != nil || size > maxRowBytes || t.answers < minKeptAnswers {
			break
		}
		r.Targets = append(r.Targets, t)
	}
	text, err := json.Marshal(r)
	if err != nil {
		panic("speed: encode row: " + err.Error())
	}
	return text
}

// Decode decodes a row. Estimates that cannot be valid are left out. The error is a *VersionError if the
// row's version is not known.
func Decode(text []byte) ([]Estimate, error) {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, fmt.Errorf("decode speed row: %w", err)
	}
	if head.Version != rowVersion {
		return nil, &VersionError{Version: head.Version}
	}
	r := row{}
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("decode speed row: %w", err)
	}
	var list []Estimate
	for _, t := range r.Targets {
		e := Estimate{roster.Incarnation{ID: t.id, Started: t.started}, float64(t.microseconds) / 1e6, float64(t.answers)}
		if e.valid() {
			list = append(list, e)
		}
	}
	return list, nil
}

// Changed reports whether the estimates differ from the kept ones by so much that they should be kept
// again: one by a tenth more than by chance, or its certainty has grown by as much.
func Changed(kept, estimates []Estimate) bool {
	known := make(map[roster.Incarnation]Estimate, len(kept))
	for _, e := range kept {
		known[e.Target] = e
	}
	for _, e := range estimates {
		if int64(e.Answers) < minKeptAnswers {
			continue
		}
		old, ok := known[e.Target]
		if !ok || math.Abs(math.Log(e.Seconds/old.Seconds)) > significantChange+chance(old, e) || e.restored().Certainty()-old.restored().Certainty() > significantChange {
			return true
		}
	}
	return false
}

// chance is the difference between two estimates of a target that may be by chance.
func chance(a, b Estimate) float64 {
	return maxChance * responseDeviation * math.Sqrt(1/a.Answers+1/b.Answers)
}
