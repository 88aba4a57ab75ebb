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
// How many best-effort starts a full plan may have follows from the start window (start_window.go). A full
// plan has a cost that does not depend on its runs, and a long backlog makes it dearer. The next one is
// therefore made only after several times the time that the last one took, and once there is room for a
// considerable share of the window.

// Bounds of plans. A full plan is one that considers all steps.
const (
	// maxRunsPerPlan is the largest number of runs of a plan. All of them are ordered at once.
	maxRunsPerPlan = 256
	// The next full plan is made after fullPlanInterval, or after fullPlanIntervalAtLimit if the
	// last one has reached its limit.
	fullPlanInterval        = 15 * time.Millisecond
	fullPlanIntervalAtLimit = 5 * time.Millisecond
	// planTimeFactor is the least ratio of the interval between two full plans and the time that a plan takes.
	planTimeFactor = 5
	// minRoomShare is the share of the start window that has to be free for the next full plan before
	// fullPlanInterval has passed.
	minRoomShare = 0.25
)

// Planner makes full plans at intervals and plans of short steps in between. The first plan of the
// zero Planner is a full plan.
type Planner struct {
	lastFullPlanAt time.Time
	nextFullPlanAt time.Time
	window         startWindow
	// planTimes holds the times that the last two full plans have taken.
	planTimes [2]time.Duration
}

// Load is what the leader observed of itself since it was last told.
type Load struct {
	// Events is the number of events that were handled, and AgeSum the sum of the times that they were queued.
	Events int
	AgeSum time.Duration
	// PlanTime is the time that the last full plan took, or 0 if it is not known.
	PlanTime time.Duration
}

// ObserveLoad tells the planner how far the leader is behind.
func (p *Planner) ObserveLoad(l Load) {
	p.window.observeEvents(l.Events, l.AgeSum)
	if l.PlanTime > 0 {
		p.planTimes[0], p.planTimes[1] = p.planTimes[1], l.PlanTime
	}
}

// planTime returns the time that a full plan takes. The process may have been preempted during one of the last two.
func (p *Planner) planTime() time.Duration { return min(p.planTimes[0], p.planTimes[1]) }

// NextFullPlanAt returns the time from which the next full plan may be made. It is the zero time
// before the first full plan.
func (p *Planner) NextFullPlanAt() time.Time { return p.nextFullPlanAt }

// PlannedRuns is a plan: the runs that should start now, and what the plan was made from.
type PlannedRuns struct {
	Runs []tbflow.Assignment
	// IsFull is false for a plan of short steps.
	IsFull bool
	// Limit is the largest number of best-effort runs that the plan could have.
	Limit int
	// WaitingSteps is the number of steps that the plan has considered.
	WaitingSteps int
	// ReservedWorkers is the number of workers with room reserved for large tasks after the plan.
	ReservedWorkers int
	// Held says what holds long-running tasks that have waited for long.
	Held []HeldTask
	// windowedRuns is the number of runs that count against the start window.
	windowedRuns int
	// reachedLimit is true if a limit has kept the plan from more runs.
	reachedLimit bool
}

// planLimit bounds the runs of a plan: all of them, and those of best-effort tasks.
type planLimit struct {
	runs       int
	bestEffort int
}

// IsLate reports whether the leader has to save work, because its events wait.
func (p *Planner) IsLate() bool { return p.window.isLate }

// Window returns how many best-effort starts may be under way, or 0 before the first plan.
func (p *Planner) Window() int { return int(p.window.size) }

// NextPlan returns the next plan.
func (p *Planner) NextPlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) PlannedRuns {
	answerTime, shortest := f.AnswerTime()
	p.window.update(now, answerTime, shortest, f.OrderTimeout(), shortestTarget(&s.Config))
	room := p.window.room(f.BestEffortUnderWay(now))
	waitsForRoom := float64(room) < minRoomShare*p.window.size && now.Sub(p.lastFullPlanAt) < fullPlanInterval
	if now.Before(p.nextFullPlanAt) || waitsForRoom {
		return planShortSteps(now, s, f, l, g, maxRunsPerPlan)
	}
	plan := planAll(now, s, f, l, g, planLimit{runs: maxRunsPerPlan, bestEffort: room})
	interval := fullPlanInterval
	if plan.reachedLimit {
		interval = fullPlanIntervalAtLimit
	}
	l.startRate.observe(now, plan.reachedLimit, plan.windowedRuns, p.window.size, answerTime)
	p.window.isLimiting = p.window.isLimiting || plan.reachedLimit
	p.lastFullPlanAt, p.nextFullPlanAt = now, now.Add(max(interval, planTimeFactor*p.planTime()))
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
	plan := PlannedRuns{WaitingSteps: len(steps)}
	if len(steps) > 0 {
		state := newPlanState(now, s, f, l, g, steps)
		state.orderByShares(steps)
		state.placeAll(&plan, steps, planLimit{runs: limit})
		plan.ReservedWorkers = len(state.reservedWorkers)
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
	slices.SortStableFunc(steps, compareWaiting)
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
			switch anyWaiting, anyOverdue := hasWaitingLongRunning(s, s.TimeAt(now), j, k); {
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
// and whether one of these tasks is overdue. Bound tasks are left out, because they may have to wait although
// there is room elsewhere.
func hasWaitingLongRunning(s *tbflow.State, nowMs int64, j *tbflow.Job, k int) (anyWaiting, anyOverdue bool) {
	for i := range j.Steps {
		if !j.Steps[i].LongRunning || j.WaitingTasks(k, i) == 0 || !j.StepReady(k, i) {
			continue
		}
		for n := range j.Tasks[k][i] {
			t, ref := &j.Tasks[k][i][n], tbflow.TaskRef{Job: j.ID, Occurrence: k, Step: i, Index: n}
			if t.Phase == tbflow.TaskWaiting && !s.IsBound(ref) {
				anyWaiting, anyOverdue = true, anyOverdue || isOverdue(nowMs, t)
			}
		}
	}
	return anyWaiting, anyOverdue
}
