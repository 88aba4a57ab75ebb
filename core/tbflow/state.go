package tbflow

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbresource"
)

// EndedRetention is how long an ended job is kept, so that callers can query its result.
const EndedRetention = 150 * time.Second

// WorkerRecord is the stored state of one incarnation of a worker.
type WorkerRecord struct {
	Incarnation int64
	// LastRecordedEnd is the number of an end, or 0. All ends that this incarnation listed with
	// numbers up to LastRecordedEnd are recorded.
	LastRecordedEnd uint64
	Draining        bool
	// Address is empty until a report of this incarnation is recorded.
	Address    string
	Class      string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   tbresource.Amount
	// SignedOff is true once the incarnation has signed off, after it was drained.
	SignedOff bool
}

// Usage is the capacity that the runs assigned to a worker occupy.
type Usage struct {
	// Reserved includes the memory and accelerators of all tasks. It includes the processors of all
	// tasks except best-effort ones.
	Reserved tbresource.Amount
	// BestEffortMilliProcessors is the sum of the processors that best-effort tasks request, in
	// thousandths of a processor.
	BestEffortMilliProcessors int64
}

// State is the replicated state. Other packages may only read the exported fields.
type State struct {
	// NowMs is the state's time: the newest time of any batch of commands, in milliseconds since
	// 1970.
	NowMs   int64
	Config  Config
	Jobs    map[string]*Job
	Workers map[string]*WorkerRecord
	// NextSeq is the Job.Seq that the next submitted job gets.
	NextSeq uint64
	// Interference holds the learned effects of best-effort images on co-located long-running
	// images.
	Interference []Interference
	// Listed holds the numbers of the assigned runs that RecordListed has recorded.
	Listed map[TaskRef]uint64
	// Crashes holds the crashes of workers under each task, in the order in which they were recorded.
	Crashes map[TaskRef][]Crash
	// Lost holds, by worker, the runs that were lost in silence.
	Lost map[string]LostRuns
	// Outstanding holds the outstanding starts of each task.
	Outstanding map[TaskRef][]OutstandingStart
	// Silent holds the workers that are recorded as silent.
	Silent map[string]bool
	// Evacuations holds, by data centre, what is known of the orders to evacuate it.
	Evacuations map[string]Evacuation
	// DataCentres holds the data centres in which a worker was ever recorded.
	DataCentres map[string]bool
	// Copies holds the second runs of tasks.
	Copies map[TaskRef]CopyRun

	// activeJobs holds the jobs that have not ended, in order of submission.
	activeJobs []*Job
	// assignedTasks holds, for each worker, the tasks that have a run assigned to the worker. For the second run of
	// a task, the entry is a task with that run alone.
	assignedTasks map[string]map[TaskRef]*Task
	usageByWorker map[string]Usage
	// runChanges holds, for each worker, how often a run was added or removed.
	runChanges map[string]uint64
	// endedJobs holds the ended jobs that are still kept, in the order in which they ended.
	endedJobs []*Job
	// jobBytes is the sum of the sizes of all jobs, see Job.storedBytes.
	jobBytes int
	// exhausted holds the IDs of the active jobs with a waiting task that has no attempts left.
	exhausted map[string]bool
	// anchor is set by AnchorTime.
	anchor timeAnchor
}

// New returns an empty state.
func New() *State {
	return &State{
		Jobs: map[string]*Job{}, Workers: map[string]*WorkerRecord{}, Listed: map[TaskRef]uint64{},
		Crashes: map[TaskRef][]Crash{}, Lost: map[string]LostRuns{}, Outstanding: map[TaskRef][]OutstandingStart{}, Silent: map[string]bool{},
		Evacuations: map[string]Evacuation{}, DataCentres: map[string]bool{}, Copies: map[TaskRef]CopyRun{},
		assignedTasks: map[string]map[TaskRef]*Task{}, usageByWorker: map[string]Usage{}, runChanges: map[string]uint64{},
		exhausted: map[string]bool{},
	}
}

// Rebuild computes the unexported fields after the exported ones were restored from a snapshot. Snapshots of earlier
// versions hold no data centres.
func (s *State) Rebuild() {
	for _, id := range slices.Sorted(maps.Keys(s.Workers)) {
		s.addDataCentre(s.Workers[id].DataCentre)
	}
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return int(int64(a.Seq) - int64(b.Seq)) })
	for _, j := range jobs {
		if !j.Phase.Ended() {
			s.activeJobs = append(s.activeJobs, j)
		} else {
			s.endedJobs = append(s.endedJobs, j)
		}
		j.countTasks()
		s.jobBytes += j.storedBytes()
		s.findExhausted(j)
		j.EachTask(func(ref TaskRef, t *Task) {
			if t.Phase == TaskAssigned {
				s.addRun(j, ref, t)
			}
			if c := s.Copies[ref]; c.IsAssigned() {
				s.addRun(j, ref, c.asTask(t))
			}
		})
	}
	slices.SortStableFunc(s.endedJobs, func(a, b *Job) int { return int(a.EndedMs - b.EndedMs) })
}

// Active returns the jobs that have not ended, in order of submission.
func (s *State) Active() []*Job { return s.activeJobs }

// Usage returns the capacity that the runs assigned to a worker occupy.
func (s *State) Usage(worker string) Usage { return s.usageByWorker[worker] }

// RunChanges returns a counter that increases whenever a run is added to or removed from a worker.
func (s *State) RunChanges(worker string) uint64 { return s.runChanges[worker] }

// EachRun calls visit for each run assigned to a worker, in no particular order.
func (s *State) EachRun(worker string, visit func(ref TaskRef, t *Task)) {
	for ref, t := range s.assignedTasks[worker] {
		visit(ref, t)
	}
}

// RunCount returns the number of runs assigned to a worker.
func (s *State) RunCount(worker string) int { return len(s.assignedTasks[worker]) }

// BusyWorkers returns the sorted IDs of the workers with assigned runs.
func (s *State) BusyWorkers() []string {
	var ids []string
	for id, runs := range s.assignedTasks {
		if len(runs) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// StepOf returns the step of a task, or nil if the task does not exist.
func (s *State) StepOf(ref TaskRef) *Step {
	j := s.Jobs[ref.Job]
	if j == nil || j.Task(ref) == nil {
		return nil
	}
	return &j.Steps[ref.Step]
}

// Apply executes one command. It returns the reason if the command was rejected. nowMs is the time
// of the batch of commands that contains c, in milliseconds since 1970. Assign and AssignCopies return
// OK even if some of their assignments were rejected.
func (s *State) Apply(nowMs int64, c Command) Reason {
	s.NowMs = max(s.NowMs, nowMs)
	s.removeExpired()
	switch c := c.(type) {
	case PutConfig:
		return s.putConfig(c)
	case Submit:
		return s.submit(c)
	case Cancel:
		return s.cancel(c)
	case Assign:
		gangs := s.evacuatedGangs(c.Assignments)
		for _, a := range c.Assignments {
			if !gangs[gangKeyOf(a.Ref)] {
				s.assign(a)
			}
		}
		return OK
	case AssignCopies:
		for _, a := range c.Assignments {
			s.assignCopy(a)
		}
		return OK
	case RecordEnds:
		return s.recordEnds(c)
	case RecordInterference:
		s.Interference = c.Interference
		return OK
	case RecordListed:
		s.recordListed(c)
		return OK
	case RecordWorker:
		s.recordWorker(c)
		return OK
	case RemoveWorker:
		if w := s.Workers[c.Worker]; w != nil && w.Incarnation == c.Incarnation && len(s.assignedTasks[c.Worker]) == 0 {
			delete(s.Workers, c.Worker)
			delete(s.Lost, c.Worker)
		}
		return OK
	case RecordCrash:
		s.recordCrash(c)
		return OK
	case RecordLost:
		s.recordLost(c)
		return OK
	case RecordProven:
		s.recordProven(c)
		return OK
	case RecordUnanswered:
		s.recordUnanswered(c)
		return OK
	case RecordSettled:
		s.recordSettled(c)
		return OK
	case RecordSilent:
		s.Silent[c.Worker] = true
		return OK
	case RecordSilenceEnded:
		delete(s.Silent, c.Worker)
		return OK
	case RecordSignedOff:
		if w := s.Workers[c.Worker]; w != nil && w.Incarnation == c.Incarnation {
			w.SignedOff = true
		}
		return OK
	case FailExhausted:
		s.failExhausted(c)
		return OK
	case SetEvacuation:
		return s.setEvacuation(c)
	case RecordDraining:
		if w := s.ensureWorkerRecord(c.Worker, c.Incarnation); w.Incarnation == c.Incarnation {
			w.Draining = true
		}
		return OK
	}
	panic(fmt.Sprintf("tbflow: unknown command type %T", c))
}

func (s *State) putConfig(c PutConfig) Reason {
	if c.Config.Version <= s.Config.Version {
		return OK
	}
	s.Config = c.Config
	for _, j := range s.activeJobs {
		if q := s.Config.Queue(j.Queue); q != nil {
			maxFailures := j.MaxFailures
			if j.copyQueueSettings(q); j.MaxFailures != maxFailures {
				s.findExhausted(j)
			}
		}
	}
	return OK
}

func (j *Job) copyQueueSettings(q *Queue) {
	j.WorkerClass, j.Priority, j.MaxFailures = q.WorkerClass, q.Priority, q.MaxFailures
	j.Target, j.Slack = q.Target, q.Slack
}

func (s *State) submit(c Submit) Reason {
	if s.Config.Version == 0 {
		return NoConfig
	}
	if s.Jobs[c.Job.ID] != nil {
		return OK
	}
	q := s.Config.Match(c.Host, c.Path)
	if q == nil {
		return QueueUnknown
	}
	if c.Job.Validate() != nil {
		return JobInvalid
	}
	j := c.Job
	j.Queue = q.Key
	j.copyQueueSettings(q)
	j.Phase, j.SubmittedMs, j.Seq = Queued, s.NowMs, s.NextSeq
	s.NextSeq++
	occurrences := max(1, j.Repeat)
	j.Tasks = make([][][]Task, occurrences)
	for k := range j.Tasks {
		j.Tasks[k] = make([][]Task, len(j.Steps))
		for i, step := range j.Steps {
			j.Tasks[k][i] = make([]Task, step.Count)
			for n := range j.Tasks[k][i] {
				j.Tasks[k][i][n].WaitingSinceMs = s.NowMs
			}
		}
	}
	j.countTasks()
	s.Jobs[j.ID] = &j
	s.jobBytes += j.storedBytes()
	s.activeJobs = append(s.activeJobs, &j)
	return OK
}

// Find returns the job with this ID, or nil. The job is found only if host is the host of its queue
// and path starts with the prefix of its queue.
func (s *State) Find(id, host, path string) *Job {
	j := s.Jobs[id]
	if j == nil || j.Queue.Host != host || len(path) < len(j.Queue.Prefix) || path[:len(j.Queue.Prefix)] != j.Queue.Prefix {
		return nil
	}
	return j
}

func (s *State) cancel(c Cancel) Reason {
	j := s.Find(c.ID, c.Host, c.Path)
	if j == nil {
		return JobUnknown
	}
	if !j.Phase.Ended() {
		s.endJob(j, Cancelled)
	}
	return OK
}

func (s *State) endJob(j *Job, p JobPhase) {
	j.Phase = p
	j.EndedMs = s.NowMs
	delete(s.exhausted, j.ID)
	s.activeJobs = slices.DeleteFunc(s.activeJobs, func(other *Job) bool { return other == j })
	s.endedJobs = append(s.endedJobs, j)
}

// removeExpired removes the ended jobs that were kept for EndedRetention and have no assigned run. Which
// jobs are removed does not depend on the order of jobs that ended at the same time, because that order is
// not the same on a replica that has read a snapshot.
func (s *State) removeExpired() {
	n := s.expiredJobCount(s.NowMs)
	if n == 0 {
		return
	}
	kept := make([]*Job, 0, len(s.endedJobs)-n)
	for _, j := range s.endedJobs[:n] {
		if s.hasAssignedRun(j) {
			kept = append(kept, j)
			continue
		}
		s.removeCrashes(j)
		s.removeOutstandingOf(j)
		s.removeCopiesOf(j)
		s.jobBytes -= j.storedBytes()
		delete(s.Jobs, j.ID)
	}
	s.endedJobs = append(kept, s.endedJobs[n:]...)
}

// expiredJobCount returns how many ended jobs have been kept for EndedRetention at nowMs. These are the
// first ones of endedJobs.
func (s *State) expiredJobCount(nowMs int64) int {
	n := 0
	for n < len(s.endedJobs) && s.endedJobs[n].EndedMs+EndedRetention.Milliseconds() < nowMs {
		n++
	}
	return n
}

// recordWorker stores a worker's address and properties, so that a new leader can poll it at once.
func (s *State) recordWorker(c RecordWorker) {
	w := s.ensureWorkerRecord(c.Worker, c.Incarnation)
	if w.Incarnation != c.Incarnation {
		return
	}
	w.Address, w.Class, w.DataCentre, w.Rack = c.Address, c.Class, c.DataCentre, c.Rack
	w.Labels, w.Capacity = c.Labels, c.Capacity
	s.addDataCentre(c.DataCentre)
}

// QueuedJobs returns the number of a queue's jobs in phase Queued.
func (s *State) QueuedJobs(key QueueKey) int {
	n := 0
	for _, j := range s.activeJobs {
		if j.Queue == key && j.Phase == Queued {
			n++
		}
	}
	return n
}
