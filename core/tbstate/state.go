package tbstate

import (
	"fmt"
	"maps"
	"slices"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// State is the replicated state; its exported fields are read-only outside this package.
type State struct {
	// NowMs is the latest time of any applied batch, in milliseconds since 1970.
	NowMs int64
	// Applied is the log index of the last applied batch.
	Applied uint64
	Bundles map[uint64]*tbbundle.Bundle
	// ActiveVersion is the version of the active bundle, or 0 before the first roll-out.
	ActiveVersion uint64
	Sessions      map[string]*Session
	Runners       map[string]*Runner
	Workers       map[string]*Worker
	Jobs          map[string]*Job
	Claims        map[ClaimKey]*Claim
	Kinds         map[string]*KindStats
	// NextSeq is the Seq of the next submitted job.
	NextSeq uint64
	// Flow holds the multi-step jobs.
	Flow *tbflow.State

	queued queuedJobs
	// tasksByWorker holds the placed jobs by worker and job id.
	tasksByWorker    map[string]map[string]*Job
	reservedByWorker map[string]tbresource.Amount
	teamUse          map[string]tbresource.Amount
	claimCounts      map[string]int
	// answerBytes is the size of the answers in Claims, and payloadBytes that of the payloads in Jobs.
	answerBytes   int
	payloadBytes  int
	claimExpiries expiryHeap
	endedJobs     []*Job
	changeLog     changeLog
}

// New returns an empty state.
func New() *State {
	return &State{
		Bundles:          map[uint64]*tbbundle.Bundle{},
		Sessions:         map[string]*Session{},
		Runners:          map[string]*Runner{},
		Workers:          map[string]*Worker{},
		Jobs:             map[string]*Job{},
		Claims:           map[ClaimKey]*Claim{},
		Kinds:            map[string]*KindStats{},
		Flow:             tbflow.New(),
		tasksByWorker:    map[string]map[string]*Job{},
		reservedByWorker: map[string]tbresource.Amount{},
		teamUse:          map[string]tbresource.Amount{},
		claimCounts:      map[string]int{},
	}
}

// Apply applies the batch at a log index and returns one outcome for each command.
//
// It panics if index is not above Applied.
func (s *State) Apply(index uint64, b Batch) []Outcome {
	if index <= s.Applied {
		panic(fmt.Sprintf("apply of log index %d: index %d is already applied", index, s.Applied))
	}
	s.Applied = index
	s.NowMs = max(s.NowMs, b.NowMs)
	// What has expired must not be in the way of the first command after a time without any.
	s.expireClaims()
	s.expireJobs()
	outcomes := make([]Outcome, len(b.Commands))
	for i, c := range b.Commands {
		outcomes[i] = s.apply(c)
	}
	s.expireClaims()
	s.expireJobs()
	return outcomes
}

func (s *State) apply(c Command) Outcome {
	switch c := c.(type) {
	case SignOff:
		return s.signOff(c)
	case RollOut:
		return s.rollOut(c)
	case OpenSession:
		return s.openSession(c)
	case CloseSession:
		return s.closeSession(c)
	case AnnounceRunner:
		return s.announceRunner(c)
	case MarkRunnerAbsent:
		return s.markRunnerAbsent(c)
	case RemoveRunner:
		return s.removeRunner(c)
	case SetGrants:
		return s.setGrants(c)
	case ReleaseSlots:
		return s.releaseSlots(c)
	case AnnounceWorker:
		return s.announceWorker(c)
	case FenceWorker:
		return s.fenceWorker(c)
	case MarkWorkerGone:
		return s.markWorkerGone(c)
	case DrainWorker:
		return s.drainWorker(c)
	case SubmitJob:
		return s.submitJob(c)
	case CancelJob:
		return s.cancelJob(c)
	case StartTask:
		return s.startTask(c)
	case EvictTask:
		return s.evictTask(c)
	case ReportTask:
		return s.reportTask(c)
	case AcquireClaim:
		return s.acquireClaim(c)
	case FinishClaim:
		return s.finishClaim(c)
	case FlowChange:
		return Outcome{Reason: Reason(s.Flow.Apply(s.NowMs, c.Command))}
	}
	panic(fmt.Sprintf("unknown command type %T", c))
}

// Bundle returns the active bundle, or nil before the first roll-out.
func (s *State) Bundle() *tbbundle.Bundle { return s.Bundles[s.ActiveVersion] }

// Reserved returns the resources reserved on a worker by its placed jobs.
func (s *State) Reserved(worker string) tbresource.Amount { return s.reservedByWorker[worker] }

// TeamUse returns the resources reserved by the placed jobs of a team.
func (s *State) TeamUse(team string) tbresource.Amount { return s.teamUse[team] }

// TasksOn returns the jobs placed on a worker in order of submission.
func (s *State) TasksOn(worker string) []*Job {
	jobs := slices.Collect(maps.Values(s.tasksByWorker[worker]))
	slices.SortFunc(jobs, compareSeq)
	return jobs
}

// EachTask calls visit for each job placed on a worker, in no particular order.
func (s *State) EachTask(worker string, visit func(*Job)) {
	for _, j := range s.tasksByWorker[worker] {
		visit(j)
	}
}

// TaskCount returns the number of jobs placed on a worker.
func (s *State) TaskCount(worker string) int { return len(s.tasksByWorker[worker]) }

// EachQueued calls visit for each queued job until visit returns false. Urgent jobs come first, then
// jobs of higher rank. Jobs of the same urgency and rank come in order of submission.
func (s *State) EachQueued(visit func(*Job) bool) { s.queued.each(visit) }

// QueuedCount returns the number of queued jobs.
func (s *State) QueuedCount() int { return s.queued.count }

// SessionKeys returns the keys of all sessions, sorted.
func (s *State) SessionKeys() []string { return slices.Sorted(maps.Keys(s.Sessions)) }

// RunnerIDs returns the ids of all runners, sorted.
func (s *State) RunnerIDs() []string { return slices.Sorted(maps.Keys(s.Runners)) }

// WorkerIDs returns the ids of all workers, sorted.
func (s *State) WorkerIDs() []string { return slices.Sorted(maps.Keys(s.Workers)) }

func compareSeq(a, b *Job) int {
	switch {
	case a.Seq < b.Seq:
		return -1
	case a.Seq > b.Seq:
		return 1
	}
	return 0
}
