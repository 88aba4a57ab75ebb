package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// The load of a long-running task may rise within seconds while best-effort tasks run beside it.
// After each poll, the speeds of the best-effort images are set to the values with the highest net
// benefit. Long-running tasks over their targets reduce the net benefit. A tail latency may stay
// over its target at these speeds. All best-effort tasks of the worker are then suspended. The
// best-effort tasks stay suspended until the tail latency is clearly below its target
// (recoveredMargin).

// Bounds for setting the speeds of best-effort tasks.
const (
	// harmlessSlope is the slope above which a best-effort image is treated as harmless to a
	// long-running image.
	harmlessSlope = -1.2
	// maxSpeedIncreasePercent is the largest increase of a speed after one poll, in percent of full
	// speed.
	maxSpeedIncreasePercent = 30
	// minSpeedPercent is the lowest speed of a running task, in percent of full speed. A task whose
	// speed would be lower is suspended.
	minSpeedPercent = 10
	// suspendAllAfter is how long a tail latency may stay over its target before all best-effort
	// tasks of the worker are suspended.
	suspendAllAfter = 1500 * time.Millisecond
	// Measurements are accurate only to some percent. recoveredMargin is the margin from which a
	// task that was over its target is certainly below it again.
	recoveredMargin = 1.1
)

// SpeedChange is a new speed of one run, in percent of full speed; 0 suspends the run.
type SpeedChange struct {
	Ref     tbflow.TaskRef
	Percent int
}

// SpeedChanges returns the speed changes that a worker's latest measurements call for. The caller
// should send them to the worker as orders. SpeedChanges also records when each violation of a
// target began. If it returns changes, it also records that speeds on the worker have changed.
func (l *Learner) SpeedChanges(now time.Time, s *tbflow.State, w *tbfleet.Worker) []SpeedChange {
	suspendAll := l.updateViolations(now, s, w)
	c := l.colocatedTasksOf(s, w, func(r *tbfleet.Run) bool { return r.Phase == tbfleet.RunExecuting })
	c.optimizeSpeeds()
	percentByImage := map[string]int{}
	for _, load := range c.bestEffortLoads {
		percentByImage[load.image] = int(load.speed * tbfleet.FullSpeed)
	}
	var changes []SpeedChange
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !step.BestEffort || r.Phase != tbfleet.RunExecuting {
			return
		}
		nextPercent := min(percentByImage[step.Image], r.Speed+maxSpeedIncreasePercent)
		if suspendAll || nextPercent < minSpeedPercent {
			nextPercent = 0
		}
		if nextPercent != r.Speed || r.SpeedUnknown {
			changes = append(changes, SpeedChange{Ref: ref, Percent: nextPercent})
		}
	})
	if len(changes) > 0 {
		l.speedChangedWorkers[w.ID] = true
	}
	return changes
}

// updateViolations records, for each long-running task of the worker that is over its target, when
// the violation began. It reports whether any violation has lasted longer than suspendAllAfter.
//
// A tail latency that oscillates around its target may be over it between two measurements.
// Therefore, a measurement that is barely below the target does not end the violation; the margin
// has to reach recoveredMargin.
func (l *Learner) updateViolations(now time.Time, s *tbflow.State, w *tbfleet.Worker) bool {
	previousViolatingSince := l.violatingSince[w.ID]
	var newViolatingSince map[tbflow.TaskRef]time.Time
	anyTooLong := false
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !hasTailMeasurement(step, r) {
			return
		}
		margin := marginOf(step, r)
		since, wasViolating := previousViolatingSince[ref]
		switch {
		case margin >= recoveredMargin, margin >= 1 && !wasViolating:
			return
		case !wasViolating:
			since = now
		}
		if newViolatingSince == nil {
			newViolatingSince = map[tbflow.TaskRef]time.Time{}
		}
		newViolatingSince[ref] = since
		anyTooLong = anyTooLong || now.Sub(since) > suspendAllAfter
	})
	delete(l.violatingSince, w.ID)
	if newViolatingSince != nil {
		l.violatingSince[w.ID] = newViolatingSince
	}
	return anyTooLong
}

// EndsBeforeDrain reports whether a run on a draining worker is expected to end before the worker
// leaves. It returns false for long-running tasks and for runs without progress. It also returns
// false while the worker's DrainTimeLeft is 0, which means unknown.
func EndsBeforeDrain(now time.Time, w *tbfleet.Worker, r *tbfleet.Run, step *tbflow.Step) bool {
	if step.LongRunning || r.Progress <= 0 {
		return false
	}
	timeLeft := time.Duration(float64(step.Estimate) * float64(tbfleet.FullSpeed-r.Progress) / tbfleet.FullSpeed)
	return now.Add(timeLeft).Before(w.LastHeardAt.Add(w.DrainTimeLeft))
}
