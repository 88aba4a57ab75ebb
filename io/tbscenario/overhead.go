package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackbarrow/io/tblaunch"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
	"tamarackbarrow/io/tbrunnerclient"
	"tamarackbarrow/io/tbstandin"
)

const (
	overheadServiceMedian = 4 * time.Millisecond
	overheadLoadTime      = 5 * time.Second
	overheadSlots         = 8
)

// runOverhead compares calls through an entry with direct calls to the same runner, by latency and processor time.
func runOverhead(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, Shape{
		Name: "overhead", Instances: 3, ControlReplicas: 3, Runners: 1, Slots: overheadSlots,
		Bundle: loadBundle, ServiceTime: logNormal(overheadServiceMedian, 0.2),
	})
	if err != nil {
		return err
	}
	defer d.Close()
	capacity := overheadSlots / overheadServiceMedian.Seconds()
	for _, factor := range []float64{0.1, 0.5} {
		rate := factor * capacity
		loaderBefore := cpuTime(os.Getpid())
		directLatency := measureDirect(ctx, d, env.Seed, rate)
		loaderCPUTime := cpuTime(os.Getpid()) - loaderBefore
		entriesBefore := totalCPUTime(d.Cluster.Instances)
		entrySummary := measureViaEntry(ctx, d, env.Seed, rate)
		entriesCPUTime := totalCPUTime(d.Cluster.Instances) - entriesBefore
		prefix := fmt.Sprintf("%g of capacity: ", factor)
		directMedianMs, entryMedianMs := percentileMillis(directLatency, 50), percentileMillis(entrySummary.answeredLatency, 50)
		r.Add(prefix+"direct median", directMedianMs, "ms")
		r.Add(prefix+"median through an entry", entryMedianMs, "ms")
		r.Add(prefix+"direct p99", percentileMillis(directLatency, 99), "ms")
		r.Add(prefix+"p99 through an entry", percentileMillis(entrySummary.answeredLatency, 99), "ms")
		r.AtMost(prefix+"added median", entryMedianMs-directMedianMs, directMedianMs+0.5, "ms")
		r.Add(prefix+"direct calls per second of processor time of load and runner", float64(directLatency.TotalCount())/loaderCPUTime.Seconds(), "")
		r.Add(prefix+"calls per second of entry processor time", float64(entrySummary.answeredCount)/entriesCPUTime.Seconds(), "")
	}
	d.reportViolations(r, "")
	return nil
}

// measureViaEntry sends calls through the entries.
func measureViaEntry(ctx context.Context, d *Deployment, seed uint64, rate float64) summary {
	rng := rand.New(rand.NewPCG(seed, 5))
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: overheadLoadTime, rate: rate}}, pickUniformly(d.Addresses()), fmt.Sprintf("through-%g", rate))
	return summarise(sendLoad(ctx, d.Caller, arrivals), time.Second, 0, time.Hour)
}

// measureDirect sends arrivals at the same times directly to the runner and returns the latencies of
// answered calls.
func measureDirect(ctx context.Context, d *Deployment, seed uint64, rate float64) *hdrhistogram.Histogram {
	rng := rand.New(rand.NewPCG(seed, 5))
	arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: overheadLoadTime, rate: rate}}, pickUniformly([]string{d.Runners[0].Address()}), fmt.Sprintf("direct-%g", rate))
	client := newDirectClient(d.Runners[0])
	histogram := newLatencyHistogram()
	latencyByArrival := make([]time.Duration, len(arrivals))
	// The runner reports a violation if it executes more requests than it has slots. No entry limits the
	// calls here, so this semaphore does.
	slots := make(chan struct{}, overheadSlots)
	sendOnSchedule(arrivals, func(i int, a arrival) {
		start := time.Now()
		slots <- struct{}{}
		defer func() { <-slots }()
		if client.execute(ctx, a.request.ID) {
			latencyByArrival[i] = time.Since(start)
		}
	})
	for _, latency := range latencyByArrival {
		if latency > 0 {
			recordLatency(histogram, max(minLatencyMicros, latency.Microseconds()))
		}
	}
	return histogram
}

// directClient calls one incarnation of a runner.
type directClient struct {
	client      tbprotov1connect.RunnerServiceClient
	incarnation uint64
}

func newDirectClient(r *tbstandin.Runner) directClient {
	var h *http.Client = tbrunnerclient.NewHTTPClient()
	return directClient{
		client: tbprotov1connect.NewRunnerServiceClient(h, "http://"+r.Address()), incarnation: r.Incarnation(),
	}
}

// execute sends one request and reports whether the runner answered it.
func (c directClient) execute(ctx context.Context, requestID string) bool {
	resp, err := c.client.Run(ctx, connect.NewRequest(&pb.RunRequest{
		RequestId: requestID, Service: "quotes", Method: "quote", Payload: []byte(requestID),
		DeadlineMs: uint32(callDeadline.Milliseconds()), Incarnation: c.incarnation,
	}))
	return err == nil && !resp.Msg.GetRefused()
}

// clockTicksPerSecond gives the unit of processor times in /proc on Linux: 100 ticks are one second.
const clockTicksPerSecond = 100

// totalCPUTime returns the processor time that the processes of all instances have used so far.
func totalCPUTime(instances []*tblaunch.Instance) time.Duration {
	var sum time.Duration
	for _, in := range instances {
		sum += cpuTime(in.PID())
	}
	return sum
}

// cpuTime returns the user and system time of a process, or 0 if the process has ended.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	var ticks int64
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}
