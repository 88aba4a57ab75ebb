package tbassign

import (
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: short jobs, whose slack is a fraction of a second, arrive beside bursts of
// filling jobs on hundreds of workers. To weigh filling work against what lasting tasks
// bear, and to order a few hundred runs of it, takes the leader longer than that slack.
// Short steps are placed by what is free alone, as soon as they may start; everything
// else is placed now and then, a bounded number of runs at a time, since filling work
// that starts some hundredths of a second later loses next to nothing.

// Bounds of the plans of everything.
const (
	// mostRuns is the most runs of any plan.
	mostRuns = 256
	// leastFullRuns and, for each worker, fullRunsOf are the most runs of one plan of
	// everything: what orders them keeps short steps waiting.
	leastFullRuns = 64
	fullRunsOf    = 0.25
	// leastFullPause and, for each worker, fullPauseOf are the time between two plans of
	// everything, so that these take about the same share of the leader's time on any fleet.
	leastFullPause = 15 * time.Millisecond
	fullPauseOf    = 200 * time.Microsecond
)

// Planner decides what each plan considers.
type Planner struct {
	nextFull time.Time
}

// NextFull returns when the next plan of everything may be made.
func (p *Planner) NextFull() time.Time { return p.nextFull }

// Next returns the runs that should start now and whether all steps were considered.
func (p *Planner) Next(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) ([]tbflow.Assignment, bool) {
	if now.Before(p.nextFull) {
		return PlanShort(now, s, f, l, g, mostRuns), false
	}
	workers := len(s.Workers)
	p.nextFull = now.Add(max(leastFullPause, time.Duration(workers)*fullPauseOf))
	runs := min(mostRuns, max(leastFullRuns, int(fullRunsOf*float64(workers))))
	return Plan(now, s, f, l, g, runs), true
}

// PlanShort returns the runs of short steps that should start now, which Plan would put first.
func PlanShort(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	steps := urgentSteps(s, l)
	if len(steps) == 0 {
		return nil
	}
	return newPools(now, s, f, l, g).placeAll(steps, limit)
}

// short reports whether a step neither fills nor lasts.
func short(step *tbflow.Step) bool { return !step.Fills && !step.Lasting }

func hasShort(j *tbflow.Job) bool {
	for i := range j.Steps {
		if short(&j.Steps[i]) {
			return true
		}
	}
	return false
}

// urgentSteps returns the short steps that can be on time, in the order in which they
// should start, without those before which others that reserve processors should.
func urgentSteps(s *tbflow.State, l *Learner) []*waitingStep {
	var steps []*waitingStep
	// Steps of the priority behind and of those after it wait for the plan of everything.
	lowest, behind := math.MinInt, math.MaxInt
	for _, j := range s.Active() {
		if !hasShort(j) {
			continue
		}
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			for _, w := range waitingOf(s, l, j, k) {
				switch {
				case !short(w.step):
				case w.lateness == onTime:
					steps = append(steps, &w)
					lowest = max(lowest, j.Priority)
				default:
					behind = min(behind, j.Priority+1)
				}
			}
		}
	}
	behind = min(behind, behindLasting(s, lowest))
	steps = slices.DeleteFunc(steps, func(w *waitingStep) bool { return w.job.Priority >= behind })
	slices.SortStableFunc(steps, func(a, b *waitingStep) int { return compareWaiting(*a, *b) })
	return steps
}

// behindLasting returns the first priority whose short steps go after a waiting lasting
// step, looking at jobs down to the lowest priority of such steps.
func behindLasting(s *tbflow.State, lowest int) int {
	behind := math.MaxInt
	for _, j := range s.Active() {
		if j.Priority > lowest || j.Priority >= behind {
			continue
		}
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			switch waits, overdue := lastingWaits(s.NowMs, j, k); {
			case overdue:
				behind = min(behind, j.Priority)
			case waits:
				behind = min(behind, j.Priority+1)
			}
		}
	}
	return behind
}

// lastingWaits reports whether a lasting task of an occurrence waits, and whether one has waited for too long.
func lastingWaits(nowMs int64, j *tbflow.Job, k int) (waits, late bool) {
	for i := range j.Steps {
		if !j.Steps[i].Lasting || !j.StepReady(k, i) {
			continue
		}
		for n := range j.Tasks[k][i] {
			if t := &j.Tasks[k][i][n]; t.Phase == tbflow.TaskWaiting {
				waits, late = true, late || overdue(nowMs, t)
			}
		}
	}
	return waits, late
}
