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
	permits     permitWindow
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
	// renewals holds, for each worker ID, what is known of the orders that renew its lease.
	renewals map[string]*renewals
	// silences holds the silences of workers, by ID.
	silences map[string]*silence
	// takenOverAt is the time of the takeover.
	takenOverAt time.Time
	output      Output
}

// Worker is the leader's view of one incarnation of a worker.
type Worker struct {
	Report
	// LastHeardAt is the time of the last report, accepted start or answered poll. TakeOver sets
	// LastHeardAt so far into the past that the worker gets no new tasks until the worker is heard
	// from.
	LastHeardAt time.Time
	// Failures is the number of failures since the last run that ended successfully, or the last
	// long-running task that finished its start-up. Failed runs are failures, unless their job failed
	// first on another worker. Starts that the worker refused are failures, unless it lacked room or the
	// start was overtaken or delayed on its way.
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

	// avoidReason says why the worker gets no new tasks before AvoidUntil.
	avoidReason UnusableReason
	// unreachedAt is when the worker was last found not to be reached by a start. It is zero once the worker has
	// answered an order since.
	unreachedAt time.Time
	// answeredAt is when this incarnation last answered a poll of this leader or accepted a start, or zero. pollsFailFrom is when
	// the first of the polls since was sent that have failed.
	answeredAt    time.Time
	pollsFailFrom time.Time
	// registered is true from the first report until the worker signs off or is replaced. A
	// takeover sets registered without a report if the worker's address is recorded.
	registered bool
	// hasAnswered is true once this incarnation has answered a poll of this leader.
	hasAnswered bool
	// signedOff is true once the incarnation has signed off. It may execute its runs until its lease expires.
	signedOff bool
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
	// renewalAnsweredFrom is when the last answered poll that renews the lease was issued.
	renewalAnsweredFrom time.Time
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
	// pollWasLost is true if the relay that got the last poll returned no result, until a poll is answered.
	pollWasLost bool
	// pollWait is how long the worker may hold the last poll open.
	pollWait time.Duration
	// answers estimates how long orders to the worker take to be answered. backedOffTimeout is their timeout after one without an
	// answer, or 0, and backedOffAt is when it last changed.
	answers          timeEstimate
	backedOffTimeout time.Duration
	backedOffAt      time.Time
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

// serialBits is the number of low bits of a token that hold the serial. JSON readers represent only
// integers of up to 53 bits exactly, which leaves 25 bits for the leader's term.
const serialBits = 28

// New returns a fleet for the leader of a term. The term must be higher than that of any earlier
// leader, because it is the high part of the fencing tokens.
func New(params Params, term uint64) *Fleet {
	return &Fleet{params: params, term: term, workers: map[string]*Worker{}, workersByAddress: map[string][]*Worker{}, removedAt: map[string]time.Time{}, firstFailedOn: map[string]string{}, crashesByAddress: map[string]machineCrashes{}, pollPermits: map[incarnationKey]bool{}, outstanding: newOutstandingStarts(), renewals: map[string]*renewals{}, silences: map[string]*silence{}}
}

// TakeOver loads the recorded workers and the runs that the state assigns to workers.
//
// A run that no worker has listed may still be in flight as a start, and a later incarnation may
// execute that start. The earlier leader may have sent orders that renew the lease until now, or
// until it recorded the silence of the worker. The waits for such a run therefore begin then, not
// at the start. An outstanding start was sent before this replica applied its record, and its
// longest delay is counted from then.
func (f *Fleet) TakeOver(now time.Time, s *tbflow.State, applied *OutstandingTimes) {
	f.takenOverAt = now
	for id := range s.Silent {
		f.silences[id] = &silence{}
	}
	for ref := range s.Outstanding {
		f.updateOutstanding(now, s, ref)
		for _, o := range f.outstanding.byTask[ref] {
			o.startUntil = applied.issuedBefore(now, o).Add(f.params.MaxOrderDelay)
		}
	}
	for id := range f.outstanding.byWorker {
		f.assumeRenewals(applied.renewedBefore(now, id), id)
		if s.Workers[id] == nil {
			f.removedAt[id] = now
		}
	}
	for id, r := range s.Workers {
		w := f.ensureWorker(id)
		if l := s.Lost[id]; l.Incarnation == r.Incarnation {
			w.lostRuns = l.Runs
		}
		w.Incarnation, w.lastRecordedEnd, w.lastProposedEnd, w.Draining = r.Incarnation, r.LastRecordedEnd, r.LastRecordedEnd, r.Draining
		if r.SignedOff || r.Draining {
			w.leaseExpiresAt = applied.renewedBefore(now, id).Add(f.maxLeaseDuration(f.params.MaxLease))
		}
		if r.SignedOff {
			w.signedOff, w.LastHeardAt = true, now
			continue
		}
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
		renewedBefore := applied.renewedBefore(now, id)
		f.assumeRenewals(renewedBefore, id)
		w.leaseExpiresAt = renewedBefore.Add(f.maxLeaseDuration(f.params.MaxLease))
		earlierRuns := map[int64][]tbflow.CrashedRun{}
		s.EachRun(id, func(ref tbflow.TaskRef, t *tbflow.Task) {
			run := &Run{Number: t.Run, Checkpoint: t.Checkpoint, Speed: FullSpeed, startSentAt: now, startUntil: renewedBefore.Add(f.params.MaxOrderDelay), listed: s.IsListed(ref, t.Run)}
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
	for ref := range s.Copies {
		f.stopUnneededCopy(now, s, ref)
	}
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

// mayRemove reports whether a worker can be removed. Workers with runs are kept, and so are those with recorded ends
// that are not acknowledged, unless they have signed off.
func (f *Fleet) mayRemove(now time.Time, w *Worker) bool {
	if len(w.runs) > 0 || now.Sub(w.LastHeardAt) <= removeSilentAfter {
		return false
	}
	if w.signedOff {
		return w.hasEnded(now) && len(f.outstanding.byWorker[w.ID]) == 0
	}
	return w.lastAckedEnd >= w.lastRecordedEnd
}

// removeSilent removes workers that were not heard from for longer than removeSilentAfter.
func (f *Fleet) removeSilent(now time.Time) {
	for _, w := range slices.Clone(f.sortedWorkers) {
		if f.mayRemove(now, w) {
			f.removeWorker(now, w)
			f.output.Commands = append(f.output.Commands, tbflow.RemoveWorker{Worker: w.ID, Incarnation: w.Incarnation})
		}
	}
	f.removeOldCrashes(now)
	for id, at := range f.removedAt {
		if now.Sub(at) <= f.params.MaxOrderDelay+f.maxLeaseDuration(f.params.MaxLease) {
			continue
		}
		delete(f.removedAt, id)
		if f.workers[id] == nil {
			delete(f.renewals, id)
		}
	}
}

// maxUnackedEnds is the number of recorded ends in a poll answer at which the worker gets no new
// tasks. No ends are acknowledged while a start is unconfirmed. Without the limit, a steady flow of
// starts could fill the list of ends, whose length is limited.
const maxUnackedEnds = 100

// EachRun calls visit for each run of the worker, in no particular order.
func (w *Worker) EachRun(visit func(ref tbflow.TaskRef, r *Run)) {
	for ref, r := range w.runs {
		visit(ref, r)
	}
}

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

func (f *Fleet) newTarget(w *Worker) Target {
	return Target{ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Token: f.term<<serialBits | w.serial}
}

func (f *Fleet) addOrder(o Order) { f.output.Orders = append(f.output.Orders, o) }
