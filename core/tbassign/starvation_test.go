package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// newWideJobs returns a fixture with 20 waiting best-effort jobs of 40 tasks, which have waited for the given time.
func newWideJobs(t *testing.T, workers int, waited time.Duration) *fixture {
	b := newFixture(t, workers)
	for i := range 20 {
		b.submit("fill", fmt.Sprintf("f%02d", i), bestEffortStep(40, "x"))
	}
	b.advance(waited)
	return b
}

// startedJobs commits a plan with a window of starts, and returns how many of them each job has.
func (b *fixture) startedJobs(window int) map[string]int {
	plan := planAll(b.now, b.state, b.fleet, b.learner, b.rebalancer, planLimit{runs: maxRunsPerPlan, bestEffort: window})
	b.commit(tbflow.Assign{Assignments: plan.Runs})
	started := map[string]int{}
	refs := map[tbflow.TaskRef]bool{}
	for _, r := range plan.Runs {
		started[r.Ref.Job]++
		refs[r.Ref] = true
	}
	qt.Check(b.t, refs, qt.HasLen, len(plan.Runs), qt.Commentf("a task has two runs"))
	return started
}

// A small window is shared by all jobs that have nothing running, before any job gets a second start.
func TestJobsThatStandShareASmallWindow(t *testing.T) {
	b := newWideJobs(t, 100, 2*time.Second)
	qt.Check(t, b.startedJobs(8), qt.HasLen, 8)
	qt.Check(t, b.startedJobs(8), qt.HasLen, 8)
	// The last four jobs that stand get one start each, and the first job the rest.
	qt.Check(t, b.startedJobs(8), qt.DeepEquals, map[string]int{"f00": 4, "f16": 1, "f17": 1, "f18": 1, "f19": 1})
}

// Jobs that have not waited for long start one after the other, so that the first ones end soon.
func TestWindowIsNotSharedWhileNoJobStands(t *testing.T) {
	b := newWideJobs(t, 100, time.Second)
	qt.Check(t, b.startedJobs(8), qt.DeepEquals, map[string]int{"f00": 8})
}

// In a class of which half is in use, the usual order decides who gets the room.
func TestWindowIsNotSharedInAFullClass(t *testing.T) {
	b := newFixture(t, 10)
	b.submit("watch", "w", longRunningStep(30, "a"))
	b.planAndCommit()
	for i := range 20 {
		b.submit("fill", fmt.Sprintf("f%02d", i), bestEffortStep(40, "x"))
	}
	b.advance(2 * time.Second)
	qt.Check(t, b.startedJobs(8), qt.DeepEquals, map[string]int{"f00": 8})
}

// A window that does not limit changes nothing in the order.
func TestWindowThatDoesNotLimitIsNotShared(t *testing.T) {
	b := newWideJobs(t, 100, 2*time.Second)
	steps := waitingSteps(b.now, b.state, b.learner)
	p := newPlanState(b.now, b.state, b.fleet, b.learner, b.rebalancer, steps)
	p.addWorkloads()
	var plan PlannedRuns
	qt.Check(t, p.placeStarved(&plan, steps, planLimit{runs: maxRunsPerPlan, bestEffort: 800}), qt.Equals, 0)
	qt.Check(t, p.placeStarved(&plan, steps, planLimit{runs: maxRunsPerPlan, bestEffort: 799}), qt.Equals, 20)
}

// A job whose only run has just ended has nothing running, but has not stood for long.
func TestJobStandsFromItsLastAssignment(t *testing.T) {
	b := newWideJobs(t, 100, 2*time.Second)
	b.startedJobs(20)
	for _, j := range b.state.Active() {
		b.commit(tbflow.RecordEnds{Worker: j.Tasks[0][0][0].Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: tbflow.TaskRef{Job: j.ID}, Run: 1, Kind: tbflow.EndDone}}})
	}
	qt.Check(t, b.startedJobs(8), qt.DeepEquals, map[string]int{"f00": 8})
	b.advance(2 * time.Second)
	qt.Check(t, b.startedJobs(8), qt.HasLen, 8)
}

// A leader that has hardly any time makes a few starts a second. Jobs that have stood for most of the time that the
// users' contract tolerates get one start each all the same, and then the window holds again.
func TestWindowDoesNotKeepJobsStanding(t *testing.T) {
	b := newWideJobs(t, 100, maxStarvationMs*time.Millisecond)
	qt.Check(t, b.startedJobs(8), qt.HasLen, 8)
	b.advance(time.Millisecond)
	started := b.startedJobs(2)
	qt.Check(t, started, qt.HasLen, 12)
	for job, n := range started {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf(job))
	}
	qt.Check(t, b.startedJobs(0), qt.HasLen, 0)
}

// If the window kept the last plan from more runs, it and not the room keeps jobs waiting in a class of which half is in use.
func TestWindowIsSharedInAFullClassWhileItLimits(t *testing.T) {
	b := newFixture(t, 10)
	b.submit("watch", "w", longRunningStep(30, "a"))
	b.planAndCommit()
	for i := range 20 {
		b.submit("fill", fmt.Sprintf("f%02d", i), bestEffortStep(40, "x"))
	}
	b.advance(2 * time.Second)
	b.learner.startRate.observe(b.now, true, 8, 8, 50*time.Millisecond)
	qt.Check(t, b.startedJobs(8), qt.HasLen, 8)
}
