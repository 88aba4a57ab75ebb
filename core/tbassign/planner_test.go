package tbassign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Durations of the operations of a leader that has half a processor and a few hundred workers.
const (
	fullPlanDuration  = 7 * time.Millisecond
	shortPlanDuration = time.Millisecond
	orderDuration     = time.Millisecond
	commitDuration    = 10 * time.Millisecond
)

// leaderSimulator simulates a leader that handles no events while it makes a plan or orders runs.
// Starts are answered before the next plan.
type leaderSimulator struct {
	*fixture
	rng      *rand.Rand
	arrivals []arrival
	runEnds  []runEnd
	// readyAt holds the time from which each short step could start.
	readyAt       map[stepRef]time.Time
	shortRunWaits []time.Duration
	// bestEffortRunCount is the number of best-effort runs that were ordered.
	bestEffortRunCount int
	// load is the load of the events that were handled since the last plan.
	load Load
}

type arrival struct {
	at    time.Time
	queue string
	job   tbflow.Job
}

type runEnd struct {
	at  time.Time
	run tbflow.Assignment
}

// newBurstSimulator returns a simulator with ten seconds of short jobs, one every 70 ms.
// Best-effort jobs arrive among them, half of them in a burst.
func newBurstSimulator(t *testing.T) *leaderSimulator {
	b, rng := newLoadedFixture(t, 300)
	r := &leaderSimulator{fixture: b, rng: rng, readyAt: map[stepRef]time.Time{}}
	for i := range 140 {
		job := shortJob(rng, fmt.Sprintf("s%d", i))
		for k := range job.Steps {
			// These tasks are small enough to fit on any worker, so a wait is never due to a lack
			// of capacity.
			job.Steps[k].Need = resources(0.5)
		}
		r.arrivals = append(r.arrivals, arrival{b.now.Add(time.Duration(i) * 70 * time.Millisecond), "short", job})
	}
	for i := range 160 {
		at := b.now.Add(time.Duration(rng.IntN(10_000)) * time.Millisecond)
		if i%2 == 0 {
			at = b.now.Add(3*time.Second + time.Duration(rng.IntN(1500))*time.Millisecond)
		}
		r.arrivals = append(r.arrivals, arrival{at, "fill", bestEffortJob(rng, fmt.Sprintf("f%d", i))})
	}
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, j := range b.state.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskAssigned && j.Steps[0].BestEffort {
				r.scheduleEnd(tbflow.Assignment{Ref: ref, Run: t.Run, Worker: t.Worker, Incarnation: t.Incarnation}, time.Duration(rng.IntN(2000))*time.Millisecond)
			}
		})
	}
	return r
}

func (r *leaderSimulator) scheduleEnd(run tbflow.Assignment, after time.Duration) {
	r.runEnds = append(r.runEnds, runEnd{at: r.now.Add(after), run: run})
}

// applyDueEvents submits the jobs and ends the runs that became due while the leader was busy.
func (r *leaderSimulator) applyDueEvents() {
	r.commit(tbflow.PutConfig{})
	for len(r.arrivals) > 0 && !r.arrivals[0].at.After(r.now) {
		a := r.arrivals[0]
		r.arrivals = r.arrivals[1:]
		r.submitJob(a.queue, a.job)
		r.load.Events++
		r.load.AgeSum += r.now.Sub(a.at)
		r.readyAt[stepRef{jobID: a.job.ID}] = a.at
	}
	slices.SortStableFunc(r.runEnds, func(a, b runEnd) int { return a.at.Compare(b.at) })
	for len(r.runEnds) > 0 && !r.runEnds[0].at.After(r.now) {
		e := r.runEnds[0]
		r.runEnds = r.runEnds[1:]
		ref := e.run.Ref
		r.load.Events++
		r.load.AgeSum += r.now.Sub(e.at)
		r.commit(tbflow.RecordEnds{Worker: e.run.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: ref, Run: e.run.Run, Kind: tbflow.EndDone}}})
		if ref.Step == 0 && r.state.Jobs[ref.Job].StepDone(0, 0) {
			r.readyAt[stepRef{jobID: ref.Job, stepIndex: 1}] = e.at
		}
	}
}

// runPlans executes the plans that nextPlan returns during ten simulated seconds. It measures, for
// each short run, the time from when the run could start until it was ordered, and returns the
// median and the 95th percentile.
func (r *leaderSimulator) runPlans(nextPlan func() ([]tbflow.Assignment, bool)) (median, p95 time.Duration) {
	for end := r.now.Add(10 * time.Second); r.now.Before(end); {
		r.applyDueEvents()
		runs, isFullPlan := nextPlan()
		if len(runs) > 0 {
			r.commit(tbflow.Assign{Assignments: runs})
			r.now = r.now.Add(commitDuration)
		}
		r.now = r.now.Add(shortPlanDuration)
		if isFullPlan {
			r.now = r.now.Add(fullPlanDuration)
		}
		for _, run := range runs {
			r.now = r.now.Add(orderDuration)
			r.answerStart(run)
			step := r.state.StepOf(run.Ref)
			r.scheduleEnd(run, step.Estimate)
			if isShort(step) {
				r.shortRunWaits = append(r.shortRunWaits, r.now.Sub(r.readyAt[stepRefOf(run.Ref)]))
			} else {
				r.bestEffortRunCount++
			}
		}
	}
	slices.Sort(r.shortRunWaits)
	return r.shortRunWaits[len(r.shortRunWaits)/2], r.shortRunWaits[len(r.shortRunWaits)*19/20]
}

// Short jobs arrive beside a burst of best-effort jobs on 300 workers. On larger fleets, the leader
// used to make plans of up to 256 runs every 400 ms. Short jobs with an objective of 250 ms then
// yielded only a tenth of their value. Now 95 percent of the short runs have to be ordered within
// half of that objective. The number of ordered best-effort runs must be at least nine tenths of
// the number with full plans only.
func TestShortJobsDoNotWaitForBestEffortPlans(t *testing.T) {
	const objective = 250 * time.Millisecond
	r := newBurstSimulator(t)
	median, p95 := r.runPlans(func() ([]tbflow.Assignment, bool) {
		return Plan(r.now, r.state, r.fleet, r.learner, r.rebalancer, 256), true
	})
	fullPlanRuns := r.bestEffortRunCount
	t.Logf("full plans only: %d short runs, median wait %s, 95th percentile %s; %d best-effort runs", len(r.shortRunWaits), median, p95, r.bestEffortRunCount)
	qt.Check(t, p95 > objective*3/4, qt.IsTrue)
	r = newBurstSimulator(t)
	var planner Planner
	median, p95 = r.runPlans(func() ([]tbflow.Assignment, bool) {
		planner.ObserveLoad(r.load)
		r.load = Load{}
		plan := planner.NextPlan(r.now, r.state, r.fleet, r.learner, r.rebalancer)
		return plan.Runs, plan.IsFull
	})
	t.Logf("with plans of short steps: %d short runs, median wait %s, 95th percentile %s; %d best-effort runs",
		len(r.shortRunWaits), median, p95, r.bestEffortRunCount)
	qt.Check(t, p95 < objective/2, qt.IsTrue)
	qt.Check(t, r.bestEffortRunCount >= fullPlanRuns*9/10, qt.IsTrue)
}
