package command_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"basilcross.example/ctl/command"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var responses = map[string]string{
	"/v1/status": `{"instance":"gw-graz-1","zone":"graz","ready":true,"versions":{"$config":3,"menus":7},
		"leader":{"leading":true,"tableOk":true,"record":{"holder":"gw-graz-1","term":2},
		"members":[{"Instance":"gw-graz-1","Address":"10.0.1.1:8081","Versions":{"$config":3}}]}}`,
	"/v1/owner": `{"service":"menus","key":"graz-7","hash":255,"shard":{"first":0,"last":511,"owner":"t1","epoch":4,"since":6},
		"target":{"id":"t1","zone":"graz","address":"10.0.1.9:9000","state":"active"},"version":7,"cause":"target t2 is lost"}`,
	"/v1/assignment": `{"service":"menus","version":7,"targets":[{"id":"t1","zone":"graz","address":"10.0.1.9:9000","fenced":true,
		"slots":3,"state":"active"}],"shards":[{"first":0,"last":18446744073709551615,"owner":"t1","epoch":4,"since":6}]}`,
	"/v1/config": `{"version":3,"services":[{"name":"menus","divided":true}],"defaults":{},"kinds":[],
		"exceptions":[{"id":"drain-t1","scope":{"target":"t1"},"set":{"drain":true},"reason":"its disk is replaced","author":"anna"}],
		"author":"anna","reason":"first configuration"}`,
	"/v1/config/explain": `[{"field":"deadline","value":"800ms","rule":"kind lists","reason":"first configuration"}]`,
	"/v1/audit":          `[]`,
}

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, `{"error":"based on version 3 while 4 is in force"}`)
			return
		}
		_, _ = io.WriteString(w, responses[r.URL.Path])
	}))
	defer s.Close()
	var out bytes.Buffer
	c := command.New()
	c.SetOut(&out)
	c.SetArgs(append(args, "--server="+s.URL))
	err := c.Execute()
	return out.String(), err
}

func TestOutput(t *testing.T) {
	for name, args := range map[string][]string{
		"status":          {"status"},
		"trace":           {"trace", "5b6f", "testdata/two.log", "testdata/one.log"},
		"trace-json":      {"trace", "5b6f", "testdata/one.log", "--output", "json"},
		"status-json":     {"status", "--output", "json"},
		"owner":           {"owner", "graz-7", "--service", "menus"},
		"shards":          {"shards", "--service", "menus"},
		"targets":         {"targets", "--service", "menus"},
		"exception-list":  {"exception", "list"},
		"config-explain":  {"config", "explain", "--service", "menus", "--kind", "lists"},
		"config-wait":     {"config", "wait", "--version", "3"},
		"audit":           {"audit"},
		"events":          {"events", "203"},
		"help":            {"--help"},
		"help-drain":      {"drain", "--help"},
		"help-exceptions": {"exception", "--help"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := run(t, args...)
			assert.NilError(t, err)
			if name == "help-drain" {
				// The default author is the user's own name.
				assert.Assert(t, bytes.Contains([]byte(out), []byte("its disk is being replaced")))
				return
			}
			golden.Assert(t, out, name+".golden")
		})
	}
}

// Guards against an exit code or message that hides that another operator's change came first.
func TestConflictExitCode(t *testing.T) {
	_, err := run(t, "undrain", "t1", "--reason", "the disk was replaced", "--author", "bert")
	var exit *command.ExitError
	assert.Assert(t, errors.As(err, &exit), "%v", err)
	assert.Equal(t, exit.Code, command.ExitConflict)
	assert.ErrorContains(t, err, "based on version 3 while 4 is in force")
}

func TestInvalidExceptionIsNotSubmitted(t *testing.T) {
	_, err := run(t, "exception", "add", "x", "--service", "menus", "--set", `{"priority":99}`, "--reason", "too high a number", "--author", "bert")
	var exit *command.ExitError
	assert.Assert(t, errors.As(err, &exit), "%v", err)
	assert.Equal(t, exit.Code, command.ExitInvalid)
	assert.ErrorContains(t, err, "exceptions[1].set.priority")
}

func TestTraceErrors(t *testing.T) {
	var exit *command.ExitError
	_, err := run(t, "trace", "unknown", "testdata/one.log")
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.Code, command.ExitNotFound)
	_, err = run(t, "trace", "5b6f", "testdata/missing.log")
	assert.ErrorContains(t, err, "missing.log")
}
