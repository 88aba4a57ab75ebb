package tbfleet

import (
	"slices"
	"strings"
	"time"

	"tamarackbarrow/core/tbflow"
)

// KnownRunTime returns how long the run is known to have executed. It is measured on the worker's clock
// from the first proof that the run was executing to the newest one.
func (r *Run) KnownRunTime() time.Duration {
	return r.earlierRunTime + time.Duration(r.executingUntilMs-r.executingSinceMs)*time.Millisecond
}

// restoreRunTime sets what a new leader knows of a run that was assigned some time ago. The earlier leader
// has renewed the lease of the worker, so that the run was executing at most a lease ago. If the worker
// lists the run, it has most probably executed it since its assignment.
func (r *Run) restoreRunTime(sinceAssignment, lease time.Duration) {
	r.timeBeforeTerm = sinceAssignment
	if sinceAssignment > lease {
		r.earlierRunTime, r.isConfirmed = sinceAssignment-lease, true
	}
}

// noteExecuting records that the run was executing when the worker's clock showed clockMs. It is 0 if the
// worker gave no time.
func (r *Run) noteExecuting(clockMs int64) {
	r.isConfirmed = true
	if clockMs == 0 {
		return
	}
	if r.executingSinceMs == 0 {
		r.executingSinceMs, r.earlierRunTime = clockMs, r.timeBeforeTerm
	}
	r.executingUntilMs = max(r.executingUntilMs, clockMs)
}

// forgetRunTime forgets what is known of an execution, because the worker has restarted.
func (r *Run) forgetRunTime() {
	r.executingSinceMs, r.executingUntilMs, r.isConfirmed = 0, 0, false
	r.earlierRunTime, r.timeBeforeTerm, r.acceptedAt = 0, 0, time.Time{}
}

// handleCrash handles the proof that the current incarnation of a worker has ended: a later
// incarnation or another worker has taken its place. The end of a draining worker is not a crash.
//
// Silence proves nothing, because a worker that cannot be reached may still be executing its runs.
func (f *Fleet) handleCrash(now time.Time, w *Worker, cause string) {
	if w.Draining || w.replaced {
		return
	}
	earlierCrashes := f.RecentCrashes(w)
	f.noteCrash(now, w.Address)
	runs := append(w.lostRuns, w.suspectRuns()...)
	w.lostRuns = nil
	if len(runs) == 0 {
		return
	}
	f.output.Commands = append(f.output.Commands, tbflow.RecordCrash{
		Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address, EarlierCrashes: earlierCrashes, Runs: runs,
	})
	f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "worker crashed", Worker: w.ID, Detail: cause, Inputs: []any{"runs", len(runs)}})
}

// suspectRuns returns the runs that the current incarnation may be executing. This includes unconfirmed
// starts, because a run may crash its worker before the start is answered.
func (w *Worker) suspectRuns() []tbflow.CrashedRun {
	var runs []tbflow.CrashedRun
	for ref, r := range w.runs {
		if r.Phase != RunEnding && r.earlierIncarnation == 0 {
			runs = append(runs, w.crashedRun(ref, r))
		}
	}
	sortCrashedRuns(runs)
	return runs
}

// crashedRun describes a run that the worker may have been executing when it crashed.
func (w *Worker) crashedRun(ref tbflow.TaskRef, r *Run) tbflow.CrashedRun {
	c := tbflow.CrashedRun{Ref: ref, Run: r.Number, RanMs: r.KnownRunTime().Milliseconds(), Unconfirmed: !r.isConfirmed}
	if !r.acceptedAt.IsZero() && !w.disconnectedAt.Before(r.acceptedAt) {
		c.AgeMs = max(1, w.disconnectedAt.Sub(r.acceptedAt).Milliseconds())
	}
	return c
}

// noteAccepted records when the worker is first known to have executed the run.
func (r *Run) noteAccepted(at time.Time) {
	if r.acceptedAt.IsZero() {
		r.acceptedAt = at
	}
}

// noteDisconnect records that the worker has closed a connection instead of answering.
func (w *Worker) noteDisconnect(now time.Time) {
	if w.disconnectedAt.IsZero() {
		w.disconnectedAt = now
	}
}

// sortCrashedRuns sorts runs by their tasks.
func sortCrashedRuns(runs []tbflow.CrashedRun) {
	slices.SortFunc(runs, func(a, b tbflow.CrashedRun) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
}

// rememberLost remembers runs that are given up because the lease of their worker has expired. The worker
// may have crashed under them, which its next incarnation will show.
func (f *Fleet) rememberLost(w *Worker, runs []tbflow.CrashedRun) {
	if w.Draining || len(runs) == 0 {
		return
	}
	sortCrashedRuns(runs)
	w.lostRuns = append(w.lostRuns, runs...)
	f.output.Commands = append(f.output.Commands, tbflow.RecordLost{Worker: w.ID, Incarnation: w.Incarnation, Runs: runs})
}

// forgetLost forgets the lost runs of a worker that has answered, so that it has not crashed.
func (f *Fleet) forgetLost(w *Worker) {
	if len(w.lostRuns) == 0 {
		return
	}
	w.lostRuns = nil
	f.output.Commands = append(f.output.Commands, tbflow.RecordLost{Worker: w.ID, Incarnation: w.Incarnation})
}

// recordEarlierCrash records the crash of an earlier incarnation to which the state still assigns runs.
// The earlier leader may not have recorded it.
func (f *Fleet) recordEarlierCrash(w *Worker, runsByIncarnation map[int64][]tbflow.CrashedRun) {
	for incarnation, runs := range runsByIncarnation {
		sortCrashedRuns(runs)
		f.output.Commands = append(f.output.Commands, tbflow.RecordCrash{Worker: w.ID, Incarnation: incarnation, Address: w.Address, Runs: runs})
	}
}

// machineCrashes holds the recent crashes of the workers at one address.
type machineCrashes struct {
	count  int
	lastAt time.Time
}

// crashMemory is how long the crashes of a machine are remembered after the last of them.
const crashMemory = time.Minute

func (f *Fleet) noteCrash(now time.Time, address string) {
	f.crashesByAddress[address] = machineCrashes{count: f.crashesByAddress[address].count + 1, lastAt: now}
}

// RecentCrashes returns how many workers have crashed at the address of this worker lately.
func (f *Fleet) RecentCrashes(w *Worker) int { return f.crashesByAddress[w.Address].count }

func (f *Fleet) removeOldCrashes(now time.Time) {
	for address, crashes := range f.crashesByAddress {
		if now.Sub(crashes.lastAt) > crashMemory {
			delete(f.crashesByAddress, address)
		}
	}
}

// A worker gets no other task while a task with crashes is observed there, so that the next crash shows
// which task is the cause, and costs no other run.

// maxClosedTime is the longest time that a worker is closed because of one run. Longer observations go on
// beside other tasks.
const maxClosedTime = 2 * time.Second

// MaxObservingShare is the largest share of the workers of a class that are closed to other tasks at the
// same time. One worker may always be closed.
const MaxObservingShare = 0.125

// observe begins to observe a run of a task that is suspected of crashes. It closes the worker to other
// tasks meanwhile, unless too many workers of its class are closed.
func (f *Fleet) observe(now, assignedAt time.Time, w *Worker, run *Run, crashes []tbflow.Crash) {
	if len(crashes) == 0 {
		return
	}
	run.observation = tbflow.ObservationTime(crashes)
	if tbflow.SuspectedCrashes(crashes) > 0 && f.mayObserve(now, w.Class) {
		run.observedUntil = assignedAt.Add(min(run.observation, maxClosedTime))
		w.ObservedUntil = maxTime(w.ObservedUntil, run.observedUntil)
	}
}

// endObservations ends the observation of the runs that have proven that they do not crash the worker.
func (f *Fleet) endObservations(w *Worker) {
	var proven []tbflow.RunRef
	for ref, r := range w.runs {
		if r.observation > 0 && r.KnownRunTime() >= r.observation && r.Phase == RunExecuting {
			r.observation, r.observedUntil = 0, time.Time{}
			proven = append(proven, tbflow.RunRef{Ref: ref, Run: r.Number})
		}
	}
	if len(proven) == 0 {
		return
	}
	slices.SortFunc(proven, func(a, b tbflow.RunRef) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
	w.updateObservedUntil()
	f.output.Commands = append(f.output.Commands, tbflow.RecordProven{Runs: proven})
}

func (f *Fleet) mayObserve(now time.Time, class string) bool {
	workers, observing := 0, 0
	for _, w := range f.sortedWorkers {
		if !w.registered || w.Class != class {
			continue
		}
		workers++
		if now.Before(w.ObservedUntil) {
			observing++
		}
	}
	return observing == 0 || float64(observing+1) <= MaxObservingShare*float64(workers)
}

// updateObservedUntil recomputes observedUntil after runs were removed.
func (w *Worker) updateObservedUntil() {
	if w.ObservedUntil.IsZero() {
		return
	}
	w.ObservedUntil = time.Time{}
	for _, r := range w.runs {
		w.ObservedUntil = maxTime(w.ObservedUntil, r.observedUntil)
	}
}

// UnprovenRuns returns the number of runs of the worker that are not known to have executed for the
// observation time of a task without crashes.
func (w *Worker) UnprovenRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.Phase != RunEnding && r.KnownRunTime() < tbflow.ObservationTime(nil) {
			n++
		}
	}
	return n
}
