package tbstate

import (
	"bytes"
	"fmt"

	"tamarackbarrow/core/tbresource"
)

// learnWeight is the weight of one run in the mean run time of its kind.
const learnWeight = 0.2

func (s *State) submitJob(c SubmitJob) Outcome {
	j := c.Job
	if known := s.Jobs[j.ID]; known != nil {
		same := known.Kind == j.Kind && known.Team == j.Team && known.Urgent == j.Urgent
		if same && (known.Phase.Ended() || bytes.Equal(known.Payload, j.Payload)) {
			return Outcome{}
		}
		return Outcome{Reason: JobIDTaken, Detail: fmt.Sprintf("job %q has other content", j.ID)}
	}
	b := s.Bundle()
	if b == nil {
		return Outcome{Reason: NoBundleInForce}
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
			Detail: fmt.Sprintf("one job of kind %q needs more than the whole quota of team %q", kind.Name, team.Name),
		}
	}
	if s.queued.count >= MaxQueuedJobs {
		return Outcome{Reason: TooManyJobs}
	}
	added := Job{
		ID: j.ID, Kind: j.Kind, Team: j.Team, Payload: j.Payload, Urgent: j.Urgent,
		Resources: kind.Resources, Rank: kind.Rank, Phase: JobQueued,
		SubmittedMs: s.NowMs, Seq: s.NextSeq, Changed: s.Applied,
	}
	s.NextSeq++
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
		s.touchTask(j)
	}
	return Outcome{}
}

func (s *State) touchTask(j *Job) {
	j.Changed = s.Applied
	s.touch(TaskRecord, j.ID)
}

func (s *State) endJob(j *Job, phase JobPhase, reason Reason) {
	j.Phase = phase
	j.Reason = reason
	j.EndedMs = s.NowMs
	j.Payload = nil
	j.Changed = s.Applied
	s.ended = append(s.ended, j)
}

// expireJobs forgets jobs that ended long ago.
func (s *State) expireJobs() {
	for len(s.ended) > 0 && s.ended[0].EndedMs+EndedJobRetention.Milliseconds() < s.NowMs {
		delete(s.Jobs, s.ended[0].ID)
		s.ended = s.ended[1:]
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
	case c.Epoch != j.Epoch+1:
		return Outcome{Reason: StaleEpoch}
	case w == nil:
		return Outcome{Reason: WorkerUnknown}
	case w.Phase != WorkerPresent:
		return Outcome{Reason: WorkerUnavailable}
	case !s.reserved[w.ID].Add(j.Resources).Fits(w.Capacity):
		return Outcome{Reason: ResourcesExceeded}
	case !s.WithinQuota(j):
		return Outcome{Reason: QuotaExceeded}
	}
	s.queued.remove(j)
	j.Phase = JobRunning
	j.Reason = OK
	j.Worker = w.ID
	j.WorkerIncarnation = w.Incarnation
	j.Epoch = c.Epoch
	j.StartedMs = s.NowMs
	s.place(j)
	s.touchTask(j)
	return Outcome{}
}

// WithinQuota reports whether the job's team may start it now.
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

func (s *State) place(j *Job) {
	if s.tasks[j.Worker] == nil {
		s.tasks[j.Worker] = map[string]*Job{}
	}
	s.tasks[j.Worker][j.ID] = j
	s.reserved[j.Worker] = s.reserved[j.Worker].Add(j.Resources)
	s.teamUse[j.Team] = s.teamUse[j.Team].Add(j.Resources)
}

func (s *State) unplace(j *Job) {
	delete(s.tasks[j.Worker], j.ID)
	s.reserved[j.Worker] = subtract(s.reserved[j.Worker], j.Resources)
	s.teamUse[j.Team] = subtract(s.teamUse[j.Team], j.Resources)
	j.Worker = ""
	j.WorkerIncarnation = 0
	s.touchTask(j)
}

func subtract(a, b tbresource.Amount) tbresource.Amount {
	if !b.Fits(a) {
		panic(fmt.Sprintf("resources %+v are released but only %+v are held", b, a))
	}
	return a.Sub(b)
}

func (s *State) evictTask(c EvictTask) Outcome {
	j := s.Jobs[c.Job]
	switch {
	case j == nil:
		return Outcome{Reason: JobUnknown}
	case j.Epoch != c.Epoch || !j.Phase.Placed():
		return Outcome{Reason: StaleEpoch}
	}
	if j.Phase == JobRunning {
		j.Phase = JobStopping
		j.Reason = c.Reason
		if c.Reason == EvictedForOutrun {
			j.LongClass = true
		}
		s.touchTask(j)
	}
	return Outcome{}
}

// requeue ends the present epoch and lets the job start again from its checkpoint.
func (s *State) requeue(j *Job, reason Reason) {
	s.unplace(j)
	if j.Cancelled {
		s.endJob(j, JobCancelled, CancelledByOperator)
		return
	}
	j.Phase = JobQueued
	j.Reason = reason
	j.Evictions++
	s.queued.add(j)
}

func (s *State) reportTask(c ReportTask) Outcome {
	j := s.Jobs[c.Job]
	switch {
	case j == nil:
		return Outcome{Reason: JobUnknown}
	case j.Epoch == c.Epoch && j.Phase == JobFinished && c.Phase == TaskFinished:
		// A resent report of the run that counted.
		return Outcome{}
	case j.Epoch != c.Epoch || !j.Phase.Placed() || j.Worker != c.Worker:
		return Outcome{Reason: StaleEpoch, Detail: fmt.Sprintf("job %q is in epoch %d, phase %s", j.ID, j.Epoch, j.Phase)}
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
		s.noteWorkerResult(j.Worker, true)
		s.requeue(j, j.Reason)
	}
	return Outcome{}
}

func (s *State) finishTask(j *Job, c ReportTask) {
	s.noteWorkerResult(j.Worker, false)
	s.unplace(j)
	s.endJob(j, JobFinished, OK)
	s.learn(j.Kind, float64(j.RanMs+c.RanMs))
}

func (s *State) failTask(j *Job) {
	s.noteWorkerResult(j.Worker, true)
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
	s.unplace(j)
	s.endJob(j, JobFailed, TooManyFailures)
}

func (s *State) learn(kind string, ranMs float64) {
	k := s.Kinds[kind]
	if k == nil {
		k = &KindStats{Kind: kind, MeanMs: ranMs}
		s.Kinds[kind] = k
	}
	k.Runs++
	weight := max(learnWeight, 1/float64(k.Runs))
	k.MeanMs += weight * (ranMs - k.MeanMs)
}
