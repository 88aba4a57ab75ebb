package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Limits of orders, and the times for which a worker gets no new tasks after a failure.
const (
	// failuresBeforeBackoff is how many failures in a row make the leader avoid a worker. An
	// avoided worker gets no new tasks for a while.
	failuresBeforeBackoff = 2
	// minBackoff and maxBackoff bound how long a worker is avoided after failuresBeforeBackoff or
	// more failures. The time doubles with each further failure.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// noRoomBackoff is how long a worker is avoided after it has refused a task because it is full.
	noRoomBackoff = 200 * time.Millisecond
	// stallBackoff is how long a worker is avoided after a run on it has made no progress.
	stallBackoff = 3 * time.Second
	// failedStartBackoff is how long a worker is avoided after it has not answered a start, or has
	// refused one for another reason than lack of room.
	failedStartBackoff = 300 * time.Millisecond
	// overtakenStartPause is how long a worker gets no new tasks after it has refused a start that was overtaken or delayed.
	overtakenStartPause = 50 * time.Millisecond
	// maxFailingJobs limits the memory of Fleet.firstFailedOn: the map is cleared before it exceeds
	// this number of jobs.
	maxFailingJobs = 4096
	// stopResendPause is the pause between two orders to stop the same run.
	stopResendPause = 400 * time.Millisecond
)

// withheldGangs returns the gangs of which a member would start in an evacuated data centre. The others could not work
// without it. The data centre may have been evacuated by a later command of the same log entry.
func (f *Fleet) withheldGangs(s *tbflow.State, assignments []tbflow.Assignment) map[tbflow.TaskRef]bool {
	var gangs map[tbflow.TaskRef]bool
	for _, a := range assignments {
		w, step := f.workers[a.Worker], s.StepOf(a.Ref)
		if w == nil || step == nil || !step.Gang || !s.IsEvacuated(w.DataCentre) {
			continue
		}
		if gangs == nil {
			gangs = map[tbflow.TaskRef]bool{}
		}
		gangs[gangKey(a.Ref)] = true
	}
	return gangs
}

// handleAssignment orders the start of a run whose assignment is committed, unless its gang is withheld.
func (f *Fleet) handleAssignment(now time.Time, s *tbflow.State, a tbflow.Assignment, isWithheld bool) {
	j := s.Jobs[a.Ref.Job]
	if j == nil {
		return
	}
	t := s.AssignedRun(a.Worker, a.Ref)
	if t == nil || t.Run != a.Run {
		return
	}
	w := f.ensureWorker(a.Worker)
	if run := w.runs[a.Ref]; run != nil && run.Number == a.Run {
		// The assignment was committed twice, and its start is ordered.
		return
	}
	run := &Run{Number: a.Run, Phase: RunOrdered, Checkpoint: t.Checkpoint, Speed: FullSpeed, startSentAt: now, startUntil: now.Add(f.params.MaxOrderDelay), longRunning: j.Steps[a.Ref.Step].LongRunning, speculative: j.Steps[a.Ref.Step].Speculative}
	w.runs[a.Ref] = run
	if !w.registered || w.Incarnation != a.Incarnation || !w.lastClockReading.isKnown() || w.lapse == lapsing || f.isSilent(w.ID) {
		// No order is sent: either the intended incarnation no longer exists, or no lease can be
		// granted because its clock is unknown, its lease has to end or it is silent.
		f.proposeNeverRan(w, a.Incarnation, a.Ref, run)
		return
	}
	if isWithheld || s.IsEvacuated(w.DataCentre) {
		// The worker is not recorded in its data centre yet, or the data centre was evacuated before this order.
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "start withheld", Worker: w.ID, Ref: a.Ref, Run: a.Run,
			Detail: "the data centre of the worker, or of another member of the gang, is evacuated", Inputs: []any{"dataCentre", w.DataCentre}})
		f.proposeNeverRan(w, a.Incarnation, a.Ref, run)
		return
	}
	if used := s.Usage(w.ID).Reserved; !used.Fits(w.Capacity) {
		// The worker has reported a smaller capacity since the plan was made.
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "start withheld", Worker: w.ID, Ref: a.Ref, Run: a.Run,
			Detail: "the worker's capacity has shrunk", Inputs: []any{"used", used, "capacity", w.Capacity}})
		f.proposeNeverRan(w, a.Incarnation, a.Ref, run)
		return
	}
	w.fenceOffAck()
	f.observe(now, now, w, run, s.Crashes[a.Ref])
	f.trackStart(now, w, run, j.Steps[a.Ref.Step].BestEffort)
	f.addOrder(Start{
		Target: f.newTarget(w), Ref: a.Ref, Run: a.Run, Spec: j.Spec, Checkpoint: t.Checkpoint,
		LeaseEndMs: f.renewLease(now, w), Timeout: f.startTimeout(w),
	})
	f.reconcile(now, w)
}

// fenceOffAck raises the serial if a poll that acknowledges ends may still be executed. The worker
// then refuses that poll once it has seen any later order.
//
// After a restart under the same ID, a worker may get late orders that were sent before. If the
// worker executed a late start and then the late poll, it would discard the end of the new run
// before the leader has seen that end.
func (w *Worker) fenceOffAck() {
	if w.ackInFlight {
		w.raiseSerial()
		w.ackInFlight = false
	}
}

func (f *Fleet) proposeNeverRan(w *Worker, incarnation int64, ref tbflow.TaskRef, run *Run) {
	run.Phase = RunEnding
	f.output.Commands = append(f.output.Commands, tbflow.RecordEnds{Worker: w.ID, Incarnation: incarnation, Ends: []tbflow.End{
		{Ref: ref, Run: run.Number, Kind: tbflow.EndNeverRan},
	}})
}

// HandleStartAnswered handles the result of a Start.
func (f *Fleet) HandleStartAnswered(now time.Time, a StartAnswered) {
	f.noteReceived(now, a)
	w := f.workers[a.Worker]
	var run *Run
	if w != nil {
		run = w.runs[a.Ref]
	}
	if run != nil && run.Number != a.Run {
		run = nil
	}
	issuedAt := now
	if run != nil {
		issuedAt = run.startSentAt
	}
	f.noteRenewalResult(now, a.Worker, a.Outcome, issuedAt, a.SentBefore)
	if w == nil {
		return
	}
	f.trackAnswer(now, w, run, a)
	if run == nil {
		return
	}
	run.startReceived = run.startReceived || a.Outcome != Unconfirmed
	run.startUntil = f.executableUntil(run.startSentAt, a.SentBefore)
	if run.Phase == RunEnding {
		return
	}
	if w.Incarnation != a.Incarnation {
		f.reconcile(now, w)
		return
	}
	fromLaterIncarnation := w.lastClockReading.isBehind(run.startSentAt, a.ClockMs, f.params.ClockRateBound)
	if !fromLaterIncarnation {
		w.lastClockReading.update(now, run.startSentAt, a.ClockMs, f.params.ClockRateBound)
	}
	switch a.Outcome {
	case Accepted:
		if fromLaterIncarnation && !run.listed {
			f.markStartedByLaterIncarnation(now, w, a, run)
			break
		}
		w.LastHeardAt, w.answeredAt, w.unreachedAt = now, now, time.Time{}
		if run.Phase == RunOrdered {
			run.Phase, run.confirmedAt = RunExecuting, now
			run.noteExecuting(a.ClockMs)
			run.noteAccepted(now)
		}
	case Refused:
		f.handleStartRefused(now, w, a, run)
	case OtherWorker:
		f.markReplaced(now, w)
	case NotSent:
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "start not sent", Worker: w.ID, Ref: a.Ref, Run: a.Run, Detail: a.Cause})
		if IsUnsent(a.Cause) {
			w.unreachedAt = now
		}
		f.proposeNeverRan(w, w.Incarnation, a.Ref, run)
	case Unconfirmed:
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "start not answered", Worker: w.ID, Ref: a.Ref, Run: a.Run, Detail: a.Cause})
		if run.Phase == RunOrdered {
			run.Phase, run.stopRequested = RunUnconfirmed, true
		}
		switch a.Cause {
		case CauseNoResult:
		case CauseDisconnected:
			run.isConfirmed = true
			run.noteAccepted(run.startSentAt)
			w.noteDisconnect(now)
			w.avoidLonger(now.Add(failedStartBackoff), AvoidedUnansweredStart)
		default:
			f.noteTimeout(now, w, run.startSentAt)
			w.avoidLonger(now.Add(failedStartBackoff), AvoidedUnansweredStart)
		}
	}
	f.reconcile(now, w)
}

// markStartedByLaterIncarnation marks a run as unconfirmed and to be stopped, because an
// incarnation that the leader does not know yet accepted its start.
//
// Lease expiries in orders to the earlier incarnation are times on the earlier clock. The clock of
// the later incarnation may take long to reach these times. If the later incarnation executes such
// an order late, the run may outlast the lease that the leader assumes.
func (f *Fleet) markStartedByLaterIncarnation(now time.Time, w *Worker, a StartAnswered, run *Run) {
	f.output.LogEvents = append(f.output.LogEvents, LogEvent{
		Message: "start accepted by a later life", Worker: w.ID, Ref: a.Ref, Run: a.Run,
		Inputs: []any{"clockMs", a.ClockMs, "knownClockMs", w.lastClockReading.valueMs},
	})
	run.Phase, run.earlierIncarnation, run.confirmedAt, run.stopRequested = RunUnconfirmed, w.Incarnation, now, true
}

func (f *Fleet) handleStartRefused(now time.Time, w *Worker, a StartAnswered, run *Run) {
	f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "start refused", Worker: w.ID, Ref: a.Ref, Run: a.Run, Detail: a.Cause})
	w.unreachedAt = time.Time{}
	switch a.Cause {
	case CauseNoRoom:
		w.avoid(now.Add(noRoomBackoff), AvoidedNoRoom)
	case CauseFence, CauseLate, CauseOld:
		// The order was overtaken or delayed on its way, which says nothing about the worker. The pause bounds how often
		// starts that are refused again and again are tried.
		w.avoidLonger(now.Add(overtakenStartPause), AvoidedRefusedStart)
	default:
		w.avoidLonger(now.Add(failedStartBackoff), AvoidedRefusedStart)
		f.addFailure(now, w, AvoidedRefusedStart)
	}
	f.proposeNeverRan(w, w.Incarnation, a.Ref, run)
}

// Causes that the fleet tells from others.
const (
	// CauseNoRoom is the cause of a refusal for lack of capacity.
	CauseNoRoom = "noRoom"
	// CauseLate is the cause of a refusal of a start whose lease had expired when the start arrived.
	CauseLate = "late"
	// CauseOld is the cause of a refusal of a run that is not higher than one that was stopped or has ended there.
	CauseOld = "old"
	// CauseDisconnected is the cause of an unconfirmed start or poll if the worker closed the connection
	// before it answered.
	CauseDisconnected = "disconnected"
	// CauseConnectTimeout is the cause of an order that was not sent, because no connection to the worker was
	// established in time.
	CauseConnectTimeout = "connectTimeout"
	// CauseConnectRefused is the cause of an order that was not sent, because nothing listens at the worker's address.
	CauseConnectRefused = "connectRefused"
	// CauseConnectFailed is the cause of an order that was not sent for any other reason.
	CauseConnectFailed = "connectFailed"
	// CauseSenderPaused is the cause of an order that was not sent, because the sending process did not run in time. It says
	// nothing about the worker.
	CauseSenderPaused = "senderPaused"
	// CauseTimeout is the cause of an unconfirmed order that was not answered in time.
	CauseTimeout = "timeout"
	// CauseStatus begins the other causes of a refusal, which have the status of the response and the reason in it, if
	// any, as in "status 409 ticket".
	CauseStatus = "status "
	// CauseFence is the cause of a refusal of an order whose token is lower than one that the worker has seen.
	CauseFence = "fence"
	// CauseNoResult is the cause of an unconfirmed order of which the relay that got it returned no result. It says
	// nothing about the worker.
	CauseNoResult = "no result from the relay"
)

// IsUnsent reports whether the cause of an order that was not executed is that no connection to the worker was established.
func IsUnsent(cause string) bool {
	return cause == CauseConnectTimeout || cause == CauseConnectRefused || cause == CauseConnectFailed
}

// addFailure adds a failure to the worker's count. After repeated failures, the worker is avoided
// for a while.
func (f *Fleet) addFailure(now time.Time, w *Worker, reason UnusableReason) {
	w.Failures++
	w.backOff(now, reason)
}

// backOff avoids a worker after a failure, if there were enough in a row.
func (w *Worker) backOff(now time.Time, reason UnusableReason) {
	if w.Failures < failuresBeforeBackoff {
		return
	}
	doublings := min(w.Failures-failuresBeforeBackoff, 3)
	w.avoid(now.Add(min(minBackoff<<doublings, maxBackoff)), reason)
}

// attributeFailure counts a failed run as a failure of the worker, unless the job failed first on
// another worker.
//
// A job that cannot succeed fails on every worker that gets one of its tasks. If all these workers
// were blamed, a few such jobs would make the leader avoid the whole pool. Failures of one job on a single worker
// do not tell which of the two is faulty. They make the leader avoid the worker, so that it does not get all tasks of
// the job, but not for longer with each failure, because the job may have no other worker.
func (f *Fleet) attributeFailure(now time.Time, w *Worker, job string) {
	firstWorker, hasFailed := f.firstFailedOn[job]
	switch {
	case !hasFailed:
		if len(f.firstFailedOn) >= maxFailingJobs {
			clear(f.firstFailedOn)
		}
		f.firstFailedOn[job] = w.ID
	case firstWorker != w.ID:
		return
	case w.Failures >= failuresBeforeBackoff:
		w.backOff(now, AvoidedFailures)
		return
	}
	f.addFailure(now, w, AvoidedFailures)
}

// Stop orders the worker to stop a run. The order is resent until the leader proposes to record an
// end of the run, or until the worker restarts.
func (f *Fleet) Stop(now time.Time, worker string, ref tbflow.TaskRef) {
	w := f.workers[worker]
	if w == nil || w.runs[ref] == nil || w.runs[ref].stopRequested {
		return
	}
	w.runs[ref].stopRequested = true
	f.reconcile(now, w)
}

// StopStalled stops a run that makes no progress. Its worker gets no new tasks for a while.
func (f *Fleet) StopStalled(now time.Time, worker string, ref tbflow.TaskRef) {
	w := f.workers[worker]
	if w == nil || w.runs[ref] == nil || w.runs[ref].stopRequested {
		return
	}
	w.avoidLonger(now.Add(stallBackoff), AvoidedStalledRun)
	f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "run stands still", Worker: w.ID, Ref: ref, Run: w.runs[ref].Number})
	f.Stop(now, worker, ref)
}

// HandleStopAnswered handles the result of a Stop.
func (f *Fleet) HandleStopAnswered(now time.Time, a StopAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.runs[a.Ref] == nil || w.runs[a.Ref].Number != a.Run || w.Incarnation != a.Incarnation {
		return
	}
	switch a.Outcome {
	case Accepted:
		if run := w.runs[a.Ref]; run.stopConfirmedAt.IsZero() {
			run.stopConfirmedAt = now
		}
	case OtherWorker:
		f.markReplaced(now, w)
	}
	f.reconcile(now, w)
}

// HandleApplied updates the view after a command was applied to the state.
func (f *Fleet) HandleApplied(now time.Time, s *tbflow.State, c tbflow.Command) {
	switch c := c.(type) {
	case tbflow.Assign:
		withheld := f.withheldGangs(s, c.Assignments)
		for _, a := range c.Assignments {
			f.handleAssignment(now, s, a, withheld[gangKey(a.Ref)])
		}
	case tbflow.AssignCopies:
		for _, a := range c.Assignments {
			f.handleAssignment(now, s, a, false)
		}
	case tbflow.RecordEnds:
		for _, e := range c.Ends {
			f.updateOutstanding(now, s, e.Ref)
		}
		f.handleRecordedEnds(now, s, c.Worker, c.Incarnation)
		for _, e := range c.Ends {
			f.stopUnneededCopy(now, s, e.Ref)
		}
	case tbflow.RecordUnanswered:
		for _, r := range c.Runs {
			f.updateOutstanding(now, s, r.Ref)
		}
		f.handleRecordedEnds(now, s, c.Worker, c.Incarnation)
	case tbflow.RecordSilenceEnded:
		delete(f.silences, c.Worker)
		if w := f.workers[c.Worker]; w != nil {
			// The lease may be renewed again.
			f.reconcile(now, w)
		}
	case tbflow.RecordSettled:
		for _, settled := range c.Starts {
			f.updateOutstanding(now, s, settled.Ref)
		}
	}
}

// handleRecordedEnds removes the runs that the state no longer assigns to the worker, and updates
// the number of the last recorded end.
func (f *Fleet) handleRecordedEnds(now time.Time, s *tbflow.State, id string, incarnation int64) {
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
		if t := s.AssignedRun(id, ref); t == nil || t.Run != run.Number {
			if run.isUnanswered {
				// The start may have been recorded as outstanding by a later command of the same log entry.
				f.updateOutstanding(now, s, ref)
			}
			delete(w.runs, ref)
		}
	}
	w.updateObservedUntil()
	if w.Incarnation == incarnation {
		if r := s.Workers[id]; r != nil && r.Incarnation == incarnation {
			w.lastRecordedEnd = max(w.lastRecordedEnd, r.LastRecordedEnd)
		}
	}
	if !w.registered && !w.signedOff && len(w.runs) == 0 {
		f.removeWorker(now, w)
		return
	}
	f.reconcile(now, w)
}
