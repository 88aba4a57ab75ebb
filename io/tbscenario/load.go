package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbstandin"
)

// arrival is one request of an open-loop load: it is sent at its time whatever became of earlier ones.
type arrival struct {
	at      time.Duration
	address string
	request tbstandin.Request
}

// phase is a span of constant rate.
type phase struct {
	length time.Duration
	// rate is in requests a second.
	rate float64
}

// poisson draws arrivals for phases; pick chooses the instance of each.
func poisson(rng *rand.Rand, phases []phase, pick func(*rand.Rand) string, label string) []arrival {
	var all []arrival
	var start time.Duration
	for _, p := range phases {
		at := start
		for p.rate > 0 {
			at += time.Duration(rng.ExpFloat64() / p.rate * float64(time.Second))
			if at >= start+p.length {
				break
			}
			all = append(all, arrival{at: at, address: pick(rng), request: tbstandin.Request{
				Service: "quotes", Method: "quote", Number: fmt.Sprintf("%s-%d", label, len(all)),
				Member: fmt.Sprintf("member-%d", rng.IntN(20)), Deadline: loadDeadline,
			}})
		}
		start += p.length
	}
	return all
}

// loadDeadline is the deadline of calls under load; the target latency is below it.
const loadDeadline = 2 * time.Second

// evenly picks any address with the same chance.
func evenly(addresses []string) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return addresses[rng.IntN(len(addresses))] }
}

// outcome is one request of a load with what became of it.
type outcome struct {
	arrival arrival
	result  tbstandin.Result
}

// runLoad sends all arrivals at their times and waits for all outcomes.
func runLoad(ctx context.Context, c *tbstandin.Caller, arrivals []arrival) []outcome {
	outcomes := make([]outcome, len(arrivals))
	runAt(arrivals, func(i int, a arrival) {
		outcomes[i] = outcome{arrival: a, result: c.Call(ctx, a.address, a.request)}
	})
	return outcomes
}

// runAt starts send for each arrival at its time and waits until all have returned.
func runAt(arrivals []arrival, send func(i int, a arrival)) {
	var group sync.WaitGroup
	began := time.Now()
	for i, a := range arrivals {
		if wait := a.at - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
		group.Add(1)
		go func() {
			defer group.Done()
			send(i, a)
		}()
	}
	group.Wait()
}

// summary is what a load came to.
type summary struct {
	sent     int
	answered int
	onTime   int
	notRun   int
	unknown  int
	failed   int
	// answeredLatency and refusedLatency are in microseconds.
	answeredLatency *hdrhistogram.Histogram
	refusedLatency  *hdrhistogram.Histogram
	reasons         map[string]int
}

const (
	shortestMicros = 1
	longestMicros  = 60_000_000
	latencyDigits  = 3
)

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestMicros, longestMicros, latencyDigits)
}

// summarise counts the outcomes of arrivals in [from, to).
func summarise(outcomes []outcome, target, from, to time.Duration) summary {
	s := summary{answeredLatency: newLatencies(), refusedLatency: newLatencies(), reasons: map[string]int{}}
	for _, o := range outcomes {
		if o.arrival.at < from || o.arrival.at >= to {
			continue
		}
		s.add(o.result, target)
	}
	return s
}

func (s *summary) add(r tbstandin.Result, target time.Duration) {
	s.sent++
	micros := max(shortestMicros, r.Latency.Microseconds())
	switch r.Status {
	case pb.CallStatus_CALL_STATUS_ANSWERED:
		s.answered++
		if r.Answered() && r.Latency <= target {
			s.onTime++
		}
		record(s.answeredLatency, micros)
		return
	case pb.CallStatus_CALL_STATUS_NOT_RUN:
		s.notRun++
		record(s.refusedLatency, micros)
	case pb.CallStatus_CALL_STATUS_UNKNOWN:
		s.unknown++
	default:
		s.failed++
	}
	s.reasons[r.Reason]++
}

// record clamps to the range of the histogram, so that it cannot fail.
func record(h *hdrhistogram.Histogram, micros int64) {
	if err := h.RecordValue(min(micros, longestMicros)); err != nil {
		panic(err)
	}
}

// quantile returns milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// countFalseNotRun returns how many requests were called "not run" although a runner ran them.
func countFalseNotRun(outcomes []outcome, l *tbstandin.Ledger) int {
	n := 0
	for _, o := range outcomes {
		if o.result.Status == pb.CallStatus_CALL_STATUS_NOT_RUN && l.Runs(o.arrival.request.Number) > 0 {
			n++
		}
	}
	return n
}
