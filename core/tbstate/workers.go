package tbstate

// Limits of the backoff during which a worker whose tasks keep failing receives no new task.
const (
	backoffAfterFailures = 3
	minBackoffMs         = 10_000
	maxBackoffMs         = 600_000
)

func (s *State) recordWorkerChange(w *Worker) {
	w.Changed = s.Applied
	s.recordChange(WorkerRecord, w.ID)
}

func (s *State) announceWorker(c AnnounceWorker) Outcome {
	existing := s.Workers[c.Worker.ID]
	if existing != nil && c.Worker.Incarnation < existing.Incarnation {
		return Outcome{Reason: StaleIncarnation}
	}
	if existing != nil && c.Worker.Incarnation == existing.Incarnation {
		return s.updateWorkerPhase(existing, c.Worker)
	}
	added := c.Worker
	if existing != nil {
		// The tasks of the previous incarnation ended with that incarnation.
		if existing.Phase != WorkerDraining {
			s.countCrash(existing.ID)
		}
		s.requeueAll(existing.ID, WorkerLost)
		added.ConsecutiveFailures = existing.ConsecutiveFailures
		added.BackoffUntilMs = existing.BackoffUntilMs
	}
	s.Workers[added.ID] = &added
	s.recordWorkerChange(&added)
	return Outcome{}
}

// updateWorkerPhase sets the phase that a worker announces, except that a draining worker stays draining.
func (s *State) updateWorkerPhase(existing *Worker, w Worker) Outcome {
	if existing.Phase == WorkerDraining || existing.Phase == w.Phase {
		return Outcome{}
	}
	existing.Phase = w.Phase
	s.recordWorkerChange(existing)
	if w.Phase == WorkerDraining {
		s.evictAll(existing.ID)
	}
	return Outcome{}
}

func (s *State) findWorker(id string, incarnation uint64) *Worker {
	w := s.Workers[id]
	if w == nil || w.Incarnation != incarnation {
		return nil
	}
	return w
}

func (s *State) fenceWorker(c FenceWorker) Outcome {
	w := s.findWorker(c.ID, c.Incarnation)
	if w == nil || w.Phase == WorkerGone {
		return Outcome{Reason: WorkerUnknown}
	}
	if w.Phase != WorkerFenced {
		w.Phase = WorkerFenced
		s.recordWorkerChange(w)
	}
	return Outcome{}
}

func (s *State) markWorkerGone(c MarkWorkerGone) Outcome {
	w := s.findWorker(c.ID, c.Incarnation)
	if w == nil || w.Phase != WorkerFenced || w.Changed != c.FencedAt {
		return Outcome{Reason: WorkerUnknown}
	}
	w.Phase = WorkerGone
	s.recordWorkerChange(w)
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
	s.recordWorkerChange(w)
	s.evictAll(w.ID)
	return Outcome{}
}

func (s *State) evictAll(worker string) {
	for _, j := range s.TasksOn(worker) {
		s.evictTask(EvictTask{Job: j.ID, Run: j.Run, Reason: EvictedForDrain})
	}
}

func (s *State) requeueAll(worker string, reason Reason) {
	for _, j := range s.TasksOn(worker) {
		s.requeue(j, reason)
	}
}

// recordTaskResult counts consecutive failures on a worker. After backoffAfterFailures of them, the
// worker gets a backoff of minBackoffMs. Each further failure doubles the backoff, up to maxBackoffMs.
func (s *State) recordTaskResult(id string, failed bool) {
	w := s.Workers[id]
	if w == nil {
		return
	}
	if !failed {
		w.ConsecutiveFailures = 0
		return
	}
	w.ConsecutiveFailures++
	if w.ConsecutiveFailures < backoffAfterFailures {
		return
	}
	doublings := min(w.ConsecutiveFailures-backoffAfterFailures, 6)
	backoffMs := min(int64(minBackoffMs)<<doublings, maxBackoffMs)
	w.BackoffUntilMs = s.NowMs + backoffMs
	s.recordWorkerChange(w)
}
