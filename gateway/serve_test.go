package main

import (
	"testing"

	"basilcross.example/gateway/instance"
	"gotest.tools/v3/assert"
)

// Guards against a heap limit computed from the machine's memory instead of the setting:
// instances with 184 MB would be killed before the garbage collector runs more often.
func TestConfiguredMemoryTakesPrecedence(t *testing.T) {
	s := instance.Settings{MemoryMB: 184}
	assert.Equal(t, s.MemoryBytes(), int64(184<<20))
	s = instance.Settings{}
	assert.Assert(t, s.MemoryBytes() > 0, "without the setting, the machine's memory")
}
