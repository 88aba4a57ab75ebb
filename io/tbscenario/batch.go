package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbstandin"
)

// Parameters of the job load. It has the size of the users' current load, but shorter run times, so
// that a scenario takes only a minute.
const (
	jobWorkers                = 65
	submitBatchSize           = 200
	utilisationSampleInterval = 100 * time.Millisecond
)

const jobBundle = `version = 1

[[jobKinds]]
name = "stockCheck"
processors = 4
memoryMB = 15000
rank = 10
expectedRunTime = "1s"
checkpointable = true

[[jobKinds]]
name = "cuttingPlan"
processors = 8
memoryMB = 16000
rank = 10
expectedRunTime = "1s"
checkpointable = true

[[jobKinds]]
name = "expiryCheck"
processors = 1
memoryMB = 2000
rank = 10
expectedRunTime = "1s"

[[jobKinds]]
name = "wholeStock"
processors = 8
memoryMB = 16000
rank = 10
expectedRunTime = "1s"
checkpointable = true

[[jobKinds]]
name = "recall"
processors = 1
memoryMB = 2000
rank = 50
expectedRunTime = "1s"

[[teams]]
name = "stock"
processors = 100000
memoryMB = 400000000

[[teams]]
name = "alerts"
processors = 100000
memoryMB = 400000000
`

// jobShape returns the deployment of the scenarios that run only jobs.
func jobShape(name, policies string) Shape {
	return Shape{
		Name: name, Instances: loadInstances, ControlReplicas: loadControlReplicas, Workers: jobWorkers, Bundle: jobBundle,
		Policies: "shortBound = \"4s\"\n" + policies,
	}
}

// job is one job of a load.
type job struct {
	spec *pb.JobSpec
	// submitAfter is the time from the start of the load to the submission of the job.
	submitAfter time.Duration
	// acknowledgedAt is when the submission was acknowledged.
	acknowledgedAt time.Time
}

func newJob(id, kind, team string, runTime time.Duration) *job {
	return &job{spec: &pb.JobSpec{
		Id: id, Kind: kind, Team: team, Payload: tbstandin.JobPayload{RunMs: runTime.Milliseconds()}.Encode(),
	}}
}

// submitJobs submits jobs in batches of submitBatchSize.
func (d *Deployment) submitJobs(ctx context.Context, jobs []*job) error {
	for batch := range slices.Chunk(jobs, submitBatchSize) {
		var specs []*pb.JobSpec
		for _, j := range batch {
			specs = append(specs, j.spec)
		}
		if err := d.submitSpecs(ctx, specs); err != nil {
			return err
		}
		for _, j := range batch {
			j.acknowledgedAt = time.Now()
		}
	}
	return nil
}

// submitOnSchedule submits each job at its submitAfter; jobs must be sorted by that time.
func (d *Deployment) submitOnSchedule(ctx context.Context, jobs []*job) error {
	start := time.Now()
	for len(jobs) > 0 {
		dueCount := 0
		for dueCount < len(jobs) && jobs[dueCount].submitAfter <= time.Since(start) {
			dueCount++
		}
		if dueCount == 0 {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if err := d.submitJobs(ctx, jobs[:dueCount]); err != nil {
			return err
		}
		jobs = jobs[dueCount:]
	}
	return nil
}

// measureUtilisation samples the fake workers for the given duration. It returns the mean share of all
// workers' processors that tasks used.
func (d *Deployment) measureUtilisation(ctx context.Context, duration time.Duration) float64 {
	deadline := time.Now().Add(duration)
	sum, n := 0.0, 0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		var used int64
		for _, w := range d.Workers {
			used += w.Used().MilliProcessors
		}
		sum += float64(used) / float64(len(d.Workers)*workerMilliProcessors)
		n++
		time.Sleep(utilisationSampleInterval)
	}
	return sum / float64(max(1, n))
}

// drawMixedJobs draws jobs of three kinds. Their actual run times differ widely from the declared ones.
func drawMixedJobs(rng *rand.Rand, n int) []*job {
	var jobs []*job
	for i := range n {
		runTimeFactor := 0.5 + rng.Float64()
		switch x := rng.IntN(10); {
		case x < 3:
			jobs = append(jobs, newJob(fmt.Sprintf("plan-%d", i), "cuttingPlan", "stock", time.Duration(8*runTimeFactor*float64(time.Second))))
		case x < 5:
			jobs = append(jobs, newJob(fmt.Sprintf("stock-%d", i), "stockCheck", "stock", time.Duration(12*runTimeFactor*float64(time.Second))))
		default:
			jobs = append(jobs, newJob(fmt.Sprintf("check-%d", i), "expiryCheck", "alerts", time.Duration(2*runTimeFactor*float64(time.Second))))
		}
	}
	return jobs
}

const (
	batchJobCount    = 3000
	jobWarmUpTime    = 4 * time.Second
	batchMeasureTime = 16 * time.Second
)

// runBatch measures the share of the workers' processor time that a backlog of mixed jobs uses.
func runBatch(ctx context.Context, env Env, r *Report) error {
	for _, variant := range []struct {
		name, policies string
		hasBound       bool
	}{{"", "", true}, {"baseline in order of submission, no learning: ", "learnJobs = false", false}} {
		d, err := deploy(ctx, env, jobShape("batch", variant.policies))
		if err != nil {
			return err
		}
		if err := d.submitJobs(ctx, drawMixedJobs(rand.New(rand.NewPCG(env.Seed, 11)), batchJobCount)); err != nil {
			return err
		}
		time.Sleep(jobWarmUpTime)
		utilisation := d.measureUtilisation(ctx, batchMeasureTime)
		if variant.hasBound {
			r.AtLeast("processor time used against perfect packing", utilisation, 0.9, "")
		} else {
			r.Add(variant.name+"processor time used against perfect packing", utilisation, "")
		}
		r.Add(variant.name+"jobs finished", float64(d.Ledger.CompletedJobs()), "")
		d.reportViolations(r, variant.name)
		d.Close()
	}
	return nil
}

const (
	shortJobsPerSecond = 60.0
	shortRunTime       = 300 * time.Millisecond
	longRunTime        = 30 * time.Second
	longJobCount       = 500
	shortLoadTime      = 20 * time.Second
	shortLoadDelay     = 10 * time.Second
)

// runLongShort measures how long short jobs wait while jobs a hundred times longer fill the workers.
func runLongShort(ctx context.Context, env Env, r *Report) error {
	aloneP99Seconds, _, err := measureShortJobs(ctx, env, r, "short work alone: ", "", 0)
	if err != nil {
		return err
	}
	mixedP99Seconds, mixedUsedShare, err := measureShortJobs(ctx, env, r, "with long work: ", "", longJobCount)
	if err != nil {
		return err
	}
	_, baselineUsedShare, err := measureShortJobs(ctx, env, r, "baseline in order of submission, with long work: ", "learnJobs = false", longJobCount)
	if err != nil {
		return err
	}
	r.AtMost("p99 wait of short work against that without long work", mixedP99Seconds/aloneP99Seconds, 2, "")
	r.AtLeast("processor time used against the baseline", mixedUsedShare/baselineUsedShare, 0.95, "")
	return nil
}

// measureShortJobs submits longCount long jobs and then a load of short jobs. It returns the p99 wait
// of the short jobs in seconds and the share of processor time used.
func measureShortJobs(ctx context.Context, env Env, r *Report, prefix, policies string, longCount int) (p99Seconds, used float64, err error) {
	d, err := deploy(ctx, env, jobShape("longshort", policies))
	if err != nil {
		return 0, 0, err
	}
	defer d.Close()
	var longJobs []*job
	for i := range longCount {
		longJobs = append(longJobs, newJob(fmt.Sprintf("whole-%d", i), "wholeStock", "stock", longRunTime))
	}
	if err := d.submitJobs(ctx, longJobs); err != nil {
		return 0, 0, err
	}
	if longCount > 0 {
		// Gives the scheduler time to learn that jobs of the long kind exceed their declared run time.
		time.Sleep(shortLoadDelay)
	}
	shortJobs := drawPoissonJobs(rand.New(rand.NewPCG(env.Seed, 12)), shortLoadTime, shortJobsPerSecond, "short", "expiryCheck", shortRunTime)
	utilisation := make(chan float64, 1)
	go func() { utilisation <- d.measureUtilisation(ctx, shortLoadTime) }()
	if err := d.submitOnSchedule(ctx, shortJobs); err != nil {
		return 0, 0, err
	}
	used = <-utilisation
	time.Sleep(2 * time.Second)
	p99Seconds, notStartedCount := d.p99WaitSeconds(shortJobs)
	r.Add(prefix+"p99 wait of short work", p99Seconds, "s")
	r.Add(prefix+"short work not started 2 s after the end", float64(notStartedCount), "")
	r.Add(prefix+"processor time used", used, "")
	d.reportViolations(r, prefix)
	return p99Seconds, used, nil
}

// drawPoissonJobs draws jobs of one kind whose submission times form a Poisson process. The ids of the
// jobs start with idPrefix.
func drawPoissonJobs(rng *rand.Rand, duration time.Duration, perSecond float64, idPrefix, kind string, runTime time.Duration) []*job {
	var jobs []*job
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			return jobs
		}
		j := newJob(fmt.Sprintf("%s-%d", idPrefix, len(jobs)), kind, "alerts", runTime)
		j.submitAfter = at
		jobs = append(jobs, j)
	}
}

// p99WaitSeconds returns the p99 wait in seconds and the number of jobs that have not started. A wait
// lasts from the acknowledgement of a job to its first start, or until now if it has not started.
func (d *Deployment) p99WaitSeconds(jobs []*job) (p99Seconds float64, notStartedCount int) {
	var waitSeconds []float64
	for _, j := range jobs {
		startedAt := d.Ledger.Job(j.spec.GetId()).FirstStart
		if startedAt.IsZero() {
			notStartedCount++
			startedAt = time.Now()
		}
		waitSeconds = append(waitSeconds, max(0, startedAt.Sub(j.acknowledgedAt).Seconds()))
	}
	slices.Sort(waitSeconds)
	return waitSeconds[len(waitSeconds)*99/100], notStartedCount
}

const (
	urgentJobsPerSecond     = 59.0
	urgentLoadTime          = 10 * time.Second
	urgentStartLimitSeconds = 6.2
)

// runUrgent measures how soon urgent jobs start on fully used workers.
func runUrgent(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, jobShape("urgent", ""))
	if err != nil {
		return err
	}
	defer d.Close()
	var fillJobs []*job
	for i := range jobWorkers * 5 {
		fillJobs = append(fillJobs, newJob(fmt.Sprintf("fill-%d", i), "wholeStock", "stock", time.Minute))
	}
	if err := d.submitJobs(ctx, fillJobs); err != nil {
		return err
	}
	time.Sleep(jobWarmUpTime)
	r.AtLeast("processor time used before", d.measureUtilisation(ctx, time.Second), 0.99, "")
	urgent := drawPoissonJobs(rand.New(rand.NewPCG(env.Seed, 13)), urgentLoadTime, urgentJobsPerSecond, "urgent", "recall", time.Minute)
	for _, j := range urgent {
		j.spec.Urgent = true
	}
	if err := d.submitOnSchedule(ctx, urgent); err != nil {
		return err
	}
	time.Sleep(time.Duration(urgentStartLimitSeconds * float64(time.Second)))
	longestSeconds := 0.0
	lateStartCount := 0
	for _, j := range urgent {
		startedAt := d.Ledger.Job(j.spec.GetId()).FirstStart
		if startedAt.IsZero() || startedAt.Sub(j.acknowledgedAt).Seconds() > urgentStartLimitSeconds {
			lateStartCount++
			continue
		}
		longestSeconds = max(longestSeconds, startedAt.Sub(j.acknowledgedAt).Seconds())
	}
	p99Seconds, _ := d.p99WaitSeconds(urgent)
	r.Add("urgent tasks", float64(len(urgent)), "")
	r.AtMost("urgent tasks not started within 6.2 s", float64(lateStartCount), 0, "")
	r.Add("p99 wait", p99Seconds, "s")
	r.AtMost("longest wait", longestSeconds, urgentStartLimitSeconds, "s")
	d.reportViolations(r, "")
	return nil
}

const (
	faultJobCount    = 1500
	faultCancelCount = 500
	faultJobsTimeout = 60 * time.Second
)

// runJobFaults makes workers, a rack and the leader fail while jobs are cancelled in bulk.
func runJobFaults(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, jobShape("wavefaults", ""))
	if err != nil {
		return err
	}
	defer d.Close()
	jobs := drawMixedJobs(rand.New(rand.NewPCG(env.Seed, 14)), faultJobCount)
	if err := d.submitJobs(ctx, jobs); err != nil {
		return err
	}
	cancelAcceptedByID, err := d.injectJobFaults(ctx, jobs)
	if err != nil {
		return err
	}
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.spec.GetId())
	}
	statuses, err := d.waitForJobs(ctx, ids, faultJobsTimeout)
	if err != nil {
		return err
	}
	d.reportJobOutcomes(r, statuses, cancelAcceptedByID)
	d.reportViolations(r, "")
	return nil
}

// injectJobFaults injects faults in this order, with pauses:
//   - It kills five workers and cancels half of the jobs to be cancelled.
//   - It makes one worker unreachable, kills the leader and the ten workers of a rack, and cancels the
//     other half of these jobs.
//   - It restarts the leader, and the first five workers under new incarnations.
//   - It makes the unreachable worker reachable again.
//
// The result tells for each of these jobs whether its cancellation was accepted.
func (d *Deployment) injectJobFaults(ctx context.Context, jobs []*job) (map[string]bool, error) {
	cancelAcceptedByID := map[string]bool{}
	time.Sleep(4 * time.Second)
	for _, w := range d.Workers[:5] {
		w.Kill()
	}
	if err := d.cancelJobs(ctx, jobs[faultJobCount-faultCancelCount:faultJobCount-faultCancelCount/2], cancelAcceptedByID); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	d.Workers[10].SetUnreachable(true)
	leader, err := d.waitForLeader(ctx)
	if err != nil {
		return nil, err
	}
	if err := d.Cluster.Instances[leader-1].Kill(); err != nil {
		return nil, err
	}
	for _, w := range d.Workers[20:30] {
		w.Kill()
	}
	if err := d.cancelJobs(ctx, jobs[faultJobCount-faultCancelCount/2:], cancelAcceptedByID); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if err := d.Cluster.Instances[leader-1].Start(); err != nil {
		return nil, err
	}
	for i := range 5 {
		w, err := tbstandin.StartWorker(d.workerConfig(i))
		if err != nil {
			return nil, err
		}
		d.Workers[i] = w
	}
	time.Sleep(8 * time.Second)
	d.Workers[10].SetUnreachable(false)
	return cancelAcceptedByID, nil
}

// cancelJobs cancels jobs and records in cancelAcceptedByID whether each cancellation was accepted.
func (d *Deployment) cancelJobs(ctx context.Context, jobs []*job, cancelAcceptedByID map[string]bool) error {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.spec.GetId())
	}
	resp, err := d.newJobClient().Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Ids: ids}))
	if err != nil {
		return err
	}
	for i, result := range resp.Msg.GetResults() {
		cancelAcceptedByID[ids[i]] = result.GetReason() == ""
	}
	return nil
}

// reportJobOutcomes compares the final job phases with what the fake workers observed.
func (d *Deployment) reportJobOutcomes(r *Report, statuses []*pb.JobStatus, cancelAcceptedByID map[string]bool) {
	unfinishedCount, finishedCount, wronglyFinishedCount, wronglyCancelledCount, cancelledCount := 0, 0, 0, 0, 0
	for _, j := range statuses {
		observed := d.Ledger.Job(j.GetId())
		switch j.GetPhase() {
		case "finished":
			finishedCount++
			if observed.Completed < 1 || observed.Accepted > 1 {
				wronglyFinishedCount++
			}
		case "cancelled":
			cancelledCount++
			if !cancelAcceptedByID[j.GetId()] || observed.Running {
				wronglyCancelledCount++
			}
		default:
			unfinishedCount++
		}
	}
	r.Add("jobs", float64(len(statuses)), "")
	r.Add("jobs finished", float64(finishedCount), "")
	r.Add("jobs cancelled", float64(cancelledCount), "")
	r.AtMost("jobs neither finished nor cancelled", float64(unfinishedCount), 0, "")
	r.AtMost("jobs called finished without one result", float64(wronglyFinishedCount), 0, "")
	r.AtMost("jobs called cancelled that were not asked to be or still run", float64(wronglyCancelledCount), 0, "")
}
