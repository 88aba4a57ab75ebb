package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// Fleet is the leader's view of all workers.
type Fleet struct {
	params  Params
	term    uint64
	workers map[string]*Worker
	// sortedWorkers holds the values of workers, sorted by ID.
	sortedWorkers []*Worker
	// workersByAddress holds the workers at each address, sorted by ID. Workers that are not
	// registered are included.
	workersByAddress map[string][]*Worker
	// nextSerial is the initial Worker.serial of a new worker. It is higher than the serial of any
	// removed worker.
	nextSerial uint64
	// removedAt holds the time at which each worker was removed. The entry is deleted once no order
	// to that worker can be in flight any more.
	removedAt map[string]time.Time
	// firstFailedOn holds, for each failing job, the worker on which a run of the job failed first.
	firstFailedOn map[string]string
	// crashesByAddress holds the recent crashes of the workers at each address that this leader knows of.
	crashesByAddress map[string]machineCrashes
	// pollPermits holds the polls in flight to unreached workers, see isUnreached.
	pollPermits map[incarnationKey]bool
	// lastPermitIndex is the index in sortedWorkers of the worker that last got a released permit.
	lastPermitIndex int
	// savesPolls is set by SavePolls.
	savesPolls bool
	// answers estimates how long starts take to be answered.
	answers answerTimes
	// bestEffortStarts holds the runs of best-effort tasks in the order of their starts, from the oldest one that
	// may be under way. bestEffortUnderWay is the number of those that are.
	bestEffortStarts   []*Run
	bestEffortUnderWay int
	outstanding        outstandingStarts
	output             Output
}

// Worker is the leader's view of one incarnation of a worker.
type Worker struct {
	Report
	// LastHeardAt is the time of the last report, accepted start or answered poll. TakeOver sets
	// LastHeardAt so far into the past that the worker gets no new tasks until the worker is heard
	// from.
	LastHeardAt time.Time
	// Failures is the number of failures since the last run that ended successfully. Failed runs
	// are failures, unless their job failed first on another worker. Refused starts are failures,
	// unless the worker lacked room.
	Failures int
	// AvoidUntil is the time before which the worker gets no new tasks.
	AvoidUntil time.Time
	// CapacityKnownAt is the latest time at which the worker can have sent the newest report that this leader
	// received. The capacity may have changed since. It is zero before the first report.
	CapacityKnownAt time.Time
	// Strays are the tasks that the worker executes without an assignment, as far as the last poll answer
	// tells. They are being stopped, and occupy capacity until they have ended.
	Strays []Stray
	// ObservedUntil is the time before which the worker gets no new tasks because a task that may crash
	// workers is observed there. It is zero if none is.
	ObservedUntil time.Time
	// Unresponsive is true if the last poll failed: there was no answer, or the worker refused a
	// poll that was not superseded.
	Unresponsive bool

	// registered is true from the first report until the worker signs off or is replaced. A
	// takeover sets registered without a report if the worker's address is recorded.
	registered bool
	// hasAnswered is true once this incarnation has answered a poll of this leader.
	hasAnswered bool
	// replaced is true once another worker has the address. The other worker refuses orders for
	// this ID.
	replaced bool
	// serial is the low part of the token. A worker that has seen an order with a higher serial
	// refuses orders with a lower one. The serial of an ID never decreases, not even if the worker
	// is removed and returns.
	serial uint64
	// needsFence is true until this incarnation has accepted a poll. The token of that poll makes
	// the worker refuse orders in flight to an earlier incarnation.
	needsFence bool
	// lastClockReading is the newest reading of the worker's clock.
	lastClockReading clockReading
	// leaseRenewalSentAt is when this leader last sent an order that renews the lease, to this
	// incarnation or an earlier one.
	leaseRenewalSentAt time.Time
	// leaseEndMs is the lease expiry that was ordered last, on the worker's clock.
	leaseEndMs int64
	// leaseExpiresAt is the time on the leader's clock at which all leases granted by any leader
	// are assumed to have expired.
	leaseExpiresAt time.Time
	// lastRecordedEnd is the number of the last end that is recorded in the state.
	lastRecordedEnd uint64
	// lastProposedEnd is the number of the last end that this leader has proposed to record.
	lastProposedEnd uint64
	// lastAckedEnd is the highest end number that an accepted poll has acknowledged.
	lastAckedEnd uint64
	pollInFlight bool
	// nextPollAt is the earliest time of the next poll.
	nextPollAt time.Time
	// ackInFlight is true while the worker may still execute a poll that acknowledges ends and
	// carries the current serial.
	ackInFlight bool
	// pollSuperseded is true once the serial is higher than that of the poll in flight.
	pollSuperseded bool
	// nextResendAt is the earliest time at which an order to the worker other than a poll may have to be sent, as
	// long as the worker answers. Each tick before it passes the worker over while a poll is in flight.
	nextResendAt time.Time
	// listsAll is true if the newest poll answer had complete lists. unreadable holds the tasks of entries in it
	// that cannot be read.
	listsAll   bool
	unreadable []tbflow.TaskRef
	// unassignedEnds holds the runs of outstanding starts whose ends the newest poll answer has shown and that were
	// not recorded before.
	unassignedEnds []tbflow.RunRef
	// lapse says whether the lease of the worker has to end, see Fleet.handleOvertaken.
	lapse lapseState
	// listsEndOfBoundGang is set from the newest poll answer, see Fleet.listsEndOfBoundGang.
	listsEndOfBoundGang bool
	// unackedEndCount is the number of ends in the last poll answer that were already recorded, but
	// not yet acknowledged.
	unackedEndCount int
	// disconnectedAt is when the worker first closed a connection since it last answered a poll, or zero. If
	// the worker has crashed, it did so then.
	disconnectedAt time.Time
	// unansweredStarts is the number of starts without a result. unansweredSince is the earliest time from which
	// the worker may have left one unanswered.
	unansweredStarts int
	unansweredSince  time.Time
	// lostRuns are the runs that were given up in silence, as long as this incarnation stays silent.
	lostRuns []tbflow.CrashedRun
	runs     map[tbflow.TaskRef]*Run
}

// Run is a run that executes or may execute at a worker.
type Run struct {
	Number      uint64
	Phase       RunPhase
	Checkpoint  string
	Progress    int
	Measurement int64
	// ListedAt is when a poll answer last listed the run as running.
	ListedAt time.Time
	// ProgressAt is when the progress last changed. While the speed is below FullSpeed, unknown or
	// unconfirmed, each poll answer that lists the run also sets ProgressAt, so that a slow run
	// does not seem stalled.
	ProgressAt time.Time
	// Speed is the ordered speed in percent.
	Speed int
	// SpeedUnknown is true while an earlier leader may have ordered another speed.
	SpeedUnknown bool

	// speedSentAt is when the speed was last ordered.
	speedSentAt time.Time
	// speedUnconfirmed is true until the worker has confirmed the ordered speed.
	speedUnconfirmed bool
	// unansweredSpeeds holds the unanswered orders of speeds that may still be executed.
	unansweredSpeeds []unansweredSpeed

	// earlierIncarnation is 0 unless a later incarnation than the assigned one may execute the run.
	// In that case, earlierIncarnation is the incarnation to which the state assigns the run.
	earlierIncarnation int64
	// listed is true once the incarnation to which the start was addressed has listed the run as
	// running in a poll answer.
	listed bool
	// startReceived is true once a worker is known to have executed or refused the start, or if the start was not
	// sent. It is then not executed later.
	startReceived bool
	// isUnanswered is true once it is proposed to record the start as outstanding.
	isUnanswered bool
	// longRunning is true for a run of a long-running task. speculative is true if several runs of the task may
	// execute at the same time.
	longRunning bool
	speculative bool
	// startSentAt is when the start was ordered, or the time of the takeover if an earlier leader
	// ordered it.
	startSentAt time.Time
	// confirmedAt is the later of two times: when the start was accepted, and when the newest poll
	// was sent whose answer listed the run as running.
	confirmedAt time.Time
	// isConfirmed is true if the worker is known to have received the start: it has accepted the start,
	// listed the run, or closed the connection instead of answering.
	isConfirmed bool
	// acceptedAt is when the worker is first known to have executed the run, or zero.
	acceptedAt time.Time
	// executingSinceMs and executingUntilMs are the first and the newest time, on the worker's clock, at
	// which the run is known to have been executing. Both are 0 if there is none. earlierRunTime is how long
	// the run is known to have executed before this leader's term, and timeBeforeTerm how long it was
	// assigned before.
	executingSinceMs int64
	executingUntilMs int64
	earlierRunTime   time.Duration
	timeBeforeTerm   time.Duration
	// observation is how long the run has to execute until it is proven. It is 0 for a task without crashes
	// and for a proven run.
	observation time.Duration
	// observedUntil is the time until which the worker is closed to other tasks because of this run, or
	// zero.
	observedUntil time.Time
	// isUnderWay is true for a best-effort run whose start is neither answered nor overdue.
	isUnderWay bool
	// stopRequested is true once the run is to be stopped.
	stopRequested bool
	// stopSentAt is when the stop was last ordered.
	stopSentAt time.Time
	// stopConfirmedAt is when the worker first confirmed the stop.
	stopConfirmedAt time.Time
}

// RunPhase is the leader's knowledge of a run at its worker.
type RunPhase uint8

// Phases of a run at its worker.
const (
	// RunUnknown means that an earlier leader may have ordered the run. No poll answer has shown
	// yet whether the worker executes it.
	RunUnknown RunPhase = iota
	// RunOrdered means that the start is in flight.
	RunOrdered
	// RunUnconfirmed means that the start is unconfirmed and may still be executed.
	RunUnconfirmed
	// RunExecuting means that the worker accepted or listed the run.
	RunExecuting
	// RunEnding means that an end is proposed but not yet recorded.
	RunEnding
)

// serialBits is the number of low bits of a token that hold the serial. JSON readers represent only
// integers of up to 53 bits exactly, which leaves 25 bits for the leader's term.
const serialBits = 28

// FullSpeed is the initial speed of a run, in percent.
const FullSpeed = 100

// New returns a fleet for the leader of a term. The term must be higher than that of any earlier
// leader, because it is the high part of the fencing tokens.
func New(params Params, term uint64) *Fleet {
	return &Fleet{params: params, term: term, workers: map[string]*Worker{}, workersByAddress: map[string][]*Worker{}, removedAt: map[string]time.Time{}, firstFailedOn: map[string]string{}, crashesByAddress: map[string]machineCrashes{}, pollPermits: map[incarnationKey]bool{}, outstanding: newOutstandingStarts()}
}

// TakeOver loads the recorded workers and the runs that the state assigns to workers.
//
// A run that no worker has listed may still be in flight as a start, and a later incarnation may
// execute that start. The earlier leader may have sent orders that renew the lease until now. The
// waits for such a run, and for an outstanding start, therefore begin now, not at the start.
func (f *Fleet) TakeOver(now time.Time, s *tbflow.State) {
	for ref := range s.Outstanding {
		f.updateOutstanding(now, s, ref)
	}
	for id, r := range s.Workers {
		w := f.ensureWorker(id)
		if l := s.Lost[id]; l.Incarnation == r.Incarnation {
			w.lostRuns = l.Runs
		}
		w.Incarnation, w.lastRecordedEnd, w.lastProposedEnd, w.Draining = r.Incarnation, r.LastRecordedEnd, r.LastRecordedEnd, r.Draining
		if r.Address != "" {
			f.setAddress(w, r.Address)
			w.Class, w.DataCentre, w.Rack = r.Class, r.DataCentre, r.Rack
			w.Labels, w.Capacity = r.Labels, r.Capacity
			// The worker gets new tasks only once it has answered a poll.
			w.registered, w.needsFence = true, true
			w.LastHeardAt = now.Add(-f.params.SilenceTimeout)
		}
	}
	for _, id := range s.BusyWorkers() {
		w := f.ensureWorker(id)
		w.leaseExpiresAt = now.Add(f.maxLeaseDuration(f.params.MaxLease))
		w.leaseRenewalSentAt = now
		earlierRuns := map[int64][]tbflow.CrashedRun{}
		s.EachRun(id, func(ref tbflow.TaskRef, t *tbflow.Task) {
			run := &Run{Number: t.Run, Checkpoint: t.Checkpoint, Speed: FullSpeed, startSentAt: now, listed: s.IsListed(ref, t.Run)}
			if step := s.StepOf(ref); step != nil {
				run.SpeedUnknown, run.longRunning, run.speculative = step.BestEffort, step.LongRunning, step.Speculative
			}
			w.runs[ref] = run
			age := time.Duration(s.NowMs-t.AssignedMs) * time.Millisecond
			run.restoreRunTime(age, f.params.MaxLease)
			if t.Incarnation < w.Incarnation {
				earlierRuns[t.Incarnation] = append(earlierRuns[t.Incarnation], w.crashedRun(ref, run))
			} else {
				f.observe(now, now.Add(-age), w, run, s.Crashes[ref])
			}
			switch {
			case t.Incarnation < w.Incarnation && run.listed:
				// The run has ended with the earlier incarnation, which executed it.
				run.Phase = RunEnding
				f.output.Commands = append(f.output.Commands, tbflow.RecordEnds{Worker: id, Incarnation: t.Incarnation, Ends: []tbflow.End{
					{Ref: ref, Run: t.Run, Kind: tbflow.EndStopped, Checkpoint: t.Checkpoint},
				}})
			case t.Incarnation < w.Incarnation:
				run.Phase, run.earlierIncarnation = RunUnconfirmed, t.Incarnation
			}
		})
		f.recordEarlierCrash(w, earlierRuns)
	}
}

// maxLeaseDuration returns the longest time that a lease of length d can last on a slow clock, plus
// a margin of 50 ms.
func (f *Fleet) maxLeaseDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-f.params.ClockRateBound)) + 50*time.Millisecond
}

func (f *Fleet) ensureWorker(id string) *Worker {
	w := f.workers[id]
	if w == nil {
		w = &Worker{Report: Report{ID: id}, serial: f.nextSerial, runs: map[tbflow.TaskRef]*Run{}}
		_, w.needsFence = f.removedAt[id]
		w.needsFence = w.needsFence || len(f.outstanding.byWorker[id]) > 0
		f.workers[id] = w
		at, _ := f.indexOf(id)
		f.sortedWorkers = slices.Insert(f.sortedWorkers, at, w)
	}
	return w
}

// indexOf returns the index of the worker in f.sortedWorkers, and whether the worker is there. If
// not, the index is where the worker would be inserted.
func (f *Fleet) indexOf(id string) (int, bool) {
	return searchByID(f.sortedWorkers, id)
}

// removeWorker removes a worker. If the ID reappears, its tokens have a higher serial than before.
// Orders to the removed worker may still be in flight then. A poll must fence off these orders
// before the worker gets new tasks.
func (f *Fleet) removeWorker(now time.Time, w *Worker) {
	if at, ok := f.indexOf(w.ID); ok {
		f.sortedWorkers = slices.Delete(f.sortedWorkers, at, at+1)
	}
	delete(f.workers, w.ID)
	f.setAddress(w, "")
	f.removedAt[w.ID] = now
	f.nextSerial = max(f.nextSerial, w.serial+1)
}

// TakeOutput returns the output since the last call and clears it.
func (f *Fleet) TakeOutput() Output {
	out := f.output
	f.output = Output{}
	return out
}

// Worker returns the view of a worker. It returns nil if the worker has signed off, was replaced, or
// was removed after a long silence. It also returns nil if the worker has not reported yet and no
// address of the worker is recorded.
func (f *Fleet) Worker(id string) *Worker {
	if w := f.workers[id]; w != nil && w.registered {
		return w
	}
	return nil
}

// Workers returns the workers for which Worker does not return nil, sorted by ID.
func (f *Fleet) Workers() []*Worker {
	all := make([]*Worker, 0, len(f.sortedWorkers))
	for _, w := range f.sortedWorkers {
		if w.registered {
			all = append(all, w)
		}
	}
	return all
}

// Size returns the number of workers in the fleet, including those that are not registered.
func (f *Fleet) Size() int { return len(f.sortedWorkers) }

// WorkerAt returns the worker at an index of the list of all workers, which is sorted by ID, or nil
// if that worker is not registered. The index has to be less than Size.
func (f *Fleet) WorkerAt(index int) *Worker {
	if w := f.sortedWorkers[index]; w.registered {
		return w
	}
	return nil
}

// removeSilentAfter is the time without contact after which a worker without runs is removed.
const removeSilentAfter = 15 * time.Second

// removeSilent removes workers that were not heard from for longer than removeSilentAfter. Workers
// with runs or with recorded ends that are not acknowledged are kept.
func (f *Fleet) removeSilent(now time.Time) {
	for _, w := range slices.Clone(f.sortedWorkers) {
		if len(w.runs) == 0 && w.lastAckedEnd >= w.lastRecordedEnd && now.Sub(w.LastHeardAt) > removeSilentAfter {
			f.removeWorker(now, w)
			f.output.Commands = append(f.output.Commands, tbflow.RemoveWorker{Worker: w.ID, Incarnation: w.Incarnation})
		}
	}
	f.removeOldCrashes(now)
	for id, at := range f.removedAt {
		if now.Sub(at) > f.params.MaxOrderDelay {
			delete(f.removedAt, id)
		}
	}
}

// maxUnackedEnds is the number of recorded ends in a poll answer at which the worker gets no new
// tasks. No ends are acknowledged while a start is unconfirmed. Without the limit, a steady flow of
// starts could fill the list of ends, whose length is limited.
const maxUnackedEnds = 100

// Usable reports whether the worker may get a new task now.
func (f *Fleet) Usable(w *Worker, now time.Time) bool {
	return w.registered && !w.Draining && !w.Unresponsive && !w.needsFence && w.lapse != lapsing && w.lastClockReading.isKnown() &&
		w.unackedEndCount < maxUnackedEnds && now.Sub(w.LastHeardAt) < f.params.SilenceTimeout && !now.Before(w.AvoidUntil) &&
		!now.Before(w.ObservedUntil) && !f.hasOverdueStart(w, now)
}

// EachRun calls visit for each run of the worker, in no particular order.
func (w *Worker) EachRun(visit func(ref tbflow.TaskRef, r *Run)) {
	for ref, r := range w.runs {
		visit(ref, r)
	}
}

// Run returns the leader's view of a task's run at this worker, or nil if there is none.
func (w *Worker) Run(ref tbflow.TaskRef) *Run { return w.runs[ref] }

// HandleReport handles a worker's report. It returns false if the report is outdated, or if a
// worker with a later incarnation has the reported address.
func (f *Fleet) HandleReport(now time.Time, r Report) bool {
	w := f.ensureWorker(r.ID)
	if r.Incarnation < w.Incarnation || w.registered && r.Incarnation == w.Incarnation && r.Sequence <= w.Sequence {
		return false
	}
	for _, other := range f.workersByAddress[r.Address] {
		if other != w && other.registered {
			if other.Incarnation > r.Incarnation {
				return false
			}
			f.markReplaced(now, other)
		}
	}
	f.setAddress(w, r.Address)
	if w.Incarnation != 0 && r.Incarnation > w.Incarnation {
		f.handleRestart(now, w, r)
	}
	wasDraining := w.Draining && w.Incarnation == r.Incarnation
	w.Report = r
	w.Draining = r.Draining || wasDraining
	w.registered = true
	w.LastHeardAt = now
	w.CapacityKnownAt = w.sentAt(now, r, f.params.ClockRateBound)
	w.lastClockReading.update(now, time.Time{}, r.ClockMs, f.params.ClockRateBound)
	f.reconcile(now, w)
	return true
}

// sentAt returns when a report that arrives now was sent, as far as the worker's clock tells. A report may
// be delayed, and the capacity in it may be outdated.
func (w *Worker) sentAt(now time.Time, r Report, rateBound float64) time.Time {
	clockMs, ok := w.lastClockReading.lowestPossibleMs(now, rateBound)
	if !ok || r.ClockMs == 0 {
		return now
	}
	return now.Add(-time.Duration(max(0, clockMs-r.ClockMs)) * time.Millisecond)
}

// KnowsCapacity reports whether the worker has reported its capacity lately.
func (f *Fleet) KnowsCapacity(w *Worker, now time.Time) bool {
	return now.Sub(w.CapacityKnownAt) < f.params.SilenceTimeout
}

// HandleSignOff handles the message that a drained worker has signed off.
//
// The message does not name the incarnation. If the worker is not draining, it has restarted since
// the sign-off, and the message is ignored.
//
// If the message gets no answer, the worker continues to execute its runs for a while. The runs are
// therefore given up only when the lease has expired.
func (f *Fleet) HandleSignOff(now time.Time, id string) {
	if w := f.workers[id]; w != nil && w.Draining {
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker signs off", Worker: id, Inputs: w.leaseLogInputs(now)})
		w.registered = false
		f.reconcile(now, w)
	}
}

// markReplaced marks a worker as replaced by another one at the same address. It gives up the runs
// that are assigned to the current incarnation of the replaced worker.
func (f *Fleet) markReplaced(now time.Time, w *Worker) {
	f.handleCrash(now, w, "another worker answers at its address")
	w.replaced, w.registered = true, false
	w.leaseExpiresAt = now
	f.giveUpRuns(now, w, "another worker answers at its address")
}

// giveUpRuns gives up the runs of a worker that was replaced or whose lease has expired.
//
// The start of a run that no poll answer has listed may still be in flight. A later incarnation
// with the same ID could execute that start, because the new clock may be below the lease expiry in
// the start. Such a run is therefore kept until latestRunEnd.
//
// If the worker was replaced, its runs are given up at once, because its incarnations have ended. The starts
// that were not answered are outstanding.
func (f *Fleet) giveUpRuns(now time.Time, w *Worker, cause string) {
	cmd := tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation}
	var lost []tbflow.CrashedRun
	for ref, r := range w.runs {
		if r.Phase == RunEnding || !w.replaced && (r.earlierIncarnation != 0 || r.mayBeAtLaterIncarnation() && now.Before(f.latestRunEnd(w, r))) {
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

// mayBeAtLaterIncarnation reports whether the run may be at a later incarnation than the start was
// addressed to.
//
// If the intended incarnation has listed the run, the run is not at a later one, because a poll
// answer names the incarnation that sent it. An accepted start does not prove that, because its
// answer names no incarnation and has only a reading of the clock.
func (r *Run) mayBeAtLaterIncarnation() bool {
	return r.Phase != RunEnding && !r.listed
}

// latestRunEnd returns the latest time at which the run may execute, even on an unreachable worker.
//
// If the run is executing, this is the end of a lease of MaxLease granted at confirmedAt.
//
// Otherwise, the start may be executed up to MaxOrderDelay after it was sent. The run then has a
// lease of at most MaxLease. A later incarnation that executes the start may also execute the last
// order that renews the lease. If that order was sent after the start, MaxOrderDelay and the lease
// are therefore counted from that order.
func (f *Fleet) latestRunEnd(w *Worker, r *Run) time.Time {
	if r.Phase == RunExecuting {
		return r.confirmedAt.Add(f.maxLeaseDuration(f.params.MaxLease))
	}
	return maxTime(r.startSentAt, w.leaseRenewalSentAt).Add(f.params.MaxOrderDelay + f.maxLeaseDuration(f.params.MaxLease))
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
		Report: r, runs: keptRuns, LastHeardAt: now, serial: w.serial + 1, needsFence: true, leaseRenewalSentAt: w.leaseRenewalSentAt,
	}
}

// renewLease records that an order renews the lease now. It returns the new expiry on the worker's
// clock, or 0 while that clock is unknown.
//
// An order may be executed seconds after it was sent. If it named a duration, the lease would then
// last longer than the leader assumes. The expiry is therefore an absolute time on the worker's
// clock, counted from the lowest value that the clock can show now.
func (f *Fleet) renewLease(now time.Time, w *Worker) int64 {
	clockMs, ok := w.lastClockReading.lowestPossibleMs(now, f.params.ClockRateBound)
	if !ok {
		return 0
	}
	w.leaseRenewalSentAt = now
	for _, o := range f.outstanding.byWorker[w.ID] {
		o.renewedAt = now
	}
	w.leaseEndMs = clockMs + f.params.Lease.Milliseconds()
	w.leaseExpiresAt = maxTime(w.leaseExpiresAt, now.Add(f.maxLeaseDuration(f.params.Lease)))
	return w.leaseEndMs
}

// leaseLogInputs returns the leader's knowledge of a worker's lease, for the log.
func (w *Worker) leaseLogInputs(now time.Time) []any {
	return []any{
		"leaseEndMs", w.leaseEndMs, "clockMs", w.lastClockReading.valueMs, "clockAgeMs", w.lastClockReading.age(now).Milliseconds(),
		"lapsesInMs", w.leaseExpiresAt.Sub(now).Milliseconds(),
	}
}

func (f *Fleet) newTarget(w *Worker) Target {
	return Target{ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Token: f.term<<serialBits | w.serial}
}

func (f *Fleet) addOrder(o Order) { f.output.Orders = append(f.output.Orders, o) }
