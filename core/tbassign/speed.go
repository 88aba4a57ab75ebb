package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: the load of a long-running task rises within seconds while best-effort tasks
// run beside it. Each poll sets the speeds of the best-effort images that have the highest net
// benefit, where long-running tasks over their targets count as a cost. If a tail latency stays
// over its target nevertheless, all best-effort tasks of the worker are suspended until it is
// clearly below (recoveredMargin).

// Bounds of the speed of best-effort tasks.
const (
	// harmlessSlope is the slope above which a best-effort image counts as harmless to a
	// long-running one.
	harmlessSlope = -1.2
	// maxSpeedIncrease is the largest increase of a speed between two polls, in percent of full
	// speed.
	maxSpeedIncrease = 30
	// minSpeed is the lowest speed, in percent of full speed; a task that would be slower is
	// suspended.
	minSpeed = 10
	// suspendAllAfter is how long a tail latency may stay over its target before all best-effort
	// tasks of the worker are suspended.
	suspendAllAfter = 1500 * time.Millisecond
	// recoveredMargin is the margin at which a task that was over its target is certainly below
	// it; measurements are accurate to some percent only.
	recoveredMargin = 1.1
)

// SpeedChange is a new speed of one run, in percent of full speed; 0 suspends it.
type SpeedChange struct {
	Ref     tbflow.TaskRef
	Percent int
}

// SpeedChanges returns the changes of speed that follow from a worker's latest measurements. It
// also updates how long targets have been violated and, if there are changes, marks the
// worker's speeds as changed; the caller should order the changes.
func (l *Learner) SpeedChanges(now time.Time, s *tbflow.State, w *tbfleet.Worker) []SpeedChange {
	suspend := l.updateViolations(now, s, w)
	c := l.contentionOf(s, w, func(r *tbfleet.Run) bool { return r.Phase == tbfleet.RunExecuting })
	c.optimize()
	speeds := map[string]int{}
	for _, load := range c.bestEffort {
		speeds[load.image] = int(load.speed * tbfleet.FullSpeed)
	}
	var changes []SpeedChange
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !step.BestEffort || r.Phase != tbfleet.RunExecuting {
			return
		}
		next := min(speeds[step.Image], r.Speed+maxSpeedIncrease)
		if suspend || next < minSpeed {
			next = 0
		}
		if next != r.Speed || r.SpeedUnknown {
			changes = append(changes, SpeedChange{Ref: ref, Percent: next})
		}
	})
	if len(changes) > 0 {
		l.speedChanged[w.ID] = true
	}
	return changes
}

// updateViolations updates since when each task of the worker has been over its target and
// reports whether one has been for longer than suspendAllAfter.
//
// A single measurement that is barely below the target does not restart the period, because a
// tail latency that oscillates around its target may have been over it between the
// measurements.
func (l *Learner) updateViolations(now time.Time, s *tbflow.State, w *tbfleet.Worker) bool {
	before := l.violatingSince[w.ID]
	var after map[tbflow.TaskRef]time.Time
	long := false
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !hasTailMeasurement(step, r) {
			return
		}
		margin := marginOf(step, r)
		since, wasViolating := before[ref]
		switch {
		case margin >= recoveredMargin, margin >= 1 && !wasViolating:
			return
		case !wasViolating:
			since = now
		}
		if after == nil {
			after = map[tbflow.TaskRef]time.Time{}
		}
		after[ref] = since
		long = long || now.Sub(since) > suspendAllAfter
	})
	delete(l.violatingSince, w.ID)
	if after != nil {
		l.violatingSince[w.ID] = after
	}
	return long
}

// EndsBeforeDrain reports whether a run on a draining worker is expected to end before the
// worker leaves. It is false for long-running tasks, for runs without progress, and while the
// worker's DrainTimeLeft is unknown (0).
func EndsBeforeDrain(now time.Time, w *tbfleet.Worker, r *tbfleet.Run, step *tbflow.Step) bool {
	if step.LongRunning || r.Progress <= 0 {
		return false
	}
	left := time.Duration(float64(step.Estimate) * float64(tbfleet.FullSpeed-r.Progress) / tbfleet.FullSpeed)
	return now.Add(left).Before(w.LastHeardAt.Add(w.DrainTimeLeft))
}
