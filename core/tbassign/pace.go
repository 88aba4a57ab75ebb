package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: the load of a lasting task rises within seconds while filling tasks
// work beside it. Each look sets the paces of the filling images that are worth most,
// the lasting tasks over their targets counted against them. When a tail stays over its
// target nevertheless, all filling tasks stand still until it is below.

// Bounds of the pace of filling tasks.
const (
	// harmlessSlope is the slope above which a filling image suits a lasting one.
	harmlessSlope = -1.2
	// hasteStep is the most that a pace rises between two looks, in percent.
	hasteStep = 30
	// lowestPace is the pace in percent below which a task stands still.
	lowestPace = 10
	// slowAllAfter is how long a tail may stay over its target before all filling tasks stand still for it.
	slowAllAfter = 1500 * time.Millisecond
	// clearMargin is the margin from which a tail that was over its target is surely below it:
	// readings are rough by some percent.
	clearMargin = 1.1
)

// PaceChange is a new pace of one run.
type PaceChange struct {
	Ref     tbflow.TaskRef
	Percent int
}

// Paces returns the changes of pace that a worker's newest readings ask for.
func (l *Learner) Paces(now time.Time, s *tbflow.State, w *tbfleet.Worker) []PaceChange {
	stop := l.overLong(now, s, w)
	c := l.contentionOf(s, w, func(r *tbfleet.Run) bool { return r.Phase == tbfleet.RunGoingOn })
	c.optimize()
	paces := map[string]int{}
	for _, f := range c.fills {
		paces[f.image] = int(f.pace * tbfleet.FullPace)
	}
	var changes []PaceChange
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !step.Fills || r.Phase != tbfleet.RunGoingOn {
			return
		}
		next := min(paces[step.Image], r.Pace+hasteStep)
		if stop || next < lowestPace {
			next = 0
		}
		if next != r.Pace || r.PaceUnknown {
			changes = append(changes, PaceChange{Ref: ref, Percent: next})
		}
	})
	if len(changes) > 0 {
		l.paced[w.ID] = true
	}
	return changes
}

// overLong reports whether a tail on the worker is over its target for too long.
//
// One reading that is barely below the target does not begin the time anew: a tail that
// hovers there may have been over it all the while.
func (l *Learner) overLong(now time.Time, s *tbflow.State, w *tbfleet.Worker) bool {
	before := l.overSince[w.ID]
	var after map[tbflow.TaskRef]time.Time
	long := false
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !servesUsers(step, r) {
			return
		}
		margin := marginOf(step, r)
		since, wasOver := before[ref]
		switch {
		case margin >= clearMargin, margin >= 1 && !wasOver:
			return
		case !wasOver:
			since = now
		}
		if after == nil {
			after = map[tbflow.TaskRef]time.Time{}
		}
		after[ref] = since
		long = long || now.Sub(since) > slowAllAfter
	})
	delete(l.overSince, w.ID)
	if after != nil {
		l.overSince[w.ID] = after
	}
	return long
}

// FinishesBefore reports whether a run on a draining worker is expected to end in time by itself.
func FinishesBefore(now time.Time, w *tbfleet.Worker, r *tbfleet.Run, step *tbflow.Step) bool {
	if step.Lasting || r.Percent <= 0 {
		return false
	}
	left := time.Duration(float64(step.Estimate) * float64(tbfleet.FullPace-r.Percent) / tbfleet.FullPace)
	return now.Add(left).Before(w.HeardAt.Add(w.LeavesIn))
}
