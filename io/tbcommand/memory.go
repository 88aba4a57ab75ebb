package tbcommand

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"
)

// Memory of a control instance.
const (
	// garbagePercent is how much garbage may gather, as a share of what is in use.
	garbagePercent = 300
	// memoryShare is the share of the machine's memory above which garbage is collected sooner.
	memoryShare = 0.5
)

// tradeMemory lets a control instance spend memory instead of processor time.
//
// The leader makes some 30 MB of garbage a second and has 30 MB in use; with the default
// of the runtime it collects once a second. GOGC and GOMEMLIMIT go before.
func tradeMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbagePercent)
	}
	var info syscall.Sysinfo_t
	if debug.SetMemoryLimit(-1) != math.MaxInt64 || syscall.Sysinfo(&info) != nil {
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(info.Totalram) * float64(info.Unit)))
}
