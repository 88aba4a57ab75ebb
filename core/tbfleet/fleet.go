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
	// byAddress holds the workers at each address, sorted by ID, including those that are not
	// known.
	byAddress map[string][]*Worker
	// serial is the first serial of a new worker, higher than that of any removed one.
	serial uint64
	// removedAt is when a worker was removed, while orders to it may still be in flight.
	removedAt map[string]time.Time
	// firstFailedOn is the worker on which each failing job failed first.
	firstFailedOn map[string]string
	// pollPermits holds the polls in flight to unreached workers; lastPermitIndex is the index in
	// sorted of the worker that last got a permit which another poll had released.
	pollPermits     map[incarnationKey]bool
	lastPermitIndex int
	out             Output
}

// Worker is the leader's view of one incarnation of a worker.
type Worker struct {
	Report
	// LastHeardAt is the time of the last report, accepted start or answered poll. TakeOver sets it
	// to a time at which the worker counts as silent.
	LastHeardAt time.Time
	// Failures counts failed runs, unless their job failed first on another worker, and refused
	// starts, unless for lack of room, since the last run that ended successfully.
	Failures int
	// AvoidUntil is the time before which the worker gets no new tasks.
	AvoidUntil time.Time
	// Unresponsive is true while the worker does not answer polls.
	Unresponsive bool

	// known is true from the first report, or from the takeover if the address is recorded, until
	// the worker signs off or is replaced.
	known bool
	// adopted is true once the worker has answered a poll of this leader.
	adopted bool
	// replaced is true once another worker has the address. That worker refuses orders for this ID.
	replaced bool
	// serial is the low part of the token: of two orders to one ID, a worker that has seen the
	// higher serial refuses the lower one. It never decreases, not even if the worker is removed in
	// between.
	serial uint64
	// needsFence is true until a poll has fenced off orders to an earlier incarnation.
	needsFence bool
	// clock is the newest reading of the worker's clock.
	clock clockReading
	// leaseSentAt is when this leader last sent an order that renews the lease, to any incarnation.
	leaseSentAt time.Time
	// leaseEndMs is the lease expiry that was ordered last, on the worker's clock.
	leaseEndMs int64
	// leaseExpiresAt is when every lease granted by any leader has certainly expired, on the
	// leader's clock.
	leaseExpiresAt time.Time
	// recordedEnd is the number of the last end in the state, and proposedEnd that of the last end
	// that is proposed to be recorded.
	recordedEnd uint64
	proposedEnd uint64
	// ackedEnd is the number of the last end that the worker knows to be recorded.
	ackedEnd uint64
	// polling is true while a poll is in flight; nextPollAt is the earliest time of the next one.
	polling    bool
	nextPollAt time.Time
	// ackInFlight is true while a poll with the current serial that acknowledges ends may still be
	// executed; pollSuperseded is true once the serial is higher than that of the poll in flight.
	ackInFlight    bool
	pollSuperseded bool
	// unackedEnds is the number of ends in the last poll answer that were already recorded.
	unackedEnds int
	runs        map[tbflow.TaskRef]*Run
}

// Run is a run that a worker has or may have.
type Run struct {
	Number      uint64
	Phase       RunPhase
	Checkpoint  string
	Progress    int
	Measurement int64
	// ListedAt is when a poll answer last listed the run as running.
	ListedAt time.Time
	// ProgressAt is when the progress last changed, or when the run was last listed while its speed
	// was below FullSpeed, unknown or unconfirmed.
	ProgressAt time.Time
	// Speed is the ordered speed in percent. While SpeedUnknown is true, an earlier leader may have
	// ordered another one.
	Speed        int
	SpeedUnknown bool

	// speedSentAt is when the speed was last ordered; speedUnconfirmed is true until that is
	// confirmed.
	speedSentAt      time.Time
	speedUnconfirmed bool
	// lateSpeeds holds the unanswered orders of speeds that may still be executed.
	lateSpeeds []lateSpeed

	// earlierIncarnation is the earlier incarnation to which the state assigns the run, or 0 if it
	// assigns the run to the current one.
	earlierIncarnation int64
	// listed is true once a poll answer of the incarnation to which the start was addressed listed
	// the run as running.
	listed bool
	// startSentAt is when the start was ordered. confirmedAt is the time of the accepted start, or
	// if later, when the newest poll whose answer listed the run as running was sent.
	startSentAt time.Time
	confirmedAt time.Time
	// stopWanted is true once the run is to be stopped; stopSentAt is when that was last ordered,
	// and stopConfirmedAt when the worker first confirmed it.
	stopWanted      bool
	stopSentAt      time.Time
	stopConfirmedAt time.Time
}

// RunPhase is the leader's knowledge of a run at its worker.
type RunPhase uint8

// Phases of a run at its worker.
const (
	// RunUnknown means that an earlier leader may have ordered the run, and that no poll answer has
	// shown yet whether the worker has it.
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

// serialBits is the number of low bits of a token that hold the serial, which leaves 25 bits for
// the leader's term in a number that JSON readers represent exactly.
const serialBits = 28

// FullSpeed is the initial speed of a run, in percent.
const FullSpeed = 100

// New returns a fleet for the leader of a term, which is higher than that of any earlier leader.
func New(params Params, term uint64) *Fleet {
	return &Fleet{params: params, term: term, workers: map[string]*Worker{}, byAddress: map[string][]*Worker{}, removedAt: map[string]time.Time{}, firstFailedOn: map[string]string{}, pollPermits: map[incarnationKey]bool{}}
}

// maxClockSkew is the largest difference between the wall clocks of two leaders, including clock
// steps.
const maxClockSkew = 5 * time.Second

// TakeOver loads the workers of the state and the runs that earlier leaders ordered.
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

// expiryDelay returns the longest time until a lease of length d expires on a slow clock, plus a
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

// indexOf returns the index of the worker in f.sorted, or where it would be inserted.
func (f *Fleet) indexOf(id string) (int, bool) {
	return searchByID(f.sorted, id)
}

// remove removes a worker; if its ID reappears, it gets a higher serial. While orders may still be
// in flight, it also has to be fenced by a poll, like a later incarnation.
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

// Worker returns the view of a worker, or nil if it is not known.
func (f *Fleet) Worker(id string) *Worker {
	if w := f.workers[id]; w != nil && w.known {
		return w
	}
	return nil
}

// Workers returns all known workers, sorted by ID.
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

// removeSilent removes workers that have no runs, no recorded ends to acknowledge, and were not
// heard from for longer than removeAfter.
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

// maxUnackedEnds is the number of recorded ends in a poll answer at which its worker gets no new
// tasks. No ends are acknowledged while a start is unconfirmed, so a steady flow of starts would
// fill the list of ends, which has a maximum length.
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

// Run returns what is known of a task's run at this worker, or nil.
func (w *Worker) Run(ref tbflow.TaskRef) *Run { return w.runs[ref] }

// HandleReport handles a worker's report; it returns false if the report is outdated or a worker
// with a later incarnation has the address.
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
// The message does not name the incarnation; it is ignored if the worker is not draining, because
// the worker has restarted since. A worker whose message is not answered continues for a while, so
// its runs are given up only when its lease has expired.
func (f *Fleet) HandleSignOff(now time.Time, id string) {
	if w := f.workers[id]; w != nil && w.Draining {
		f.out.LogEvents = append(f.out.LogEvents, LogEvent{Message: "worker signs off", Worker: id, Inputs: w.leaseInputs(now)})
		w.known = false
		f.reconcile(now, w)
	}
}

// markReplaced marks a worker whose address another worker has, and gives up the runs that are
// assigned to its current incarnation.
func (f *Fleet) markReplaced(now time.Time, w *Worker) {
	w.replaced, w.known = true, false
	w.leaseExpiresAt = now
	f.giveUpRuns(now, w, "another worker answers at its address")
}

// giveUpRuns gives up the runs of a worker that was replaced or whose lease has expired.
//
// A run that no poll answer has listed is kept until its start can no longer take effect: a new
// incarnation with the same ID would execute it, because its clock starts anew. A worker with
// another ID refuses it.
func (f *Fleet) giveUpRuns(now time.Time, w *Worker, cause string) {
	cmd := tbflow.RecordEnds{Worker: w.ID, Incarnation: w.Incarnation}
	for ref, r := range w.runs {
		if r.Phase == RunEnding || r.earlierIncarnation != 0 || !w.replaced && r.mayBeAtLaterIncarnation() && now.Before(f.startEffectEnd(w, r)) {
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
		if r.earlierIncarnation != 0 && r.Phase != RunEnding && now.After(f.startEffectEnd(w, r)) {
			f.proposeNeverRan(w, r.earlierIncarnation, ref, r)
		}
	}
}

// mayBeAtLaterIncarnation reports whether the run may be at a later incarnation than the start was
// addressed to.
//
// The answer to a poll names the incarnation that it comes from; the answer to a start has only its
// clock.
func (r *Run) mayBeAtLaterIncarnation() bool {
	return r.Phase != RunEnding && !r.listed
}

// startEffectEnd returns when the start can have no effect any more, even on an unreachable worker.
//
// Without an accepted start, MaxOrderDelay and MaxLease count from the last order that renews the
// lease: a later incarnation that executes the start late may also execute that order late.
func (f *Fleet) startEffectEnd(w *Worker, r *Run) time.Time {
	if r.Phase == RunExecuting {
		return r.confirmedAt.Add(f.expiryDelay(f.params.MaxLease))
	}
	return maxTime(r.startSentAt, w.leaseSentAt).Add(f.params.MaxOrderDelay + f.expiryDelay(f.params.MaxLease))
}

// handleRestart handles a new incarnation with the same ID: all runs of the earlier one have ended.
//
// Orders still in flight would be executed by the new incarnation. The worker's token increases
// with each incarnation, so that the first poll of the new one fences such orders off; runs with
// unanswered starts are kept until then.
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

// renewLease records that an order renews the lease now, and returns the new expiry on the worker's
// clock, or 0 while that clock is unknown.
//
// An order may be executed seconds after it was sent. The expiry is an absolute time on the
// worker's clock, counted from the least value that the clock can show now, so an order that is
// executed late does not extend the lease.
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
