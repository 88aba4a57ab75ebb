package tbcontrol

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbflow"
)

// summaryInterval is the time between two log lines with a summary of workers and waiting tasks.
const summaryInterval = time.Second

// summaryState holds when the summary is logged next, and the number of best-effort starts under way at the last plan.
type summaryState struct {
	nextAt   time.Time
	underWay int
}

// waitingTasks holds how many tasks of a kind could start, and the longest time that one of them has waited.
type waitingTasks struct {
	tasks     int
	longestMs int64
}

// waitingByKind holds the waiting tasks of each kind. bound is those that may only start where an unanswered start may
// still have an effect; they are contained in the kinds.
type waitingByKind struct{ short, bestEffort, longRunning, bound waitingTasks }

func (w *waitingTasks) add(waitedMs int64) {
	w.tasks++
	w.longestMs = max(w.longestMs, waitedMs)
}

func (w waitingTasks) String() string {
	return fmt.Sprintf("tasks=%d longestMs=%d", w.tasks, w.longestMs)
}

// countWaiting counts the tasks of steps that may start now.
func countWaiting(now time.Time, s *tbflow.State) waitingByKind {
	var all waitingByKind
	nowMs := s.TimeAt(now)
	for _, j := range s.Active() {
		if !j.HasWaitingTasks() {
			continue
		}
		for k := range j.Tasks {
			if !j.IsDue(k, now) {
				continue
			}
			for i := range j.Steps {
				if j.WaitingTasks(k, i) > 0 && j.StepReady(k, i) {
					all.addStep(nowMs, s, j, k, i)
				}
			}
		}
	}
	return all
}

func (all *waitingByKind) addStep(nowMs int64, s *tbflow.State, j *tbflow.Job, k, i int) {
	kind := &all.short
	switch {
	case j.Steps[i].LongRunning:
		kind = &all.longRunning
	case j.Steps[i].BestEffort:
		kind = &all.bestEffort
	}
	for n := range j.Tasks[k][i] {
		t := &j.Tasks[k][i][n]
		if t.Phase != tbflow.TaskWaiting || !j.HasAttempts(i, t) {
			continue
		}
		kind.add(nowMs - t.WaitingSinceMs)
		if len(s.Outstanding) > 0 && s.IsBound(tbflow.TaskRef{Job: j.ID, Occurrence: k, Step: i, Index: n}) {
			all.bound.add(nowMs - t.WaitingSinceMs)
		}
	}
}

// logSummary logs once per summaryInterval how many workers may get tasks and what keeps the others from it, which tasks
// wait, and what bounds best-effort starts.
func (l *flowLeaderState) logSummary(c *Control, now time.Time) {
	if now.Before(l.summary.nextAt) {
		return
	}
	l.summary.nextAt = now.Add(summaryInterval)
	usable, excluded := tbassign.CountWorkers(now, c.state.Flow, l.fleet)
	workers := usable
	reasons := make([]string, 0, len(excluded))
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		workers += excluded[reason]
		reasons = append(reasons, fmt.Sprintf("%s=%d", reason, excluded[reason]))
	}
	waiting := countWaiting(now, c.state.Flow)
	answerTime, _ := l.fleet.AnswerTime()
	c.emit(Log{Message: "workers and waiting tasks", Args: []any{
		"term", c.replica.Term(), "workers", workers, "usable", usable, "unusable", reasons,
		"short", waiting.short.String(), "bestEffort", waiting.bestEffort.String(), "longRunning", waiting.longRunning.String(), "bound", waiting.bound.String(),
		"window", l.planner.Window(), "underWay", l.summary.underWay, "answerMs", answerTime.Milliseconds(), "late", l.planner.IsLate(),
	}})
}
