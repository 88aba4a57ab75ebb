package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackbarrow/io/tbstandin"
)

// Parameters of the co-location scenario, in which every worker shares its instance with a runner.
const (
	colocateLoadFactor = 0.4
	colocateLoadTime   = 40 * time.Second
	colocateWarmUpTime = 10 * time.Second
	colocateShiftTime  = 25 * time.Second
	colocateJobCount   = 2500
	colocateRunTime    = 5 * time.Second
	latencyInterval    = time.Second
	// noisyIncrease and quietIncrease are added to the slowdown factor for a load with Share 1.
	noisyIncrease        = 0.6
	quietIncrease        = 0.05
	minShareWithinTarget = 0.95
)

const colocateBundleTables = `
[[jobKinds]]
name = "sheeting"
processors = 8
memoryMB = 16000
rank = 10
expectedRunTime = "5s"
checkpointable = true

[[jobKinds]]
name = "watching"
processors = 8
memoryMB = 16000
rank = 10
expectedRunTime = "5s"
checkpointable = true

[[teams]]
name = "stock"
processors = 100000
memoryMB = 400000000
`

// slowdownModel simulates the slowdown of a service by co-located tasks. One kind of job is noisy;
// colocateShiftTime after start, another kind becomes the noisy one.
type slowdownModel struct{ startedAt time.Time }

// slowdownFactor returns the factor by which loads multiply the service time; it is 1 without loads.
func (m *slowdownModel) slowdownFactor(loads []tbstandin.Load) float64 {
	noisyKind := "sheeting"
	if !m.startedAt.IsZero() && time.Since(m.startedAt) > colocateShiftTime {
		noisyKind = "watching"
	}
	factor := 1.0
	for _, l := range loads {
		if l.Kind == noisyKind {
			factor += noisyIncrease * l.Share
			continue
		}
		factor += quietIncrease * l.Share
	}
	return factor
}

// runColocate measures calls and jobs that share instances, with and without protection of services
// against interference. For comparison, it also measures the jobs without calls.
func runColocate(ctx context.Context, env Env, r *Report) error {
	batchOnly, err := measureColocate(ctx, env, r, "batch alone: ", "", false)
	if err != nil {
		return err
	}
	colocated, err := measureColocate(ctx, env, r, "", "", true)
	if err != nil {
		return err
	}
	if _, err := measureColocate(ctx, env, r, "baseline without learning neighbours: ", "learnNeighbours = false", true); err != nil {
		return err
	}
	r.AtLeast("intervals with p99 within the target", colocated.shareWithinTarget, minShareWithinTarget, "")
	r.Add("batch work kept against batch alone", colocated.utilisation/batchOnly.utilisation, "")
	return nil
}

// colocateResult is the result of measureColocate. shareWithinTarget is the share of intervals within
// the latency target, or 0 without calls. utilisation is the share of the workers' processors that
// tasks used.
type colocateResult struct {
	shareWithinTarget float64
	utilisation       float64
}

func measureColocate(ctx context.Context, env Env, r *Report, prefix, policies string, withService bool) (colocateResult, error) {
	model := &slowdownModel{}
	// shortBound exceeds the run time of all jobs, so that no job is treated as long.
	shape := loadShape("colocate", "shortBound = \"1h\"\n"+policies)
	shape.Workers = loadRunners
	shape.Bundle = loadBundle + colocateBundleTables
	shape.Slowdown = model.slowdownFactor
	d, err := deploy(ctx, env, shape)
	if err != nil {
		return colocateResult{}, err
	}
	defer d.Close()
	rng := rand.New(rand.NewPCG(env.Seed, 21))
	var jobs []*job
	for i := range colocateJobCount {
		kind := []string{"sheeting", "watching"}[rng.IntN(2)]
		jobs = append(jobs, newJob(fmt.Sprintf("%s-%d", kind, i), kind, "stock", colocateRunTime))
	}
	if err := d.submitJobs(ctx, jobs); err != nil {
		return colocateResult{}, err
	}
	model.startedAt = time.Now()
	result := colocateResult{}
	utilisation := make(chan float64, 1)
	go func() {
		time.Sleep(colocateWarmUpTime)
		utilisation <- d.measureUtilisation(ctx, colocateLoadTime-colocateWarmUpTime)
	}()
	if withService {
		arrivals := drawPoissonArrivals(rng, []loadPhase{{duration: colocateLoadTime, rate: colocateLoadFactor * loadCapacity()}}, pickUniformly(d.Addresses()), "beside")
		outcomes := sendLoad(ctx, d.Caller, arrivals)
		result.shareWithinTarget = shareWithinTarget(outcomes)
		s := summarise(outcomes, serviceTarget, colocateWarmUpTime, colocateLoadTime)
		r.Add(prefix+"share of intervals with p99 within the target", result.shareWithinTarget, "")
		r.Add(prefix+"p99 of answered calls", percentileMillis(s.answeredLatency, 99), "ms")
	}
	result.utilisation = <-utilisation
	r.Add(prefix+"processor time used by batch", result.utilisation, "")
	maxPerJob, evictions, err := d.countEvictions(ctx, jobs)
	if err != nil {
		return colocateResult{}, err
	}
	r.Add(prefix+"evictions", float64(evictions), "")
	r.AtMost(prefix+"most evictions of one task in the run of 40 s", float64(maxPerJob), 2, "")
	d.reportViolations(r, prefix)
	return result, nil
}

// shareWithinTarget returns the share of intervals after the warm-up in which every call was answered and the p99 was
// within the target.
func shareWithinTarget(outcomes []outcome) float64 {
	goodIntervals, allIntervals := 0, 0
	for from := colocateWarmUpTime; from < colocateLoadTime; from += latencyInterval {
		s := summarise(outcomes, serviceTarget, from, from+latencyInterval)
		allIntervals++
		if s.answeredCount == s.sentCount && percentileMillis(s.answeredLatency, 99) <= float64(serviceTarget.Milliseconds()) {
			goodIntervals++
		}
	}
	return float64(goodIntervals) / float64(allIntervals)
}

// countEvictions returns the largest number of evictions of one job and the total of all jobs.
func (d *Deployment) countEvictions(ctx context.Context, jobs []*job) (maxPerJob, total int, err error) {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.spec.GetId())
	}
	for i := 0; i < len(ids); i += statusBatchSize {
		statuses, err := d.fetchJobStatuses(ctx, ids[i:min(len(ids), i+statusBatchSize)])
		if err != nil {
			return 0, 0, err
		}
		for _, j := range statuses {
			maxPerJob = max(maxPerJob, int(j.GetEvictions()))
			total += int(j.GetEvictions())
		}
	}
	return maxPerJob, total, nil
}
