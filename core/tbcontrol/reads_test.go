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

// newGroupWithRunningJob returns a group whose leader has one job with one running task.
func newGroupWithRunningJob(t *testing.T) *simulatedGroup {
	g := newFullGroup(t)
	config := tbflow.Config{
		Version: 2, Source: []byte("source"),
		Queues: []tbflow.Queue{{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 2, Slack: 2}},
		// A worker that enforces its capacity gets tasks without a report to the present leader.
		Classes: []tbflow.WorkerClass{{Name: "c", EnforcesCapacity: true}},
	}
	qt.Assert(t, g.ask(tbcontrol.ConfigPutRequested{Config: config}).Answer.Code, qt.Equals, tbcontrol.Done)
	g.ask(tbcontrol.WorkerReported{Report: tbfleet.Report{
		ID: "w", Address: "w:1", Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1, Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}})
	job := tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 1, Need: tbresource.Amount{MilliProcessors: 100, MemoryMB: 10}}}}
	qt.Assert(t, g.ask(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/j", Job: job}}).Answer.Code, qt.Equals, tbcontrol.Done)
	task := g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0]
	qt.Assert(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	return g
}

// askJobState asks the leader for the job's state without waiting for the answer. It returns the leader
// and the number of the request.
func (g *simulatedGroup) askJobState() (*replica, uint64) {
	r := g.leader()
	g.lastRequest++
	g.step(r, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.JobStateRequested{ID: "j", Host: "h", Path: "/q/j"}})
	return r, g.lastRequest
}

// A caller asks for a job's state just after its last task has ended, before the end is recorded.
// The answer is sent once the job is completed. If the answer said that the job still runs, the caller
// would ask again 250 ms later.
func TestJobStateReadWaitsForAnEndBeingRecorded(t *testing.T) {
	g := newGroupWithRunningJob(t)
	r, request := g.askJobState()
	_, answered := r.answerByRequest[request]
	qt.Check(t, answered, qt.IsFalse)
	g.step(r, tbcontrol.PollAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.PollAnswered{
		Worker: "w", Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 10,
		Ended: []tbfleet.ListedEnd{{Number: 1, Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Kind: tbflow.EndDone}},
	}})
	g.advance(20 * time.Millisecond)
	qt.Check(t, r.answerByRequest[request].Answer.Phase, qt.Equals, tbflow.Completed)
}

// If the last task of a job goes on running, the read is answered with Running after a short delay.
func TestJobStateReadOfRunningJobIsAnsweredWithin40Ms(t *testing.T) {
	g := newGroupWithRunningJob(t)
	r, request := g.askJobState()
	g.advance(40 * time.Millisecond)
	a, answered := r.answerByRequest[request]
	qt.Assert(t, answered, qt.IsTrue)
	qt.Check(t, a.Answer.Phase, qt.Equals, tbflow.Running)
}

// A leader that may have been replaced must not answer from its state.
func TestDeposedLeaderRedirectsDeferredReads(t *testing.T) {
	g := newGroupWithRunningJob(t)
	r, request := g.askJobState()
	r.isolated = true
	g.now = g.now.Add(5 * time.Second)
	g.step(r, tbcontrol.Tick{})
	a, answered := r.answerByRequest[request]
	qt.Assert(t, answered, qt.IsTrue)
	qt.Check(t, a.NotLeader, qt.IsTrue)
}

// A read of a job that may end soon is delayed for a short time, so that the answer can include the end.
// A job with tasks still to start cannot end soon, so the read is answered at once.
func TestJobStateReadWithWaitingTasksIsAnsweredAtOnce(t *testing.T) {
	g := newGroupWithRunningJob(t)
	g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0].Phase = tbflow.TaskWaiting
	r, request := g.askJobState()
	qt.Check(t, r.answerByRequest[request].Answer.Phase, qt.Equals, tbflow.Running)
}
