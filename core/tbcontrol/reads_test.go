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

// runningJob is a group whose leader has one job of one task, which runs.
func runningJob(t *testing.T) *group {
	g := formed(t)
	source := tbflow.Config{
		Version: 2, Source: []byte("source"),
		Queues: []tbflow.Queue{{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxAttempts: 2, Slack: 2}},
	}
	qt.Assert(t, g.ask(tbcontrol.ConfigPut{Config: source}).Answer.Code, qt.Equals, tbcontrol.Done)
	g.ask(tbcontrol.WorkerReported{Report: tbfleet.Report{
		ID: "w", Address: "w:1", Born: 1, Class: "c", ClockMs: 1, Sequence: 1, Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}})
	job := tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 1, Need: tbresource.Amount{MilliProcessors: 100, MemoryMB: 10}}}}
	qt.Assert(t, g.ask(tbcontrol.SubmitAsked{Submit: tbflow.Submit{Host: "h", Path: "/q/j", Job: job}}).Answer.Code, qt.Equals, tbcontrol.Done)
	task := g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0]
	qt.Assert(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	return g
}

// state asks for the job's state without waiting for the answer.
func (g *group) state() (*replica, uint64) {
	r := g.leader()
	g.next++
	g.step(r, tbcontrol.QuestionArrived{Request: g.next, Question: tbcontrol.JobAsked{ID: "j", Host: "h", Path: "/q/j"}})
	return r, g.next
}

// A caller asks for a job's state a moment after its last task has ended, before the end
// is recorded. It is told that the job is completed as soon as it is; told that it runs,
// it would ask again a quarter of a second later.
func TestStateWaitsForAnEndOnItsWay(t *testing.T) {
	g := runningJob(t)
	r, request := g.state()
	_, answered := r.answers[request]
	qt.Check(t, answered, qt.IsFalse)
	g.step(r, tbcontrol.LookAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.LookAnswered{
		Worker: "w", Born: 1, ActualBorn: 1, SentAt: g.now, Verdict: tbfleet.Accepted, ClockMs: 10,
		Ended: []tbfleet.EndReport{{Number: 1, Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Kind: tbflow.EndDone}},
	}})
	g.run(20 * time.Millisecond)
	qt.Check(t, r.answers[request].Answer.Phase, qt.Equals, tbflow.Completed)
}

// A job whose task goes on is said to run after a moment; nothing is held for longer.
func TestStateOfARunningJobIsToldWithinAMoment(t *testing.T) {
	g := runningJob(t)
	r, request := g.state()
	g.run(40 * time.Millisecond)
	a, answered := r.answers[request]
	qt.Assert(t, answered, qt.IsTrue)
	qt.Check(t, a.Answer.Phase, qt.Equals, tbflow.Running)
}

// A leader that cannot be sure any more that it leads answers nothing from its state.
func TestHeldStateIsNotToldByAnEarlierLeader(t *testing.T) {
	g := runningJob(t)
	r, request := g.state()
	r.cut = true
	g.now = g.now.Add(5 * time.Second)
	g.step(r, tbcontrol.Ticked{})
	a, answered := r.answers[request]
	qt.Assert(t, answered, qt.IsTrue)
	qt.Check(t, a.NotLeader, qt.IsTrue)
}

// The state of a job that has more to start is told at once.
func TestStateOfAJobWithWaitingTasksIsToldAtOnce(t *testing.T) {
	g := runningJob(t)
	g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0].Phase = tbflow.TaskWaiting
	r, request := g.state()
	qt.Check(t, r.answers[request].Answer.Phase, qt.Equals, tbflow.Running)
}
