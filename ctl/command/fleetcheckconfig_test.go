package command_test

import (
	"bytes"
	"errors"
	"testing"

	"basilcross.example/ctl/command"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const configInForce = "../../platform/testdata/config.json"

func runCheckConfig(args ...string) (string, error) {
	var out bytes.Buffer
	c := command.New()
	c.SetOut(&out)
	c.SetArgs(append([]string{"fleet", "check-config"}, args...))
	err := c.Execute()
	return out.String(), err
}

// Guards against errors and changes that are not reported, against those that hide others, and against a
// configuration that is sent since a script took an error for a remark.
func TestCheckConfigOutput(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"check-valid":   {[]string{configInForce}, 0},
		"check-same":    {[]string{configInForce, "--in-force", configInForce}, command.ExitUsage},
		"check-next":    {[]string{"testdata/check-next.json", "--in-force", configInForce, "--memory-mb", "184"}, 0},
		"check-next-js": {[]string{"testdata/check-next.json", "--in-force", configInForce, "--output", "json"}, 0},
		"check-wrong":   {[]string{"testdata/check-wrong.json", "--in-force", configInForce, "--memory-mb", "184"}, command.ExitUsage},
		"check-invalid": {[]string{"testdata/check-invalid.json", "--in-force", configInForce}, command.ExitUsage},
		"check-cut":     {[]string{"testdata/check-cut.json"}, command.ExitUsage},
		"check-cut-js":  {[]string{"testdata/check-cut.json", "--output", "json"}, command.ExitUsage},
		"check-caller":  {[]string{"testdata/check-next.json", "--caller-limit", "8s"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := runCheckConfig(c.args...)
			golden.Assert(t, out, name+".golden")
			if c.code == 0 {
				assert.NilError(t, err)
				return
			}
			var exit *command.ExitError
			assert.Assert(t, errors.As(err, &exit), "%v", err)
			assert.Equal(t, exit.Code, c.code)
		})
	}
}

// Guards against a missing file, or an unusable one in force, that passes for a valid configuration.
func TestCheckConfigWithoutUsableFiles(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"testdata/missing.json"}, command.ExitUsage},
		{[]string{configInForce, "--in-force", "testdata/missing.json"}, command.ExitUsage},
		{[]string{configInForce, "--in-force", "testdata/check-cut.json"}, command.ExitInvalid},
	} {
		_, err := runCheckConfig(c.args...)
		var exit *command.ExitError
		assert.Assert(t, errors.As(err, &exit), "%v: %v", c.args, err)
		assert.Equal(t, exit.Code, c.code, "%v", c.args)
	}
}
