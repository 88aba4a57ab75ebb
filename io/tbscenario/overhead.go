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
	overheadMedian = 4 * time.Millisecond
	overheadLength = 5 * time.Second
	overheadSlots  = 8
)

// runOverhead compares calls through an entry with direct calls to the same runner.
func runOverhead(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, Shape{
		Name: "overhead", Entries: 3, Controls: 3, Runners: 1, Slots: overheadSlots,
		Bundle: loadBundle, ServiceTime: logNormal(overheadMedian, 0.2),
	})
	if err != nil {
		return err
	}
	defer d.Close()
	capacity := overheadSlots / overheadMedian.Seconds()
	for _, factor := range []float64{0.1, 0.5} {
		rate := factor * capacity
		ownBefore := processTime(os.Getpid())
		direct := measureDirect(ctx, d, env.Seed, rate)
		ownSpent := processTime(os.Getpid()) - ownBefore
		before := processorTime(d.Cluster.Instances)
		through := measureThrough(ctx, d, env.Seed, rate)
		spent := processorTime(d.Cluster.Instances) - before
		prefix := fmt.Sprintf("%g of capacity: ", factor)
		directMedian, median := quantile(direct, 50), quantile(through.answeredLatency, 50)
		r.Add(prefix+"direct median", directMedian, "ms")
		r.Add(prefix+"median through an entry", median, "ms")
		r.Add(prefix+"direct p99", quantile(direct, 99), "ms")
		r.Add(prefix+"p99 through an entry", quantile(through.answeredLatency, 99), "ms")
		r.AtMost(prefix+"added median", median-directMedian, directMedian+0.5, "ms")
		r.Add(prefix+"direct calls per second of processor time of load and runner", float64(direct.TotalCount())/ownSpent.Seconds(), "")
		r.Add(prefix+"calls per second of entry processor time", float64(through.answered)/spent.Seconds(), "")
	}
	d.reportViolations(r, "")
	return nil
}

func measureThrough(ctx context.Context, d *Deployment, seed uint64, rate float64) summary {
	rng := rand.New(rand.NewPCG(seed, 5))
	arrivals := poisson(rng, []phase{{length: overheadLength, rate: rate}}, evenly(d.Addresses()), fmt.Sprintf("through-%g", rate))
	return summarise(runLoad(ctx, d.Caller, arrivals), time.Second, 0, time.Hour)
}

// measureDirect sends the same arrivals to the runner itself.
func measureDirect(ctx context.Context, d *Deployment, seed uint64, rate float64) *hdrhistogram.Histogram {
	rng := rand.New(rand.NewPCG(seed, 5))
	arrivals := poisson(rng, []phase{{length: overheadLength, rate: rate}}, evenly([]string{d.Runners[0].Address()}), fmt.Sprintf("direct-%g", rate))
	client := newDirectClient(d.Runners[0])
	latencies := newLatencies()
	results := make([]time.Duration, len(arrivals))
	// A direct caller has to keep to the runner's slots by itself.
	slots := make(chan struct{}, overheadSlots)
	runAt(arrivals, func(i int, a arrival) {
		began := time.Now()
		slots <- struct{}{}
		defer func() { <-slots }()
		if client.run(ctx, a.request.Number) {
			results[i] = time.Since(began)
		}
	})
	for _, latency := range results {
		if latency > 0 {
			record(latencies, max(shortestMicros, latency.Microseconds()))
		}
	}
	return latencies
}

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

// run sends one request and reports whether it was answered.
func (c directClient) run(ctx context.Context, number string) bool {
	answer, err := c.client.Run(ctx, connect.NewRequest(&pb.RunRequest{
		RequestId: number, Service: "quotes", Method: "quote", Payload: []byte(number),
		DeadlineMs: uint32(loadDeadline.Milliseconds()), Incarnation: c.incarnation,
	}))
	return err == nil && !answer.Msg.GetRefused()
}

// clockTicks is the number of processor time units in a second on Linux.
const clockTicks = 100

// processorTime returns what the processes of all instances have used so far.
func processorTime(instances []*tblaunch.Instance) time.Duration {
	var sum time.Duration
	for _, in := range instances {
		sum += processTime(in.PID())
	}
	return sum
}

// processTime reads user and system time of a process, 0 when it is gone.
func processTime(pid int) time.Duration {
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
	return time.Duration(ticks) * time.Second / clockTicks
}
