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

// strangeReport names a class that no configuration has, at the address of a live worker.
func strangeReport() tbfleet.Report {
	return tbfleet.Report{
		ID: "x", Address: "w:1", Born: 2, Class: "nobody", ClockMs: 1, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}
}

// Worker w runs a task; a report of an unknown class comes with w's address and a later
// start. The leader gives w's run up at once, and the task starts elsewhere while w runs on.
func TestReportOfUnknownClassGivesUpNoOtherWorker(t *testing.T) {
	g := runningJob(t)
	g.ask(tbcontrol.WorkerReported{Report: strangeReport()})
	flow := g.leader().control.State().Flow
	task := flow.Jobs["j"].Tasks[0][0][0]
	qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, task.Worker, qt.Equals, "w")
	qt.Check(t, flow.Workers["x"], qt.IsNil)
}

// A report of an unknown class comes under the id of worker w with a later start. The
// leader takes it for a restart of w and gives its run up.
func TestReportOfUnknownClassIsNoRestart(t *testing.T) {
	g := runningJob(t)
	term := g.leader().control.Replica().Term()
	g.step(g.leader(), tbcontrol.StartAnswered{Term: term, Answer: tbfleet.StartAnswered{
		Worker: "w", Born: 1, Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Verdict: tbfleet.Accepted, ClockMs: 5,
	}})
	g.step(g.leader(), tbcontrol.LookAnswered{Term: term, Answer: tbfleet.LookAnswered{
		Worker: "w", Born: 1, ActualBorn: 1, SentAt: g.now, Verdict: tbfleet.Accepted, ClockMs: 10,
		Running: []tbfleet.RunReport{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1}},
	}})
	r := strangeReport()
	r.ID, r.Address = "w", "x:1"
	g.ask(tbcontrol.WorkerReported{Report: r})
	task := g.leader().control.State().Flow.Jobs["j"].Tasks[0][0][0]
	qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, task.Worker, qt.Equals, "w")
}

// A worker reports that it drains; the first answer is lost, the same report is asked
// again before it is committed, and its sender acknowledges 'outdated'. If the leader ends
// now, the next one knows nothing of it and starts tasks there.
func TestDrainingIsAcknowledgedOnlyOnceItIsCommitted(t *testing.T) {
	g := runningJob(t)
	r := g.leader()
	report := tbfleet.Report{
		ID: "w", Address: "w:1", Born: 1, Class: "c", ClockMs: 10, Sequence: 2, Draining: true,
		Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
	}
	g.next += 2
	first, second := g.next-1, g.next
	g.step(r, tbcontrol.QuestionArrived{Request: first, Question: tbcontrol.WorkerReported{Report: report}})
	g.step(r, tbcontrol.QuestionArrived{Request: second, Question: tbcontrol.WorkerReported{Report: report}})
	_, answered := r.answers[second]
	committed := r.control.State().Flow.Workers["w"].Draining
	qt.Check(t, answered && !committed, qt.IsFalse, qt.Commentf("answer %v before the commit", r.answers[second].Answer.Code))
	g.run(200 * time.Millisecond)
	qt.Check(t, r.control.State().Flow.Workers["w"].Draining, qt.IsTrue)
}
