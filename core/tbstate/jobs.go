package tbstate

import (
	"bytes"
	"fmt"

	"tamarackbarrow/core/tbresource"
)

// minRunWeight is the smallest weight of a new run in the mean run time of its kind; the first
// 1/minRunWeight runs count equally.
const minRunWeight = 0.2

func (s *State) submitJob(c SubmitJob) Outcome {
	j := c.Job
	if existing := s.Jobs[j.ID]; existing != nil {
		same := existing.Kind == j.Kind && existing.Team == j.Team && existing.Urgent == j.Urgent
		if same && (existing.Phase.Ended() || bytes.Equal(existing.Payload, j.Payload)) {
			return Outcome{}
		}
		return Outcome{Reason: JobIDTaken, Detail: fmt.Sprintf("job %q already exists with different content", j.ID)}
	}
	b := s.Bundle()
	if b == nil {
		return Outcome{Reason: NoActiveBundle}
	}
	kind, ok := b.Kind(j.Kind)
	if !ok {
		return Outcome{Reason: JobKindUnknown, Detail: j.Kind}
	}
	team, ok := b.Team(j.Team)
	if !ok {
		return Outcome{Reason: TeamUnknown, Detail: j.Team}
	}
	if !kind.Resources.Fits(team.Quota) {
		return Outcome{
			Reason: NeverSchedulable,
			Detail: fmt.Sprintf("one job of kind %q exceeds the whole quota of team %q", kind.Name, team.Name),
		}
	}
	if s.queued.count >= MaxQueuedJobs || s.payloadBytes+len(j.Payload) > MaxPayloadBytes {
		return Outcome{Reason: TooManyJobs, Detail: fmt.Sprintf("%d jobs are queued, at most %d may be; jobs have %d bytes of payload, at most %d are allowed",
			s.queued.count, MaxQueuedJobs, s.payloadBytes+len(j.Payload), MaxPayloadBytes)}
	}
	added := Job{
		ID: j.ID, Kind: j.Kind, Team: j.Team, Payload: j.Payload, Urgent: j.Urgent,
		Resources: kind.Resources, Rank: kind.Rank, Phase: JobQueued,
		SubmittedMs: s.NowMs, Seq: s.NextSeq, Changed: s.Applied,
	}
	s.NextSeq++
	s.payloadBytes += len(j.Payload)
	s.Jobs[added.ID] = &added
	s.queued.add(&added)
	return Outcome{}
}

func (s *State) cancelJob(c CancelJob) Outcome {
	j := s.Jobs[c.ID]
	if j == nil {
		return Outcome{Reason: JobUnknown, Detail: c.ID}
	}
	switch {
	case j.Phase == JobCancelled || j.Cancelled:
	case j.Phase.Ended():
		return Outcome{Reason: JobEnded, Detail: string(j.Phase)}
	case j.Phase == JobQueued:
		s.queued.remove(j)
		s.endJob(j, JobCancelled, CancelledByOperator)
	default:
		j.Cancelled = true
		j.Phase = JobStopping
		s.recordTaskChange(j)
	}
	return Outcome{}
}

func (s *State) recordTaskChange(j *Job) {
	j.Changed = s.Applied
	s.recordChange(TaskRecord, j.ID)
}

func (s *State) endJob(j *Job, phase JobPhase, reason Reason) {
	j.Phase = phase
	j.Reason = reason
	j.EndedMs = s.NowMs
	s.payloadBytes -= len(j.Payload)
	j.Payload = nil
	j.Changed = s.Applied
	s.endedJobs = append(s.endedJobs, j)
}

// expireJobs deletes jobs that ended more than EndedJobRetention ago.
func (s *State) expireJobs() {
	for len(s.endedJobs) > 0 && s.endedJobs[0].EndedMs+EndedJobRetention.Milliseconds() < s.NowMs {
		delete(s.Jobs, s.endedJobs[0].ID)
		s.endedJobs = s.endedJobs[1:]
	}
}

func (s *State) startTask(c StartTask) Outcome {
	j := s.Jobs[c.Job]
	w := s.Workers[c.Worker]
	switch {
	case j == nil:
		return Outcome{Reason: JobUnknown}
	case j.Phase != JobQueued:
		return Outcome{Reason: JobNotQueued}
	case c.Run != j.Run+1:
		return Outcome{Reason: StaleRun}
	case w == nil:
		return Outcome{Reason: WorkerUnknown}
	case w.Phase != WorkerPresent, s.Flow.IsEvacuated(w.DataCentre):
		return Outcome{Reason: WorkerUnavailable}
	case !s.reservedByWorker[w.ID].Add(j.Resources).Fits(w.Capacity):
		return Outcome{Reason: ResourcesExceeded}
	case !s.WithinQuota(j):
		return Outcome{Reason: QuotaExceeded}
	}
	s.queued.remove(j)
	j.Phase = JobRunning
	j.Reason = OK
	j.Worker = w.ID
	j.WorkerIncarnation = w.Incarnation
	j.Run = c.Run
	j.StartedMs = s.NowMs
	s.reserve(j)
	s.recordTaskChange(j)
	return Outcome{}
}

// WithinQuota reports whether the team's quota has room for the job.
func (s *State) WithinQuota(j *Job) bool {
	b := s.Bundle()
	if b == nil {
		return false
	}
	team, ok := b.Team(j.Team)
	if !ok {
		return false
	}
	return s.teamUse[j.Team].Add(j.Resources).Fits(team.Quota)
}

func (s *State) reserve(j *Job) {
	if s.tasksByWorker[j.Worker] == nil {
		s.tasksByWorker[j.Worker] = map[string]*Job{}
	}
	s.tasksByWorker[j.Worker][j.ID] = j
	s.reservedByWorker[j.Worker] = s.reservedByWorker[j.Worker].Add(j.Resources)
	s.teamUse[j.Team] = s.teamUse[j.Team].Add(j.Resources)
}

func (s *State) release(j *Job) {
	delete(s.tasksByWorker[j.Worker], j.ID)
	s.reservedByWorker[j.Worker] = mustSubtract(s.reservedByWorker[j.Worker], j.Resources)
	s.teamUse[j.Team] = mustSubtract(s.teamUse[j.Team], j.Resources)
	j.Worker = ""
	j.WorkerIncarnation = 0
	s.recordTaskChange(j)
}

func mustSubtract(a, b tbresource.Amount) tbresource.Amount {
	if !b.Fits(a) {
		panic(fmt.Sprintf("release of resources %+v exceeds the reserved %+v", b, a))
	}
	return a.Sub(b)
}

func (s *State) evictTask(c EvictTask) Outcome {
	j := s.Jobs[c.Job]
	switch {
	case j == nil:
		return Outcome{Reason: JobUnknown}
	case j.Run != c.Run || !j.Phase.Placed():
		return Outcome{Reason: StaleRun}
	}
	if j.Phase == JobRunning {
		j.Phase = JobStopping
		j.Reason = c.Reason
		if c.Reason == EvictedForExceedingShortBound {
			j.RanLong = true
		}
		s.recordTaskChange(j)
	}
	return Outcome{}
}

// requeue ends the current run and queues the job again, or ends the job if it is cancelled. The next
// run resumes from the last checkpoint, if there is one.
func (s *State) requeue(j *Job, reason Reason) {
	s.release(j)
	if j.Cancelled {
		s.endJob(j, JobCancelled, CancelledByOperator)
		return
	}
	j.Phase = JobQueued
	j.Reason = reason
	j.Requeues++
	s.queued.add(j)
}

func (s *State) reportTask(c ReportTask) Outcome {
	j := s.Jobs[c.Job]
	switch {
	case j == nil:
		return Outcome{Reason: JobUnknown}
	case j.Run == c.Run && j.Phase == JobFinished && c.Phase == TaskFinished:
		// A resent report of the run that finished the job.
		return Outcome{}
	case j.Run != c.Run || !j.Phase.Placed() || j.Worker != c.Worker:
		return Outcome{Reason: StaleRun, Detail: fmt.Sprintf("job %q is in run %d, phase %s", j.ID, j.Run, j.Phase)}
	}
	switch c.Phase {
	case TaskFinished:
		s.finishTask(j, c)
	case TaskFailed:
		s.failTask(j)
	case TaskStopped:
		if c.Checkpoint != "" {
			j.Checkpoint = c.Checkpoint
			j.RanMs += c.RanMs
		}
		s.requeue(j, j.Reason)
	case TaskRefused:
		s.recordTaskResult(j.Worker, true)
		s.requeue(j, j.Reason)
	}
	return Outcome{}
}

func (s *State) finishTask(j *Job, c ReportTask) {
	s.recordTaskResult(j.Worker, false)
	s.release(j)
	s.endJob(j, JobFinished, OK)
	s.updateMeanRunTime(j.Kind, float64(j.RanMs+c.RanMs))
}

func (s *State) failTask(j *Job) {
	s.recordTaskResult(j.Worker, true)
	j.Failures++
	limit := 1
	if b := s.Bundle(); b != nil {
		if kind, ok := b.Kind(j.Kind); ok {
			limit = kind.MaxFailures
		}
	}
	if j.Failures < limit || j.Cancelled {
		s.requeue(j, j.Reason)
		return
	}
	s.release(j)
	s.endJob(j, JobFailed, TooManyFailures)
}

func (s *State) updateMeanRunTime(kind string, ranMs float64) {
	k := s.Kinds[kind]
	if k == nil {
		k = &KindStats{Kind: kind, MeanMs: ranMs}
		s.Kinds[kind] = k
	}
	k.FinishedJobs++
	weight := max(minRunWeight, 1/float64(k.FinishedJobs))
	k.MeanMs += weight * (ranMs - k.MeanMs)
}
