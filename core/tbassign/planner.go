package tbassign

import (
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Short jobs, with a latency objective of a fraction of a second, arrive beside bursts of
// best-effort jobs on hundreds of workers. A full plan weighs best-effort work against the margins
// of long-running tasks. Making such a plan and ordering a few hundred best-effort runs takes the
// leader longer than the objective of a short job.
//
// Short steps are all steps that are neither best-effort nor long-running. They are placed by free
// capacity alone, as soon as they may start. All other steps wait for a full plan. Full plans are
// made at intervals and have a limited number of runs. Best-effort work loses almost nothing if it
// starts some hundredths of a second later.
//
// How many runs the leader can order in a second depends on its processor, on the workers and on
// what else the leader has to do. Unanswered starts show that: while the leader keeps up, they are
// answered within milliseconds. The limit of a full plan is therefore the number of starts that may
// still become unanswered. Neither the limit nor the interval depends on the size of the fleet.

// Bounds of plans. A full plan is one that considers all steps.
const (
	// maxRunsPerPlan is the largest number of runs of a plan of short steps.
	maxRunsPerPlan = 256
	// maxUnansweredStarts is the number of unanswered starts at which the limit of a full plan is
	// minFullPlanRuns. Workers that do not answer also leave starts unanswered, so the limit must
	// not become 0.
	maxUnansweredStarts = 96
	minFullPlanRuns     = 32
	// The next full plan is made after fullPlanInterval, or after fullPlanIntervalAtLimit if the
	// last one has reached its limit.
	fullPlanInterval        = 15 * time.Millisecond
	fullPlanIntervalAtLimit = 5 * time.Millisecond
	// A long backlog that fits nowhere makes plans costly. The interval is therefore at least
	// fullPlanIntervalPerScore times the number of workers that the last plan has scored, so that
	// plans take only a small share of the leader's time.
	fullPlanIntervalPerScore = 200 * time.Nanosecond
)

// Planner makes full plans at intervals and plans of short steps in between. The first plan of the
// zero Planner is a full plan.
type Planner struct {
	nextFullPlanAt time.Time
}

// NextFullPlanAt returns the time from which the next full plan may be made. It is the zero time
// before the first full plan.
func (p *Planner) NextFullPlanAt() time.Time { return p.nextFullPlanAt }

// PlannedRuns is a plan: the runs that should start now, and what the plan was made from.
type PlannedRuns struct {
	Runs []tbflow.Assignment
	// IsFull is false for a plan of short steps.
	IsFull bool
	// Limit is the largest number of runs that the plan could have.
	Limit int
	// WaitingSteps is the number of steps that the plan has considered.
	WaitingSteps int
	// scoredWorkers is how many times a worker was scored for a step.
	scoredWorkers int
}

// NextPlan returns the next plan.
func (p *Planner) NextPlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) PlannedRuns {
	if now.Before(p.nextFullPlanAt) {
		return planShortSteps(now, s, f, l, g, maxRunsPerPlan)
	}
	plan := planAll(now, s, f, l, g, max(minFullPlanRuns, maxUnansweredStarts-f.UnansweredStarts()))
	interval := fullPlanInterval
	if len(plan.Runs) >= plan.Limit {
		interval = fullPlanIntervalAtLimit
	}
	p.nextFullPlanAt = now.Add(max(interval, time.Duration(plan.scoredWorkers)*fullPlanIntervalPerScore))
	return plan
}

// PlanShortSteps returns at most limit runs of short steps that should start now. A full plan
// would begin with the same runs if no queue of best-effort work has a higher priority than a
// queue of short jobs.
func PlanShortSteps(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	return planShortSteps(now, s, f, l, g, limit).Runs
}

func planShortSteps(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) PlannedRuns {
	steps := shortSteps(now, s, l)
	plan := PlannedRuns{Limit: limit, WaitingSteps: len(steps)}
	if len(steps) > 0 {
		plan.Runs = newPlanState(now, s, f, l, g, steps).placeAll(steps, limit)
	}
	return plan
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

// shortSteps returns the short steps that can be on time, in the order in which they should start.
// Some short steps are left to the full plan. Otherwise they could start before steps that have to
// start first:
//
//   - steps with a lower priority than a late short step or a waiting long-running step,
//   - steps with the same priority as an overdue long-running step.
func shortSteps(now time.Time, s *tbflow.State, l *Learner) []*waitingStep {
	var steps []*waitingStep
	// Steps with a priority number of cutoff or more are left to the full plan. A higher number is
	// a lower priority; lowestPriority is the highest number of the selected steps.
	lowestPriority, cutoff := math.MinInt, math.MaxInt
	for _, j := range s.Active() {
		if !j.HasWaitingTasks() || !hasShortStep(j) {
			continue
		}
		for k := range j.Tasks {
			if !j.IsDue(k, now) {
				continue
			}
			for _, w := range waitingStepsOf(now, s, l, j, k) {
				switch {
				case !isShort(w.step):
				case w.lateness == onTime:
					steps = append(steps, w)
					lowestPriority = max(lowestPriority, j.Priority)
				default:
					cutoff = min(cutoff, j.Priority+1)
				}
			}
		}
	}
	cutoff = min(cutoff, longRunningCutoff(now, s, lowestPriority))
	steps = slices.DeleteFunc(steps, func(w *waitingStep) bool { return w.job.Priority >= cutoff })
	slices.SortStableFunc(steps, func(a, b *waitingStep) int { return compareWaiting(*a, *b) })
	return steps
}

// longRunningCutoff returns the smallest priority number at which short steps have to wait for a
// long-running step. For a waiting long-running step with number p, this is p if one of its tasks
// is overdue, and otherwise p+1. Without a waiting long-running step, the result is math.MaxInt.
// Jobs with a number above lowestPriority are ignored.
func longRunningCutoff(now time.Time, s *tbflow.State, lowestPriority int) int {
	priorityCutoff := math.MaxInt
	for _, j := range s.Active() {
		if !j.HasWaitingTasks() || j.Priority > lowestPriority || j.Priority >= priorityCutoff {
			continue
		}
		for k := range j.Tasks {
			if !j.IsDue(k, now) {
				continue
			}
			switch anyWaiting, anyOverdue := hasWaitingLongRunning(s.TimeAt(now), j, k); {
			case anyOverdue:
				priorityCutoff = min(priorityCutoff, j.Priority)
			case anyWaiting:
				priorityCutoff = min(priorityCutoff, j.Priority+1)
			}
		}
	}
	return priorityCutoff
}

// hasWaitingLongRunning reports whether an occurrence of a job has a waiting long-running task,
// and whether one of these tasks is overdue.
func hasWaitingLongRunning(nowMs int64, j *tbflow.Job, k int) (anyWaiting, anyOverdue bool) {
	for i := range j.Steps {
		if !j.Steps[i].LongRunning || j.WaitingTasks(k, i) == 0 || !j.StepReady(k, i) {
			continue
		}
		for n := range j.Tasks[k][i] {
			if t := &j.Tasks[k][i][n]; t.Phase == tbflow.TaskWaiting {
				anyWaiting, anyOverdue = true, anyOverdue || isOverdue(nowMs, t)
			}
		}
	}
	return anyWaiting, anyOverdue
}
