package tbassign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// randomStep returns a random step of a job of the given queue.
func randomStep(rng *rand.Rand, queue string, images int) tbflow.Step {
	s := tbflow.Step{
		Count: 1 + rng.IntN(12), Estimate: time.Duration(200+rng.IntN(2000)) * time.Millisecond,
		Need: tbresource.Amount{MilliProcessors: 500 * (1 + rng.Int64N(16)), MemoryMB: 1000 * (1 + rng.Int64N(14))},
	}
	s.Image = fmt.Sprintf("%s%d", queue, rng.IntN(images))
	switch queue {
	case "watch":
		s.LongRunning, s.TailTarget = true, 50*time.Millisecond
	case "fill":
		s.BestEffort = true
	default:
		s.Gang = rng.IntN(5) == 0
	}
	if rng.IntN(4) == 0 {
		s.SpreadLimit = 1 + rng.IntN(2)
	}
	if rng.IntN(5) == 0 {
		s.Label = "fast"
	}
	if rng.IntN(5) == 0 {
		s.Rack = fmt.Sprintf("rack%d", rng.IntN(3))
	}
	return s
}

// randomFixture is a fixture with random workers and jobs whose runs end at random.
type randomFixture struct {
	*fixture
	rng           *rand.Rand
	imageCount    int
	submittedJobs int
}

func newRandomFixture(t *testing.T, seed uint64) *randomFixture {
	d := &randomFixture{fixture: newFixture(t, 0), rng: rand.New(rand.NewPCG(seed, 1)), imageCount: 2 + int(seed%5)}
	for i := range 2 + d.rng.IntN(25) {
		r := tbfleet.Report{
			ID: workerID(i), Address: workerID(i), Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1, Rack: fmt.Sprintf("rack%d", i%3),
			Capacity: tbresource.Amount{MilliProcessors: 16_000 * (1 + d.rng.Int64N(3)), MemoryMB: 125_000},
		}
		if d.rng.IntN(2) == 0 {
			r.Labels = []string{"fast"}
		}
		d.fleet.HandleReport(d.now, r)
	}
	config := tbflow.Config{Version: 2, Queues: slices.Clone(d.state.Config.Queues)}
	for i := range config.Queues {
		config.Queues[i].Priority = d.rng.IntN(3)
	}
	d.commit(tbflow.PutConfig{Config: config})
	return d
}

// submitRandomJob submits a job of one or two steps.
func (d *randomFixture) submitRandomJob() {
	queue := []string{"short", "watch", "fill", "fill"}[d.rng.IntN(4)]
	job := tbflow.Job{ID: fmt.Sprintf("j%d", d.submittedJobs), Steps: []tbflow.Step{randomStep(d.rng, queue, d.imageCount)}}
	if queue != "watch" && d.rng.IntN(2) == 0 {
		next := randomStep(d.rng, queue, d.imageCount)
		next.DependsOn = []int{0}
		job.Steps = append(job.Steps, next)
	}
	d.submittedJobs++
	d.submitJob(queue, job)
}

// avoidRandomWorkers makes the fleet avoid workers for a while, each because one of its runs made no progress.
func (d *randomFixture) avoidRandomWorkers() {
	for _, w := range d.fleet.Workers() {
		if d.rng.IntN(4) > 0 {
			continue
		}
		var refs []tbflow.TaskRef
		d.state.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) { refs = append(refs, ref) })
		slices.SortFunc(refs, compareRefs)
		if len(refs) > 0 {
			d.fleet.StopStalled(d.now, w.ID, refs[d.rng.IntN(len(refs))])
		}
	}
}

// endRandomRuns ends about one in six runs with a random result.
func (d *randomFixture) endRandomRuns() {
	for _, j := range slices.Clone(d.state.Active()) {
		var ends []tbflow.TaskRef
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskAssigned && d.rng.IntN(6) == 0 {
				ends = append(ends, ref)
			}
		})
		for _, ref := range ends {
			t := j.Task(ref)
			if t.Phase != tbflow.TaskAssigned {
				continue
			}
			kind := tbflow.EndDone
			switch {
			case d.rng.IntN(8) == 0:
				kind = tbflow.EndFailed
			case d.rng.IntN(8) == 0 || j.Steps[ref.Step].LongRunning:
				kind = tbflow.EndStopped
			}
			if j.Steps[ref.Step].LongRunning && d.rng.IntN(3) == 0 {
				// Simulate a move of the task to a random worker. The random worker may
				// be the present worker of the task, or it may not exist.
				d.rebalancer.reservations[ref] = reservation{workerID: workerID(d.rng.IntN(27)), stoppedRunNumber: t.Run, stopDeadline: d.now.Add(time.Second), partnerTask: ref}
			}
			d.commit(tbflow.RecordEnds{Worker: t.Worker, Incarnation: t.Incarnation, Ends: []tbflow.End{{Ref: ref, Run: t.Run, Kind: kind}}})
		}
	}
}

func (d *randomFixture) learnRandomSlope() {
	d.learner.RestoreInterference([]tbflow.Interference{{
		LongRunningImage: fmt.Sprintf("watch%d", d.rng.IntN(d.imageCount)), BestEffortImage: fmt.Sprintf("fill%d", d.rng.IntN(d.imageCount)),
		Slope: -8 * d.rng.Float64(),
	}})
	d.pollAll(d.rng)
}

// Caching between tasks, steps and plans must not change any decision of a plan.
func TestPlanMatchesReference(t *testing.T) {
	placed, placedOnAvoided := 0, 0
	for seed := range uint64(120) {
		d := newRandomFixture(t, seed)
		for round := range 30 {
			d.now = d.now.Add(time.Duration(d.rng.IntN(1200)) * time.Millisecond)
			d.commit(tbflow.PutConfig{})
			// In every third fixture, many more jobs are submitted than fit.
			for range d.rng.IntN(4 + 12*(int(seed)%3/2)) {
				d.submitRandomJob()
			}
			d.endRandomRuns()
			if d.rng.IntN(3) == 0 {
				d.learnRandomSlope()
			}
			if seed%4 == 3 {
				d.avoidRandomWorkers()
			}
			limit := []int{5, 40, 1000}[d.rng.IntN(3)]
			want := referencePlan(d.now, d.state, d.fleet, d.learner, d.rebalancer, limit)
			got := Plan(d.now, d.state, d.fleet, d.learner, d.rebalancer, limit)
			qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("seed %d, round %d", seed, round))
			placed += len(got)
			for _, run := range got {
				if d.fleet.IsOnlyAvoided(d.fleet.Worker(run.Worker), d.now) {
					placedOnAvoided++
				}
			}
			d.commit(tbflow.Assign{Assignments: got})
		}
	}
	t.Logf("%d runs placed, %d on avoided workers", placed, placedOnAvoided)
	qt.Check(t, placed > 20_000, qt.IsTrue)
	qt.Check(t, placedOnAvoided > 20, qt.IsTrue)
}

// If best-effort work has the lowest priority, a plan of short steps is a prefix of the full plan.
func TestPlanShortStepsIsPrefixOfPlan(t *testing.T) {
	placed := 0
	for seed := range uint64(120) {
		d := newRandomFixture(t, seed)
		config := tbflow.Config{Version: 3, Queues: slices.Clone(d.state.Config.Queues)}
		for i := range config.Queues {
			config.Queues[i].Priority = d.rng.IntN(2)
			if config.Queues[i].Name == "fill" {
				config.Queues[i].Priority = 2
			}
		}
		d.commit(tbflow.PutConfig{Config: config})
		for round := range 30 {
			d.now = d.now.Add(time.Duration(d.rng.IntN(400)) * time.Millisecond)
			d.commit(tbflow.PutConfig{})
			for range d.rng.IntN(4) {
				d.submitRandomJob()
			}
			d.endRandomRuns()
			if seed%4 == 3 {
				d.avoidRandomWorkers()
			}
			runs := Plan(d.now, d.state, d.fleet, d.learner, d.rebalancer, 1000)
			short := PlanShortSteps(d.now, d.state, d.fleet, d.learner, d.rebalancer, 1000)
			isPrefix := len(short) <= len(runs) && slices.Equal(short, runs[:len(short)])
			qt.Assert(t, isPrefix, qt.IsTrue, qt.Commentf("seed %d, round %d: %v, all %v", seed, round, short, runs))
			placed += len(short)
			d.commit(tbflow.Assign{Assignments: runs})
		}
	}
	t.Logf("%d runs placed", placed)
	qt.Check(t, placed > 2000, qt.IsTrue)
}
