package tbfleet

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// outstandingStart is the leader's view of an outstanding start (see tbflow.OutstandingStart).
type outstandingStart struct {
	tbflow.OutstandingStart
	ref tbflow.TaskRef
	// startUntil is the latest time at which a worker may execute the start, or a later time if an earlier leader sent
	// it, see OutstandingTimes.
	startUntil time.Time
	// receivedAt is when the leader learned that a worker has received the start, which is then not executed later,
	// or zero.
	receivedAt time.Time
	// isOfGang is true for the start of a member of a gang, and isOfLongRunning for that of a long-running task.
	isOfGang        bool
	isOfLongRunning bool
	// settling is true once it is proposed to record the start as settled.
	settling bool
}

// outstandingStarts are the outstanding starts of all tasks. They belong to no Worker, because they outlast its
// incarnations and its removal.
type outstandingStarts struct {
	byTask    map[tbflow.TaskRef][]*outstandingStart
	byWorker  map[string][]*outstandingStart
	byAddress map[string][]*outstandingStart
	// byGang holds the starts of the members of each gang, whose Index is 0 in the key.
	byGang map[tbflow.TaskRef][]*outstandingStart
}

func newOutstandingStarts() outstandingStarts {
	return outstandingStarts{
		byTask: map[tbflow.TaskRef][]*outstandingStart{}, byWorker: map[string][]*outstandingStart{},
		byAddress: map[string][]*outstandingStart{}, byGang: map[tbflow.TaskRef][]*outstandingStart{},
	}
}

func (l *outstandingStarts) add(o *outstandingStart) {
	l.byTask[o.ref] = append(l.byTask[o.ref], o)
	l.byWorker[o.Worker] = append(l.byWorker[o.Worker], o)
	if o.Address != "" {
		l.byAddress[o.Address] = append(l.byAddress[o.Address], o)
	}
	if o.isOfGang {
		l.byGang[gangKey(o.ref)] = append(l.byGang[gangKey(o.ref)], o)
	}
}

func (l *outstandingStarts) remove(o *outstandingStart) {
	removeStart(l.byTask, o.ref, o)
	removeStart(l.byWorker, o.Worker, o)
	removeStart(l.byAddress, o.Address, o)
	removeStart(l.byGang, gangKey(o.ref), o)
}

func gangKey(ref tbflow.TaskRef) tbflow.TaskRef {
	ref.Index = 0
	return ref
}

// find returns the view of an outstanding start, or nil.
func (l *outstandingStarts) find(ref tbflow.TaskRef, start tbflow.OutstandingStart) *outstandingStart {
	for _, o := range l.byTask[ref] {
		if o.OutstandingStart == start {
			return o
		}
	}
	return nil
}

// findAt returns the outstanding start of a run that was sent to the worker, or nil.
func (l *outstandingStarts) findAt(worker string, r tbflow.RunRef) *outstandingStart {
	for _, o := range l.byTask[r.Ref] {
		if o.Run == r.Run && o.Worker == worker {
			return o
		}
	}
	return nil
}

func removeStart[K comparable](index map[K][]*outstandingStart, key K, o *outstandingStart) {
	index[key] = slices.DeleteFunc(index[key], func(other *outstandingStart) bool { return other == o })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// at calls visit for the starts that were sent to the worker or to its address.
func (l *outstandingStarts) at(w *Worker, visit func(*outstandingStart)) {
	for _, o := range l.byWorker[w.ID] {
		visit(o)
	}
	for _, o := range l.byAddress[w.Address] {
		if o.Worker != w.ID {
			visit(o)
		}
	}
}

// existAt reports whether a start to the worker or to its address is outstanding.
func (l *outstandingStarts) existAt(w *Worker) bool {
	return len(l.byTask) > 0 && (len(l.byWorker[w.ID]) > 0 || len(l.byAddress[w.Address]) > 0)
}

func (o *outstandingStart) runRef() tbflow.RunRef { return tbflow.RunRef{Ref: o.ref, Run: o.Run} }

// MayStart reports whether a run of the task may be assigned to the worker. While a start of the task is
// outstanding, the worker has to be the one to which it was sent, or the one that took over its address. The newest
// list of the worker has to show that it has no run of the task.
func (f *Fleet) MayStart(s *tbflow.State, w *Worker, ref tbflow.TaskRef) bool {
	if !s.IsBound(ref) {
		return true
	}
	for _, o := range s.Outstanding[ref] {
		if o.Worker != w.ID && (o.Address == "" || o.Address != w.Address) {
			return false
		}
	}
	return s.MayAssign(ref, w.ID) && w.listsAll && !f.mayHaveRun(w, ref)
}

// BoundWorkers returns the workers for which MayStart is true if a start of the task is outstanding.
func (f *Fleet) BoundWorkers(s *tbflow.State, ref tbflow.TaskRef) []*Worker {
	if !s.IsBound(ref) {
		return nil
	}
	first := s.Outstanding[ref][0]
	var workers []*Worker
	if w := f.Worker(first.Worker); w != nil && f.MayStart(s, w, ref) {
		workers = append(workers, w)
	}
	if first.Address == "" {
		return workers
	}
	for _, w := range f.workersByAddress[first.Address] {
		if w.registered && w.ID != first.Worker && f.MayStart(s, w, ref) {
			workers = append(workers, w)
		}
	}
	return workers
}

// mayHaveRun reports whether the newest list of the worker has a run of the task that is not assigned, an entry of
// the task that cannot be read, or an end of the task that is not recorded yet.
func (f *Fleet) mayHaveRun(w *Worker, ref tbflow.TaskRef) bool {
	return slices.ContainsFunc(w.Strays, func(s Stray) bool { return s.Ref == ref }) || slices.Contains(w.unreadable, ref) ||
		slices.ContainsFunc(w.unassignedEnds, func(r tbflow.RunRef) bool { return r.Ref == ref && f.outstanding.findAt(w.ID, r) != nil })
}

// mayBeExecutedLater reports whether a later incarnation of the worker may still execute the start of a run, which
// the worker did not execute at the given time. Tasks of which several runs may execute at the same time need no care.
func (f *Fleet) mayBeExecutedLater(missingAt time.Time, r *Run) bool {
	return !r.speculative && !r.listed && !r.startReceived && !missingAt.After(r.startUntil)
}

// proposeUnanswered proposes to end the assignment of a run that the worker does not execute, and whose start got no
// answer. The start is outstanding from then on.
func (f *Fleet) proposeUnanswered(w *Worker, incarnation int64, ref tbflow.TaskRef, run *Run) {
	run.Phase, run.isUnanswered = RunEnding, true
	f.output.Commands = append(f.output.Commands, tbflow.RecordUnanswered{
		Worker: w.ID, Incarnation: incarnation, Address: w.Address, Runs: []tbflow.RunRef{{Ref: ref, Run: run.Number}},
	})
}

// updateOutstanding updates the outstanding starts of a task after a change of the state.
func (f *Fleet) updateOutstanding(now time.Time, s *tbflow.State, ref tbflow.TaskRef) {
	starts := s.Outstanding[ref]
	if len(starts) == 0 && len(f.outstanding.byTask) == 0 {
		return
	}
	for _, start := range starts {
		if f.outstanding.find(ref, start) == nil {
			f.outstanding.add(f.newOutstanding(now, s, ref, start))
		}
	}
	for _, o := range slices.Clone(f.outstanding.byTask[ref]) {
		if !slices.Contains(starts, o.OutstandingStart) {
			f.outstanding.remove(o)
		}
	}
}

func (f *Fleet) newOutstanding(now time.Time, s *tbflow.State, ref tbflow.TaskRef, start tbflow.OutstandingStart) *outstandingStart {
	o := &outstandingStart{OutstandingStart: start, ref: ref, startUntil: now.Add(f.params.MaxOrderDelay)}
	if step := s.StepOf(ref); step != nil {
		o.isOfGang, o.isOfLongRunning = step.Gang, step.LongRunning
	}
	w := f.workers[start.Worker]
	if w == nil {
		return o
	}
	if run := w.runs[ref]; run != nil && run.Number == start.Run {
		o.startUntil = run.startUntil
		if run.startReceived {
			o.receivedAt = now
		}
	}
	return o
}

// noteReceived handles an answer to a start that is outstanding already.
func (f *Fleet) noteReceived(now time.Time, a StartAnswered) {
	o := f.outstanding.findAt(a.Worker, tbflow.RunRef{Ref: a.Ref, Run: a.Run})
	switch {
	case o == nil:
	case a.Outcome == Unconfirmed:
		if !a.SentBefore.IsZero() {
			o.startUntil = f.executableUntil(time.Time{}, a.SentBefore)
		}
	case a.Outcome == Accepted:
		o.noteReceived(now)
	default:
		f.settle([]*outstandingStart{o}, "it was refused")
	}
}

func (o *outstandingStart) noteReceived(now time.Time) {
	if o.receivedAt.IsZero() {
		o.receivedAt = now
	}
}

// settleListed settles the outstanding starts that can have no effect any more: a complete list of the worker does
// not have their runs, and is newer than the longest delay of the start, or than the proof that it was received.
func (f *Fleet) settleListed(now time.Time, w *Worker, a PollAnswered) {
	// A later leader has to know the starts of a worker whose lease has to end, too.
	if !f.outstanding.existAt(w) || w.lapse == lapsing {
		return
	}
	var settled []*outstandingStart
	f.outstanding.at(w, func(o *outstandingStart) {
		isStray := slices.ContainsFunc(w.Strays, func(s Stray) bool { return s.RunRef == o.runRef() })
		switch {
		case isStray && o.Worker == w.ID:
			o.noteReceived(now)
		case a.Partial || isStray || slices.Contains(w.unreadable, o.ref) || slices.Contains(w.unassignedEnds, o.runRef()):
		case a.SentAt.After(o.startUntil):
			settled = append(settled, o)
		case !o.receivedAt.IsZero() && o.Worker == w.ID && a.SentAt.After(o.receivedAt):
			settled = append(settled, o)
		}
	})
	f.settle(settled, "its run is not there")
}

// timeToSettle returns the time until a list of the worker may settle an outstanding start that is not being settled
// yet. It is at most the longest delay of an order, and negative if a list may settle one now.
//
// A worker that leaves soon has to be polled right then. Afterwards, nothing but the end of a lease settles the start.
func (f *Fleet) timeToSettle(now time.Time, w *Worker) time.Duration {
	d := f.params.MaxOrderDelay
	if f.outstanding.existAt(w) {
		f.outstanding.at(w, func(o *outstandingStart) {
			if !o.settling {
				d = min(d, o.startUntil.Sub(now))
			}
		})
	}
	return d
}

// settleExpired settles the outstanding starts whose runs cannot execute any more, even on an unreachable worker.
func (f *Fleet) settleExpired(now time.Time) {
	var settled []*outstandingStart
	for _, starts := range f.outstanding.byTask {
		for _, o := range starts {
			if !o.settling && now.After(f.latestLeaseEnd(o.Worker, o.startUntil)) {
				settled = append(settled, o)
			}
		}
	}
	f.settle(settled, "its lease has ended")
}

// settle proposes to record outstanding starts as settled.
func (f *Fleet) settle(starts []*outstandingStart, cause string) {
	starts = slices.DeleteFunc(starts, func(o *outstandingStart) bool { return o.settling })
	if len(starts) == 0 {
		return
	}
	slices.SortFunc(starts, func(a, b *outstandingStart) int {
		return cmp.Or(cmp.Compare(a.ref.String(), b.ref.String()), cmp.Compare(a.Run, b.Run))
	})
	var cmd tbflow.RecordSettled
	for _, o := range starts {
		o.settling = true
		cmd.Starts = append(cmd.Starts, tbflow.SettledStart{Ref: o.ref, Start: o.OutstandingStart})
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{Message: "start settled", Worker: o.Worker, Ref: o.ref, Run: o.Run, Detail: cause})
	}
	f.output.Commands = append(f.output.Commands, cmd)
}

// HasOutstanding reports whether a start that was sent to the worker or to its address is outstanding.
func (f *Fleet) HasOutstanding(w *Worker) bool { return f.outstanding.existAt(w) }

// holdsAcks reports whether the worker must not get acknowledgements of ends.
//
// An incarnation that executes an outstanding start may also execute a later poll late. It would then discard the
// end of that run by the numbers of the incarnation before. And no task may start after its end as done was
// acknowledged, not even by an outstanding start.
func (f *Fleet) holdsAcks(w *Worker) bool {
	return f.outstanding.existAt(w) || w.listsEndOfBoundGang || w.lapse == lapsing
}

// listsEndOfBoundGang reports whether a list has the end of a gang of which the start of a member is outstanding.
// The end of one member counts for all.
func (f *Fleet) listsEndOfBoundGang(a PollAnswered) bool {
	return len(f.outstanding.byGang) > 0 && slices.ContainsFunc(a.Ended, func(e ListedEnd) bool {
		return len(f.outstanding.byGang[gangKey(e.Ref)]) > 0
	})
}
