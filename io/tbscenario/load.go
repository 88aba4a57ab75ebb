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

// arrival is one request of an open-loop load. The request is sent at its time,
// whether or not earlier requests have ended.
type arrival struct {
	// at is measured from the start of the load.
	at      time.Duration
	address string
	request tbstandin.Request
}

// loadPhase is a period with a constant arrival rate.
type loadPhase struct {
	duration time.Duration
	// rate is in requests per second; 0 means no arrivals.
	rate float64
}

// drawPoissonArrivals draws Poisson arrivals for consecutive phases. It calls pick for the address of each
// arrival. The ids of the requests start with idPrefix.
func drawPoissonArrivals(rng *rand.Rand, phases []loadPhase, pick func(*rand.Rand) string, idPrefix string) []arrival {
	var all []arrival
	var start time.Duration
	for _, p := range phases {
		at := start
		for p.rate > 0 {
			at += time.Duration(rng.ExpFloat64() / p.rate * float64(time.Second))
			if at >= start+p.duration {
				break
			}
			all = append(all, arrival{at: at, address: pick(rng), request: tbstandin.Request{
				Service: "quotes", Method: "quote", ID: fmt.Sprintf("%s-%d", idPrefix, len(all)),
				Member: fmt.Sprintf("member-%d", rng.IntN(20)), Deadline: callDeadline,
			}})
		}
		start += p.duration
	}
	return all
}

// callDeadline is the deadline of each call of a load. It exceeds the target latency, so that answers
// after the target latency still arrive.
const callDeadline = 2 * time.Second

// pickUniformly returns a function that picks each address with the same probability.
func pickUniformly(addresses []string) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return addresses[rng.IntN(len(addresses))] }
}

// outcome is one request of a load with its result.
type outcome struct {
	arrival arrival
	result  tbstandin.Result
}

// sendLoad sends all arrivals at their times and returns their outcomes.
func sendLoad(ctx context.Context, c *tbstandin.Caller, arrivals []arrival) []outcome {
	outcomes := make([]outcome, len(arrivals))
	sendOnSchedule(arrivals, func(i int, a arrival) {
		outcomes[i] = outcome{arrival: a, result: c.Call(ctx, a.address, a.request)}
	})
	return outcomes
}

// sendOnSchedule calls send for each arrival at its time, concurrently, and waits until all calls have returned.
func sendOnSchedule(arrivals []arrival, send func(i int, a arrival)) {
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if wait := a.at - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(i, a)
		}()
	}
	wg.Wait()
}

// summary counts the outcomes of a load.
type summary struct {
	sentCount     int
	answeredCount int
	// onTimeCount is the number of correct answers within the target latency.
	onTimeCount int
	// notRunCount is the number of calls that the system reported as not run.
	notRunCount int
	// unknownCount is the number of calls whose outcome the system reported as unknown.
	unknownCount int
	// failedCount is the number of calls that got no outcome from the system.
	failedCount int
	// answeredLatency and notRunLatency are in microseconds.
	answeredLatency *hdrhistogram.Histogram
	notRunLatency   *hdrhistogram.Histogram
	// countByReason holds the number of calls without an answer by their reason.
	countByReason map[string]int
}

const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}

// summarise summarises the outcomes of arrivals in [from, to).
func summarise(outcomes []outcome, target, from, to time.Duration) summary {
	s := summary{answeredLatency: newLatencyHistogram(), notRunLatency: newLatencyHistogram(), countByReason: map[string]int{}}
	for _, o := range outcomes {
		if o.arrival.at < from || o.arrival.at >= to {
			continue
		}
		s.add(o.result, target)
	}
	return s
}

func (s *summary) add(r tbstandin.Result, target time.Duration) {
	s.sentCount++
	micros := max(minLatencyMicros, r.Latency.Microseconds())
	switch r.Status {
	case pb.CallStatus_CALL_STATUS_ANSWERED:
		s.answeredCount++
		if r.Answered() && r.Latency <= target {
			s.onTimeCount++
		}
		recordLatency(s.answeredLatency, micros)
		return
	case pb.CallStatus_CALL_STATUS_NOT_RUN:
		s.notRunCount++
		recordLatency(s.notRunLatency, micros)
	case pb.CallStatus_CALL_STATUS_UNKNOWN:
		s.unknownCount++
	default:
		s.failedCount++
	}
	s.countByReason[r.Reason]++
}

// recordLatency adds a value to a histogram. It limits the value to maxLatencyMicros because the
// histogram rejects larger values.
func recordLatency(h *hdrhistogram.Histogram, micros int64) {
	if err := h.RecordValue(min(micros, maxLatencyMicros)); err != nil {
		panic(err)
	}
}

// percentileMillis returns a percentile of a histogram of microseconds, in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// countFalseNotRun returns how many requests were reported as not run although a runner executed them.
func countFalseNotRun(outcomes []outcome, l *tbstandin.Ledger) int {
	n := 0
	for _, o := range outcomes {
		if o.result.Status == pb.CallStatus_CALL_STATUS_NOT_RUN && l.Executions(o.arrival.request.ID) > 0 {
			n++
		}
	}
	return n
}
