package tbdaemon

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime/metrics"
	"sort"
	"strings"

	"tamarackbarrow/io/tbpeer"
)

// counters holds the metrics of a daemon: counters by name, latency histograms and bytes of peer
// traffic. There are counters for each reason of a refusal, retry or unknown outcome, for each kind
// of decision, and for faults of disk and peers.
type counters struct {
	vars       *expvar.Map
	histograms *histograms
	traffic    *tbpeer.Traffic
}

func newCounters(traffic *tbpeer.Traffic) *counters {
	return &counters{vars: new(expvar.Map).Init(), histograms: newHistograms(), traffic: traffic}
}

// add increments the counter with the given name, such as "refused.noLease".
func (c *counters) add(name string) { c.addMany(name, 1) }

func (c *counters) addMany(name string, n int) { c.vars.Add(name, int64(n)) }

// set sets a counter to a value that the caller has counted.
func (c *counters) set(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	c.vars.Set(name, v)
}

// namedCount is the value of one counter.
type namedCount struct {
	name  string
	value uint64
}

// all returns all counters, sorted by name.
func (c *counters) all() []namedCount {
	var counts []namedCount
	c.vars.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			counts = append(counts, namedCount{name: kv.Key, value: uint64(v.Value())})
		}
	})
	sort.Slice(counts, func(i, j int) bool { return counts[i].name < counts[j].name })
	return counts
}

// ServeHTTP writes counters, latencies, peer traffic and process statistics as JSON.
func (c *counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	lines := []string{
		fmt.Sprintf("%q: %s", "counters", c.vars.String()),
		fmt.Sprintf("%q: %s", "latencies", c.histograms.String()),
		fmt.Sprintf("%q: %d", "heapBytes", samples[0].Value.Uint64()),
		fmt.Sprintf("%q: %d", "peerBytesSent", c.traffic.Sent.Load()),
		fmt.Sprintf("%q: %d", "peerBytesReceived", c.traffic.Received.Load()),
		fmt.Sprintf("%q: %d", "goroutines", samples[1].Value.Uint64()),
	}
	fmt.Fprintf(w, "{\n%s\n}\n", strings.Join(lines, ",\n"))
}
