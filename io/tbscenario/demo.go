package tbscenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"tamarackbarrow/io/tblaunch"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
	"tamarackbarrow/io/tbstandin"
)

const demoBundle = `version = 1

[[services]]
name = "quotes"
targetLatency = "400ms"
runDeadline = "2s"
rank = 100
idempotentMethods = ["quote"]

[[jobKinds]]
name = "cuttingPlan"
processors = 8
memoryMB = 16000
rank = 10
expectedRunTime = "2s"
checkpointable = true

[[teams]]
name = "planning"
processors = 1000
memoryMB = 2000000
`

// Parameters of the demo scenario.
const (
	demoCallCount   = 500
	demoJobCount    = 50
	demoConcurrency = 32
	// demoUrgentRemainder selects the urgent jobs: those whose index modulo ten has this value.
	demoUrgentRemainder = 6
)

// runDemo checks that all calls are answered and all jobs finish while a worker is drained.
func runDemo(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, Shape{
		Name: "demo", Instances: 7, ControlReplicas: 3, Runners: 8, Slots: 8, Workers: 8,
		Bundle: demoBundle, ServiceTime: logNormal(20*time.Millisecond, 0.5),
	})
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.submitDemoJobs(ctx); err != nil {
		return err
	}
	answered := make(chan int, 1)
	go func() { answered <- d.sendDemoCalls(ctx) }()
	// Draining a worker evicts its tasks, which resume from their checkpoints on other workers.
	worker, err := d.waitForBusyWorker(ctx, demoJobIDs())
	if err != nil {
		return err
	}
	if err := d.drainWorker(ctx, worker); err != nil {
		return err
	}
	r.AtLeast("calls answered with their own answer", float64(<-answered), demoCallCount, "")
	jobs, err := d.waitForJobs(ctx, demoJobIDs(), 40*time.Second)
	if err != nil {
		return err
	}
	finished, evictions := 0, 0
	for _, j := range jobs {
		if j.GetPhase() == "finished" && d.Ledger.Job(j.GetId()).Completed == 1 {
			finished++
		}
		evictions += int(j.GetEvictions())
	}
	r.AtLeast("jobs finished exactly once", float64(finished), demoJobCount, "")
	r.AtLeast("evictions resumed", float64(evictions), 1, "")
	d.reportViolations(r, "")
	return nil
}

func demoJobIDs() []string {
	var ids []string
	for i := range demoJobCount {
		ids = append(ids, fmt.Sprintf("plan-%d", i+1))
	}
	return ids
}

func (d *Deployment) submitDemoJobs(ctx context.Context) error {
	var specs []*pb.JobSpec
	for i, id := range demoJobIDs() {
		specs = append(specs, &pb.JobSpec{
			Id: id, Kind: "cuttingPlan", Team: "planning", Urgent: i%10 == demoUrgentRemainder,
			Payload: tbstandin.JobPayload{RunMs: int64(1500 + 40*i)}.Encode(),
		})
	}
	return d.submitSpecs(ctx, specs)
}

// newJobClient returns a job client of the first ready instance.
func (d *Deployment) newJobClient() tbprotov1connect.JobServiceClient {
	return tbprotov1connect.NewJobServiceClient(http.DefaultClient, "http://"+d.readyAddress())
}

// readyAddress returns the caller address of the first ready instance, or of the first instance if none is ready.
func (d *Deployment) readyAddress() string {
	for _, in := range d.Cluster.Instances {
		if ready, _ := in.Ready(context.Background()); ready {
			return in.CallerAddress
		}
	}
	return d.Cluster.Instances[0].CallerAddress
}

// submitSpecs submits jobs, retries while there is no leader, and returns an error if a job is refused.
func (d *Deployment) submitSpecs(ctx context.Context, specs []*pb.JobSpec) error {
	resp, err := tblaunch.RetryWhileUnavailable(ctx, func() (*connect.Response[pb.SubmitResponse], error) {
		return d.newJobClient().Submit(ctx, connect.NewRequest(&pb.SubmitRequest{Jobs: specs}))
	})
	if err != nil {
		return err
	}
	for i, result := range resp.Msg.GetResults() {
		if result.GetReason() != "" {
			return fmt.Errorf("job %q refused: %s %s", specs[i].GetId(), result.GetReason(), result.GetDetail())
		}
	}
	return nil
}

func (d *Deployment) drainWorker(ctx context.Context, worker string) error {
	resp, err := tblaunch.RetryWhileUnavailable(ctx, func() (*connect.Response[pb.DrainResponse], error) {
		return d.Cluster.Instances[0].Operator().Drain(ctx, connect.NewRequest(&pb.DrainRequest{Worker: worker}))
	})
	if err != nil {
		return err
	}
	if reason := resp.Msg.GetResult().GetReason(); reason != "" {
		return fmt.Errorf("drain of %s refused: %s", worker, reason)
	}
	return nil
}

// waitForBusyWorker waits until one of the jobs is running and returns its worker.
func (d *Deployment) waitForBusyWorker(ctx context.Context, ids []string) (string, error) {
	for {
		jobs, err := d.fetchJobStatuses(ctx, ids)
		for _, j := range jobs {
			if j.GetPhase() == "running" && j.GetWorker() != "" {
				return j.GetWorker(), nil
			}
		}
		select {
		case <-ctx.Done():
			return "", errors.Join(ctx.Err(), err)
		case <-time.After(statusPollInterval):
		}
	}
}

// waitForJobs waits until all jobs have ended or the timeout passes and returns their last known status.
func (d *Deployment) waitForJobs(ctx context.Context, ids []string, timeout time.Duration) ([]*pb.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var jobs []*pb.JobStatus
	for {
		if statuses, err := d.fetchJobStatuses(ctx, ids); err == nil {
			jobs = statuses
			if allEnded(jobs) {
				return jobs, nil
			}
		}
		select {
		case <-ctx.Done():
			return jobs, nil
		case <-time.After(4 * statusPollInterval):
		}
	}
}

func (d *Deployment) fetchJobStatuses(ctx context.Context, ids []string) ([]*pb.JobStatus, error) {
	resp, err := d.newJobClient().Status(ctx, connect.NewRequest(&pb.JobStatusRequest{Ids: ids}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetJobs(), nil
}

func allEnded(jobs []*pb.JobStatus) bool {
	for _, j := range jobs {
		switch j.GetPhase() {
		case "finished", "failed", "cancelled":
		default:
			return false
		}
	}
	return true
}

// sendDemoCalls sends calls to all instances in turn and returns the number of correct answers.
func (d *Deployment) sendDemoCalls(ctx context.Context) int {
	addresses := d.Addresses()
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered := 0
	semaphore := make(chan struct{}, demoConcurrency)
	for i := range demoCallCount {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-semaphore; wg.Done() }()
			result := d.Caller.Call(ctx, addresses[i%len(addresses)], tbstandin.Request{
				Service: "quotes", Method: "quote", ID: fmt.Sprintf("call-%d", i), Member: fmt.Sprintf("member-%d", i%5),
				Deadline: 2 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			if result.Answered() {
				answered++
			}
		}()
	}
	wg.Wait()
	return answered
}
