package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// A worker that restarts while two starts of a task are outstanding may execute them one after the other before any
// poll reaches it: the earlier run is done, and the task runs again. The end as done must not be acknowledged then,
// because no task may start after its acknowledged end as done. An end that was not acknowledged when the lease of its
// worker ended is void. The leader therefore lets the lease end before it acknowledges any end of the worker.

// lapseState says whether the lease of an incarnation has to end.
type lapseState uint8

const (
	// notLapsing means that the lease is renewed as long as there are runs.
	notLapsing lapseState = iota
	// lapsing means that the lease is not renewed, and that the worker gets no tasks, until the lease has ended.
	lapsing
	// hasLapsed means that the lease has ended since.
	hasLapsed
)

// IsLapsing reports whether the worker gets no tasks because its lease has to end.
func (w *Worker) IsLapsing() bool { return w.lapse == lapsing }

// handleOvertaken lets the lease of a worker end if its lists show that an outstanding start was executed after the
// end of an earlier run of the task. It notices when the lease has ended.
func (f *Fleet) handleOvertaken(now time.Time, w *Worker, a PollAnswered) {
	switch {
	case w.lapse == lapsing && now.After(w.leaseExpiresAt):
		w.lapse = hasLapsed
	case w.lapse == notLapsing && f.listsOvertaken(w, a):
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "lease is not renewed", Worker: w.ID, Detail: "a task was started after its end"})
		// Renewals in flight are refused once a poll with the new token has arrived. The answer to that poll tells
		// when the lease ends at the latest.
		w.lapse, w.needsFence = lapsing, true
		w.raiseSerial()
	}
}

func (f *Fleet) listsOvertaken(w *Worker, a PollAnswered) bool {
	for ref, run := range w.runs {
		if f.isOvertaken(w, a, tbflow.RunRef{Ref: ref, Run: run.Number}) {
			return true
		}
	}
	return slices.ContainsFunc(f.outstanding.byWorker[w.ID], func(o *outstandingStart) bool { return f.isOvertaken(w, a, o.runRef()) })
}

// isOvertaken reports whether a worker has executed a start to an earlier incarnation after the end of an earlier run
// of the task.
func (f *Fleet) isOvertaken(w *Worker, a PollAnswered, r tbflow.RunRef) bool {
	run, o := w.runs[r.Ref], f.outstanding.findAt(w.ID, r)
	isOfEarlierIncarnation := run != nil && run.Number == r.Run && run.earlierIncarnation != 0 || o != nil && o.Incarnation < w.Incarnation
	if !isOfEarlierIncarnation {
		return false
	}
	isListed := slices.ContainsFunc(a.Running, func(l ListedRun) bool { return l.Ref == r.Ref && l.Run == r.Run }) ||
		slices.ContainsFunc(a.Ended, func(e ListedEnd) bool { return e.Ref == r.Ref && e.Run == r.Run })
	return isListed && slices.ContainsFunc(a.Ended, func(e ListedEnd) bool {
		return e.Ref == r.Ref && e.Run < r.Run && (e.Kind == tbflow.EndDone || e.Kind == tbflow.EndFailed)
	})
}
