package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded with its unit, such as "800ms".
type Duration time.Duration

// Size is a number of bytes that is encoded with its unit, such as "64KiB".
type Size int64

// UnitError reports a value that has no unit or a wrong one.
type UnitError struct {
	Value string
	Want  string
}

func (e *UnitError) Error() string {
	return fmt.Sprintf("%s: want %s", e.Value, e.Want)
}

const (
	wantDuration = `a string with a unit, such as "800ms" or "2s"`
	wantSize     = `a string with a unit, such as "512B", "64KiB" or "1MiB"`
)

// MarshalJSON encodes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string with a unit; the error is a *UnitError.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &UnitError{Value: string(data), Want: wantDuration}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &UnitError{Value: text, Want: wantDuration}
	}
	*d = Duration(parsed)
	return nil
}

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s != 0 && int64(s)%u.bytes == 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// MarshalJSON encodes the size as a string with its unit.
func (s Size) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// UnmarshalJSON decodes a string with a unit; the error is a *UnitError.
func (s *Size) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &UnitError{Value: string(data), Want: wantSize}
	}
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return &UnitError{Value: text, Want: wantSize}
}
