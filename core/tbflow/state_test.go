package tbflow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

var queueKey = tbflow.QueueKey{Host: "h", Prefix: "/q/"}

// stateFixture is a state with one queue. A job in the queue fails at the second failure of a task.
type stateFixture struct {
	*tbflow.State
	t     *testing.T
	nowMs int64
}

func newStateFixture(t *testing.T) *stateFixture {
	f := &stateFixture{State: tbflow.New(), t: t, nowMs: 1_000_000}
	f.putConfig(5, tbflow.Queue{Name: "q", Key: queueKey, WorkerClass: "c", MaxFailures: 2, Slack: 2})
	return f
}

func (f *stateFixture) putConfig(version uint64, queues ...tbflow.Queue) {
	f.apply(tbflow.PutConfig{Config: tbflow.Config{Version: version, Source: []byte{byte(version)}, Queues: queues}})
}

func (f *stateFixture) apply(c tbflow.Command) tbflow.Reason {
	f.nowMs++
	return f.Apply(f.nowMs, c)
}

func (f *stateFixture) submit(id string, steps ...tbflow.Step) *tbflow.Job {
	reason := f.apply(tbflow.Submit{Host: "h", Path: "/q/" + id, Job: tbflow.Job{ID: id, Steps: steps}})
	qt.Assert(f.t, reason, qt.Equals, tbflow.OK)
	return f.Jobs[id]
}

func (f *stateFixture) assign(ref tbflow.TaskRef, run uint64, worker string) {
	f.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: ref, Run: run, Worker: worker, Incarnation: 1}}})
}

func (f *stateFixture) recordEnd(ref tbflow.TaskRef, run uint64, worker string, kind tbflow.EndKind, checkpoint string) {
	f.apply(tbflow.RecordEnds{Worker: worker, Incarnation: 1, LastEnd: 1, Ends: []tbflow.End{
		{Ref: ref, Run: run, Kind: kind, Checkpoint: checkpoint},
	}})
}

func newStep(count int, deps ...int) tbflow.Step {
	return tbflow.Step{Count: count, DependsOn: deps, Need: tbresource.Amount{MilliProcessors: 100, MemoryMB: 10}}
}

func newRef(job string, step, index int) tbflow.TaskRef {
	return tbflow.TaskRef{Job: job, Step: step, Index: index}
}

func TestSubmitIsIdempotentByJobID(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(1))
	f.assign(newRef("a", 0, 0), 1, "w")
	f.submit("a", newStep(3))
	qt.Check(t, f.Jobs["a"], qt.Equals, j)
	qt.Check(t, j.Steps[0].Count, qt.Equals, 1)
	qt.Check(t, j.Phase, qt.Equals, tbflow.Running)
}

func TestSubmitWithoutConfigOrMatchingQueueIsRejected(t *testing.T) {
	s := tbflow.New()
	c := tbflow.Submit{Host: "h", Path: "/q/a", Job: tbflow.Job{ID: "a", Steps: []tbflow.Step{newStep(1)}}}
	qt.Check(t, s.Apply(1, c), qt.Equals, tbflow.NoConfig)
	f := newStateFixture(t)
	c.Path = "/other/a"
	qt.Check(t, f.apply(c), qt.Equals, tbflow.QueueUnknown)
	qt.Check(t, f.Jobs, qt.HasLen, 0)
}

func TestConfigOfOlderOrEqualVersionIsIgnored(t *testing.T) {
	f := newStateFixture(t)
	f.putConfig(5)
	qt.Check(t, f.Config.Queues, qt.HasLen, 1)
	f.putConfig(4)
	qt.Check(t, f.Config.Version, qt.Equals, uint64(5))
	f.putConfig(6)
	qt.Check(t, f.Config.Queues, qt.HasLen, 0)
	qt.Check(t, f.Config.Source, qt.DeepEquals, []byte{6})
}

func TestLongestPrefixSelectsTheQueue(t *testing.T) {
	c := tbflow.Config{Queues: []tbflow.Queue{
		{Name: "short", Key: tbflow.QueueKey{Host: "h", Prefix: "/a/"}},
		{Name: "long", Key: tbflow.QueueKey{Host: "h", Prefix: "/a/b/"}},
	}}
	qt.Check(t, c.Match("h", "/a/b/x").Name, qt.Equals, "long")
	qt.Check(t, c.Match("h", "/a/x").Name, qt.Equals, "short")
	qt.Check(t, c.Match("other", "/a/x"), qt.IsNil)
}

func TestStepStartsOnlyAfterAllTasksOfItsDependencies(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(2), newStep(1, 0))
	f.assign(newRef("a", 1, 0), 1, "w")
	qt.Check(t, j.Task(newRef("a", 1, 0)).Phase, qt.Equals, tbflow.TaskWaiting)
	for i := range 2 {
		f.assign(newRef("a", 0, i), 1, "w")
		f.recordEnd(newRef("a", 0, i), 1, "w", tbflow.EndDone, "")
	}
	f.assign(newRef("a", 1, 0), 1, "w")
	qt.Check(t, j.Task(newRef("a", 1, 0)).Phase, qt.Equals, tbflow.TaskAssigned)
	f.recordEnd(newRef("a", 1, 0), 1, "w", tbflow.EndDone, "")
	qt.Check(t, j.Phase, qt.Equals, tbflow.Completed)
	qt.Check(t, f.Active(), qt.HasLen, 0)
}

func TestOnlyFailedRunsMakeJobFail(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(1))
	for run, kind := range []tbflow.EndKind{tbflow.EndStopped, tbflow.EndNeverRan, tbflow.EndFailed} {
		f.assign(newRef("a", 0, 0), uint64(run+1), "w")
		f.recordEnd(newRef("a", 0, 0), uint64(run+1), "w", kind, "")
		qt.Check(t, j.Phase.Ended(), qt.IsFalse)
	}
	f.assign(newRef("a", 0, 0), 4, "w")
	f.recordEnd(newRef("a", 0, 0), 4, "w", tbflow.EndFailed, "")
	qt.Check(t, j.Phase, qt.Equals, tbflow.Failed)
	f.assign(newRef("a", 0, 0), 5, "w")
	qt.Check(t, f.RunCount("w"), qt.Equals, 0)
}

func TestLongRunningTaskIsWaitingAgainAfterAnyEnd(t *testing.T) {
	f := newStateFixture(t)
	longRunning := newStep(1)
	longRunning.LongRunning = true
	j := f.submit("a", longRunning)
	for run := range uint64(6) {
		f.assign(newRef("a", 0, 0), run+1, "w")
		f.recordEnd(newRef("a", 0, 0), run+1, "w", []tbflow.EndKind{tbflow.EndDone, tbflow.EndFailed}[run%2], "")
		qt.Check(t, j.Task(newRef("a", 0, 0)).Phase, qt.Equals, tbflow.TaskWaiting)
	}
	qt.Check(t, j.Phase, qt.Equals, tbflow.Running)
}

func TestCheckpointIsKeptWhenTheNextRunEndsWithoutOne(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(1))
	f.assign(newRef("a", 0, 0), 1, "w")
	f.recordEnd(newRef("a", 0, 0), 1, "w", tbflow.EndStopped, "saved")
	f.assign(newRef("a", 0, 0), 2, "w")
	f.recordEnd(newRef("a", 0, 0), 2, "w", tbflow.EndStopped, "")
	qt.Check(t, j.Task(newRef("a", 0, 0)).Checkpoint, qt.Equals, "saved")
}

func TestEndOfAnotherRunOrIncarnationIsIgnored(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(1))
	f.assign(newRef("a", 0, 0), 1, "w")
	f.recordEnd(newRef("a", 0, 0), 2, "w", tbflow.EndDone, "")
	f.recordEnd(newRef("a", 0, 0), 1, "other", tbflow.EndDone, "")
	f.apply(tbflow.RecordEnds{Worker: "w", Incarnation: 2, Ends: []tbflow.End{{Ref: newRef("a", 0, 0), Run: 1}}})
	qt.Check(t, j.Phase, qt.Equals, tbflow.Running)
	// An end of the earlier incarnation is still applied after the later incarnation was recorded.
	f.recordEnd(newRef("a", 0, 0), 1, "w", tbflow.EndDone, "")
	qt.Check(t, j.Phase, qt.Equals, tbflow.Completed)
}

func TestRunsOfCancelledJobOccupyCapacityUntilTheyEnd(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(2))
	f.assign(newRef("a", 0, 0), 1, "w")
	qt.Check(t, f.apply(tbflow.Cancel{ID: "a", Host: "h", Path: "/other/a"}), qt.Equals, tbflow.JobUnknown)
	qt.Check(t, f.apply(tbflow.Cancel{ID: "a", Host: "h", Path: "/q/a"}), qt.Equals, tbflow.OK)
	qt.Check(t, f.apply(tbflow.Cancel{ID: "a", Host: "h", Path: "/q/a"}), qt.Equals, tbflow.OK)
	qt.Check(t, j.Phase, qt.Equals, tbflow.Cancelled)
	qt.Check(t, f.Usage("w").Reserved.MilliProcessors, qt.Equals, int64(100))
	f.assign(newRef("a", 0, 1), 1, "w")
	qt.Check(t, f.RunCount("w"), qt.Equals, 1)
	f.recordEnd(newRef("a", 0, 0), 1, "w", tbflow.EndStopped, "")
	qt.Check(t, f.Usage("w"), qt.Equals, tbflow.Usage{})
}

func TestEndedJobIsRemovedAfterRetention(t *testing.T) {
	f := newStateFixture(t)
	f.submit("a", newStep(1))
	f.apply(tbflow.Cancel{ID: "a", Host: "h", Path: "/q/a"})
	f.nowMs += tbflow.EndedRetention.Milliseconds() - 1
	f.putConfig(5)
	qt.Check(t, f.Find("a", "h", "/q/a"), qt.IsNotNil)
	f.nowMs++
	f.putConfig(5)
	qt.Check(t, f.Find("a", "h", "/q/a"), qt.IsNil)
}

func TestDrainingWorkerIsAssignedNoRuns(t *testing.T) {
	f := newStateFixture(t)
	f.submit("a", newStep(1))
	f.apply(tbflow.RecordDraining{Worker: "w", Incarnation: 1})
	f.assign(newRef("a", 0, 0), 1, "w")
	qt.Check(t, f.RunCount("w"), qt.Equals, 0)
}

// A report that an earlier incarnation is draining can be committed after the report of the next
// incarnation. If the draining report marked the next incarnation as draining, the state would
// reject all assignments to that incarnation, although the leader goes on proposing them.
func TestDrainingOfEarlierIncarnationDoesNotApplyToNext(t *testing.T) {
	f := newStateFixture(t)
	f.submit("j", newStep(1))
	f.apply(tbflow.RecordWorker{Worker: "w", Incarnation: 2, Address: "a:1"})
	f.apply(tbflow.RecordDraining{Worker: "w", Incarnation: 1})
	f.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: newRef("j", 0, 0), Run: 1, Worker: "w", Incarnation: 2}}})
	qt.Check(t, f.Jobs["j"].Task(newRef("j", 0, 0)).Phase, qt.Equals, tbflow.TaskAssigned)
}

func TestEndOfOneGangTaskCompletesTheGang(t *testing.T) {
	f := newStateFixture(t)
	gang := newStep(2)
	gang.Gang = true
	j := f.submit("a", gang)
	f.assign(newRef("a", 0, 0), 1, "w")
	f.assign(newRef("a", 0, 1), 1, "v")
	f.recordEnd(newRef("a", 0, 1), 1, "v", tbflow.EndDone, "")
	qt.Check(t, j.Phase, qt.Equals, tbflow.Completed)
	qt.Check(t, f.RunCount("w")+f.RunCount("v"), qt.Equals, 0)
}

func TestQueuedJobsDoesNotCountJobsWithAssignedRun(t *testing.T) {
	f := newStateFixture(t)
	f.submit("a", newStep(1))
	f.submit("b", newStep(1))
	f.assign(newRef("a", 0, 0), 1, "w")
	qt.Check(t, f.QueuedJobs(queueKey), qt.Equals, 1)
}

// A task of a later step waits from the time when its step became ready. If it waited from the
// submission of its job, the log would include the execution time of the first step in the waiting
// time.
func TestWaitingTimeOfLaterStepBeginsWhenItIsReady(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("j", newStep(1), newStep(1), newStep(1, 0, 1), newStep(1))
	submitted := j.SubmittedMs
	for i := range 2 {
		f.assign(newRef("j", i, 0), 1, "w")
	}
	f.recordEnd(newRef("j", 0, 0), 1, "w", tbflow.EndDone, "")
	qt.Check(t, j.Tasks[0][2][0].WaitingSinceMs, qt.Equals, submitted)
	f.recordEnd(newRef("j", 1, 0), 1, "w", tbflow.EndDone, "")
	qt.Check(t, j.Tasks[0][2][0].WaitingSinceMs, qt.Equals, f.NowMs)
	qt.Check(t, j.Tasks[0][3][0].WaitingSinceMs, qt.Equals, submitted)
}

// The starts of a job were not answered, and all its runs ended with EndNeverRan. The job must be
// queued again. If the job stayed in phase Running, the queue would seem empty while callers' jobs
// wait in it.
func TestJobIsQueuedAgainIfNoStartWasExecuted(t *testing.T) {
	f := newStateFixture(t)
	j := f.submit("a", newStep(2))
	f.assign(newRef("a", 0, 0), 1, "w")
	f.assign(newRef("a", 0, 1), 1, "w")
	qt.Check(t, f.QueuedJobs(queueKey), qt.Equals, 0)
	f.recordEnd(newRef("a", 0, 0), 1, "w", tbflow.EndNeverRan, "")
	qt.Check(t, f.QueuedJobs(queueKey), qt.Equals, 0)
	f.recordEnd(newRef("a", 0, 1), 1, "w", tbflow.EndNeverRan, "")
	qt.Check(t, f.QueuedJobs(queueKey), qt.Equals, 1)
	qt.Check(t, j.Phase, qt.Equals, tbflow.Queued)

	f.assign(newRef("a", 0, 0), 2, "w")
	f.recordEnd(newRef("a", 0, 0), 2, "w", tbflow.EndStopped, "")
	f.assign(newRef("a", 0, 0), 3, "w")
	f.recordEnd(newRef("a", 0, 0), 3, "w", tbflow.EndNeverRan, "")
	qt.Check(t, f.QueuedJobs(queueKey), qt.Equals, 0)
	qt.Check(t, j.Phase, qt.Equals, tbflow.Running)
}
