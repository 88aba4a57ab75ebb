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

// The batch load of today; times are shortened so that a run takes a minute.
const (
	batchWorkers    = 65
	submitBatch     = 200
	utilisationStep = 100 * time.Millisecond
)

const batchBundle = `version = 1

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

func batchShape(name, policies string) Shape {
	return Shape{
		Name: name, Entries: loadEntries, Controls: loadControls, Workers: batchWorkers, Bundle: batchBundle,
		Policies: "shortBound = \"4s\"\n" + policies,
	}
}

// job is one job of a batch load.
type job struct {
	spec *pb.JobSpec
	at   time.Duration
	// submitted is when it was acknowledged.
	submitted time.Time
}

func newJob(id, kind, team string, run time.Duration) *job {
	return &job{spec: &pb.JobSpec{
		Id: id, Kind: kind, Team: team, Payload: tbstandin.JobPayload{RunMs: run.Milliseconds()}.Encode(),
	}}
}

// submitJobs sends jobs in large requests.
func (d *Deployment) submitJobs(ctx context.Context, jobs []*job) error {
	for batch := range slices.Chunk(jobs, submitBatch) {
		var specs []*pb.JobSpec
		for _, j := range batch {
			specs = append(specs, j.spec)
		}
		if err := d.submit(ctx, specs); err != nil {
			return err
		}
		for _, j := range batch {
			j.submitted = time.Now()
		}
	}
	return nil
}

// submitAtTimes sends each job at its time.
func (d *Deployment) submitAtTimes(ctx context.Context, jobs []*job) error {
	began := time.Now()
	for len(jobs) > 0 {
		due := 0
		for due < len(jobs) && jobs[due].at <= time.Since(began) {
			due++
		}
		if due == 0 {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if err := d.submitJobs(ctx, jobs[:due]); err != nil {
			return err
		}
		jobs = jobs[due:]
	}
	return nil
}

// utilisation returns the mean share of all processors that tasks held, seen by the workers.
func (d *Deployment) utilisation(ctx context.Context, length time.Duration) float64 {
	deadline := time.Now().Add(length)
	sum, n := 0.0, 0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		var used int64
		for _, w := range d.Workers {
			used += w.Used().MilliProcessors
		}
		sum += float64(used) / float64(len(d.Workers)*workerMilliProcessors)
		n++
		time.Sleep(utilisationStep)
	}
	return sum / float64(max(1, n))
}

// mixedJobs draws jobs of three kinds; declared run times are far off.
func mixedJobs(rng *rand.Rand, n int) []*job {
	var jobs []*job
	for i := range n {
		spread := 0.5 + rng.Float64()
		switch x := rng.IntN(10); {
		case x < 3:
			jobs = append(jobs, newJob(fmt.Sprintf("plan-%d", i), "cuttingPlan", "stock", time.Duration(8*spread*float64(time.Second))))
		case x < 5:
			jobs = append(jobs, newJob(fmt.Sprintf("stock-%d", i), "stockCheck", "stock", time.Duration(12*spread*float64(time.Second))))
		default:
			jobs = append(jobs, newJob(fmt.Sprintf("check-%d", i), "expiryCheck", "alerts", time.Duration(2*spread*float64(time.Second))))
		}
	}
	return jobs
}

const (
	batchJobs     = 3000
	batchWarmUp   = 4 * time.Second
	batchMeasured = 16 * time.Second
)

// runBatch measures how much of the workers a backlog of mixed jobs keeps busy.
func runBatch(ctx context.Context, env Env, r *Report) error {
	for _, way := range []struct {
		name, policies string
		bound          bool
	}{{"", "", true}, {"baseline in order of submission, no learning: ", "learnJobs = false", false}} {
		d, err := deploy(ctx, env, batchShape("batch", way.policies))
		if err != nil {
			return err
		}
		if err := d.submitJobs(ctx, mixedJobs(rand.New(rand.NewPCG(env.Seed, 11)), batchJobs)); err != nil {
			return err
		}
		time.Sleep(batchWarmUp)
		share := d.utilisation(ctx, batchMeasured)
		if way.bound {
			r.AtLeast("processor time used against perfect packing", share, 0.9, "")
		} else {
			r.Add(way.name+"processor time used against perfect packing", share, "")
		}
		r.Add(way.name+"jobs finished", float64(d.Ledger.Finished()), "")
		d.reportViolations(r, way.name)
		d.Close()
	}
	return nil
}

const (
	shortRate     = 60.0
	shortRun      = 300 * time.Millisecond
	longRun       = 30 * time.Second
	longJobs      = 500
	shortLength   = 20 * time.Second
	shortStartsAt = 10 * time.Second
)

// runLongShort measures the wait of short checks while jobs a hundred times longer fill the workers.
func runLongShort(ctx context.Context, env Env, r *Report) error {
	alone, _, err := measureShort(ctx, env, r, "short work alone: ", "", 0)
	if err != nil {
		return err
	}
	mixed, work, err := measureShort(ctx, env, r, "with long work: ", "", longJobs)
	if err != nil {
		return err
	}
	_, baseline, err := measureShort(ctx, env, r, "baseline in order of submission, with long work: ", "learnJobs = false", longJobs)
	if err != nil {
		return err
	}
	r.AtMost("p99 wait of short work against that without long work", mixed/alone, 2, "")
	r.AtLeast("processor time used against the baseline", work/baseline, 0.95, "")
	return nil
}

// measureShort returns the p99 wait of short jobs in seconds and the share of processor time used.
func measureShort(ctx context.Context, env Env, r *Report, prefix, policies string, long int) (p99, used float64, err error) {
	d, err := deploy(ctx, env, batchShape("longshort", policies))
	if err != nil {
		return 0, 0, err
	}
	defer d.Close()
	var longs []*job
	for i := range long {
		longs = append(longs, newJob(fmt.Sprintf("whole-%d", i), "wholeStock", "stock", longRun))
	}
	if err := d.submitJobs(ctx, longs); err != nil {
		return 0, 0, err
	}
	if long > 0 {
		// The system sees that the long kind outruns what was declared.
		time.Sleep(shortStartsAt)
	}
	shorts := poissonJobs(rand.New(rand.NewPCG(env.Seed, 12)), shortLength, shortRate, "short", "expiryCheck", shortRun)
	busy := make(chan float64, 1)
	go func() { busy <- d.utilisation(ctx, shortLength) }()
	if err := d.submitAtTimes(ctx, shorts); err != nil {
		return 0, 0, err
	}
	used = <-busy
	time.Sleep(2 * time.Second)
	p99, notStarted := d.waits(shorts)
	r.Add(prefix+"p99 wait of short work", p99, "s")
	r.Add(prefix+"short work not started 2 s after the end", float64(notStarted), "")
	r.Add(prefix+"processor time used", used, "")
	d.reportViolations(r, prefix)
	return p99, used, nil
}

func poissonJobs(rng *rand.Rand, length time.Duration, rate float64, label, kind string, run time.Duration) []*job {
	var jobs []*job
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return jobs
		}
		j := newJob(fmt.Sprintf("%s-%d", label, len(jobs)), kind, "alerts", run)
		j.at = at
		jobs = append(jobs, j)
	}
}

// waits returns the p99 of the seconds from acknowledgement to first start; what never started counts until now.
func (d *Deployment) waits(jobs []*job) (p99 float64, notStarted int) {
	var all []float64
	for _, j := range jobs {
		started := d.Ledger.Job(j.spec.GetId()).FirstStart
		if started.IsZero() {
			notStarted++
			started = time.Now()
		}
		all = append(all, max(0, started.Sub(j.submitted).Seconds()))
	}
	slices.Sort(all)
	return all[len(all)*99/100], notStarted
}

const (
	urgentRate   = 59.0
	urgentLength = 10 * time.Second
	urgentWithin = 6.2
)

// runUrgent measures how soon urgent tasks start on workers that are full.
func runUrgent(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, batchShape("urgent", ""))
	if err != nil {
		return err
	}
	defer d.Close()
	var fill []*job
	for i := range batchWorkers * 5 {
		fill = append(fill, newJob(fmt.Sprintf("fill-%d", i), "wholeStock", "stock", time.Minute))
	}
	if err := d.submitJobs(ctx, fill); err != nil {
		return err
	}
	time.Sleep(batchWarmUp)
	r.AtLeast("processor time used before", d.utilisation(ctx, time.Second), 0.99, "")
	urgent := poissonJobs(rand.New(rand.NewPCG(env.Seed, 13)), urgentLength, urgentRate, "urgent", "recall", time.Minute)
	for _, j := range urgent {
		j.spec.Urgent = true
	}
	if err := d.submitAtTimes(ctx, urgent); err != nil {
		return err
	}
	time.Sleep(time.Duration(urgentWithin * float64(time.Second)))
	longest := 0.0
	late := 0
	for _, j := range urgent {
		started := d.Ledger.Job(j.spec.GetId()).FirstStart
		if started.IsZero() || started.Sub(j.submitted).Seconds() > urgentWithin {
			late++
			continue
		}
		longest = max(longest, started.Sub(j.submitted).Seconds())
	}
	p99, _ := d.waits(urgent)
	r.Add("urgent tasks", float64(len(urgent)), "")
	r.AtMost("urgent tasks not started within 6.2 s", float64(late), 0, "")
	r.Add("p99 wait", p99, "s")
	r.AtMost("longest wait", longest, urgentWithin, "s")
	d.reportViolations(r, "")
	return nil
}

const (
	waveJobs    = 1500
	waveCancels = 500
	waveWithin  = 60 * time.Second
)

// runWaveFaults loses workers, a rack and the leader while jobs are cancelled in waves.
func runWaveFaults(ctx context.Context, env Env, r *Report) error {
	d, err := deploy(ctx, env, batchShape("wavefaults", ""))
	if err != nil {
		return err
	}
	defer d.Close()
	jobs := mixedJobs(rand.New(rand.NewPCG(env.Seed, 14)), waveJobs)
	if err := d.submitJobs(ctx, jobs); err != nil {
		return err
	}
	cancelled, err := d.waves(ctx, jobs)
	if err != nil {
		return err
	}
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.spec.GetId())
	}
	ended, err := d.waitForJobs(ctx, ids, waveWithin)
	if err != nil {
		return err
	}
	d.judgeWaves(r, ended, cancelled)
	d.reportViolations(r, "")
	return nil
}

// waves strikes in turn; a killed worker comes back later under a new incarnation.
func (d *Deployment) waves(ctx context.Context, jobs []*job) (map[string]bool, error) {
	cancelled := map[string]bool{}
	time.Sleep(4 * time.Second)
	for _, w := range d.Workers[:5] {
		w.Kill()
	}
	if err := d.cancelWave(ctx, jobs[waveJobs-waveCancels:waveJobs-waveCancels/2], cancelled); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	d.Workers[10].SetSilent(true)
	leader, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	if err := d.Cluster.Instances[leader-1].Kill(); err != nil {
		return nil, err
	}
	for _, w := range d.Workers[20:30] {
		w.Kill()
	}
	if err := d.cancelWave(ctx, jobs[waveJobs-waveCancels/2:], cancelled); err != nil {
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
	d.Workers[10].SetSilent(false)
	return cancelled, nil
}

func (d *Deployment) cancelWave(ctx context.Context, jobs []*job, cancelled map[string]bool) error {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.spec.GetId())
	}
	answer, err := d.jobs().Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Ids: ids}))
	if err != nil {
		return err
	}
	for i, result := range answer.Msg.GetResults() {
		cancelled[ids[i]] = result.GetReason() == ""
	}
	return nil
}

func (d *Deployment) judgeWaves(r *Report, ended []*pb.JobStatus, cancelled map[string]bool) {
	open, finished, finishedWrong, cancelledWrong, gone := 0, 0, 0, 0, 0
	for _, j := range ended {
		facts := d.Ledger.Job(j.GetId())
		switch j.GetPhase() {
		case "finished":
			finished++
			if facts.Completed < 1 || facts.Published > 1 {
				finishedWrong++
			}
		case "cancelled":
			gone++
			if !cancelled[j.GetId()] || facts.Running {
				cancelledWrong++
			}
		default:
			open++
		}
	}
	r.Add("jobs", float64(len(ended)), "")
	r.Add("jobs finished", float64(finished), "")
	r.Add("jobs cancelled", float64(gone), "")
	r.AtMost("jobs neither finished nor cancelled", float64(open), 0, "")
	r.AtMost("jobs called finished without one result", float64(finishedWrong), 0, "")
	r.AtMost("jobs called cancelled that were not asked to be or still run", float64(cancelledWrong), 0, "")
}
