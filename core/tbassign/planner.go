package tbassign

import (
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: short jobs, whose latency objective is a fraction of a second, arrive beside
// bursts of best-effort jobs on hundreds of workers. Weighing best-effort work against the
// margins of long-running tasks, and ordering a few hundred runs of it, takes the leader longer
// than that objective. Short steps, which are all that are neither best-effort nor
// long-running, are therefore placed by free capacity alone as soon as they may start.
// Everything else is placed by a full plan at intervals, with a limited number of runs, since
// best-effort work that starts some hundredths of a second later loses next to nothing.

// Bounds of plans; a full plan considers all steps.
const (
	// maxRunsPerPlan is the largest number of runs of any plan.
	maxRunsPerPlan = 256
	// The limit of the runs of one full plan is fullRunsPerWorker times the number of workers,
	// at least minFullRunLimit and at most maxRunsPerPlan. It is needed because short steps
	// wait while these runs are ordered.
	minFullRunLimit   = 64
	fullRunsPerWorker = 0.25
	// The time between two full plans is fullIntervalPerWorker times the number of workers, and
	// at least minFullInterval, so that full plans take about the same share of the leader's
	// time on a fleet of any size.
	minFullInterval       = 15 * time.Millisecond
	fullIntervalPerWorker = 200 * time.Microsecond
)

// Planner alternates full plans with plans of short steps. Its zero value makes a full plan
// first.
type Planner struct {
	nextFullPlanAt time.Time
}

// NextFullPlanAt returns when the next full plan may be made; the zero time before the first
// one.
func (p *Planner) NextFullPlanAt() time.Time { return p.nextFullPlanAt }

// NextPlan returns the runs that should start now and whether all steps were considered.
func (p *Planner) NextPlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) ([]tbflow.Assignment, bool) {
	if now.Before(p.nextFullPlanAt) {
		return PlanShortSteps(now, s, f, l, g, maxRunsPerPlan), false
	}
	workers := len(s.Workers)
	p.nextFullPlanAt = now.Add(max(minFullInterval, time.Duration(workers)*fullIntervalPerWorker))
	runs := min(maxRunsPerPlan, max(minFullRunLimit, int(fullRunsPerWorker*float64(workers))))
	return Plan(now, s, f, l, g, runs), true
}

// PlanShortSteps returns at most limit runs of short steps that should start now. Plan would
// put the same runs first, provided that no queue of best-effort work has a higher priority
// than one of short jobs.
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
// start. It leaves out steps of lower priority than a late short step or a waiting long-running
// step, and of the same priority if that long-running step is overdue; the full plan places
// these in order.
func shortSteps(s *tbflow.State, l *Learner) []*waitingStep {
	var steps []*waitingStep
	// Steps whose priority number is cutoff or more wait for the full plan. The lowest priority
	// has the highest number.
	lowestPriority, cutoff := math.MinInt, math.MaxInt
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
					lowestPriority = max(lowestPriority, j.Priority)
				default:
					cutoff = min(cutoff, j.Priority+1)
				}
			}
		}
	}
	cutoff = min(cutoff, longRunningCutoff(s, lowestPriority))
	steps = slices.DeleteFunc(steps, func(w *waitingStep) bool { return w.job.Priority >= cutoff })
	slices.SortStableFunc(steps, func(a, b *waitingStep) int { return compareWaiting(*a, *b) })
	return steps
}

// longRunningCutoff returns the smallest priority number at which short steps have to wait for
// a long-running step: the number of that step if one of its tasks is overdue, otherwise the
// next one. It returns math.MaxInt if there is none and considers only jobs whose priority
// number is at most lowestPriority.
func longRunningCutoff(s *tbflow.State, lowestPriority int) int {
	cutoff := math.MaxInt
	for _, j := range s.Active() {
		if j.Priority > lowestPriority || j.Priority >= cutoff {
			continue
		}
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			switch waiting, overdue := hasWaitingLongRunning(s.NowMs, j, k); {
			case overdue:
				cutoff = min(cutoff, j.Priority)
			case waiting:
				cutoff = min(cutoff, j.Priority+1)
			}
		}
	}
	return cutoff
}

// hasWaitingLongRunning reports whether a long-running task of an occurrence is waiting, and
// whether one is overdue.
func hasWaitingLongRunning(nowMs int64, j *tbflow.Job, k int) (waiting, overdue bool) {
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
