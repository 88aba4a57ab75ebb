package tbcommand

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/io/tbmachine"
	"tamarackbarrow/io/tbsettings"
)

func TestLimitsInForceArePrinted(t *testing.T) {
	var out bytes.Buffer
	l := tbsettings.DefaultLimits()
	const group = "/sys/fs/cgroup/memory.max"
	machine := tbmachine.Resources{Memory: 16 << 20, MemorySource: group, FreeMemory: 16 << 20, FreeMemorySource: group, Descriptors: 1024}
	(&tool{stdout: &out}).printLimits(l, machine)
	qt.Check(t, out.String(), qt.Equals, `limits in force here: memoryMB = 32 (/sys/fs/cgroup/memory.max), descriptors = 1024 (RLIMIT_NOFILE)
warning: limits.memoryMB is 32, but the process may use 16 (/sys/fs/cgroup/memory.max)
`)
}
