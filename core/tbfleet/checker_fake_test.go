package tbfleet_test

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// maxAttempts is the budget of failed runs of a task that does not last.
const maxAttempts = 3

// judge sees what the workers do and says which rule was broken.
type judge struct {
	state *tbflow.State
	// running names the worker at which a task runs.
	running map[tbflow.TaskRef]*fakeWorker
	// startedAt is the last start of a task, and decided its ends as done or failed that were noted.
	startedAt map[tbflow.TaskRef]time.Time
	decided   map[tbflow.TaskRef][]*fakeEnd
	fail      func(format string, args ...any)
}

func newJudge(s *tbflow.State, fail func(string, ...any)) *judge {
	return &judge{
		state: s, fail: fail, running: map[tbflow.TaskRef]*fakeWorker{},
		startedAt: map[tbflow.TaskRef]time.Time{}, decided: map[tbflow.TaskRef][]*fakeEnd{},
	}
}

func (j *judge) started(w *fakeWorker, now time.Time, o tbfleet.Start) {
	if j == nil {
		return
	}
	if other := j.running[o.Ref]; other != nil {
		j.fail("task %v runs on %s/%d and on %s/%d", o.Ref, other.id, other.born, w.id, w.born)
	}
	j.running[o.Ref], j.startedAt[o.Ref] = w, now
	job := j.state.Jobs[o.Ref.Job]
	if t := job.Task(o.Ref); t.Phase == tbflow.TaskDone {
		j.fail("task %v started on %s after it was recorded as done", o.Ref, w.id)
	}
	if !job.StepReady(o.Ref.Occurrence, o.Ref.Step) {
		j.fail("task %v started on %s before the steps that it depends on are done", o.Ref, w.id)
	}
	j.checkEnds(o.Ref)
}

func (j *judge) gone(w *fakeWorker, ref tbflow.TaskRef) {
	if j == nil {
		return
	}
	if j.running[ref] == w {
		delete(j.running, ref)
	}
}

// noted takes an end that a worker was told is recorded, under a lease that held until then.
func (j *judge) noted(w *fakeWorker, e *fakeEnd) {
	if j == nil {
		return
	}
	if e.kind == tbflow.EndDone || e.kind == tbflow.EndFailed {
		j.decided[e.ref] = append(j.decided[e.ref], e)
		j.checkEnds(e.ref)
	}
}

// checkEnds asserts that no start came after ends that decide the task and were noted then or later.
func (j *judge) checkEnds(ref tbflow.TaskRef) {
	if step := j.state.StepOf(ref); step == nil || step.Lasting {
		return
	}
	var failed []*fakeEnd
	for _, e := range j.decided[ref] {
		switch {
		case e.kind == tbflow.EndFailed:
			failed = append(failed, e)
		case j.startedAt[ref].After(e.at):
			j.fail("task %v started although run %d had ended as done and that was noted", ref, e.run)
		}
	}
	if len(failed) < maxAttempts {
		return
	}
	last := time.Time{}
	for _, e := range failed {
		if e.at.After(last) {
			last = e.at
		}
	}
	if j.startedAt[ref].After(last) {
		j.fail("task %v started after %d noted failures", ref, len(failed))
	}
}

// committed asserts that nothing runs on that is recorded as done.
func (j *judge) committed(c tbflow.NoteEnds) {
	for _, e := range c.Ends {
		job := j.state.Jobs[e.Ref.Job]
		if w := j.running[e.Ref]; w != nil && job != nil && job.Task(e.Ref).Phase == tbflow.TaskDone {
			j.fail("task %v runs on %s after it was recorded as done", e.Ref, w.id)
		}
	}
}
