package tbfleet

import (
	"slices"
	"strings"
	"time"

	"tamarackbarrow/core/tbflow"
)

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
