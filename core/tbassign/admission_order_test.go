package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// A wide job with much time to spare was waiting, and all short jobs that would have started before it were refused.
func TestJobsAreNotRefusedForWorkThatGoesBehindThem(t *testing.T) {
	r := newReplay(t, 2, Features{PredictedAdmission: true})
	wide := tbflow.Job{ID: "wide", Steps: []tbflow.Step{
		{Count: 400, Need: resources(3.2), Estimate: 500 * time.Millisecond},
		{Count: 1, Need: resources(1), Estimate: 20 * time.Second, DependsOn: []int{0}},
	}}
	r.state.Apply(r.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/short/wide", Job: wide})
	for range 5 {
		r.advance(replayTick)
	}
	for i := range 60 {
		qt.Check(t, r.ask("short", fmt.Sprintf("s%d", i), shortTasks(1, 3.2)), qt.IsTrue)
		r.advance(replayTick)
	}
}

// A postponed best-effort job was waiting, and small ones that go before it were refused.
func TestJobsAreNotRefusedForPostponedWork(t *testing.T) {
	r := newReplay(t, 2, Features{PredictedAdmission: true})
	r.submit("fill", "giant", bestEffortStep(250, "x"))
	for range 3 {
		r.advance(replayTick)
	}
	for i := range 20 {
		qt.Check(t, r.ask("fill", fmt.Sprintf("f%d", i), bestEffortStep(1, "x")), qt.IsTrue)
		r.advance(replayTick)
	}
}

// A job that is too late waited beside idle workers for as long as jobs came that only another worker can run, or none.
func TestUselessWorkStartsOnWorkersThatUsefulWorkCannotUse(t *testing.T) {
	labelled := shortTasks(1, 3)
	labelled.Label = "gpu"
	gang := shortTasks(10, 3)
	gang.Gang, gang.SpreadLimit = true, 1
	for name, other := range map[string]tbflow.Step{"label": labelled, "gang": gang} {
		r := newReplay(t, 2, Features{PredictedAdmission: true})
		r.fleet.HandleReport(r.now, tbfleet.Report{
			ID: "gpu", Address: "gpu", Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1, Labels: []string{"gpu"},
			Capacity: tbresource.Amount{MilliProcessors: 4000, MemoryMB: 60000},
		})
		blocker := longRunningStep(2, "a")
		blocker.Need, blocker.SpreadLimit = resources(29), 1
		r.submit("watch", "w", blocker)
		r.advance(replayTick)
		r.submit("short", "useless", shortTasks(1, 6))
		r.advance(8 * time.Second)
		r.commit(tbflow.Cancel{ID: "w", Host: "h", Path: "/watch/w"})
		for ref, run := range r.runs {
			if ref.Job == "w" {
				r.commit(tbflow.RecordEnds{Worker: run.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: ref, Run: run.Run, Kind: tbflow.EndStopped}}})
			}
		}
		for i := range 40 {
			if i%4 == 0 {
				r.submit("short", fmt.Sprintf("g%d", i), other)
			}
			r.advance(replayTick)
		}
		qt.Check(t, r.state.Jobs["useless"].Phase, qt.Equals, tbflow.Completed, qt.Commentf(name))
	}
}

// Guards against useless short work that waits beside free workers, because a useful step waits for a whole worker and
// long-running tasks stay on each. Short steps that find room later, and gangs, used to have the same effect.
func TestUselessWorkStartsBesideUsefulWorkThatWaits(t *testing.T) {
	for name, useful := range map[string]tbflow.Step{
		"whole worker": {Count: 1, Need: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 4000}, Estimate: 20 * time.Second},
		"all memory":   {Count: 1, Need: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 125_000}, Estimate: 20 * time.Second},
		"gang":         {Count: 8, Need: tbresource.Amount{MilliProcessors: 20_000, MemoryMB: 1000}, Estimate: 20 * time.Second, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, 8, Features{PredictedAdmission: true, FairShares: true})
			each := longRunningStep(8, "a")
			each.Need, each.SpreadLimit = resources(1), 1
			if name == "gang" {
				// One worker is too full for a member.
				r.submit("watch", "full", longRunningStep(3, "a"))
				r.advance(replayTick)
			}
			r.submit("watch", "each", each)
			r.advance(replayTick)
			r.submit("short", "useless", tbflow.Step{Count: 1, Need: resources(2), Estimate: 3 * time.Second})
			r.advance(replayTick)
			lost := r.runs[tbflow.TaskRef{Job: "useless"}]
			r.submit("short", "useful", useful)
			// The worker is silent until its lease has expired.
			delete(r.ends, lost.Ref)
			for range 15 * 20 {
				r.advance(replayTick)
			}
			r.commit(tbflow.RecordEnds{Worker: lost.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: lost.Ref, Run: lost.Run, Kind: tbflow.EndStopped}}})
			r.advance(replayTick)
			qt.Check(t, r.state.Jobs["useless"].AssignedTasks(0, 0), qt.Equals, 1)
			qt.Check(t, r.state.Jobs["useful"].AssignedTasks(0, 0), qt.Equals, 0)
		})
	}
}

// A job whose tasks need nothing was asked for on a busy class, and the decision never ended.
func TestJobWithoutNeedIsDecided(t *testing.T) {
	r := newReplay(t, 1, Features{PredictedAdmission: true})
	r.submit("watch", "w", longRunningStep(5, "a"))
	r.advance(replayTick)
	for i := range 40 {
		r.ask("short", fmt.Sprintf("s%d", i), shortTasks(20, 1))
		r.advance(replayTick)
	}
	qt.Check(t, r.ask("short", "zero", tbflow.Step{Count: 1, Estimate: 500 * time.Millisecond}), qt.IsTrue)
}

// Long-running jobs were refused for the room of short ones in a class without workers.
func TestLongRunningJobWaitsForTheFirstWorker(t *testing.T) {
	r := newReplay(t, 0, Features{PredictedAdmission: true})
	r.learner.observeArrival(r.now, "c", 0, 100)
	qt.Check(t, r.ask("watch", "w", longRunningStep(1, "a")), qt.IsTrue)
}
