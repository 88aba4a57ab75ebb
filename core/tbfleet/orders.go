package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Worker health.
const (
	// failuresBeforeAvoidance is how many failures in a row put a worker aside.
	failuresBeforeAvoidance = 2
	// firstAvoidance and longestAvoidance bound how long it is put aside; it doubles each time.
	firstAvoidance   = time.Second
	longestAvoidance = 8 * time.Second
	// noRoomPause keeps tasks away from a worker that says it is full.
	noRoomPause = 200 * time.Millisecond
	// stallAvoidance keeps tasks away from a worker on which a run stands still.
	stallAvoidance = 3 * time.Second
	// unansweredPause keeps tasks away from a worker that left an order unanswered.
	unansweredPause = 300 * time.Millisecond
	// maxFailingJobs bounds the memory of jobs that fail.
	maxFailingJobs = 4096
	// stopRepeat is the pause between two orders to stop the same run.
	stopRepeat = 400 * time.Millisecond
)

// Assigned orders a run whose assignment is committed.
func (f *Fleet) Assigned(now time.Time, s *tbflow.State, a tbflow.Assignment) {
	j := s.Jobs[a.Ref.Job]
	if j == nil {
		return
	}
	t := j.Task(a.Ref)
	if t == nil || t.Phase != tbflow.TaskAssigned || t.Run != a.Run || t.Worker != a.Worker {
		return
	}
	w := f.worker(a.Worker)
	run := &Run{Run: a.Run, Phase: RunOrdered, Checkpoint: t.Checkpoint, Pace: FullPace, sentAt: now}
	w.runs[a.Ref] = run
	if !w.known || w.Born != a.Born || !w.clock.known() {
		// The life that was meant is gone, or no lease can be granted to it: it gets no order.
		f.neverRan(w, a.Born, a.Ref, run)
		return
	}
	w.passNaming()
	f.call(Start{
		Target: f.target(w), Ref: a.Ref, Run: a.Run, Spec: j.Spec, Checkpoint: t.Checkpoint,
		LeaseEndMs: f.extend(now, w), Timeout: f.terms.OrderTimeout,
	})
	f.tend(now, w)
}

// passNaming keeps a look that names ends from being carried out after the orders to come.
//
// A worker that starts again under its id may get both from before its start. If it carried
// out a start and then the look, it would forget the end of the run before anybody read it.
func (w *Worker) passNaming() {
	if w.naming {
		w.serial++
		w.naming, w.overtaken = false, w.looking
	}
}

func (f *Fleet) neverRan(w *Worker, born int64, ref tbflow.TaskRef, run *Run) {
	run.Phase = RunEnding
	f.out.Commands = append(f.out.Commands, tbflow.NoteEnds{Worker: w.ID, Born: born, Ends: []tbflow.End{
		{Ref: ref, Run: run.Run, Kind: tbflow.EndNeverRan},
	}})
}

// StartAnswered takes the answer to Start.
func (f *Fleet) StartAnswered(now time.Time, a StartAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.runs[a.Ref] == nil || w.runs[a.Ref].Run != a.Run {
		return
	}
	run := w.runs[a.Ref]
	if run.Phase == RunEnding {
		return
	}
	if w.Born != a.Born {
		f.tend(now, w)
		return
	}
	laterLife := w.clock.behind(run.sentAt, a.ClockMs, f.terms.ClockRateBound)
	if !laterLife {
		w.clock.take(now, run.sentAt, a.ClockMs, f.terms.ClockRateBound)
	}
	switch a.Verdict {
	case Accepted:
		if laterLife && !run.listed {
			f.startedByLaterLife(now, w, a, run)
			break
		}
		w.HeardAt = now
		if run.Phase == RunOrdered {
			run.Phase, run.settledAt = RunGoingOn, now
		}
	case Refused:
		f.startRefused(now, w, a, run)
	case OtherLife:
		f.replace(now, w)
	case Unanswered:
		f.out.Notes = append(f.out.Notes, Note{What: "start not answered", Worker: w.ID, Ref: a.Ref, Run: a.Run, Detail: a.Cause})
		if run.Phase == RunOrdered {
			run.Phase, run.stopWish = RunDoubtful, true
		}
		w.AvoidUntil = maxTime(w.AvoidUntil, now.Add(unansweredPause))
	}
	f.tend(now, w)
}

// startedByLaterLife doubts a run that a life has accepted of which the leader does not know yet.
//
// An order to the life before names a lease end that this life's clock does not reach for long;
// carried out late, it lets the run outlast the lease that the leader reckons with.
func (f *Fleet) startedByLaterLife(now time.Time, w *Worker, a StartAnswered, run *Run) {
	f.out.Notes = append(f.out.Notes, Note{
		What: "start accepted by a later life", Worker: w.ID, Ref: a.Ref, Run: a.Run,
		Inputs: []any{"clockMs", a.ClockMs, "knownClockMs", w.clock.ms},
	})
	run.Phase, run.born, run.settledAt, run.stopWish = RunDoubtful, w.Born, now, true
}

func (f *Fleet) startRefused(now time.Time, w *Worker, a StartAnswered, run *Run) {
	f.out.Notes = append(f.out.Notes, Note{What: "start refused", Worker: w.ID, Ref: a.Ref, Run: a.Run, Detail: a.Cause})
	if a.Cause == CauseNoRoom {
		w.AvoidUntil = now.Add(noRoomPause)
	} else {
		w.AvoidUntil = maxTime(w.AvoidUntil, now.Add(unansweredPause))
		f.failed(now, w)
	}
	f.neverRan(w, w.Born, a.Ref, run)
}

// CauseNoRoom is the cause of a refusal for want of capacity.
const CauseNoRoom = "noRoom"

// failed counts a failure and puts a worker aside that fails again and again.
func (f *Fleet) failed(now time.Time, w *Worker) {
	w.Failures++
	if w.Failures < failuresBeforeAvoidance {
		return
	}
	doublings := min(w.Failures-failuresBeforeAvoidance, 3)
	w.AvoidUntil = now.Add(min(firstAvoidance<<doublings, longestAvoidance))
}

// runFailed blames the worker for a failed run, unless the job has failed elsewhere too.
//
// Example: a job that can never be done fails on every worker that gets one of its
// tasks; were the workers blamed, a few such jobs would put the whole pool aside.
func (f *Fleet) runFailed(now time.Time, w *Worker, job string) {
	first, known := f.failing[job]
	switch {
	case !known:
		if len(f.failing) >= maxFailingJobs {
			clear(f.failing)
		}
		f.failing[job] = w.ID
	case first != w.ID:
		return
	}
	f.failed(now, w)
}

// Stop asks for the end of a run; it is repeated until the worker lists the end.
func (f *Fleet) Stop(now time.Time, worker string, ref tbflow.TaskRef) {
	w := f.workers[worker]
	if w == nil || w.runs[ref] == nil || w.runs[ref].stopWish {
		return
	}
	w.runs[ref].stopWish = true
	f.tend(now, w)
}

// GiveUp stops a run that stands still and keeps new tasks away from its worker for a while.
func (f *Fleet) GiveUp(now time.Time, worker string, ref tbflow.TaskRef) {
	w := f.workers[worker]
	if w == nil || w.runs[ref] == nil || w.runs[ref].stopWish {
		return
	}
	w.AvoidUntil = maxTime(w.AvoidUntil, now.Add(stallAvoidance))
	f.out.Notes = append(f.out.Notes, Note{What: "run stands still", Worker: w.ID, Ref: ref, Run: w.runs[ref].Run})
	f.Stop(now, worker, ref)
}

// StopAnswered takes the answer to Stop.
func (f *Fleet) StopAnswered(now time.Time, a StopAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.runs[a.Ref] == nil || w.runs[a.Ref].Run != a.Run || w.Born != a.Born {
		return
	}
	switch a.Verdict {
	case Accepted:
		if run := w.runs[a.Ref]; run.stopAcked.IsZero() {
			run.stopAcked = now
		}
	case OtherLife:
		f.replace(now, w)
	}
	f.tend(now, w)
}

// Applied brings the view in line with what a command changed in the state.
func (f *Fleet) Applied(now time.Time, s *tbflow.State, c tbflow.Command) {
	switch c := c.(type) {
	case tbflow.Assign:
		for _, a := range c.Runs {
			f.Assigned(now, s, a)
		}
	case tbflow.NoteEnds:
		f.endsRecorded(now, s, c.Worker, c.Born)
	}
}

// endsRecorded drops the runs that the state no longer assigns to the worker.
func (f *Fleet) endsRecorded(now time.Time, s *tbflow.State, id string, born int64) {
	w := f.workers[id]
	if w == nil {
		return
	}
	for ref, run := range w.runs {
		j := s.Jobs[ref.Job]
		if j == nil {
			delete(w.runs, ref)
			continue
		}
		t := j.Task(ref)
		if t == nil || t.Phase != tbflow.TaskAssigned || t.Worker != id || t.Run != run.Run {
			delete(w.runs, ref)
		}
	}
	if w.Born == born {
		if r := s.Workers[id]; r != nil && r.Born == born {
			w.seen = max(w.seen, r.Seen)
		}
	}
	if !w.known && len(w.runs) == 0 {
		f.drop(now, w)
		return
	}
	f.tend(now, w)
}
