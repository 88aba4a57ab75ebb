package tbcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// endRun lists the end of a run of job j at worker w, and lets the leader record it.
func (g *simulatedGroup) endRun(number, run uint64, kind tbflow.EndKind) {
	r := g.leader()
	g.step(r, tbcontrol.PollAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.PollAnswered{
		Worker: "w", Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 10,
		Ended: []tbfleet.ListedEnd{{Number: number, Ref: tbflow.TaskRef{Job: "j"}, Run: run, Kind: kind}},
	}})
	g.advance(50 * time.Millisecond)
}

// putMaxFailures stores a configuration that changes the limit of the queue.
func (g *simulatedGroup) putMaxFailures(version uint64, maxFailures int) {
	config := g.leader().control.State().Flow.Config
	config.Version, config.Queues = version, []tbflow.Queue{config.Queues[0]}
	config.Queues[0].MaxFailures = maxFailures
	qt.Assert(g.t, g.ask(tbcontrol.ConfigPutRequested{Config: config}).Answer.Code, qt.Equals, tbcontrol.Done)
}

func (g *simulatedGroup) jobPhase() tbflow.JobPhase {
	return g.leader().control.State().Flow.Jobs["j"].Phase
}

// Guards against jobs that go on without end once a new configuration has lowered their limit to the failures of a waiting task.
func TestWaitingJobFailsUnderANewConfigurationWithoutAttempts(t *testing.T) {
	g := newGroupWithRunningJob(t)
	// The worker drains, so that the task waits.
	g.ask(tbcontrol.WorkerReported{Report: tbfleet.Report{
		ID: "w", Address: "w:1", Incarnation: 1, Class: "c", ClockMs: 2, Sequence: 2, Draining: true, Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}})
	g.endRun(1, 1, tbflow.EndFailed)
	qt.Assert(t, g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0].Phase, qt.Equals, tbflow.TaskWaiting)
	qt.Check(t, g.jobPhase(), qt.Equals, tbflow.Running)
	g.putMaxFailures(3, 1)
	g.advance(100 * time.Millisecond)
	qt.Check(t, g.jobPhase(), qt.Equals, tbflow.Failed)
	qt.Check(t, g.leader().logLinesWith("job ended"), qt.HasLen, 1)
}

// Guards against jobs that go on without end if a run that was executing when the limit was lowered ends in another way
// than by failing. A run that is done still completes the job.
func TestRunThatOutlivesItsLimitDecidesTheJob(t *testing.T) {
	for kind, want := range map[tbflow.EndKind]tbflow.JobPhase{
		tbflow.EndStopped: tbflow.Failed, tbflow.EndNeverRan: tbflow.Failed, tbflow.EndFailed: tbflow.Failed, tbflow.EndDone: tbflow.Completed,
	} {
		g := newGroupWithRunningJob(t)
		g.endRun(1, 1, tbflow.EndFailed)
		g.advance(2 * time.Second)
		task := g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0]
		qt.Assert(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
		g.putMaxFailures(3, 1)
		g.advance(time.Second)
		qt.Check(t, g.jobPhase(), qt.Equals, tbflow.Running)
		g.endRun(2, task.Run, kind)
		g.advance(100 * time.Millisecond)
		qt.Check(t, g.jobPhase(), qt.Equals, want, qt.Commentf("end of kind %d", kind))
	}
}

// Guards against runs that go on after their job has failed, because another task of it has no attempts left.
func TestOtherRunsOfAJobWithoutAttemptsAreStopped(t *testing.T) {
	g := newGroupWithRunningJob(t)
	other := tbflow.Job{ID: "other", Steps: []tbflow.Step{
		{Count: 1, Need: tbresource.Amount{MilliProcessors: 100, MemoryMB: 10}}, {Count: 1, Need: tbresource.Amount{MilliProcessors: 9000, MemoryMB: 10}},
	}}
	qt.Assert(t, g.ask(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/other", Job: other}}).Answer.Code, qt.Equals, tbcontrol.Done)
	r := g.leader()
	// The large task has failed once, on a worker that is not there any more.
	large := tbflow.TaskRef{Job: "other", Step: 1}
	r.control.ProposeFlowChange(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: large, Run: 1, Worker: "gone", Incarnation: 1}}})
	r.control.ProposeFlowChange(tbflow.RecordEnds{Worker: "gone", Incarnation: 1, Ends: []tbflow.End{{Ref: large, Run: 1, Kind: tbflow.EndFailed}}})
	g.advance(50 * time.Millisecond)
	job := r.control.State().Flow.Jobs["other"]
	qt.Assert(t, job.Tasks[0][1][0].Failures, qt.Equals, 1)
	qt.Assert(t, job.Tasks[0][0][0].Phase, qt.Equals, tbflow.TaskAssigned)
	g.step(r, tbcontrol.StartAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.StartAnswered{
		Worker: "w", Incarnation: 1, Ref: tbflow.TaskRef{Job: "other"}, Run: 1, Outcome: tbfleet.Accepted, ClockMs: 1000,
	}})
	r.workerOrders = nil
	g.putMaxFailures(3, 1)
	g.advance(100 * time.Millisecond)
	qt.Check(t, job.Phase, qt.Equals, tbflow.Failed)
	var stopped []tbflow.TaskRef
	for _, order := range r.workerOrders {
		if stop, ok := order.(tbfleet.Stop); ok {
			stopped = append(stopped, stop.Ref)
		}
	}
	qt.Check(t, stopped, qt.Contains, tbflow.TaskRef{Job: "other"})
}

// Guards against assignments that the state rejects and that the leader proposes again at once, each with a log entry on
// all disks.
func TestRejectedAssignmentsAreNotProposed(t *testing.T) {
	g := newGroupWithRunningJob(t)
	r := g.leader()
	gang := tbflow.Job{ID: "g", Steps: []tbflow.Step{{Count: 2, Need: tbresource.Amount{MilliProcessors: 9000, MemoryMB: 10}, Gang: true}}}
	qt.Assert(t, g.ask(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/g", Job: gang}}).Answer.Code, qt.Equals, tbcontrol.Done)
	single := gang
	single.ID, single.Steps = "s", []tbflow.Step{{Count: 1, Need: tbresource.Amount{MilliProcessors: 9000, MemoryMB: 10}}}
	qt.Assert(t, g.ask(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/s", Job: single}}).Answer.Code, qt.Equals, tbcontrol.Done)
	good := tbflow.Assignment{Ref: tbflow.TaskRef{Job: "s"}, Run: 1, Worker: "w", Incarnation: 1}
	runs := []tbflow.Assignment{
		{Ref: tbflow.TaskRef{Job: "unknown"}, Run: 1, Worker: "w", Incarnation: 1},
		{Ref: tbflow.TaskRef{Job: "g"}, Run: 1, Worker: "w", Incarnation: 1},
		{Ref: tbflow.TaskRef{Job: "g", Index: 1}, Run: 1, Worker: "w", Incarnation: 0},
		{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Worker: "w", Incarnation: 1},
		good,
	}
	r.logLines = nil
	for range 3 {
		qt.Check(t, r.control.DropRefused(append([]tbflow.Assignment(nil), runs...)), qt.DeepEquals, []tbflow.Assignment{good})
	}
	g.advance(10 * time.Millisecond)
	qt.Check(t, r.logLinesWith("run not proposed"), qt.HasLen, 3)
	applied := r.control.State().Applied
	g.advance(time.Second)
	qt.Check(t, r.control.State().Applied-applied < 10, qt.IsTrue)
}
