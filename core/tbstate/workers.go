package tbstate

// Probation of a worker on which everything fails.
const (
	probationAfterFailures = 3
	probationFirstMs       = 10_000
	probationLongestMs     = 600_000
)

func (s *State) touchWorker(w *Worker) {
	w.Changed = s.Applied
	s.touch(WorkerRecord, w.ID)
}

func (s *State) announceWorker(c AnnounceWorker) Outcome {
	known := s.Workers[c.Worker.ID]
	if known != nil && c.Worker.Incarnation < known.Incarnation {
		return Outcome{Reason: StaleIncarnation}
	}
	if known != nil && c.Worker.Incarnation == known.Incarnation {
		return s.returnWorker(known, c.Worker)
	}
	added := c.Worker
	if known != nil {
		// The tasks of the old incarnation ended with it.
		s.requeueAll(known.ID, WorkerLost)
		added.Failures = known.Failures
		added.ProbationUntilMs = known.ProbationUntilMs
	}
	s.Workers[added.ID] = &added
	s.touchWorker(&added)
	return Outcome{}
}

// returnWorker handles a worker that is heard again or starts to leave.
func (s *State) returnWorker(known *Worker, w Worker) Outcome {
	if known.Phase == WorkerDraining || known.Phase == w.Phase {
		return Outcome{}
	}
	known.Phase = w.Phase
	s.touchWorker(known)
	if w.Phase == WorkerDraining {
		s.evictAll(known.ID)
	}
	return Outcome{}
}

func (s *State) worker(id string, incarnation uint64) *Worker {
	w := s.Workers[id]
	if w == nil || w.Incarnation != incarnation {
		return nil
	}
	return w
}

func (s *State) fenceWorker(c FenceWorker) Outcome {
	w := s.worker(c.ID, c.Incarnation)
	if w == nil || w.Phase == WorkerGone {
		return Outcome{Reason: WorkerUnknown}
	}
	if w.Phase != WorkerFenced {
		w.Phase = WorkerFenced
		s.touchWorker(w)
	}
	return Outcome{}
}

func (s *State) loseWorker(c LoseWorker) Outcome {
	w := s.worker(c.ID, c.Incarnation)
	if w == nil || w.Phase != WorkerFenced || w.Changed != c.FencedAt {
		return Outcome{Reason: WorkerUnknown}
	}
	w.Phase = WorkerGone
	s.touchWorker(w)
	s.requeueAll(w.ID, WorkerLost)
	return Outcome{}
}

func (s *State) drainWorker(c DrainWorker) Outcome {
	w := s.Workers[c.ID]
	if w == nil {
		return Outcome{Reason: WorkerUnknown, Detail: c.ID}
	}
	if w.Phase != WorkerPresent {
		return Outcome{}
	}
	w.Phase = WorkerDraining
	s.touchWorker(w)
	s.evictAll(w.ID)
	return Outcome{}
}

func (s *State) evictAll(worker string) {
	for _, j := range s.TasksOn(worker) {
		s.evictTask(EvictTask{Job: j.ID, Epoch: j.Epoch, Reason: EvictedForDrain})
	}
}

func (s *State) requeueAll(worker string, reason Reason) {
	for _, j := range s.TasksOn(worker) {
		s.requeue(j, reason)
	}
}

// noteWorkerResult puts a worker on growing probation when everything fails on it.
func (s *State) noteWorkerResult(id string, failed bool) {
	w := s.Workers[id]
	if w == nil {
		return
	}
	if !failed {
		w.Failures = 0
		return
	}
	w.Failures++
	if w.Failures < probationAfterFailures {
		return
	}
	doublings := min(w.Failures-probationAfterFailures, 6)
	pause := min(int64(probationFirstMs)<<doublings, probationLongestMs)
	w.ProbationUntilMs = s.NowMs + pause
	s.touchWorker(w)
}
