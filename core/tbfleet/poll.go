package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Tick does what is due at this time: it resends orders, renews leases, and gives up the runs of
// lost workers.
func (f *Fleet) Tick(now time.Time) {
	for _, w := range f.sortedWorkers {
		if w.registered && !w.Unresponsive && w.pollInFlight && now.Before(w.nextResendAt) {
			// Nothing is due before the poll is answered.
			continue
		}
		f.reconcile(now, w)
	}
	f.settleExpired(now)
	f.proposeSilences(now)
	f.removeSilent(now)
}

// reconcile gives up the runs of a lost worker, and sends a registered worker the orders that are
// due.
func (f *Fleet) reconcile(now time.Time, w *Worker) {
	if len(w.runs) == 0 && w.lastAckedEnd >= w.lastRecordedEnd && !w.Unresponsive && w.unreachedAt.IsZero() && !w.needsFence && !f.outstanding.existAt(w) {
		return
	}
	if (!w.registered || w.Unresponsive) && now.After(w.leaseExpiresAt) {
		f.giveUpRuns(now, w, "its lease has ended")
	}
	if w.hasLeft(now) {
		f.settleLeft(w)
	}
	if !w.registered {
		return
	}
	w.nextResendAt = now.Add(maxResendPause)
	for ref, run := range w.runs {
		f.reconcileRun(now, w, ref, run)
	}
	f.pollIfDue(now, w)
}

// maxResendPause is the longest time between two checks of the runs of a worker that answers.
const maxResendPause = time.Second

func (f *Fleet) reconcileRun(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	f.reconcileSpeed(now, w, ref, run)
	if !run.stopRequested || run.Phase == RunEnding || run.Phase == RunOrdered {
		return
	}
	w.nextResendAt = now
	if !run.stopSentAt.IsZero() && now.Sub(run.stopSentAt) < max(stopResendPause, f.orderTimeout(w)) {
		return
	}
	run.stopSentAt = now
	f.addOrder(Stop{Target: f.newTarget(w), Ref: ref, Run: run.Number, Timeout: f.orderTimeout(w)})
}

// pollIfDue sends a poll, except in these cases: a poll is in flight, it is too early for the next
// poll, proposed ends are not recorded yet and no lease has to be kept, or there is no permit.
func (f *Fleet) pollIfDue(now time.Time, w *Worker) {
	// A worker answers at once as long as it has ends that are not acknowledged.
	awaitsRecord := w.lastProposedEnd > w.lastRecordedEnd
	if w.pollInFlight || now.Before(w.nextPollAt) || awaitsRecord && !f.isRenewalDue(now, w) || !f.acquirePermit(now, w) {
		return
	}
	poll := Poll{Target: f.newTarget(w), Timeout: f.orderTimeout(w)}
	if w.hasAnswered && !w.Unresponsive && w.lastAckedEnd < w.lastRecordedEnd && !w.hasUnconfirmedStart() && !f.holdsAcks(w) {
		// Ends are acknowledged only to a worker that has answered as this incarnation. Another
		// incarnation numbers its ends anew, and would discard its own ends with these numbers.
		poll.LastRecordedEnd = w.lastRecordedEnd
		w.ackInFlight = true
	}
	timeToSettle := f.timeToSettle(now, w)
	mayWait := !awaitsRecord && w.hasAnswered && !w.Unresponsive && w.unreachedAt.IsZero() && !w.needsRecheck() && !f.isSilent(w.ID) && timeToSettle >= 0
	hasUnansweredStart := f.hasUnansweredStart(w)
	if f.mayRenew(now, w) {
		poll.LeaseEndMs = f.renewLease(now, w)
		mayWait = mayWait && !hasUnansweredStart
	}
	if (len(w.runs) > 0 || f.outstanding.existAt(w)) && mayWait {
		poll.Wait = min(f.pollWait(), timeToSettle.Truncate(time.Millisecond)+time.Millisecond)
		if hasUnansweredStart && len(w.runs) > 0 {
			poll.Wait = max(0, min(poll.Wait, w.renewalAnsweredFrom.Add(f.params.renewalInterval()).Sub(now).Truncate(time.Millisecond)))
		}
		poll.Timeout += poll.Wait
	}
	w.pollInFlight, w.pollSuperseded, w.pollWait = true, false, poll.Wait
	f.addOrder(poll)
}

// SavePolls makes polls stay open for longer while nothing happens at their workers, or ends that.
func (f *Fleet) SavePolls(saves bool) { f.savesPolls = saves }

// savedPollFactor is the factor by which polls stay open for longer while the fleet saves polls.
const savedPollFactor = 2

// pollWait returns how long a worker holds a poll open.
func (f *Fleet) pollWait() time.Duration {
	if f.savesPolls {
		return f.params.maxPollWait()
	}
	return f.params.PollWait
}

// maxPollWait returns the longest time for which a worker holds a poll open. Polls renew the lease, so several of them have to
// fit into it.
func (p Params) maxPollWait() time.Duration {
	if longer := savedPollFactor * p.PollWait; 2*longer <= p.Lease {
		return longer
	}
	return p.PollWait
}

// hasUnconfirmedStart reports whether the worker may still execute a start that no answer has
// confirmed.
func (w *Worker) hasUnconfirmedStart() bool {
	for _, run := range w.runs {
		if run.Phase == RunOrdered || run.Phase == RunUnconfirmed && !run.listed || run.isUnanswered {
			return true
		}
	}
	return false
}

// needsRecheck reports whether the worker has to be polled again soon, because a run is
// unconfirmed, unknown or to be stopped.
func (w *Worker) needsRecheck() bool {
	for _, run := range w.runs {
		if run.Phase == RunUnconfirmed || run.Phase == RunUnknown || run.stopRequested {
			return true
		}
	}
	return false
}

// recheckPause is the pause before the next poll of a worker for which needsRecheck is true.
const recheckPause = 50 * time.Millisecond

// Polls of workers that must not get acknowledgements of their ends. They are answered at once, so that the pause
// between two of them bounds what they cost the leader.
const (
	// minHeldAckPause is the pause between two polls of one of these workers.
	minHeldAckPause = 100 * time.Millisecond
	// maxHeldPollsPerSecond is the largest number of such polls in a second, of all these workers together.
	maxHeldPollsPerSecond = 1000
)

func (f *Fleet) heldAckPause() time.Duration {
	return max(minHeldAckPause, time.Duration(len(f.outstanding.byWorker))*time.Second/maxHeldPollsPerSecond)
}

// HandlePollAnswered handles the result of a Poll.
func (f *Fleet) HandlePollAnswered(now time.Time, a PollAnswered) {
	defer f.releasePermit(now, a)
	if a.LeaseEndMs > 0 {
		f.noteRenewalResult(now, a.Worker, a.Outcome, a.SentAt, a.SentBefore)
	}
	w := f.workers[a.Worker]
	if w == nil || w.Incarnation != a.Incarnation {
		return
	}
	w.pollInFlight = false
	switch {
	case a.Outcome == OtherWorker:
		f.markReplaced(now, w)
		return
	case a.Outcome == Refused && w.pollSuperseded:
		f.reconcile(now, w)
		return
	case a.Outcome == NotSent:
		w.nextPollAt = now.Add(recheckPause)
		f.reconcile(now, w)
		return
	case a.Outcome == Unconfirmed && a.Cause == CauseNoResult && !w.pollWasLost:
		// The poll may still be executed. A second one in a row counts as not answered, so that a worker that cannot be
		// reached does not keep its tasks.
		w.pollWasLost = true
		w.fenceOffAck()
		w.nextPollAt = now.Add(recheckPause)
		f.reconcile(now, w)
		return
	case a.Outcome == Accepted && a.ActualIncarnation > w.Incarnation:
		f.endSilence(w.ID)
		report := w.Report
		report.Incarnation, report.Sequence, report.Draining, report.ClockMs = a.ActualIncarnation, 0, false, a.ClockMs
		f.handleRestart(now, w, report)
		w.registered = true
		w.lastClockReading.update(now, a.SentAt, a.ClockMs, f.params.ClockRateBound)
		f.reconcile(now, w)
		return
	case a.Outcome != Accepted:
		if !w.Unresponsive {
			w.pollsFailFrom = a.SentAt
			f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker does not answer", Worker: w.ID, Detail: a.Cause, Inputs: append(w.leaseLogInputs(now), "token", f.newTarget(w).Token)})
		}
		w.Unresponsive = true
		if a.Cause == CauseDisconnected {
			w.noteDisconnect(now)
		} else if a.Outcome == Unconfirmed && a.Cause != CauseNoResult {
			f.noteTimeout(now, w, a.SentAt)
		}
		// The failed poll may still be executed, even after a later poll was answered.
		w.fenceOffAck()
		w.nextPollAt = now.Add(f.params.PollRetryDelay)
		f.reconcile(now, w)
		return
	}
	if w.Unresponsive {
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker answers again", Worker: w.ID})
	}
	if w.needsFence {
		// Before this answer, an order addressed to an earlier incarnation could still have renewed
		// the lease of this incarnation. The expiry in such an order is a time on the clock of the
		// earlier incarnation, so it does not bound the lease on the present clock. Assume the
		// longest lease.
		w.leaseExpiresAt = maxTime(w.leaseExpiresAt, now.Add(f.maxLeaseDuration(f.params.MaxLease)))
	}
	w.Unresponsive, w.hasAnswered, w.needsFence, w.unreachedAt = false, true, false, time.Time{}
	w.pollWasLost = false
	if a.LeaseEndMs > 0 {
		w.renewalAnsweredFrom = a.SentAt
	}
	w.answeredAt = now
	w.notePollTime(now.Sub(a.SentAt), w.pollWait)
	if w.registered {
		f.endSilence(w.ID)
	}
	w.lastAckedEnd = max(w.lastAckedEnd, a.LastRecordedEnd)
	if a.LastRecordedEnd > 0 {
		w.ackInFlight = false
	}
	w.LastHeardAt = now
	w.disconnectedAt = time.Time{}
	f.forgetLost(w)
	w.nextPollAt = time.Time{}
	w.lastClockReading.update(now, a.SentAt, a.ClockMs, f.params.ClockRateBound)
	w.listsAll, w.listsEndOfBoundGang = !a.Partial, f.listsEndOfBoundGang(a)
	f.updateListedRuns(now, w, a)
	f.endObservations(w)
	f.handleOvertaken(now, w, a)
	f.proposeEnds(now, w, a)
	f.settleListed(now, w, a)
	if !a.Partial {
		f.resolveMissing(now, w, a)
	}
	switch {
	case w.needsRecheck(), f.isSilent(w.ID):
		w.nextPollAt = now.Add(recheckPause)
	case len(a.Ended) > 0 && f.holdsAcks(w) || f.timeToSettle(a.SentAt, w) < 0:
		// The worker answers each poll at once as long as it has ends that are not acknowledged, or if the poll does
		// not wait because of a start that is not settled by its lists.
		w.nextPollAt = now.Add(f.heldAckPause())
	}
	f.reconcile(now, w)
}

// updateListedRuns updates the runs that the worker lists as running. It proposes to record the
// long-running ones that this incarnation lists for the first time. Other runs end so soon that
// recording them is not worth the log entries.
func (f *Fleet) updateListedRuns(now time.Time, w *Worker, a PollAnswered) {
	var firstListed []tbflow.RunRef
	earlierStrays := w.Strays
	w.Strays, w.unreadable = nil, nil
	for _, r := range a.Running {
		if r.Run == 0 {
			w.unreadable = append(w.unreadable, r.Ref)
			continue
		}
		run := w.runs[r.Ref]
		if run == nil || run.Number != r.Run {
			w.Strays = append(w.Strays, newStray(now, earlierStrays, tbflow.RunRef{Ref: r.Ref, Run: r.Run}))
			if run == nil || run.Number > r.Run {
				f.output.LogEvents = append(f.output.LogEvents, LogEvent{
					Message: "run is not assigned", Worker: w.ID, Ref: r.Ref, Run: r.Run, Inputs: w.leaseLogInputs(now),
				})
				f.addOrder(Stop{Target: f.newTarget(w), Ref: r.Ref, Run: r.Run, Timeout: f.orderTimeout(w)})
			}
			continue
		}
		if run.Phase != RunEnding {
			run.startReceived = true
			if !run.listed && run.earlierIncarnation == 0 {
				run.listed = true
				if run.longRunning {
					firstListed = append(firstListed, tbflow.RunRef{Ref: r.Ref, Run: r.Run})
				}
			}
			switch {
			case run.earlierIncarnation != 0:
				// A later incarnation executed a start addressed to an earlier one.
				run.stopRequested = true
			case run.Phase == RunUnconfirmed && run.stopSentAt.IsZero():
				run.stopRequested, run.Phase = false, RunExecuting
			case run.Phase != RunUnconfirmed:
				run.Phase = RunExecuting
			}
		}
		run.confirmedAt = maxTime(run.confirmedAt, a.SentAt)
		run.noteExecuting(a.ClockMs)
		if run.longRunning && r.Progress == startUpFinished && run.Progress < startUpFinished {
			w.Failures = 0
		}
		run.noteProgress(r.Progress, a.ClockMs)
		run.Measurement, run.ListedAt = r.Measurement, now
		if r.Checkpoint != "" {
			run.Checkpoint = r.Checkpoint
		}
	}
	if len(firstListed) > 0 {
		f.output.Commands = append(f.output.Commands, tbflow.RecordListed{Worker: w.ID, Incarnation: w.Incarnation, Runs: firstListed})
	}
}

// startUpFinished is the progress in percent of a long-running task that has finished its start-up.
const startUpFinished = 100

// newStray returns a stray, which may be among those of the last poll answer.
func newStray(now time.Time, earlier []Stray, run tbflow.RunRef) Stray {
	for _, s := range earlier {
		if s.RunRef == run {
			return s
		}
	}
	return Stray{RunRef: run, Since: now}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxEndNumberGap is the largest distance of the number of a listed end from that of the last recorded one.
// Workers list at most a few hundred ends and number them in their order. An entry with a larger number is
// not an end of the worker. If it were recorded, all further ends of the worker would count as recorded.
const maxEndNumberGap = 1 << 20

// proposeEnds proposes to record all listed ends that are neither recorded nor proposed yet.
func (f *Fleet) proposeEnds(now time.Time, w *Worker, a PollAnswered) {
	lastKnownEnd := max(w.lastRecordedEnd, w.lastProposedEnd)
	lastListedEnd := lastKnownEnd
	w.unackedEndCount, w.unassignedEnds = 0, nil
	cmd := tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation}
	for _, e := range a.Ended {
		if e.Number <= w.lastRecordedEnd {
			w.unackedEndCount++
			continue
		}
		if e.Number-w.lastRecordedEnd > maxEndNumberGap {
			continue
		}
		lastListedEnd = max(lastListedEnd, e.Number)
		isProposed := e.Number <= lastKnownEnd
		run := w.runs[e.Ref]
		if run == nil || run.Number != e.Run {
			if r := (tbflow.RunRef{Ref: e.Ref, Run: e.Run}); f.outstanding.findAt(w.ID, r) != nil && !f.isOvertaken(w, a, r) {
				// The worker has executed an outstanding start.
				w.unassignedEnds = append(w.unassignedEnds, r)
				if isProposed {
					continue
				}
				cmd.Ends = append(cmd.Ends, tbflow.End{Ref: e.Ref, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint})
			}
			continue
		}
		if isProposed || f.isOvertaken(w, a, tbflow.RunRef{Ref: e.Ref, Run: e.Run}) {
			continue
		}
		run.Phase = RunEnding
		end := tbflow.End{Ref: e.Ref, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint}
		if run.earlierIncarnation != 0 {
			f.output.Commands = append(f.output.Commands, tbflow.RecordEnds{Worker: w.ID, Incarnation: run.earlierIncarnation, Ends: []tbflow.End{end}})
		} else {
			cmd.Ends = append(cmd.Ends, end)
		}
		switch e.Kind {
		case tbflow.EndDone:
			w.Failures = 0
		case tbflow.EndFailed:
			f.attributeFailure(now, w, e.Ref.Job)
		}
	}
	if lastListedEnd > lastKnownEnd {
		w.lastProposedEnd = lastListedEnd
		cmd.LastEnd = lastListedEnd
		f.output.Commands = append(f.output.Commands, cmd)
	}
}

// resolveMissing handles runs that the worker lists neither as running nor as ended.
//
// It proposes to end the assignment of a run that this incarnation will not execute any more. In two cases, the
// token of this poll has fenced off the start: an earlier leader sent it, or it was addressed to an earlier
// incarnation. In the third case, the worker confirmed a stop before the poll was sent, and refuses a later start
// of the run. A later incarnation may still execute a start that got no answer, which is then outstanding.
//
// Any other executing run that is missing is stopped, unless the poll was sent before the run was
// last confirmed. In that case, the lists may be those of an earlier incarnation.
func (f *Fleet) resolveMissing(now time.Time, w *Worker, a PollAnswered) {
	isListed := make(map[tbflow.TaskRef]bool, len(a.Running))
	for _, r := range a.Running {
		if run := w.runs[r.Ref]; run != nil && (run.Number == r.Run || r.Run == 0) {
			isListed[r.Ref] = true
		}
	}
	for ref, run := range w.runs {
		if isListed[ref] || run.Phase == RunEnding {
			continue
		}
		stopConfirmed := !run.stopConfirmedAt.IsZero() && a.SentAt.After(run.stopConfirmedAt)
		startFencedOff := run.earlierIncarnation != 0 && a.SentAt.After(run.confirmedAt)
		if stopConfirmed && run.wasExecuting {
			// The worker has executed the run and lists no end. A late poll for its earlier incarnation may
			// have acknowledged the ends of this one, which then lists none of its next ends, either.
			f.addFailure(now, w, AvoidedFailures)
		}
		isResolved := run.Phase == RunUnknown || startFencedOff || stopConfirmed
		switch {
		case isResolved && f.mayBeExecutedLater(a.SentAt, run):
			f.proposeUnanswered(w, w.assignedIncarnation(run), ref, run)
			// The first poll that reaches a later incarnation fences off the start, even if it was sent before the
			// leader knew of that incarnation.
			w.raiseSerial()
		case isResolved:
			f.proposeNeverRan(w, w.assignedIncarnation(run), ref, run)
		case run.Phase == RunExecuting && a.SentAt.After(run.confirmedAt):
			run.stopRequested = true
		}
	}
}

// raiseSerial makes the worker refuse all orders that are in flight, once it has seen a later one.
func (w *Worker) raiseSerial() {
	w.serial++
	w.pollSuperseded = w.pollInFlight
}

// assignedIncarnation returns the incarnation to which the state assigns a run.
func (w *Worker) assignedIncarnation(run *Run) int64 {
	if run.earlierIncarnation != 0 {
		return run.earlierIncarnation
	}
	return w.Incarnation
}
