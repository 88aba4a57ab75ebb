package tbcommand

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"
)

// Garbage collection of a control instance.
const (
	// gcGrowthPercent is the growth of the heap, in percent of the live heap, that triggers a collection.
	gcGrowthPercent = 300
	// memoryLimitShare is the share of the instance's memory above which the runtime collects garbage
	// more often.
	memoryLimitShare = 0.5
)

// tuneGarbageCollector makes a control instance collect garbage less often, at the cost of memory.
//
// The leader allocates about 30 MB of garbage a second and has a live heap of 30 MB. With the
// runtime's default, it would collect once a second. The environment variables GOGC and GOMEMLIMIT
// take precedence.
func tuneGarbageCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcGrowthPercent)
	}
	var info syscall.Sysinfo_t
	if debug.SetMemoryLimit(-1) != math.MaxInt64 || syscall.Sysinfo(&info) != nil {
		return
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(info.Totalram) * float64(info.Unit)))
}
