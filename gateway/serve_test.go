package main

import (
	"testing"

	"basilcross.example/gateway/instance"
	"gotest.tools/v3/assert"
)

// Guards against a limit for the heap that is made for another class of machines:
// those of 184 MB would be killed before the collector works harder.
func TestConfiguredMemoryTakesPrecedence(t *testing.T) {
	assert.Equal(t, instanceMemory(instance.Settings{MemoryMB: 184}), int64(184<<20))
	assert.Assert(t, instanceMemory(instance.Settings{}) > 0, "the machine tells its own")
}
