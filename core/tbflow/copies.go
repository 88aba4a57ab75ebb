package tbflow

// A step that allows it gets a second run of a task that takes much longer than usual. The run that ends first
// counts, and the leader stops the other one.
//
// The task itself holds one run, and Copies the other. Each has its own number and occupies its own worker. If the
// task's run ends without success, the copy takes its place, so that a task with a run always holds one. If the copy
// is done first, the task's run moves to Copies, where it stays until its end is recorded. A copy that has ended
// without success leaves its number behind, because numbers keep rising.

// CopyRun is the second run of a task.
type CopyRun struct {
	// Run is the number of the run, which is not that of any other run of the task.
	Run uint64
	// Worker and Incarnation identify the worker incarnation to which the run is assigned. They are empty once
	// the run has ended.
	Worker      string
	Incarnation int64
	// AssignedMs is the time of the assignment, in the state's time in milliseconds since 1970.
	AssignedMs int64
}

// IsAssigned reports whether the run is assigned to a worker.
func (c CopyRun) IsAssigned() bool { return c.Worker != "" }

// AssignCopies records assignments of second runs of tasks that have one already. The start orders are sent to
// the workers only after that.
type AssignCopies struct{ Assignments []Assignment }

func (AssignCopies) isCommand() {}

// MayCopy reports whether a second run of a task of the step may execute beside the first. Tasks of a gang make
// progress only together, and long-running tasks do not end.
func (step *Step) MayCopy() bool { return step.Speculative && !step.Gang && !step.LongRunning }

// AssignedRun returns the run of a task that is assigned to the worker as a task with this run alone, or nil.
func (s *State) AssignedRun(worker string, ref TaskRef) *Task { return s.assignedTasks[worker][ref] }

// NextRun returns the number of the next run of a task, which is higher than those of all earlier ones.
func (s *State) NextRun(ref TaskRef) uint64 { return s.lastRun(ref, s.task(ref)) + 1 }

// lastRun returns the number of the newest run of a task.
func (s *State) lastRun(ref TaskRef, t *Task) uint64 { return max(t.Run, s.Copies[ref].Run) }

// EachRunOf calls visit for each worker to which a run of the job is assigned.
func (s *State) EachRunOf(j *Job, visit func(ref TaskRef, worker string)) {
	j.EachTask(func(ref TaskRef, t *Task) {
		if t.Phase == TaskAssigned {
			visit(ref, t.Worker)
		}
		if len(s.Copies) > 0 && s.Copies[ref].IsAssigned() {
			visit(ref, s.Copies[ref].Worker)
		}
	})
}

// hasAssignedRun reports whether a run of any task of the job is assigned to a worker.
func (s *State) hasAssignedRun(j *Job) bool {
	found := false
	s.EachRunOf(j, func(TaskRef, string) { found = true })
	return found
}

// CopyRefusal returns why the state would reject the assignment of a second run, or OK.
func (s *State) CopyRefusal(a Assignment) Reason {
	j := s.Jobs[a.Ref.Job]
	if j == nil {
		return JobUnknown
	}
	t := j.Task(a.Ref)
	switch {
	case t == nil:
		return TaskUnknown
	case j.Phase.Ended():
		return JobEnded
	case !j.Steps[a.Ref.Step].MayCopy():
		return CopyNotAllowed
	case t.Phase != TaskAssigned || s.Copies[a.Ref].IsAssigned() || t.Worker == a.Worker:
		return CopyNotAllowed
	case a.Run <= s.lastRun(a.Ref, t):
		return RunStale
	case t.Failures+1 >= j.MaxFailures:
		// If the copy failed as the last attempt, the job would fail although the first run goes on.
		return AttemptsUsed
	case !s.MayAssign(a.Ref, a.Worker):
		return StartOutstanding
	}
	return s.workerRefusal(a.Worker, a.Incarnation)
}

func (s *State) assignCopy(a Assignment) Reason {
	if reason := s.CopyRefusal(a); reason != OK {
		return reason
	}
	s.ensureWorkerRecord(a.Worker, a.Incarnation)
	s.addCopy(s.Jobs[a.Ref.Job], a.Ref, CopyRun{Run: a.Run, Worker: a.Worker, Incarnation: a.Incarnation, AssignedMs: s.NowMs})
	return OK
}

// addCopy makes a run the second one of a task.
func (s *State) addCopy(j *Job, ref TaskRef, c CopyRun) {
	s.Copies[ref] = c
	s.addRun(j, ref, c.asTask(j.Task(ref)))
}

// asTask returns a task with this run alone.
func (c CopyRun) asTask(t *Task) *Task {
	return &Task{Phase: TaskAssigned, Run: c.Run, Worker: c.Worker, Incarnation: c.Incarnation, Checkpoint: t.Checkpoint, AssignedMs: c.AssignedMs}
}

// endFirstOfTwo records the end of the run of a task that has a copy, and reports whether it has one. If the run
// is done, so is the task, and the copy stays assigned until its end is recorded. Otherwise the copy takes its place.
func (s *State) endFirstOfTwo(worker string, j *Job, t *Task, e End) bool {
	c := s.Copies[e.Ref]
	if !c.IsAssigned() {
		return false
	}
	s.subtractRun(j, e.Ref, t.Worker)
	if e.Kind == EndDone {
		t.Worker, t.Incarnation, t.WaitingSinceMs = "", 0, s.NowMs
		s.applyEnd(worker, j, t, e)
		return true
	}
	delete(s.Copies, e.Ref)
	t.Run, t.Worker, t.Incarnation, t.AssignedMs = c.Run, c.Worker, c.Incarnation, c.AssignedMs
	s.assignedTasks[t.Worker][e.Ref] = t
	s.applyEnd(worker, j, t, e)
	return true
}

// endCopy records the end of the second run of a task, and reports whether it is that run.
func (s *State) endCopy(worker string, incarnation int64, j *Job, t *Task, e End) bool {
	c := s.Copies[e.Ref]
	if c.Worker != worker || c.Run != e.Run || c.Incarnation != incarnation || !c.IsAssigned() {
		return false
	}
	s.subtractRun(j, e.Ref, worker)
	switch {
	case t.Phase == TaskDone:
		delete(s.Copies, e.Ref)
		return true
	case e.Kind == EndDone:
		// The task's run is the one to be stopped now. AssignedMs of the task stays, because that is when the
		// task began to execute.
		s.Copies[e.Ref] = CopyRun{Run: t.Run, Worker: t.Worker, Incarnation: t.Incarnation, AssignedMs: t.AssignedMs}
		s.assignedTasks[t.Worker][e.Ref] = s.Copies[e.Ref].asTask(t)
		t.Run, t.Worker, t.Incarnation, t.WaitingSinceMs = c.Run, "", 0, s.NowMs
	default:
		s.Copies[e.Ref] = CopyRun{Run: c.Run}
	}
	s.applyEnd(worker, j, t, e)
	return true
}

// removeCopiesOf removes what is left of the copies of a job's tasks.
func (s *State) removeCopiesOf(j *Job) {
	if len(s.Copies) == 0 {
		return
	}
	j.EachTask(func(ref TaskRef, _ *Task) { delete(s.Copies, ref) })
}
