package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// decodeError names the place of a decoding fault. encoding/json gives a path
// for wrong types only; for the rest the path is found from the offset.
func decodeError(data []byte, dec *json.Decoder, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{Path: wrongType.Field, Value: wrongType.Value, Reason: "want " + wrongType.Type.String()}
	}
	path := pathAt(data, dec.InputOffset())
	var unit *UnitError
	if errors.As(err, &unit) {
		return &FieldError{Path: unitErrorPath(data, unit, path), Value: unit.Value, Reason: "want " + unit.Want}
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		name = strings.Trim(name, `"`)
		return &FieldError{Path: memberPath(data, name), Reason: "unknown field"}
	}
	return &FieldError{Path: path, Reason: err.Error()}
}

// walk calls visit for every member name and value of a JSON text until visit
// returns false or the text ends.
func walk(data []byte, visit func(path string, name bool, token json.Token) bool) error {
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data)), visit: visit}
	w.dec.UseNumber()
	err := w.value("$")
	if errors.Is(err, errStopWalk) {
		return nil
	}
	return err
}

var errStopWalk = errors.New("stop")

type walker struct {
	dec   *json.Decoder
	visit func(path string, name bool, token json.Token) bool
}

func (w *walker) value(path string) error {
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	if !w.visit(path, false, token) {
		return errStopWalk
	}
	switch token {
	case json.Delim('{'):
		return w.members(path)
	case json.Delim('['):
		return w.elements(path)
	default:
		return nil
	}
}

func (w *walker) members(path string) error {
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		member := join(path, fmt.Sprint(token))
		if !w.visit(member, true, token) {
			return errStopWalk
		}
		if err := w.value(member); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) elements(path string) error {
	for i := 0; w.dec.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func join(path, name string) string {
	if path == "$" {
		return name
	}
	return path + "." + name
}

// checkDuplicateMembers refuses a member that stands twice. encoding/json would take
// the last one, and an operator would see the first one ignored in silence.
func checkDuplicateMembers(data []byte) error {
	seen := map[string]bool{}
	var fault error
	err := walk(data, func(path string, name bool, _ json.Token) bool {
		if !name {
			return true
		}
		if seen[path] {
			fault = &FieldError{Path: path, Reason: "stands twice"}
			return false
		}
		seen[path] = true
		return true
	})
	if fault != nil {
		return fault
	}
	if err != nil {
		return &FieldError{Path: "$", Reason: "not JSON: " + err.Error()}
	}
	return nil
}

// pathAt returns the path of the last value that begins before the offset.
func pathAt(data []byte, offset int64) string {
	last := "$"
	dec := json.NewDecoder(bytes.NewReader(data))
	w := &walker{dec: dec}
	w.visit = func(path string, _ bool, _ json.Token) bool {
		last = path
		return dec.InputOffset() < offset
	}
	_ = w.value("$")
	return last
}

// memberPath returns the path of the first member with this name that is not a
// known field there; the name alone if none is found.
func memberPath(data []byte, name string) string {
	found := name
	_ = walk(data, func(path string, isName bool, token json.Token) bool {
		if isName && token == json.Token(name) {
			found = path
			return false
		}
		return true
	})
	return found
}

// unitErrorPath returns the path of the value that has the wrong unit.
func unitErrorPath(data []byte, unit *UnitError, otherwise string) string {
	found := otherwise
	_ = walk(data, func(path string, isName bool, token json.Token) bool {
		unitField := strings.HasSuffix(path, "deadline") || strings.HasSuffix(path, "bodyLimit")
		if !isName && unitField && fmt.Sprint(token) == unit.Value {
			found = path
			return false
		}
		return true
	})
	return found
}
