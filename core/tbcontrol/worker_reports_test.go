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

// unknownClassReport returns a report with the address of a live worker and a class that no
// configuration has.
func unknownClassReport() tbfleet.Report {
	return tbfleet.Report{
		ID: "x", Address: "w:1", Incarnation: 2, Class: "nobody", ClockMs: 1, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}
}

// Worker w runs a task. A worker whose class is not in the configuration reports with w's address, a
// new id and a later incarnation. A leader that mistook the report for a restart of w ended w's run at once. The task was then
// started elsewhere while w still ran it.
func TestUnknownClassReportDoesNotEndRunsOfTheWorkerAtItsAddress(t *testing.T) {
	g := newGroupWithRunningJob(t)
	g.ask(tbcontrol.WorkerReported{Report: unknownClassReport()})
	flow := g.leader().control.State().Flow
	task := flow.Jobs["j"].Tasks[0][0][0]
	qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, task.Worker, qt.Equals, "w")
	qt.Check(t, flow.Workers["x"], qt.IsNil)
}

// A worker whose class is not in the configuration reports with the id of worker w, a new address and a
// later incarnation. The leader must not take this report for a restart of w; an earlier version did and
// ended w's run.
func TestUnknownClassReportIsNotTreatedAsARestart(t *testing.T) {
	g := newGroupWithRunningJob(t)
	term := g.leader().control.Replica().Term()
	g.step(g.leader(), tbcontrol.StartAnswered{Term: term, Answer: tbfleet.StartAnswered{
		Worker: "w", Incarnation: 1, Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Outcome: tbfleet.Accepted, ClockMs: 5,
	}})
	g.step(g.leader(), tbcontrol.PollAnswered{Term: term, Answer: tbfleet.PollAnswered{
		Worker: "w", Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 10,
		Running: []tbfleet.ListedRun{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1}},
	}})
	r := unknownClassReport()
	r.ID, r.Address = "w", "x:1"
	g.ask(tbcontrol.WorkerReported{Report: r})
	task := g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0]
	qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, task.Worker, qt.Equals, "w")
}

// A worker reports that it is draining, and the first answer is lost. The same report is sent again before
// the draining is committed. The worker would take ReportIgnored as an acknowledgement. If the leader then
// stopped, the next leader would not know of the draining and would start tasks on the worker.
func TestDrainingIsAcknowledgedOnlyAfterCommit(t *testing.T) {
	g := newGroupWithRunningJob(t)
	r := g.leader()
	report := tbfleet.Report{
		ID: "w", Address: "w:1", Incarnation: 1, Class: "c", ClockMs: 10, Sequence: 2, Draining: true,
		Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}
	g.lastRequest += 2
	firstRequest, secondRequest := g.lastRequest-1, g.lastRequest
	g.step(r, tbcontrol.LeaderRequestArrived{Request: firstRequest, LeaderRequest: tbcontrol.WorkerReported{Report: report}})
	g.step(r, tbcontrol.LeaderRequestArrived{Request: secondRequest, LeaderRequest: tbcontrol.WorkerReported{Report: report}})
	_, isAnswered := r.answerByRequest[secondRequest]
	isCommitted := r.control.State().Flow.Workers["w"].Draining
	qt.Check(t, isAnswered && !isCommitted, qt.IsFalse, qt.Commentf("answered %v before the drain was committed", r.answerByRequest[secondRequest].Answer.Code))
	g.advance(200 * time.Millisecond)
	qt.Check(t, r.control.State().Flow.Workers["w"].Draining, qt.IsTrue)
}
