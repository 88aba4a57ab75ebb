package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// leaveUnanswered ends a run whose start got no answer, and lets the worker list nothing after that.
func (b *fixture) leaveUnanswered(r tbflow.Assignment) {
	c := tbflow.RecordUnanswered{Worker: r.Worker, Incarnation: 1, Address: r.Worker, Runs: []tbflow.RunRef{{Ref: r.Ref, Run: r.Run}}}
	b.state.Apply(b.now.UnixMilli(), c)
	b.fleet.HandleApplied(b.now, b.state, c)
	b.poll(r.Worker, noMeasurement)
}

// placesOf returns the workers of the runs of a job.
func placesOf(runs []tbflow.Assignment, job string) []string {
	var workers []string
	for _, r := range runs {
		if r.Ref.Job == job {
			workers = append(workers, r.Worker)
		}
	}
	return workers
}

// Tasks of higher priority took the room of a task whose start got no answer, so that it had no place to start again.
func TestBoundTaskStartsAgainOnItsWorkerBeforeOtherTasks(t *testing.T) {
	for name, step := range map[string]tbflow.Step{
		"short":        {Count: 1, Need: resources(20), Estimate: time.Second},
		"long-running": {Count: 1, Need: resources(20), LongRunning: true, Image: "a"},
		"best-effort":  {Count: 1, Need: resources(20), BestEffort: true, Image: "f", Estimate: time.Second},
		"spread":       {Count: 1, Need: resources(20), Estimate: time.Second, SpreadLimit: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 3)
			b.submit("fill", "j", step)
			runs := b.planAndCommit()
			qt.Assert(t, runs, qt.HasLen, 1)
			b.leaveUnanswered(runs[0])
			b.submit("short", "s", tbflow.Step{Count: 20, Need: resources(10), Estimate: time.Second})
			next := b.planAndCommit()
			qt.Check(t, placesOf(next, "j"), qt.DeepEquals, []string{runs[0].Worker})
			qt.Check(t, len(placesOf(next, "s")) >= 6, qt.IsTrue)
		})
	}
}

// A task that can start on one worker only has to wait while that worker has no room, is silent or drains. No other
// task may wait with it.
func TestBoundTaskWaitsForItsWorkerAndDelaysNoOther(t *testing.T) {
	for name, block := range map[string]func(b *fixture, worker string){
		"no room": func(b *fixture, worker string) {
			report := b.fleet.Worker(worker).Report
			report.Capacity, report.Sequence = resources(1), 2
			b.fleet.HandleReport(b.now, report)
		},
		"silent": func(b *fixture, worker string) { b.fleet.Worker(worker).Unresponsive = true },
		"drains": func(b *fixture, worker string) {
			report := b.fleet.Worker(worker).Report
			report.Draining, report.Sequence = true, 2
			b.fleet.HandleReport(b.now, report)
		},
		"a run of the task is there": func(b *fixture, worker string) {
			w := b.fleet.Worker(worker)
			w.Strays = append(w.Strays, stray("j", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 3)
			b.submit("watch", "j", longRunningStep(2, "a"))
			runs := b.planAndCommit()
			qt.Assert(t, runs, qt.HasLen, 2)
			b.leaveUnanswered(runs[0])
			block(b, runs[0].Worker)
			b.now = b.now.Add(5 * time.Second)
			b.submit("short", "s", tbflow.Step{Count: 2, Need: resources(1), Estimate: time.Second})
			qt.Check(t, PlanShortSteps(b.now, b.state, b.fleet, b.learner, b.rebalancer, 100), qt.HasLen, 2)
			b.submit("watch", "other", longRunningStep(3, "a"))
			next := b.planAndCommit()
			qt.Check(t, placesOf(next, "j"), qt.HasLen, 0)
			qt.Check(t, placesOf(next, "other"), qt.HasLen, 3)
			qt.Check(t, placesOf(next, "s"), qt.HasLen, 2)
		})
	}
}

// A member of a gang is bound. The gang starts as a whole, with that member on its worker.
func TestGangStartsWithItsBoundMemberOnItsWorker(t *testing.T) {
	b := newFixture(t, 4)
	b.submit("short", "g", tbflow.Step{Count: 3, Need: resources(20), Gang: true, Estimate: time.Second})
	runs := b.planAndCommit()
	qt.Assert(t, runs, qt.HasLen, 3)
	b.leaveUnanswered(runs[0])
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0, qt.Commentf("two members are still assigned"))
	for _, r := range runs[1:] {
		c := tbflow.RecordEnds{Worker: r.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: r.Ref, Run: r.Run, Kind: tbflow.EndStopped}}}
		b.state.Apply(b.now.UnixMilli(), c)
		b.fleet.HandleApplied(b.now, b.state, c)
	}
	next := b.planAndCommit()
	qt.Assert(t, next, qt.HasLen, 3)
	for _, r := range next {
		qt.Check(t, r.Run, qt.Equals, uint64(2))
		if r.Ref == runs[0].Ref {
			qt.Check(t, r.Worker, qt.Equals, runs[0].Worker)
		}
	}
}

// Several tasks are bound to the worker that has crashed under them. If they started together, they would crash it
// together again. The least suspicious one starts first, and the tasks of its job with it.
func TestBoundSuspectsOfACrashStartOneJobAfterTheOther(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("short", "deadly", shortStep(1))
	b.submit("short", "harmless", shortStep(2))
	for _, r := range b.planAndCommit() {
		b.leaveUnanswered(r)
	}
	b.recordCrash("gone", "deadly", "harmless")
	b.recordCrash("gone too", "deadly")
	next := b.planAndCommit()
	qt.Check(t, placesOf(next, "harmless"), qt.HasLen, 2)
	qt.Check(t, placesOf(next, "deadly"), qt.HasLen, 0)
	b.now = b.now.Add(3 * time.Second)
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0, qt.Commentf("the first job is not proven yet"))
}

// A plan for thousands of workers considers a part of them only. The worker of a bound task has to be among them.
func TestPlanOfLargeFleetConsidersWorkersOfBoundTasks(t *testing.T) {
	b := newFixture(t, 4*maxPlanWorkers)
	b.submit("short", "j", shortStep(1))
	runs := b.planAndCommit()
	b.leaveUnanswered(runs[0])
	for i := range 3 {
		b.submit("short", fmt.Sprintf("s%d", i), shortStep(1))
	}
	qt.Check(t, placesOf(b.planAndCommit(), "j"), qt.DeepEquals, []string{runs[0].Worker})
}

func noMeasurement(*tbflow.Step, *tbfleet.Run) int64 { return 0 }

func stray(job string, run uint64) tbfleet.Stray {
	return tbfleet.Stray{RunRef: tbflow.RunRef{Ref: tbflow.TaskRef{Job: job}, Run: run}}
}
