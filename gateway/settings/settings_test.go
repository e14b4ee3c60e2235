package settings_test

import (
	"testing"
	"time"

	"basilcross.example/gateway/instance"
	"basilcross.example/gateway/settings"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestDefaultsAreValid(t *testing.T) {
	s := settings.Defaults()
	assert.NilError(t, s.Validate())
}

func TestValidateReportsAllErrors(t *testing.T) {
	s := settings.Defaults()
	s.Zone = "a/b"
	s.AdminListen = "8082"
	s.LogFormat = "xml"
	err := s.Validate()
	for _, field := range []string{"--zone", "--admin-listen", "--log-format"} {
		assert.ErrorContains(t, err, field)
	}
}

func TestFlagOverridesEnvironment(t *testing.T) {
	s := settings.Defaults()
	f := pflag.NewFlagSet("gateway", pflag.ContinueOnError)
	s.Bind(f)
	assert.NilError(t, f.Parse([]string{"--zone=graz"}))
	env := map[string]string{"BASILCROSS_ZONE": "wien", "BASILCROSS_DRAIN_WAIT": "9s"}
	lookup := func(name string) (string, bool) {
		value, ok := env[name]
		return value, ok
	}
	assert.NilError(t, settings.ApplyEnvironment(f, lookup))
	assert.Equal(t, s.Zone, "graz")
	assert.Equal(t, s.DrainWait, 9*time.Second)
}

// docs/SETTINGS.md is the golden file; run with -update to write it.
func TestSettingsPageMatchesFlags(t *testing.T) {
	s := settings.Defaults()
	s.Instance = "the host's name"
	own := pflag.NewFlagSet("gateway", pflag.ContinueOnError)
	s.Bind(own)
	onPlatform := instance.Defaults()
	serve := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	onPlatform.Bind(serve)
	page := "# Settings of basilcross-gateway\n\nEvery flag can also be set by an environment variable: --callers-listen is\n" +
		"BASILCROSS_CALLERS_LISTEN. Flags go before the environment. Made by a test.\n\n```\n" + own.FlagUsages() + "```\n" +
		"\n## Settings of `basilcross-gateway serve`\n\nOn the users' platform. A file with lines NAME=value of the same names goes last;\n" +
		"`basilcross-gateway check-settings` reads all three and names every fault.\n\n```\n" + serve.FlagUsages() + "```\n"
	golden.Assert(t, page, "../../../docs/SETTINGS.md")
}
