package tbflow

import (
	"maps"
	"slices"
)

// A task has MaxFailures attempts. The state ends a job when a run of its task fails for the last time, but a new
// configuration may lower MaxFailures while the task waits, or while a run is executing that then ends in another way
// than by failing. Such a task may not start again, and nothing else would end its job.
//
// The state keeps a list of the jobs with such tasks, and the leader ends them with FailExhausted. The commands that
// put a job on the list do not end it themselves: replicas of an earlier version have applied the same commands without
// that, and their snapshots may hold such jobs.

// FailExhausted ends jobs with a waiting task that has no attempts left. Jobs without such a task are left alone.
type FailExhausted struct{ Jobs []string }

func (FailExhausted) isCommand() {}

// HasAttempts reports whether a task of a step may start again after its failures.
func (j *Job) HasAttempts(step int, t *Task) bool {
	return j.Steps[step].LongRunning || t.Failures < j.MaxFailures
}

// ExhaustedJobs returns the sorted IDs of the jobs that FailExhausted would end.
func (s *State) ExhaustedJobs() []string { return slices.Sorted(maps.Keys(s.exhausted)) }

// noteExhausted updates the list of exhausted jobs after the end of a run of a task.
func (s *State) noteExhausted(j *Job, ref TaskRef, t *Task) {
	switch {
	case s.exhausted[j.ID]:
		// The task may be done by a start that got no answer.
		s.findExhausted(j)
	case isExhausted(j, ref, t):
		s.exhausted[j.ID] = true
	}
}

// findExhausted updates the list of exhausted jobs after any change to a job.
func (s *State) findExhausted(j *Job) {
	delete(s.exhausted, j.ID)
	j.EachTask(func(ref TaskRef, t *Task) {
		if isExhausted(j, ref, t) {
			s.exhausted[j.ID] = true
		}
	})
}

// isExhausted reports whether a task waits and has no attempts left, while its job goes on.
func isExhausted(j *Job, ref TaskRef, t *Task) bool {
	return !j.Phase.Ended() && t.Phase == TaskWaiting && !j.HasAttempts(ref.Step, t)
}

func (s *State) failExhausted(c FailExhausted) {
	for _, id := range c.Jobs {
		if s.exhausted[id] {
			s.endJob(s.Jobs[id], Failed)
		}
	}
}
