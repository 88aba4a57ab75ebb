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
	// sorted holds the same workers, sorted by ID.
	sorted []*Worker
	// byAddress holds the workers at each address, sorted by ID. Workers whose known field is false
	// are included.
	byAddress map[string][]*Worker
	// serial is the initial Worker.serial of a new worker. It is higher than that of any removed
	// worker.
	serial uint64
	// removedAt holds the time at which each worker was removed. The entry is deleted once no order
	// to that worker can be in flight any more.
	removedAt map[string]time.Time
	// firstFailedOn holds, for each failing job, the worker on which a run of the job failed first.
	firstFailedOn map[string]string
	// pollPermits holds the polls in flight to unreached workers, see isUnreached. lastPermitIndex
	// is the index in sorted of the worker that last got a permit which another poll had released.
	pollPermits     map[incarnationKey]bool
	lastPermitIndex int
	out             Output
}

// Worker is the leader's view of one incarnation of a worker.
type Worker struct {
	Report
	// LastHeardAt is the time of the last report, accepted start or answered poll. TakeOver sets
	// LastHeardAt so far into the past that the worker gets no new tasks until the worker is heard
	// from.
	LastHeardAt time.Time
	// Failures is the number of failures since the last run that ended successfully. It includes
	// failed runs, unless their job failed first on another worker. It includes refused starts,
	// unless the worker lacked room.
	Failures int
	// AvoidUntil is the time before which the worker gets no new tasks.
	AvoidUntil time.Time
	// Unresponsive is true if the last poll failed: there was no answer, or the worker refused a
	// poll that was not superseded.
	Unresponsive bool

	// known is true from the first report until the worker signs off or is replaced. If the address
	// is recorded at a takeover, no report is needed.
	known bool
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
	// clock is the newest reading of the worker's clock.
	clock clockReading
	// leaseSentAt is when this leader last sent an order that renews the lease, to this incarnation
	// or an earlier one.
	leaseSentAt time.Time
	// leaseEndMs is the lease expiry that was ordered last, on the worker's clock.
	leaseEndMs int64
	// leaseExpiresAt is when every lease granted by any leader has certainly expired, on the
	// leader's clock.
	leaseExpiresAt time.Time
	// recordedEnd is the number of the last end that is recorded in the state. proposedEnd is the
	// number of the last end that this leader has proposed to record.
	recordedEnd uint64
	proposedEnd uint64
	// ackedEnd is the highest end number that an accepted poll has acknowledged.
	ackedEnd uint64
	// polling is true while a poll is in flight. nextPollAt is the earliest time of the next poll.
	polling    bool
	nextPollAt time.Time
	// ackInFlight is true while a poll with the current serial that acknowledges ends may still be
	// executed. pollSuperseded is true once the serial is higher than that of the poll in flight.
	ackInFlight    bool
	pollSuperseded bool
	// unackedEnds is the number of ends in the last poll answer that were already recorded, but not
	// yet acknowledged.
	unackedEnds int
	runs        map[tbflow.TaskRef]*Run
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
	// Speed is the ordered speed in percent. SpeedUnknown is true while an earlier leader may have
	// ordered another speed.
	Speed        int
	SpeedUnknown bool

	// speedSentAt is when the speed was last ordered. speedUnconfirmed is true until the worker has
	// confirmed the ordered speed.
	speedSentAt      time.Time
	speedUnconfirmed bool
	// unansweredSpeeds holds the unanswered orders of speeds that may still be executed.
	unansweredSpeeds []unansweredSpeed

	// earlierIncarnation is the incarnation to which the state assigns the run, if a later one may
	// execute the run. Otherwise it is 0.
	earlierIncarnation int64
	// listed is true once the incarnation to which the start was addressed has listed the run as
	// running in a poll answer.
	listed bool
	// startSentAt is when the start was ordered. confirmedAt is the later of two times: when the
	// start was accepted, and when the newest poll was sent whose answer listed the run as running.
	startSentAt time.Time
	confirmedAt time.Time
	// stopWanted is true once the run is to be stopped. stopSentAt is when the stop was last
	// ordered. stopConfirmedAt is when the worker first confirmed the stop.
	stopWanted      bool
	stopSentAt      time.Time
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
	return &Fleet{params: params, term: term, workers: map[string]*Worker{}, byAddress: map[string][]*Worker{}, removedAt: map[string]time.Time{}, firstFailedOn: map[string]string{}, pollPermits: map[incarnationKey]bool{}}
}

// maxClockSkew is the largest difference between the wall clocks of two leaders, including clock
// steps.
const maxClockSkew = 5 * time.Second

// TakeOver loads the recorded workers and the runs that the state assigns to workers.
func (f *Fleet) TakeOver(now time.Time, s *tbflow.State) {
	for id, r := range s.Workers {
		w := f.ensureWorker(id)
		w.Incarnation, w.recordedEnd, w.proposedEnd, w.Draining = r.Incarnation, r.LastRecordedEnd, r.LastRecordedEnd, r.Draining
		if r.Address != "" {
			f.setAddress(w, r.Address)
			w.Class, w.DataCentre, w.Rack = r.Class, r.DataCentre, r.Rack
			w.Labels, w.Capacity = r.Labels, r.Capacity
			// The worker gets new tasks once it has answered a poll.
			w.known, w.needsFence = true, true
			w.LastHeardAt = now.Add(-f.params.SilenceTimeout)
		}
	}
	for _, id := range s.BusyWorkers() {
		w := f.ensureWorker(id)
		w.leaseExpiresAt = now.Add(f.expiryDelay(f.params.MaxLease))
		s.EachRun(id, func(ref tbflow.TaskRef, t *tbflow.Task) {
			age := max(0, time.Duration(s.NowMs-t.AssignedMs)*time.Millisecond-maxClockSkew)
			run := &Run{Number: t.Run, Checkpoint: t.Checkpoint, Speed: FullSpeed, startSentAt: now.Add(-age)}
			if step := s.StepOf(ref); step != nil {
				run.SpeedUnknown = step.BestEffort
			}
			if t.Incarnation < w.Incarnation {
				run.Phase, run.earlierIncarnation = RunUnconfirmed, t.Incarnation
			}
			w.runs[ref] = run
		})
	}
}

// expiryDelay returns the longest time that a lease of length d can last on a slow clock, plus a
// margin of 50 ms.
func (f *Fleet) expiryDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-f.params.ClockRateBound)) + 50*time.Millisecond
}

func (f *Fleet) ensureWorker(id string) *Worker {
	w := f.workers[id]
	if w == nil {
		w = &Worker{Report: Report{ID: id}, serial: f.serial, runs: map[tbflow.TaskRef]*Run{}}
		_, w.needsFence = f.removedAt[id]
		f.workers[id] = w
		at, _ := f.indexOf(id)
		f.sorted = slices.Insert(f.sorted, at, w)
	}
	return w
}

// indexOf returns the index of the worker in f.sorted, and whether it is there. If not, the index
// is where the worker would be inserted.
func (f *Fleet) indexOf(id string) (int, bool) {
	return searchByID(f.sorted, id)
}

// remove removes a worker. If the ID reappears, its tokens have a higher serial than before. If
// orders may still be in flight then, a poll must first fence them off, as for a later incarnation.
func (f *Fleet) remove(now time.Time, w *Worker) {
	if at, ok := f.indexOf(w.ID); ok {
		f.sorted = slices.Delete(f.sorted, at, at+1)
	}
	delete(f.workers, w.ID)
	f.setAddress(w, "")
	f.removedAt[w.ID] = now
	f.serial = max(f.serial, w.serial+1)
}

// TakeOutput returns the output since the last call and clears it.
func (f *Fleet) TakeOutput() Output {
	out := f.out
	f.out = Output{}
	return out
}

// Worker returns the view of a worker. It returns nil if the worker has signed off or was replaced,
// or if it has neither reported nor a recorded address.
func (f *Fleet) Worker(id string) *Worker {
	if w := f.workers[id]; w != nil && w.known {
		return w
	}
	return nil
}

// Workers returns the workers for which Worker does not return nil, sorted by ID.
func (f *Fleet) Workers() []*Worker {
	all := make([]*Worker, 0, len(f.sorted))
	for _, w := range f.sorted {
		if w.known {
			all = append(all, w)
		}
	}
	return all
}

// removeAfter is the time without contact after which a worker without runs is removed.
const removeAfter = 15 * time.Second

// removeSilent removes workers that were not heard from for longer than removeAfter. Workers with
// runs or with recorded ends that are not acknowledged are kept.
func (f *Fleet) removeSilent(now time.Time) {
	for _, w := range slices.Clone(f.sorted) {
		if len(w.runs) == 0 && w.ackedEnd >= w.recordedEnd && now.Sub(w.LastHeardAt) > removeAfter {
			f.remove(now, w)
			f.out.Commands = append(f.out.Commands, tbflow.RemoveWorker{Worker: w.ID, Incarnation: w.Incarnation})
		}
	}
	for id, at := range f.removedAt {
		if now.Sub(at) > f.params.MaxOrderDelay {
			delete(f.removedAt, id)
		}
	}
}

// maxUnackedEnds limits the recorded ends that a poll answer lists: a worker that lists so many
// gets no new tasks. No ends are acknowledged while a start is unconfirmed. Without the limit, a
// steady flow of starts could fill the list of ends, whose length is limited.
const maxUnackedEnds = 100

// Usable reports whether the worker may get a new task now.
func (f *Fleet) Usable(w *Worker, now time.Time) bool {
	return w.known && !w.Draining && !w.Unresponsive && !w.needsFence && w.clock.isKnown() &&
		w.unackedEnds < maxUnackedEnds && now.Sub(w.LastHeardAt) < f.params.SilenceTimeout && !now.Before(w.AvoidUntil)
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
	if r.Incarnation < w.Incarnation || w.known && r.Incarnation == w.Incarnation && r.Sequence <= w.Sequence {
		return false
	}
	for _, other := range f.byAddress[r.Address] {
		if other != w && other.known {
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
	draining := w.Draining && w.Incarnation == r.Incarnation
	w.Report = r
	w.Draining = r.Draining || draining
	w.known = true
	w.LastHeardAt = now
	w.clock.update(now, time.Time{}, r.ClockMs, f.params.ClockRateBound)
	f.reconcile(now, w)
	return true
}

// HandleSignOff handles the message that a drained worker has signed off.
//
// The message does not name the incarnation. If the worker is not draining, it has restarted since,
// and the message is ignored.
//
// If the message gets no answer, the worker continues to execute its runs for a while. The runs are
// therefore given up only when the lease has expired.
func (f *Fleet) HandleSignOff(now time.Time, id string) {
	if w := f.workers[id]; w != nil && w.Draining {
		f.out.LogEvents = append(f.out.LogEvents, LogEvent{Message: "worker signs off", Worker: id, Inputs: w.leaseInputs(now)})
		w.known = false
		f.reconcile(now, w)
	}
}

// markReplaced marks a worker as replaced by another one at the same address. It gives up the runs
// that are assigned to the current incarnation of the replaced worker.
func (f *Fleet) markReplaced(now time.Time, w *Worker) {
	w.replaced, w.known = true, false
	w.leaseExpiresAt = now
	f.giveUpRuns(now, w, "another worker answers at its address")
}

// giveUpRuns gives up the runs of a worker that was replaced or whose lease has expired.
//
// The start of a run that no poll answer has listed may still be in flight. A later incarnation
// with the same ID would execute that start, because its clock starts anew. Such a run is therefore
// kept until latestRunEnd.
//
// If the worker was replaced, runs assigned to its current incarnation are given up at once,
// because a worker with another ID refuses their starts.
func (f *Fleet) giveUpRuns(now time.Time, w *Worker, cause string) {
	cmd := tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation}
	for ref, r := range w.runs {
		if r.Phase == RunEnding || r.earlierIncarnation != 0 || !w.replaced && r.mayBeAtLaterIncarnation() && now.Before(f.latestRunEnd(w, r)) {
			continue
		}
		r.Phase = RunEnding
		cmd.Ends = append(cmd.Ends, tbflow.End{Ref: ref, Run: r.Number, Kind: tbflow.EndStopped, Checkpoint: r.Checkpoint})
	}
	if len(cmd.Ends) > 0 {
		f.out.Commands = append(f.out.Commands, cmd)
		f.out.LogEvents = append(f.out.LogEvents, LogEvent{Message: "worker lost", Worker: w.ID, Detail: cause, Inputs: w.leaseInputs(now)})
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
// answer names the incarnation that sent it. An accepted start proves nothing, because its answer
// names no incarnation and has only a reading of the clock.
func (r *Run) mayBeAtLaterIncarnation() bool {
	return r.Phase != RunEnding && !r.listed
}

// latestRunEnd returns the latest time at which the run may execute, even on an unreachable worker.
//
// While the run is executing, that is the end of a lease of MaxLease granted at confirmedAt.
//
// Otherwise the start may be executed MaxOrderDelay after it was sent, and the run then has a lease
// of MaxLease at most. A later incarnation that executes the start may also execute the last order
// that renews the lease. Both times are therefore counted from that order if it was sent after the
// start.
func (f *Fleet) latestRunEnd(w *Worker, r *Run) time.Time {
	if r.Phase == RunExecuting {
		return r.confirmedAt.Add(f.expiryDelay(f.params.MaxLease))
	}
	return maxTime(r.startSentAt, w.leaseSentAt).Add(f.params.MaxOrderDelay + f.expiryDelay(f.params.MaxLease))
}

// handleRestart handles a new incarnation with the same ID. All runs that the earlier incarnation
// executed have ended.
//
// The new incarnation may still execute orders in flight to the earlier one. The first poll sent to
// the new incarnation has a higher token, and once it has arrived, such orders are refused. Until
// then, runs that no poll answer has listed are kept.
func (f *Fleet) handleRestart(now time.Time, w *Worker, r Report) {
	var ends []tbflow.End
	kept := map[tbflow.TaskRef]*Run{}
	for ref, run := range w.runs {
		if run.mayBeAtLaterIncarnation() {
			run.Phase, run.stopWanted, run.stopSentAt = RunUnconfirmed, false, time.Time{}
			run.stopConfirmedAt = time.Time{}
			if run.earlierIncarnation == 0 {
				run.earlierIncarnation = w.Incarnation
			}
			kept[ref] = run
			continue
		}
		ends = append(ends, tbflow.End{Ref: ref, Run: run.Number, Kind: tbflow.EndStopped, Checkpoint: run.Checkpoint})
	}
	if len(ends) > 0 {
		f.out.Commands = append(f.out.Commands, tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation, Ends: ends})
		f.out.LogEvents = append(f.out.LogEvents, LogEvent{Message: "worker restarted", Worker: w.ID, Detail: "its earlier runs have ended"})
	}
	*w = Worker{
		Report: r, runs: kept, LastHeardAt: now, serial: w.serial + 1, needsFence: true, leaseSentAt: w.leaseSentAt,
	}
}

// renewLease records that an order renews the lease now. It returns the new expiry on the worker's
// clock, or 0 while that clock is unknown.
//
// An order may be executed seconds after it was sent. If it named a duration, the lease would then
// last longer than the leader assumes. The expiry is therefore an absolute time on the worker's
// clock, counted from the lowest value that the clock can show now.
func (f *Fleet) renewLease(now time.Time, w *Worker) int64 {
	clockMs, ok := w.clock.lowerBound(now, f.params.ClockRateBound)
	if !ok {
		return 0
	}
	w.leaseSentAt = now
	w.leaseEndMs = clockMs + f.params.Lease.Milliseconds()
	w.leaseExpiresAt = maxTime(w.leaseExpiresAt, now.Add(f.expiryDelay(f.params.Lease)))
	return w.leaseEndMs
}

// leaseInputs returns the leader's knowledge of a worker's lease, for the log.
func (w *Worker) leaseInputs(now time.Time) []any {
	return []any{
		"leaseEndMs", w.leaseEndMs, "clockMs", w.clock.ms, "clockAgeMs", w.clock.age(now).Milliseconds(),
		"lapsesInMs", w.leaseExpiresAt.Sub(now).Milliseconds(),
	}
}

func (f *Fleet) target(w *Worker) Target {
	return Target{ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, Token: f.term<<serialBits | w.serial}
}

func (f *Fleet) send(o Order) { f.out.Orders = append(f.out.Orders, o) }
