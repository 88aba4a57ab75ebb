package tbassign

import (
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: short jobs, whose slack is a fraction of a second, arrive beside bursts of
// best-effort jobs on hundreds of workers. Weighing best-effort work against the margins of
// long-running tasks, and ordering a few hundred runs of it, takes the leader longer than that
// slack. Short steps are therefore placed by free capacity alone as soon as they may start.
// Everything else is placed by a full plan at intervals, with a limited number of runs, since
// best-effort work that starts some hundredths of a second later loses next to nothing.

// Bounds of the full plans, which consider all steps.
const (
	// maxRunsPerPlan is the largest number of runs of any plan.
	maxRunsPerPlan = 256
	// minFullRuns and, multiplied by the number of workers, fullRunsPerWorker limit the runs of
	// one full plan, because short steps wait while its runs are ordered.
	minFullRuns       = 64
	fullRunsPerWorker = 0.25
	// minFullInterval and, multiplied by the number of workers, fullIntervalPerWorker are the
	// time between two full plans, so that these take about the same share of the leader's time
	// on a fleet of any size.
	minFullInterval       = 15 * time.Millisecond
	fullIntervalPerWorker = 200 * time.Microsecond
)

// Planner decides which steps each plan considers.
type Planner struct {
	nextFullPlanAt time.Time
}

// NextFullPlanAt returns when the next full plan may be made.
func (p *Planner) NextFullPlanAt() time.Time { return p.nextFullPlanAt }

// NextPlan returns the runs that should start now and whether all steps were considered.
func (p *Planner) NextPlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) ([]tbflow.Assignment, bool) {
	if now.Before(p.nextFullPlanAt) {
		return PlanShortSteps(now, s, f, l, g, maxRunsPerPlan), false
	}
	workers := len(s.Workers)
	p.nextFullPlanAt = now.Add(max(minFullInterval, time.Duration(workers)*fullIntervalPerWorker))
	runs := min(maxRunsPerPlan, max(minFullRuns, int(fullRunsPerWorker*float64(workers))))
	return Plan(now, s, f, l, g, runs), true
}

// PlanShortSteps returns at most limit runs of short steps that should start now, which Plan would
// put first.
func PlanShortSteps(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	steps := shortSteps(s, l)
	if len(steps) == 0 {
		return nil
	}
	return newPlanState(now, s, f, l, g).placeAll(steps, limit)
}

// isShort reports whether a step is neither best-effort nor long-running.
func isShort(step *tbflow.Step) bool { return !step.BestEffort && !step.LongRunning }

func hasShortStep(j *tbflow.Job) bool {
	for i := range j.Steps {
		if isShort(&j.Steps[i]) {
			return true
		}
	}
	return false
}

// shortSteps returns the short steps that can be on time, in the order in which they should
// start. It leaves out those that have to start after other steps that reserve processors.
func shortSteps(s *tbflow.State, l *Learner) []*waitingStep {
	var steps []*waitingStep
	// Steps whose priority is cutoff or a higher number wait for the full plan.
	maxPriority, cutoff := math.MinInt, math.MaxInt
	for _, j := range s.Active() {
		if !hasShortStep(j) {
			continue
		}
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			for _, w := range waitingStepsOf(s, l, j, k) {
				switch {
				case !isShort(w.step):
				case w.lateness == onTime:
					steps = append(steps, &w)
					maxPriority = max(maxPriority, j.Priority)
				default:
					cutoff = min(cutoff, j.Priority+1)
				}
			}
		}
	}
	cutoff = min(cutoff, longRunningCutoff(s, maxPriority))
	steps = slices.DeleteFunc(steps, func(w *waitingStep) bool { return w.job.Priority >= cutoff })
	slices.SortStableFunc(steps, func(a, b *waitingStep) int { return compareWaiting(*a, *b) })
	return steps
}

// longRunningCutoff returns the first priority whose short steps start after a waiting
// long-running step. It considers jobs up to priority number maxPriority.
func longRunningCutoff(s *tbflow.State, maxPriority int) int {
	cutoff := math.MaxInt
	for _, j := range s.Active() {
		if j.Priority > maxPriority || j.Priority >= cutoff {
			continue
		}
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			switch waiting, overdue := waitingLongRunning(s.NowMs, j, k); {
			case overdue:
				cutoff = min(cutoff, j.Priority)
			case waiting:
				cutoff = min(cutoff, j.Priority+1)
			}
		}
	}
	return cutoff
}

// waitingLongRunning reports whether a long-running task of an occurrence is waiting, and
// whether one is overdue.
func waitingLongRunning(nowMs int64, j *tbflow.Job, k int) (waiting, overdue bool) {
	for i := range j.Steps {
		if !j.Steps[i].LongRunning || !j.StepReady(k, i) {
			continue
		}
		for n := range j.Tasks[k][i] {
			if t := &j.Tasks[k][i][n]; t.Phase == tbflow.TaskWaiting {
				waiting, overdue = true, overdue || isOverdue(nowMs, t)
			}
		}
	}
	return waiting, overdue
}
