package tbflow

import "slices"

// AssignRefusal returns why the state would reject an assignment, or OK. The state also rejects the assignments of the
// other members of a gang if it rejects one with InEvacuated.
func (s *State) AssignRefusal(a Assignment) Reason {
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
	case t.Phase != TaskWaiting:
		return TaskNotWaiting
	case a.Run <= s.lastRun(a.Ref, t):
		return RunStale
	case !j.HasAttempts(a.Ref.Step, t):
		return AttemptsUsed
	case !j.StepReady(a.Ref.Occurrence, a.Ref.Step):
		return NotReady
	case !s.MayAssign(a.Ref, a.Worker):
		return StartOutstanding
	case j.Steps[a.Ref.Step].Gang && s.isInEvacuated(a):
		return InEvacuated
	}
	return s.workerRefusal(a.Worker, a.Incarnation)
}

func (s *State) assign(a Assignment) Reason {
	if reason := s.AssignRefusal(a); reason != OK {
		return reason
	}
	s.ensureWorkerRecord(a.Worker, a.Incarnation)
	j := s.Jobs[a.Ref.Job]
	t := j.Task(a.Ref)
	delete(s.Copies, a.Ref)
	j.setPhase(a.Ref, t, TaskAssigned)
	t.Run, t.Worker, t.Incarnation, t.AssignedMs = a.Run, a.Worker, a.Incarnation, s.NowMs
	s.addRun(j, a.Ref, t)
	if j.Phase == Queued {
		j.Phase = Running
	}
	return OK
}

// workerRefusal returns why no run may be assigned to a worker incarnation, or OK.
func (s *State) workerRefusal(worker string, incarnation int64) Reason {
	w := s.Workers[worker]
	switch {
	case w == nil || w.Incarnation < incarnation:
		// The assignment creates the record of the incarnation.
	case w.Incarnation != incarnation:
		return OtherIncarnation
	case w.Draining:
		return WorkerDraining
	case s.IsEvacuated(w.DataCentre):
		return InEvacuated
	}
	return OK
}

// ensureWorkerRecord returns the record of a worker, which may be that of a later incarnation. It
// creates a missing record and replaces that of an earlier incarnation.
func (s *State) ensureWorkerRecord(worker string, incarnation int64) *WorkerRecord {
	w := s.Workers[worker]
	if w == nil || w.Incarnation < incarnation {
		w = &WorkerRecord{Incarnation: incarnation}
		s.Workers[worker] = w
	}
	return w
}

func (s *State) addRun(j *Job, ref TaskRef, t *Task) {
	if s.assignedTasks[t.Worker] == nil {
		s.assignedTasks[t.Worker] = map[TaskRef]*Task{}
	}
	s.assignedTasks[t.Worker][ref] = t
	s.runChanges[t.Worker]++
	u := s.usageByWorker[t.Worker]
	u.addNeed(&j.Steps[ref.Step], 1)
	s.usageByWorker[t.Worker] = u
}

// Add adds the capacity that one task of a step occupies.
func (u *Usage) Add(step *Step) { u.addNeed(step, 1) }

func (u *Usage) addNeed(step *Step, sign int64) {
	u.Reserved.MemoryMB += sign * step.Need.MemoryMB
	u.Reserved.Accelerators += sign * step.Need.Accelerators
	if step.BestEffort {
		u.BestEffortMilliProcessors += sign * step.Need.MilliProcessors
		return
	}
	u.Reserved.MilliProcessors += sign * step.Need.MilliProcessors
}

func (s *State) removeRun(j *Job, ref TaskRef, t *Task) {
	s.subtractRun(j, ref, t.Worker)
	delete(s.Listed, ref)
	t.Worker, t.Incarnation = "", 0
	j.setPhase(ref, t, TaskWaiting)
	t.WaitingSinceMs = s.NowMs
}

// subtractRun removes a run from the worker's runs and usage.
func (s *State) subtractRun(j *Job, ref TaskRef, worker string) {
	delete(s.assignedTasks[worker], ref)
	s.runChanges[worker]++
	u := s.usageByWorker[worker]
	u.addNeed(&j.Steps[ref.Step], -1)
	s.usageByWorker[worker] = u
}

func (s *State) recordListed(c RecordListed) {
	for _, r := range c.Runs {
		if t := s.assignedTasks[c.Worker][r.Ref]; t != nil && t.Run == r.Run && t.Incarnation == c.Incarnation {
			s.Listed[r.Ref] = r.Run
		}
	}
}

// IsListed reports whether RecordListed has recorded the assigned run of a task.
func (s *State) IsListed(ref TaskRef, run uint64) bool {
	recorded, ok := s.Listed[ref]
	return ok && recorded == run
}

func (s *State) recordEnds(c RecordEnds) Reason {
	if w := s.ensureWorkerRecord(c.Worker, c.Incarnation); w.Incarnation == c.Incarnation {
		w.LastRecordedEnd = max(w.LastRecordedEnd, c.LastEnd)
	}
	for _, e := range c.Ends {
		s.endRun(c.Worker, c.Incarnation, e)
	}
	return OK
}

func (s *State) endRun(worker string, incarnation int64, e End) {
	j := s.Jobs[e.Ref.Job]
	if j == nil {
		return
	}
	t := j.Task(e.Ref)
	if t == nil || t.Phase != TaskAssigned || t.Run != e.Run || t.Worker != worker || t.Incarnation != incarnation {
		if t != nil && !s.endCopy(worker, incarnation, j, t, e) {
			s.endOutstanding(worker, j, t, e)
		}
		return
	}
	if s.endFirstOfTwo(worker, j, t, e) {
		return
	}
	s.removeRun(j, e.Ref, t)
	s.applyEnd(worker, j, t, e)
}

// applyEnd applies the end of a run, which is not assigned any more, to its task and its job. Another run of the
// task may still be assigned.
func (s *State) applyEnd(worker string, j *Job, t *Task, e End) {
	step := &j.Steps[e.Ref.Step]
	j.HasRun = j.HasRun || e.Kind != EndNeverRan
	if j.Phase == Running && !j.HasRun && !s.hasAssignedRun(j) {
		j.Phase = Queued
	}
	if e.Checkpoint != "" && !step.LongRunning && t.Phase == TaskWaiting {
		t.Checkpoint = e.Checkpoint
	}
	switch {
	case e.Kind == EndDone && !step.LongRunning:
		j.setPhase(e.Ref, t, TaskDone)
		if !s.Copies[e.Ref].IsAssigned() {
			delete(s.Copies, e.Ref)
		}
		if step.Gang {
			s.completeGang(j, e)
		}
		s.resetWaitingSince(j, e.Ref)
		s.completeIfDone(j)
	case e.Kind == EndFailed && !step.LongRunning:
		t.Failures++
		t.LastFailedOn = worker
		if t.Failures >= j.MaxFailures && !j.Phase.Ended() {
			s.endJob(j, Failed)
		}
	case e.Kind == EndFailed:
		t.LastFailedOn = worker
	}
	s.noteExhausted(j, e.Ref, t)
}

// resetWaitingSince is called when the task ref is done. If all tasks of that step are done, it
// sets WaitingSinceMs to the state's time for the tasks of each step that thereby becomes ready.
func (s *State) resetWaitingSince(j *Job, ref TaskRef) {
	if !j.StepDone(ref.Occurrence, ref.Step) {
		return
	}
	for i := range j.Steps {
		if !slices.Contains(j.Steps[i].DependsOn, ref.Step) || !j.StepReady(ref.Occurrence, i) {
			continue
		}
		for n := range j.Tasks[ref.Occurrence][i] {
			j.Tasks[ref.Occurrence][i][n].WaitingSinceMs = s.NowMs
		}
	}
}

// completeGang marks all tasks of a gang done, because one of them has ended successfully.
func (s *State) completeGang(j *Job, e End) {
	tasks := j.Tasks[e.Ref.Occurrence][e.Ref.Step]
	for i := range tasks {
		ref := e.Ref
		ref.Index = i
		if t := &tasks[i]; t.Phase == TaskAssigned {
			s.removeRun(j, ref, t)
		}
		j.setPhase(ref, &tasks[i], TaskDone)
	}
}

func (s *State) completeIfDone(j *Job) {
	if j.Phase.Ended() {
		return
	}
	for k := range j.Tasks {
		for step := range j.Tasks[k] {
			if !j.StepDone(k, step) {
				return
			}
		}
	}
	s.endJob(j, Completed)
}
