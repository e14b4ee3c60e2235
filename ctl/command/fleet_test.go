package command_test

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"basilcross.example/ctl/command"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	fleetTarget = `{"address":"10.0.0.9:80","born":1700,"info":{"service":"menus-next","version":"v1","zone":"graz","slots":3},` +
		`"status":{"state":"STATE","seq":4,"warmup_left":"0ms"}}`
	fleetAssignment = `{"service":"menus-next","term":4,"owners":[{"id":"t1","born":1700,"address":"10.0.0.9:80"}],` +
		`"pieces":[[4095,0,0],[8191,0,91000],[65535,-1,0]]}`
)

func runFleet(t *testing.T, args ...string) (string, error) {
	t.Helper()
	store := &standin.Store{}
	config, err := os.ReadFile("../../platform/testdata/config.json")
	assert.NilError(t, err)
	store.Put(platform.OperatorTable, platform.ConfigKey, config)
	store.Put("coordinator", "lease", []byte(`{"term":4,"holder":"gw-2","life":"x","leaseMs":2000,"seq":9,`+
		`"quarantined":[{"fingerprint":"nEHQe+Ki82jRpAJie4Tbtg==","leftMs":423400,"durationMs":600000}]}`))
	store.Put("assignment", "menus-next", []byte(fleetAssignment))
	store.Put("instance", "gw-1", []byte(`{"name":"gw-1","zone":"graz"}`))
	store.Put("instance", "gw-2", []byte(`{"name":"gw-2","zone":"wien"}`))
	store.Put(platform.TargetTable, "t1", []byte(strings.Replace(fleetTarget, "STATE", "ready", 1)))
	store.Put(platform.TargetTable, "t2", []byte(strings.NewReplacer("STATE", "draining", "0.9:80", "0.8:80").Replace(fleetTarget)))
	// t4 has replaced t1 at its address, and t1's row is still in the store.
	store.Put(platform.TargetTable, "t4", []byte(strings.NewReplacer("STATE", "ready", "1700", "1900").Replace(fleetTarget)))
	store.Put(platform.TargetTable, "t3", []byte(`{"address":7}`))
	s := httptest.NewServer(store)
	defer s.Close()
	var out bytes.Buffer
	c := command.New()
	c.SetOut(&out)
	c.SetArgs(append([]string{"fleet", "--store=" + strings.TrimPrefix(s.URL, "http://")}, args...))
	err = c.Execute()
	return out.String(), err
}

func TestFleetOutput(t *testing.T) {
	for name, args := range map[string][]string{
		"fleet-status":         {"status"},
		"fleet-status-js":      {"status", "--output", "json"},
		"fleet-owner":          {"owner", "4711", "--service", "menus-next"},
		"fleet-owner-js":       {"owner", "4711", "--service", "menus-next", "--output", "json"},
		"fleet-pieces":         {"pieces", "--service", "menus-next"},
		"fleet-targets":        {"targets"},
		"fleet-targets-js":     {"targets", "--output", "json"},
		"fleet-routes-js":      {"routes", "cakes.example", "/lists/x", "--output", "json"},
		"fleet-routes":         {"routes"},
		"fleet-quarantined":    {"quarantined"},
		"fleet-quarantined-js": {"quarantined", "--output", "json"},
		"fleet-routes-one":     {"routes", "cakes.example", "/book/graz"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := runFleet(t, args...)
			assert.NilError(t, err)
			golden.Assert(t, out, name+".golden")
		})
	}
}

// Scripts distinguish usage errors, missing entries and an unreachable store by exit code.
func TestFleetExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"owner", "70000", "--service", "menus-next"}, command.ExitUsage, "65535"},
		{[]string{"owner", "7", "--service", "menus"}, command.ExitNotFound, "menus"},
		{[]string{"routes", "cakes.example", "/other/"}, command.ExitNotFound, "version 7"},
		{[]string{"routes", "cakes.example"}, command.ExitUsage, "PATH"},
		{[]string{"status", "--store", ""}, command.ExitUsage, "--store"},
		{[]string{"status", "--store", "127.0.0.1:1"}, command.ExitUnreachable, "store"},
	} {
		_, err := runFleet(t, c.args...)
		var exit *command.ExitError
		assert.Assert(t, errors.As(err, &exit), "%v: %v", c.args, err)
		assert.Equal(t, exit.Code, c.code, "%v", c.args)
		assert.ErrorContains(t, err, c.text)
	}
}
