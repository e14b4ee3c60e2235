package main

import (
	"testing"

	"basilcross.example/gateway/instance"
	"gotest.tools/v3/assert"
)

// Guards against a heap limit computed from the machine's memory instead of the setting:
// instances with 184 MB would be killed before the garbage collector runs more often.
func TestConfiguredMemoryTakesPrecedence(t *testing.T) {
	assert.Equal(t, instanceMemory(instance.Settings{MemoryMB: 184}), int64(184<<20))
	assert.Assert(t, instanceMemory(instance.Settings{}) > 0, "without the setting, the machine's memory")
}
