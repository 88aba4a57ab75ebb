package tbcommand

import (
	"math"
	"os"
	"runtime/debug"

	"tamarackbarrow/io/tbmachine"
	"tamarackbarrow/io/tbsettings"
)

// Garbage collection.
const (
	// gcGrowthPercent is the growth of the heap of a control instance, in percent of the live heap, that
	// triggers a collection.
	gcGrowthPercent = 300
	// memoryLimitShare is the share of the process's memory above which the runtime collects garbage
	// more often.
	memoryLimitShare = 0.5
)

// tuneGarbageCollector bounds the garbage by the memory of the process, and makes a control instance
// collect garbage less often below that bound.
//
// The leader allocates about 30 MB of garbage a second and has a live heap of 30 MB. With the
// runtime's default, it would collect once a second. The environment variables GOGC and GOMEMLIMIT
// take precedence.
func tuneGarbageCollector(settings tbsettings.Settings, machine tbmachine.Resources) {
	if settings.DataFolder != "" && os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcGrowthPercent)
	}
	if debug.SetMemoryLimit(-1) != math.MaxInt64 {
		return
	}
	memory := settings.Limits.MemoryMB << 20
	if machine.Memory > 0 {
		memory = min(memory, machine.Memory)
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
}
