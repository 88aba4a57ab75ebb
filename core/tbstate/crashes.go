package tbstate

// A task may crash each worker that starts it. Other tasks on these workers are harmless, and workers also
// crash by themselves.

// Bounds of the crashes after which a job fails.
const (
	// youngTaskMs is the time, in milliseconds, after which a task no longer counts as the cause of a crash.
	// It includes the time until the worker is back.
	youngTaskMs = 60_000
	// A job fails after minCrashes crashes in a row, if minSoleCrashes of them left no other task as the
	// cause, and after maxCrashes of them in any case.
	minCrashes     = 3
	minSoleCrashes = 2
	maxCrashes     = 5
)

// countCrash counts a crash of a worker for the tasks that it had. It fails the jobs whose task has crashed
// too many workers.
func (s *State) countCrash(worker string) {
	tasks := s.TasksOn(worker)
	young := 0
	for _, j := range tasks {
		if s.isYoung(j) {
			young++
		}
	}
	for _, j := range tasks {
		if !s.isYoung(j) {
			j.Crashes, j.SoleCrashes = 0, 0
			continue
		}
		j.Crashes++
		if young == 1 {
			j.SoleCrashes++
		}
		if (j.Crashes >= maxCrashes || j.Crashes >= minCrashes && j.SoleCrashes >= minSoleCrashes) && !j.Cancelled {
			s.release(j)
			s.endJob(j, JobFailed, CrashedWorkers)
		}
	}
}

func (s *State) isYoung(j *Job) bool { return s.NowMs-j.StartedMs < youngTaskMs }
