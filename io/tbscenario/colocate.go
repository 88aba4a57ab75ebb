package tbscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackbarrow/io/tbstandin"
)

// The colocation load: every worker shares its instance with a runner.
const (
	colocateFactor  = 0.4
	colocateLength  = 40 * time.Second
	colocateWarmUp  = 10 * time.Second
	colocateShift   = 25 * time.Second
	colocateJobs    = 2500
	colocateRun     = 5 * time.Second
	interval        = time.Second
	noisyCost       = 0.6
	quietCost       = 0.05
	withinIntervals = 0.95
)

const colocateKinds = `
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

// costs tells how much each kind slows a service, and shifts in the midst of a run.
type costs struct{ began time.Time }

func (c *costs) slowdown(loads []tbstandin.Load) float64 {
	noisy := "sheeting"
	if !c.began.IsZero() && time.Since(c.began) > colocateShift {
		noisy = "watching"
	}
	slow := 1.0
	for _, l := range loads {
		if l.Kind == noisy {
			slow += noisyCost * l.Share
			continue
		}
		slow += quietCost * l.Share
	}
	return slow
}

func runColocate(ctx context.Context, env Env, r *Report) error {
	alone, err := measureColocate(ctx, env, r, "batch alone: ", "", false)
	if err != nil {
		return err
	}
	both, err := measureColocate(ctx, env, r, "", "", true)
	if err != nil {
		return err
	}
	if _, err := measureColocate(ctx, env, r, "baseline without learning neighbours: ", "learnNeighbours = false", true); err != nil {
		return err
	}
	r.AtLeast("intervals with p99 within the target", both.within, withinIntervals, "")
	r.Add("batch work kept against batch alone", both.used/alone.used, "")
	return nil
}

type colocated struct {
	within float64
	used   float64
}

func measureColocate(ctx context.Context, env Env, r *Report, prefix, policies string, serve bool) (colocated, error) {
	c := &costs{}
	shape := loadShape("colocate", "shortBound = \"1h\"\n"+policies)
	shape.Workers = loadRunners
	shape.Bundle = loadBundle + colocateKinds
	shape.Slowdown = c.slowdown
	d, err := deploy(ctx, env, shape)
	if err != nil {
		return colocated{}, err
	}
	defer d.Close()
	rng := rand.New(rand.NewPCG(env.Seed, 21))
	var jobs []*job
	for i := range colocateJobs {
		kind := []string{"sheeting", "watching"}[rng.IntN(2)]
		jobs = append(jobs, newJob(fmt.Sprintf("%s-%d", kind, i), kind, "stock", colocateRun))
	}
	if err := d.submitJobs(ctx, jobs); err != nil {
		return colocated{}, err
	}
	c.began = time.Now()
	result := colocated{}
	used := make(chan float64, 1)
	go func() {
		time.Sleep(colocateWarmUp)
		used <- d.utilisation(ctx, colocateLength-colocateWarmUp)
	}()
	if serve {
		arrivals := poisson(rng, []phase{{length: colocateLength, rate: colocateFactor * loadCapacity()}}, evenly(d.Addresses()), "beside")
		outcomes := runLoad(ctx, d.Caller, arrivals)
		result.within = withinTarget(outcomes)
		s := summarise(outcomes, serviceTarget, colocateWarmUp, colocateLength)
		r.Add(prefix+"share of intervals with p99 within the target", result.within, "")
		r.Add(prefix+"p99 of answered calls", quantile(s.answeredLatency, 99), "ms")
	}
	result.used = <-used
	r.Add(prefix+"processor time used by batch", result.used, "")
	most, evictions, err := d.countEvictions(ctx, jobs)
	if err != nil {
		return colocated{}, err
	}
	r.Add(prefix+"evictions", float64(evictions), "")
	r.AtMost(prefix+"most evictions of one task in the run of 40 s", float64(most), 2, "")
	d.reportViolations(r, prefix)
	return result, nil
}

// withinTarget returns the share of intervals after the warm-up whose p99 is within the target.
func withinTarget(outcomes []outcome) float64 {
	good, all := 0, 0
	for from := colocateWarmUp; from < colocateLength; from += interval {
		s := summarise(outcomes, serviceTarget, from, from+interval)
		all++
		if s.answered == s.sent && quantile(s.answeredLatency, 99) <= float64(serviceTarget.Milliseconds()) {
			good++
		}
	}
	return float64(good) / float64(all)
}

func (d *Deployment) countEvictions(ctx context.Context, jobs []*job) (most, all int, err error) {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.spec.GetId())
	}
	for i := 0; i < len(ids); i += statusBatch {
		answer, err := d.jobStatus(ctx, ids[i:min(len(ids), i+statusBatch)])
		if err != nil {
			return 0, 0, err
		}
		for _, j := range answer {
			most = max(most, int(j.GetEvictions()))
			all += int(j.GetEvictions())
		}
	}
	return most, all, nil
}
