package tbsettings

import (
	"fmt"
	"time"

	"tamarackbarrow/io/tbmachine"
	"tamarackbarrow/io/tbtoml"
)

// Limits bounds what the daemon holds for the connections and requests of clients.
type Limits struct {
	// MemoryMB is the memory of the process, in MiB, and Descriptors the number of its file
	// descriptors. Clients get a fixed share of both. The sources say where the values come from.
	MemoryMB          int64
	MemorySource      string
	Descriptors       int64
	DescriptorsSource string
	// MaxHeadBytes is the size of the largest request line and header lines together, and MaxBodyBytes
	// that of the largest body of a caller's request or a worker's report.
	MaxHeadBytes int64
	MaxBodyBytes int64
	// HeadTimeout and BodyTimeout bound the time in which a head and a whole request have to arrive.
	HeadTimeout time.Duration
	BodyTimeout time.Duration
	// AnswerTimeout bounds the time in which a client has to take an answer, or each part of a large one.
	AnswerTimeout time.Duration
}

// Smallest values of limits, with which a daemon can still serve single requests.
const (
	minMemoryMB    = 32
	minDescriptors = 64
	minHeadBytes   = 1024
	minBodyBytes   = 1024
)

// Sources of limits. Others are named by tbmachine.
const (
	sourceSettings = "settings"
	sourceDefault  = "default"
	sourceRlimit   = "RLIMIT_NOFILE"
)

// DefaultLimits returns the limits that apply without the section [limits] on a machine with room for them.
func DefaultLimits() Limits {
	return Limits{
		MemoryMB: 4096, MemorySource: sourceDefault, Descriptors: 4096, DescriptorsSource: sourceDefault,
		MaxHeadBytes: 16384, MaxBodyBytes: 262144,
		HeadTimeout: 3 * time.Second, BodyTimeout: 30 * time.Second, AnswerTimeout: 30 * time.Second,
	}
}

func readLimits(t *tbtoml.Table) Limits {
	defaults := DefaultLimits()
	return Limits{
		MemoryMB:     readMin(t, "memoryMB", defaults.MemoryMB, minMemoryMB),
		Descriptors:  readMin(t, "descriptors", defaults.Descriptors, minDescriptors),
		MaxHeadBytes: readMin(t, "maxHeadBytes", defaults.MaxHeadBytes, minHeadBytes),
		MaxBodyBytes: readMin(t, "maxBodyBytes", defaults.MaxBodyBytes, minBodyBytes),
		HeadTimeout:  readPositiveDuration(t, "headTimeout", defaults.HeadTimeout),
		BodyTimeout:  readPositiveDuration(t, "bodyTimeout", defaults.BodyTimeout),

		AnswerTimeout: readPositiveDuration(t, "answerTimeout", defaults.AnswerTimeout),

		MemorySource: sourceOf(t, "memoryMB"), DescriptorsSource: sourceOf(t, "descriptors"),
	}
}

func sourceOf(t *tbtoml.Table, key string) string {
	if t.Has(key) {
		return sourceSettings
	}
	return sourceDefault
}

// Within returns the limits with those that the settings do not name reduced to what the process may use, but not below
// the smallest values that can be set.
func (l Limits) Within(r tbmachine.Resources) Limits {
	if n := r.FreeMemory >> 20; r.FreeMemory > 0 && l.MemorySource != sourceSettings && n < l.MemoryMB {
		l.MemoryMB, l.MemorySource = max(n, minMemoryMB), r.FreeMemorySource
	}
	if r.Descriptors > 0 && l.DescriptorsSource != sourceSettings && r.Descriptors < l.Descriptors {
		l.Descriptors, l.DescriptorsSource = max(r.Descriptors, minDescriptors), sourceRlimit
	}
	return l
}

// Excess returns a warning for each limit that is more than the process may use.
func (l Limits) Excess(r tbmachine.Resources) []string {
	var warnings []string
	if n := r.Memory >> 20; r.Memory > 0 && l.MemoryMB > n {
		warnings = append(warnings, fmt.Sprintf("limits.memoryMB is %d, but the process may use %d (%s)", l.MemoryMB, n, r.MemorySource))
	}
	if r.Descriptors > 0 && l.Descriptors > r.Descriptors {
		warnings = append(warnings, fmt.Sprintf("limits.descriptors is %d, but the process may open %d (%s)", l.Descriptors, r.Descriptors, sourceRlimit))
	}
	return warnings
}

// String returns the limits of the whole process and where they come from.
func (l Limits) String() string {
	return fmt.Sprintf("memoryMB = %d (%s), descriptors = %d (%s)", l.MemoryMB, l.MemorySource, l.Descriptors, l.DescriptorsSource)
}

func readMin(t *tbtoml.Table, key string, defaultValue, smallest int64) int64 {
	n := t.IntOr(key, defaultValue)
	if n < smallest {
		t.Errorf(key, "must be %d or more, is %d", smallest, n)
	}
	return n
}
