package tbflow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// stateWithTask returns a state with one waiting task and the workers a, b and c. b has the address of a.
func stateWithTask(step tbflow.Step) (*tbflow.State, tbflow.TaskRef) {
	s := tbflow.New()
	s.Apply(1, tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 2},
	}}})
	step.Count, step.Need = 1, tbresource.Amount{MilliProcessors: 1}
	s.Apply(2, tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	for id, address := range map[string]string{"a": "x:1", "b": "x:1", "c": "y:1"} {
		s.Apply(3, tbflow.RecordWorker{Worker: id, Incarnation: 5, Address: address, Class: "c"})
	}
	return s, tbflow.TaskRef{Job: "j"}
}

func assignTask(s *tbflow.State, ref tbflow.TaskRef, run uint64, worker string, incarnation int64) bool {
	s.Apply(4, tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: ref, Run: run, Worker: worker, Incarnation: incarnation}}})
	t := s.Jobs["j"].Task(ref)
	return t.Phase == tbflow.TaskAssigned && t.Run == run && t.Worker == worker
}

func recordUnanswered(s *tbflow.State, ref tbflow.TaskRef, run uint64) {
	s.Apply(5, tbflow.RecordUnanswered{Worker: "a", Incarnation: 5, Address: "x:1", Runs: []tbflow.RunRef{{Ref: ref, Run: run}}})
}

// A task was assigned to another worker while its first one could still execute an unanswered start.
func TestTaskWithOutstandingStartIsAssignedToNoOtherWorker(t *testing.T) {
	for worker, isAllowed := range map[string]bool{"a": true, "b": true, "c": false, "unknown": false} {
		s, ref := stateWithTask(tbflow.Step{})
		qt.Assert(t, assignTask(s, ref, 1, "a", 5), qt.IsTrue)
		recordUnanswered(s, ref, 1)
		qt.Check(t, s.Jobs["j"].Phase, qt.Equals, tbflow.Queued)
		qt.Check(t, assignTask(s, ref, 2, worker, 5), qt.Equals, isAllowed, qt.Commentf("worker %s", worker))
	}
}

func TestTaskIsFreeOnceItsStartsAreSettled(t *testing.T) {
	s, ref := stateWithTask(tbflow.Step{})
	assignTask(s, ref, 1, "a", 5)
	recordUnanswered(s, ref, 1)
	assignTask(s, ref, 2, "a", 5)
	recordUnanswered(s, ref, 2)
	s.Apply(6, tbflow.RecordSettled{Starts: []tbflow.SettledStart{{Ref: ref, Start: s.Outstanding[ref][0]}}})
	qt.Check(t, s.MayAssign(ref, "c"), qt.IsFalse)
	s.Apply(6, tbflow.RecordSettled{Starts: []tbflow.SettledStart{{Ref: ref, Start: s.Outstanding[ref][0]}}})
	qt.Check(t, s.Outstanding, qt.HasLen, 0)
	qt.Check(t, assignTask(s, ref, 3, "c", 5), qt.IsTrue)
}

// The end of a run whose assignment had ended was ignored, and the task was started again after it was done.
func TestTaskIsDoneByItsOutstandingStart(t *testing.T) {
	for name, assignLater := range map[string]bool{"waiting": false, "assigned again": true} {
		t.Run(name, func(t *testing.T) {
			s, ref := stateWithTask(tbflow.Step{})
			assignTask(s, ref, 1, "a", 5)
			recordUnanswered(s, ref, 1)
			if assignLater {
				qt.Assert(t, assignTask(s, ref, 2, "a", 5), qt.IsTrue)
			}
			s.Apply(6, tbflow.RecordEnds{Worker: "a", Incarnation: 6, LastEnd: 1, Ends: []tbflow.End{{Ref: ref, Run: 1, Kind: tbflow.EndDone}}})
			qt.Check(t, s.Jobs["j"].Phase, qt.Equals, tbflow.Completed)
			qt.Check(t, s.RunCount("a"), qt.Equals, 0)
			// The later run may have been started, too.
			qt.Check(t, s.IsBound(ref), qt.Equals, assignLater)
		})
	}
}

// Failures of a run whose assignment had ended were not counted, so that a task was started too often.
func TestFailureOfOutstandingStartCounts(t *testing.T) {
	s, ref := stateWithTask(tbflow.Step{})
	for run := uint64(1); run <= 2; run++ {
		qt.Assert(t, assignTask(s, ref, run, "a", 5), qt.IsTrue)
		recordUnanswered(s, ref, run)
		s.Apply(6, tbflow.RecordEnds{Worker: "a", Incarnation: 5, LastEnd: run, Ends: []tbflow.End{{Ref: ref, Run: run, Kind: tbflow.EndFailed}}})
	}
	qt.Check(t, s.Jobs["j"].Phase, qt.Equals, tbflow.Failed)
}

func TestOutstandingStartsAreRemovedWithTheirJob(t *testing.T) {
	s, ref := stateWithTask(tbflow.Step{})
	assignTask(s, ref, 1, "a", 5)
	recordUnanswered(s, ref, 1)
	s.Apply(6, tbflow.Cancel{ID: "j", Host: "h", Path: "/q/j"})
	s.Apply(7+2*tbflow.EndedRetention.Milliseconds(), tbflow.RecordProven{})
	qt.Check(t, s.Jobs, qt.HasLen, 0)
	qt.Check(t, s.Outstanding, qt.HasLen, 0)
}
