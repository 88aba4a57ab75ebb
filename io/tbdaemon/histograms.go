package tbdaemon

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 120_000_000
	latencySignificantDigits = 2
)

// Names of the latency histograms.
const (
	latencyAsk         = "ask"
	latencyWorkerStart = "workerStart"
	latencyWorkerStop  = "workerStop"
	latencyWorkerSpeed = "workerPace"
	latencyWorkerPoll  = "workerLook"
	latencyDiskSync    = "diskSync"
	latencyEvent       = "event"
)

// histograms holds one latency histogram per name.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
	names  []string
}

func newHistograms() *histograms {
	return &histograms{byName: map[string]*hdrhistogram.Histogram{}}
}

// observe records a duration. A duration outside the histogram's range is recorded as the nearest
// value in the range.
func (h *histograms) observe(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hist := h.byName[name]
	if hist == nil {
		hist = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		h.byName[name] = hist
		h.names = append(h.names, name)
	}
	// RecordValue fails only for values outside the range, and this value is limited to the range.
	_ = hist.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, d.Microseconds())))
}

// String returns the count, the percentiles and the maximum of each histogram as JSON. Latencies are
// in microseconds.
func (h *histograms) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var parts []string
	for _, name := range h.names {
		hist := h.byName[name]
		parts = append(parts, fmt.Sprintf(`%q: {"count": %d, "p50Us": %d, "p90Us": %d, "p99Us": %d, "maxUs": %d}`, name,
			hist.TotalCount(), hist.ValueAtQuantile(50), hist.ValueAtQuantile(90), hist.ValueAtQuantile(99), hist.Max()))
	}
	return "{" + strings.Join(parts, ", ") + "}"
}
