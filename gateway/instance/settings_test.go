package instance_test

import (
	"os"
	"path/filepath"
	"testing"

	"basilcross.example/gateway/instance"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
)

func load(t *testing.T, args []string, env map[string]string, file string) (instance.Settings, error) {
	t.Helper()
	s := instance.Defaults()
	f := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.Bind(f)
	assert.NilError(t, f.Parse(args))
	path := ""
	if file != "" {
		path = filepath.Join(t.TempDir(), "settings.conf")
		assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
	}
	err := instance.Load(f, path, func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	})
	return s, err
}

func TestSettingsPrecedence(t *testing.T) {
	s, err := load(t, []string{"--zone=flag"},
		map[string]string{"BASILCROSS_ZONE": "env", "BASILCROSS_REGION": "env"},
		"# comment\nBASILCROSS_ZONE=file\nBASILCROSS_REGION=file\nBASILCROSS_INSTANCE=file\nBASILCROSS_SEEDS=10.0.0.1:1,10.0.0.2:1\nBASILCROSS_REGIONS=a=x,b=y\nUNKNOWN=1\n")
	assert.NilError(t, err)
	assert.Equal(t, s.Zone, "flag")
	assert.Equal(t, s.Region, "env")
	assert.Equal(t, s.Instance, "file")
	assert.DeepEqual(t, s.Seeds, []string{"10.0.0.1:1", "10.0.0.2:1"})
	assert.DeepEqual(t, s.Regions, map[string]string{"a": "x", "b": "y"})
}

func TestErrorsNameTheField(t *testing.T) {
	_, err := load(t, nil, nil, "BASILCROSS_LONGEST_HOLD=soon\n")
	assert.ErrorContains(t, err, "longest-hold")
	s, err := load(t, nil, nil, "BASILCROSS_STORE=nowhere\nBASILCROSS_RETRY_RATIO=7\nBASILCROSS_LOG_LEVEL=loud\nBASILCROSS_MEMORY_MB=-1\n")
	assert.NilError(t, err)
	err = s.Validate()
	for _, field := range []string{"--store", "--retry-ratio", "--log-level", "--memory-mb"} {
		assert.ErrorContains(t, err, field)
	}
}
