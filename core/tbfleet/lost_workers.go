package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// HandleSignOff handles the message that a drained worker has signed off.
//
// The message does not name the incarnation. If the worker is not draining, it has restarted since
// the sign-off, and the message is ignored.
//
// If the message gets no answer, the worker continues to execute its runs for a while. The runs are
// therefore given up only when the lease has expired.
//
// Outstanding starts of long-running tasks are settled then (see settleLeft).
func (f *Fleet) HandleSignOff(now time.Time, id string) {
	w := f.workers[id]
	if w == nil || !w.Draining || w.signedOff {
		return
	}
	f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker signs off", Worker: id, Inputs: w.leaseLogInputs(now)})
	f.output.Commands = append(f.output.Commands, tbflow.RecordSignedOff{Worker: id, Incarnation: w.Incarnation})
	w.registered, w.signedOff = false, true
	f.proposeSilence(id)
	f.reconcile(now, w)
}

// settleLeft settles the outstanding starts of long-running tasks at a worker that has left. No incarnation up to this
// one can execute them: their lease expiries have passed. Only one that returned under the worker's ID within the
// longest delay of an order could. A worker that has announced its end is not expected to do that, and a task that
// serves users must not be away for so long. Other tasks wait, and so do starts that were sent to an earlier
// incarnation, since this one may have executed them unnoticed.
func (f *Fleet) settleLeft(w *Worker) {
	var settled []*outstandingStart
	for _, o := range f.outstanding.byWorker[w.ID] {
		if o.isOfLongRunning && o.Incarnation == w.Incarnation {
			settled = append(settled, o)
		}
	}
	f.settle(settled, "its worker has left")
}

// hasLeft reports whether the worker has announced its end, is gone, and its lease has expired. It is gone if it has
// signed off, or if it drains and does not answer. The lease of a worker to which this leader has granted none, and
// which it did not take over, is not known.
func (w *Worker) hasLeft(now time.Time) bool {
	isGone := w.Draining && w.Unresponsive && !w.leaseExpiresAt.IsZero()
	return w.hasEnded(now) || isGone && now.After(w.leaseExpiresAt)
}

// hasEnded reports whether the worker has signed off and its lease has expired.
func (w *Worker) hasEnded(now time.Time) bool { return w.signedOff && now.After(w.leaseExpiresAt) }

// markReplaced marks a worker as replaced by another one at the same address. It gives up the runs
// that are assigned to the current incarnation of the replaced worker.
func (f *Fleet) markReplaced(now time.Time, w *Worker) {
	f.handleCrash(now, w, "another worker answers at its address")
	w.replaced, w.registered = true, false
	w.leaseExpiresAt = now
	f.giveUpRuns(now, w, "another worker answers at its address")
	f.proposeSilence(w.ID)
}

// giveUpRuns gives up the runs of a worker that was replaced or whose lease has expired.
//
// The start of a run that no poll answer has listed may still be in flight. A later incarnation
// with the same ID could execute that start, because the new clock may be below the lease expiry in
// the start. Such a run is therefore kept until latestRunEnd, unless it is of a long-running task and the worker has
// left (see settleLeft).
//
// If the worker was replaced, its runs are given up at once, because its incarnations have ended. The starts
// that were not answered are outstanding.
func (f *Fleet) giveUpRuns(now time.Time, w *Worker, cause string) {
	cmd := tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation}
	var lost []tbflow.CrashedRun
	hasLeft := w.hasLeft(now)
	for ref, r := range w.runs {
		mayStartLater := r.mayBeAtLaterIncarnation() && !(hasLeft && r.longRunning) && now.Before(f.latestRunEnd(w, r))
		if r.Phase == RunEnding || !w.replaced && (r.earlierIncarnation != 0 || mayStartLater) {
			continue
		}
		if w.replaced && !now.After(f.latestRunEnd(w, r)) && f.mayBeExecutedLater(r.startSentAt, r) {
			f.proposeUnanswered(w, w.assignedIncarnation(r), ref, r)
			continue
		}
		if r.earlierIncarnation != 0 {
			f.proposeNeverRan(w, r.earlierIncarnation, ref, r)
			continue
		}
		lost = append(lost, w.crashedRun(ref, r))
		r.Phase = RunEnding
		cmd.Ends = append(cmd.Ends, tbflow.End{Ref: ref, Run: r.Number, Kind: tbflow.EndStopped, Checkpoint: r.Checkpoint})
	}
	if !w.replaced {
		f.rememberLost(w, lost)
	}
	if len(cmd.Ends) > 0 {
		f.output.Commands = append(f.output.Commands, cmd)
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker lost", Worker: w.ID, Detail: cause, Inputs: w.leaseLogInputs(now)})
	}
	for ref, r := range w.runs {
		if r.earlierIncarnation != 0 && r.Phase != RunEnding && now.After(f.latestRunEnd(w, r)) {
			f.proposeNeverRan(w, r.earlierIncarnation, ref, r)
		}
	}
}

// handleRestart handles a new incarnation with the same ID. All runs that the earlier incarnation
// executed have ended.
//
// The new incarnation may still execute orders in flight to the earlier one. The first poll sent to
// the new incarnation has a higher token, and once it has arrived, such orders are refused. Until
// then, runs that no poll answer has listed are kept.
func (f *Fleet) handleRestart(now time.Time, w *Worker, r Report) {
	f.handleCrash(now, w, "a later incarnation answers")
	var ends []tbflow.End
	keptRuns := map[tbflow.TaskRef]*Run{}
	for ref, run := range w.runs {
		if run.isUnanswered {
			// An end would settle the start, which the new incarnation may still execute.
			keptRuns[ref] = run
			continue
		}
		if run.mayBeAtLaterIncarnation() {
			run.Phase, run.stopRequested, run.stopSentAt = RunUnconfirmed, false, time.Time{}
			run.stopConfirmedAt = time.Time{}
			run.forgetRunTime()
			if run.earlierIncarnation == 0 {
				run.earlierIncarnation = w.Incarnation
			}
			keptRuns[ref] = run
			continue
		}
		ends = append(ends, tbflow.End{Ref: ref, Run: run.Number, Kind: tbflow.EndStopped, Checkpoint: run.Checkpoint})
	}
	if len(ends) > 0 {
		f.output.Commands = append(f.output.Commands, tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation, Ends: ends})
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker restarted", Worker: w.ID, Detail: "its earlier runs have ended"})
	}
	*w = Worker{
		Report: r, runs: keptRuns, LastHeardAt: now, serial: w.serial + 1, needsFence: true,
	}
}
