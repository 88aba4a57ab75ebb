package tbassign

import "tamarackbarrow/core/tbresource"

// Some room is kept for other work: slots for short tasks that are expected, workers that are reserved for large tasks,
// processors for the best-effort tasks that run there, and workers whose long-running tasks a best-effort task would slow
// down. That pays while a class is short of room. In a class with much room, a task would wait beside idle workers for as
// long as the other work comes or waits. Room is therefore kept only in a class of which at least half is in use, which is
// where the users' contract no longer requires that a ready task starts.

// classUse is how much of the considered workers of a class is in use. The requests of best-effort tasks count, at most up
// to the processors of their worker.
type classUse struct {
	used, capacity tbresource.Amount
}

// keepsRoom reports whether at least half of the processors, of the memory or of the accelerators is in use.
func (u *classUse) keepsRoom() bool { return u.used.DominantShare(u.capacity) >= 0.5 }

// keepsRoomFrom reports whether room on the worker may be kept from a step.
func (r *workerState) keepsRoomFrom(w *waitingStep) bool {
	return !w.startsInRoom && r.classUse.keepsRoom()
}

// add counts a worker.
func (u *classUse) add(r *workerState) {
	u.used, u.capacity = u.used.Add(r.used()), u.capacity.Add(r.worker.Capacity)
}

// adjustUse makes a change to the worker and counts it in the use of the class.
func (r *workerState) adjustUse(change func()) {
	before := r.used()
	change()
	r.classUse.used = r.classUse.used.Add(r.used()).Sub(before)
}

// used returns how much of the worker is in use. Room that is reserved for a move counts.
func (r *workerState) used() tbresource.Amount {
	used := r.worker.Capacity.Sub(r.free)
	used.MilliProcessors = min(used.MilliProcessors+r.bestEffortMillicores, r.worker.Capacity.MilliProcessors)
	return used
}
