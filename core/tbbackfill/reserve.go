package tbbackfill

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbresource"
)

// Small tasks come all the time beside a few large ones. Each small task that ends leaves a gap, and the next small
// task takes it, so that the gaps on a worker never add up to the room that a large task needs. A large task therefore
// gets a reservation on the worker that is expected to have room for it first. Meanwhile a smaller task may start there if
// it ends before, or if it leaves enough room (EASY backfilling, with a reservation for each of the large tasks).
//
// All times are in milliseconds since 1970.

// End is the expected end of a run.
type End struct {
	AtMs  int64
	Freed tbresource.Amount
}

// SortEnds sorts expected ends by time. A run that has lasted for longer than expected is expected to go on for half
// of the time by which it is late.
func SortEnds(nowMs int64, ends []End) {
	for i := range ends {
		if late := nowMs - ends[i].AtMs; late > 0 {
			ends[i].AtMs = nowMs + late/2
		}
	}
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.AtMs, b.AtMs) })
}

// Reservation is capacity on one worker that is reserved for a large task.
type Reservation struct {
	// AtMs is when the task is expected to fit.
	AtMs int64
	// Spare is the capacity that is expected to be free beside the task from then on.
	Spare tbresource.Amount
	// IdleMs is for how long the processors of the task would be idle until then, if no other task used them.
	IdleMs int64
}

// Reserve returns the earliest reservation for a demand on a worker with the given free capacity and expected ends, which
// have to be sorted. It returns false if the demand does not fit until untilMs.
func Reserve(nowMs, untilMs int64, need, free tbresource.Amount, ends []End) (Reservation, bool) {
	atMs, idleMs := nowMs, 0.0
	for i := 0; ; i++ {
		// Runs that end at the same time free their capacity together.
		if need.Fits(free) && (i == len(ends) || ends[i].AtMs > atMs) {
			return Reservation{AtMs: atMs, Spare: free.Sub(need), IdleMs: int64(idleMs)}, true
		}
		if i == len(ends) || ends[i].AtMs > untilMs {
			return Reservation{}, false
		}
		if need.MilliProcessors > 0 {
			idleShare := float64(min(free.MilliProcessors, need.MilliProcessors)) / float64(need.MilliProcessors)
			idleMs += idleShare * float64(max(0, ends[i].AtMs-atMs))
		}
		free, atMs = free.Add(ends[i].Freed), max(atMs, ends[i].AtMs)
	}
}

// Allows reports whether another task may start on the worker now: it ends before the reserved capacity is needed, or
// it leaves enough room beside it.
func (r *Reservation) Allows(need tbresource.Amount, endMs int64) bool {
	return endMs <= r.AtMs || need.Fits(r.Spare)
}

// Take counts a task that Allows has allowed. With sign -1, it no longer counts the task.
func (r *Reservation) Take(need tbresource.Amount, endMs int64, sign int) {
	switch {
	case endMs <= r.AtMs:
	case sign > 0:
		r.Spare = r.Spare.Sub(need)
	default:
		r.Spare = r.Spare.Add(need)
	}
}

// Less reports whether a reservation is better than another for the same demand. Both the wait and the time for which
// processors are idle count.
func (r *Reservation) Less(other *Reservation) bool {
	if cost, otherCost := r.AtMs+r.IdleMs, other.AtMs+other.IdleMs; cost != otherCost {
		return cost < otherCost
	}
	return r.Spare.MilliProcessors < other.Spare.MilliProcessors
}
