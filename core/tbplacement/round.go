package tbplacement

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbneighbour"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
)

// workerState is a worker with its resources and tasks. It includes the starts and the evictions
// for urgent jobs that this round has planned so far.
type workerState struct {
	worker *tbstate.Worker
	// unreserved is the capacity that no task has reserved, or zero if probing is true and the
	// worker has a task.
	unreserved tbresource.Amount
	// free is the unreserved capacity minus the reservations for nominated jobs.
	free tbresource.Amount
	// stopping is the capacity reserved by tasks that are being evicted or cancelled.
	stopping tbresource.Amount
	// services holds the service of each runner on the worker's instance. tasks holds all tasks on
	// the worker.
	services []string
	tasks    []tbneighbour.Task
	// probing is true from the end of a backoff until a task finishes without failure. Meanwhile the
	// worker gets one task at a time.
	probing bool
}

// placementKey groups queued jobs. Once one job of a group could not be placed, the round does not
// try the others, except urgent ones.
type placementKey struct {
	size  tbresource.Amount
	class durationClass
	team  string
}

// round is the working state of one call of Plan, which is one scheduling round.
type round struct {
	p   *Planner
	s   *tbstate.State
	now time.Time
	// nowMs is the state's time at now, in milliseconds since 1970.
	nowMs    int64
	workers  []*workerState
	capacity tbresource.Amount
	// longUse is the total reserved by long jobs, including those that this round starts.
	longUse tbresource.Amount
	// shortUse is the total reserved by placed short jobs whose kind isKnownShort reports as short.
	shortUse tbresource.Amount
	// teamUse is the total reserved by the starts of this round, by team.
	teamUse map[string]tbresource.Amount
	scanned int
	starts  int
	// unplaceable holds, by key, why a job with that key could not be placed in this round.
	unplaceable map[placementKey]WaitReason
	// observedLongKinds are the kinds of which most placed tasks have exceeded ShortBound.
	observedLongKinds map[string]bool
	// unplacedShort is the total size of the short jobs that found no free resources.
	unplacedShort tbresource.Amount
	// maxUnplacedShortRank is the highest rank of the jobs in unplacedShort.
	maxUnplacedShortRank int
	colocations          []colocation
	commands             []tbstate.Command
}

func newRound(p *Planner, s *tbstate.State, now time.Time) *round {
	r := &round{p: p, s: s, now: now, nowMs: s.TimeAt(now), teamUse: map[string]tbresource.Amount{}, unplaceable: map[placementKey]WaitReason{}}
	r.findObservedLongKinds()
	for _, id := range s.WorkerIDs() {
		w := s.Workers[id]
		if w.Phase != tbstate.WorkerPresent || s.Flow.IsEvacuated(w.DataCentre) {
			continue
		}
		r.capacity = r.capacity.Add(w.Capacity)
		if w.BackoffUntilMs > r.nowMs {
			continue
		}
		r.workers = append(r.workers, r.newWorkerState(w))
	}
	r.reserveForNominated()
	r.findColocations()
	return r
}

// findObservedLongKinds finds the kinds of which most placed tasks have exceeded ShortBound. Very
// long jobs finish too late for the mean run time to show that their kind is long.
func (r *round) findObservedLongKinds() {
	r.observedLongKinds = map[string]bool{}
	overMinusUnder := map[string]int{}
	for _, id := range r.s.WorkerIDs() {
		r.s.EachTask(id, func(j *tbstate.Job) {
			if r.exceedsShortBound(j) {
				overMinusUnder[j.Kind]++
				return
			}
			overMinusUnder[j.Kind]--
		})
	}
	for kind, n := range overMinusUnder {
		r.observedLongKinds[kind] = n > 0
	}
}

func (r *round) newWorkerState(w *tbstate.Worker) *workerState {
	st := &workerState{worker: w, unreserved: w.Capacity.Sub(r.s.Reserved(w.ID))}
	st.probing = w.BackoffUntilMs > 0 && w.ConsecutiveFailures > 0
	if st.probing && r.s.TaskCount(w.ID) > 0 {
		st.unreserved = tbresource.Amount{}
	}
	st.free = st.unreserved
	r.s.EachTask(w.ID, func(j *tbstate.Job) {
		if r.classOf(j) == longJob {
			r.longUse = r.longUse.Add(j.Resources)
		} else if r.isKnownShort(j.Kind) {
			r.shortUse = r.shortUse.Add(j.Resources)
		}
		st.tasks = append(st.tasks, st.task(j))
		if j.Phase == tbstate.JobStopping {
			st.stopping = st.stopping.Add(j.Resources)
		}
	})
	return st
}

// reserveForNominated reserves resources on nominated workers for the nominated jobs.
func (r *round) reserveForNominated() {
	for id, n := range r.p.nominated {
		if st := r.workerByID(n.worker); st != nil {
			st.free = st.free.Sub(r.s.Jobs[id].Resources)
		}
	}
}

func (r *round) workerByID(id string) *workerState {
	for _, st := range r.workers {
		if st.worker.ID == id {
			return st
		}
	}
	return nil
}

// planJob plans one queued job and reports whether to continue with the next.
func (r *round) planJob(j *tbstate.Job) bool {
	r.scanned++
	if r.scanned > r.p.cfg.MaxScanned || r.starts >= r.p.cfg.MaxStarts {
		return false
	}
	c := r.classOf(j)
	key := placementKey{size: j.Resources, class: c, team: j.Team}
	n, isNominated := r.p.nominated[j.ID]
	if reason, known := r.unplaceable[key]; known && !isNominated && !j.Urgent {
		r.recordWait(j, c, reason)
		return true
	}
	if !r.withinQuota(j) {
		r.unplaceable[key] = WaitQuota
		r.recordWait(j, c, WaitQuota)
		return true
	}
	if isNominated {
		r.startNominated(j, n)
		return true
	}
	st, reason := r.bestWorker(j, c)
	if st != nil {
		r.startJob(j, c, st)
		return true
	}
	if j.Urgent && reason == WaitNoRoom && r.preempt(j) {
		reason = WaitForEviction
	} else {
		r.unplaceable[key] = reason
	}
	r.recordWait(j, c, reason)
	return true
}

func (r *round) recordWait(j *tbstate.Job, c durationClass, reason WaitReason) {
	r.p.waitReasons[j.ID] = reason
	if c == shortJob && reason == WaitNoRoom {
		r.unplacedShort = r.unplacedShort.Add(j.Resources)
		r.maxUnplacedShortRank = max(r.maxUnplacedShortRank, j.Rank)
	}
}

// withinQuota is like State.WithinQuota but includes the starts planned in this round.
func (r *round) withinQuota(j *tbstate.Job) bool {
	b := r.s.Bundle()
	if b == nil {
		return false
	}
	team, ok := b.Team(j.Team)
	if !ok {
		return false
	}
	used := r.s.TeamUse(j.Team).Add(r.teamUse[j.Team])
	return used.Add(j.Resources).Fits(team.Quota)
}

// bestWorker returns the worker with the least capacity left after placing the job (best fit), so
// that empty workers remain for large jobs. If there is none, it returns nil and the reason.
func (r *round) bestWorker(j *tbstate.Job, c durationClass) (*workerState, WaitReason) {
	if len(r.workers) == 0 {
		return nil, WaitNoWorkers
	}
	if c == longJob && !j.Urgent && r.wouldUseShortShare(j) {
		return nil, WaitReservedForShort
	}
	var best *workerState
	var bestLeft float64
	reason := WaitFitsNoWorker
	for _, st := range r.workers {
		if !j.Resources.Fits(st.worker.Capacity) {
			continue
		}
		if !j.Resources.Fits(st.free) {
			if reason != WaitWouldSlow {
				reason = WaitNoRoom
			}
			continue
		}
		if !j.Urgent && r.wouldSlowService(st, j) {
			reason = WaitWouldSlow
			continue
		}
		left := st.free.Sub(j.Resources).DominantShare(st.worker.Capacity)
		if best == nil || left < bestLeft {
			best, bestLeft = st, left
		}
	}
	return best, reason
}

// wouldUseShortShare reports whether a long job would use capacity reserved for short jobs.
//
// The share is reserved in the total of all workers, not on each worker. On a worker of 32
// processors, a share of 0.13 is about 4 processors. If these were reserved on that worker, a
// fourth job of 8 processors would not fit, and 8 processors would be idle.
func (r *round) wouldUseShortShare(j *tbstate.Job) bool {
	return r.longUse.Add(j.Resources).DominantShare(r.capacity) > 1-r.p.shortShare
}

func (r *round) startJob(j *tbstate.Job, c durationClass, st *workerState) {
	st.free = st.free.Sub(j.Resources)
	st.unreserved = st.unreserved.Sub(j.Resources)
	if c == longJob {
		r.longUse = r.longUse.Add(j.Resources)
	}
	if st.probing {
		st.free, st.unreserved = tbresource.Amount{}, tbresource.Amount{}
	}
	st.tasks = append(st.tasks, st.task(j))
	r.teamUse[j.Team] = r.teamUse[j.Team].Add(j.Resources)
	r.starts++
	r.commands = append(r.commands, tbstate.StartTask{Job: j.ID, Worker: st.worker.ID, Run: j.Run + 1})
}

// startNominated starts an urgent job once the tasks evicted for the job have stopped.
func (r *round) startNominated(j *tbstate.Job, n nomination) {
	st := r.workerByID(n.worker)
	if st == nil {
		delete(r.p.nominated, j.ID)
		return
	}
	if !j.Resources.Fits(st.unreserved) {
		// recordWait uses the class only if the reason is WaitNoRoom.
		r.recordWait(j, shortJob, WaitForEviction)
		return
	}
	// reserveForNominated has subtracted the resources of this job from free, and startJob
	// subtracts them again.
	st.free = st.free.Add(j.Resources)
	delete(r.p.nominated, j.ID)
	r.startJob(j, r.classOf(j), st)
}

// preempt nominates a worker for an urgent job and reports whether a worker was found. It prefers a
// worker whose stopping tasks will free enough resources. Otherwise it evicts tasks of the worker
// where that costs least.
func (r *round) preempt(j *tbstate.Job) bool {
	for _, st := range r.workers {
		if j.Resources.Fits(st.free.Add(st.stopping)) {
			r.nominate(j, st)
			return true
		}
	}
	var best []*tbstate.Job
	var bestWorker *workerState
	for _, st := range r.workers {
		if !j.Resources.Fits(st.worker.Capacity) {
			continue
		}
		victims, ok := r.selectVictims(st, j)
		if !ok || float64(len(victims)) > r.p.evictionTokens {
			continue
		}
		if best == nil || r.evictionCostMs(victims) < r.evictionCostMs(best) {
			best, bestWorker = victims, st
		}
	}
	if bestWorker == nil {
		return false
	}
	for _, v := range best {
		r.evict(v, tbstate.EvictedForUrgentJob)
		bestWorker.stopping = bestWorker.stopping.Add(v.Resources)
	}
	r.nominate(j, bestWorker)
	return true
}

// nominate reserves resources on a worker for a job until the job starts there, but at most for
// NominationTimeout.
func (r *round) nominate(j *tbstate.Job, st *workerState) {
	st.free = st.free.Sub(j.Resources)
	r.p.nominated[j.ID] = nomination{worker: st.worker.ID, until: r.now.Add(r.p.cfg.NominationTimeout)}
}

// selectVictims returns tasks of a worker whose eviction frees enough resources for j, in the order
// of evictable. It returns false if evicting all evictable tasks does not suffice.
func (r *round) selectVictims(st *workerState, j *tbstate.Job) ([]*tbstate.Job, bool) {
	room := st.free.Add(st.stopping)
	var chosen []*tbstate.Job
	for _, t := range r.evictable(st, j) {
		if j.Resources.Fits(room) {
			break
		}
		room = room.Add(t.Resources)
		chosen = append(chosen, t)
	}
	return chosen, j.Resources.Fits(room)
}

// evictable returns the tasks of a worker that may be evicted for j. Tasks of the lowest rank come
// first and, within a rank, those that lose the least run time.
func (r *round) evictable(st *workerState, j *tbstate.Job) []*tbstate.Job {
	var tasks []*tbstate.Job
	for _, t := range r.s.TasksOn(st.worker.ID) {
		if t.Phase != tbstate.JobRunning || t.Urgent || t.Rank > j.Rank || r.recentlyEvicted(t) {
			continue
		}
		tasks = append(tasks, t)
	}
	slices.SortStableFunc(tasks, func(a, b *tbstate.Job) int {
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		return cmp.Compare(r.lostRunMs(a), r.lostRunMs(b))
	})
	return tasks
}

func (r *round) recentlyEvicted(t *tbstate.Job) bool {
	at, ok := r.p.lastEvicted[t.ID]
	return ok && r.now.Sub(at) < r.p.cfg.MinEvictionInterval
}

// lostRunMs returns the run time in milliseconds that an eviction discards.
func (r *round) lostRunMs(j *tbstate.Job) int64 {
	if isCheckpointable(r.s, j) {
		return 0
	}
	return r.nowMs - j.StartedMs
}

// evictionCostMs returns the cost of evicting jobs, in milliseconds of lost run time.
func (r *round) evictionCostMs(jobs []*tbstate.Job) int64 {
	// Each evicted task costs as much as 1 s of lost run time.
	sum := int64(len(jobs)) * 1000
	for _, j := range jobs {
		sum += r.lostRunMs(j)
	}
	return sum
}

func isCheckpointable(s *tbstate.State, j *tbstate.Job) bool {
	b := s.Bundle()
	if b == nil {
		return false
	}
	kind, ok := b.Kind(j.Kind)
	return ok && kind.Checkpointable
}

func (r *round) evict(j *tbstate.Job, reason tbstate.Reason) {
	r.p.evictionTokens--
	r.p.lastEvicted[j.ID] = r.now
	r.commands = append(r.commands, tbstate.EvictTask{Job: j.ID, Run: j.Run, Reason: reason})
}

// evictForShort evicts long tasks for short jobs that found no free resources.
//
// The share reserved for short jobs decays while there are no short jobs. A burst of short jobs
// would then wait until long tasks end. Therefore long tasks that can resume from a checkpoint are
// evicted. No more are evicted than needed, and each at most once per MinEvictionInterval.
//
// A backlog of short jobs could keep evicting long tasks. Therefore evictions stop once long tasks
// use only capacity outside the share reserved for short jobs.
func (r *round) evictForShort() {
	if !r.p.cfg.LearnRunTimes {
		return
	}
	needed := r.unplacedShort
	longUse := r.longUse
	for _, st := range r.workers {
		needed = needed.Sub(st.stopping)
		longUse = longUse.Sub(st.stopping)
	}
	for _, st := range r.workers {
		for _, j := range r.s.TasksOn(st.worker.ID) {
			enough := needed.MilliProcessors <= 0 && needed.MemoryMB <= 0 && needed.Accelerators <= 0
			if enough || longUse.DominantShare(r.capacity) <= 1-r.p.shortShare {
				return
			}
			if r.p.evictionTokens < 1 || !r.canEvictForShort(j) {
				continue
			}
			r.evict(j, r.evictReason(j))
			needed = needed.Sub(j.Resources)
			longUse = longUse.Sub(j.Resources)
		}
	}
}

func (r *round) canEvictForShort(j *tbstate.Job) bool {
	return j.Phase == tbstate.JobRunning && !j.Urgent && r.classOf(j) == longJob &&
		isCheckpointable(r.s, j) && !r.recentlyEvicted(j) && j.Rank <= r.maxUnplacedShortRank
}

// evictReason returns EvictedForExceedingShortBound for a job that has exceeded ShortBound and whose
// RanLong is false. An eviction for this reason sets RanLong.
func (r *round) evictReason(j *tbstate.Job) tbstate.Reason {
	if r.exceedsShortBound(j) && !j.RanLong {
		return tbstate.EvictedForExceedingShortBound
	}
	return tbstate.EvictedForShortJob
}
