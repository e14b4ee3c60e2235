package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func runCheckSettings(t *testing.T, lines string, args ...string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.conf")
	assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
	c := command()
	out := &bytes.Buffer{}
	c.SetOut(out)
	c.SetArgs(append([]string{"check-settings", "--settings", file}, args...))
	err := c.Execute()
	return out.String(), err
}

// Guards against settings that are printed with other values than serve would use.
func TestCheckSettingsPrintsSettingsInForce(t *testing.T) {
	out, err := runCheckSettings(t, "BASILCROSS_ZONE=graz\nBASILCROSS_CORES=0.32\nBASILCROSS_SEEDS=10.0.0.1:1,10.0.0.2:1\nUNKNOWN=7\n", "--region=ost")
	assert.NilError(t, err)
	for _, line := range []string{"zone=graz\n", "region=ost\n", "cores=0.32\n", "seeds=[10.0.0.1:1,10.0.0.2:1]\n"} {
		assert.Assert(t, bytes.Contains([]byte(out), []byte(line)), "%s in %s", line, out)
	}
}

// Guards against a report of the first error only.
func TestCheckSettingsReportsEveryError(t *testing.T) {
	_, err := runCheckSettings(t, "BASILCROSS_STORE=nowhere\nBASILCROSS_CORES=-1\n", "--retry-ratio=3")
	for _, field := range []string{"--store", "--cores", "--retry-ratio"} {
		assert.ErrorContains(t, err, field)
	}
	_, err = runCheckSettings(t, "BASILCROSS_CORES=many\n")
	assert.ErrorContains(t, err, "cores")
}
