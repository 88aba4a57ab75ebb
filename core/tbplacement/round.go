package tbplacement

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbneighbour"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
)

// seat is a worker as the round sees it, after the commands planned so far.
type seat struct {
	worker *tbstate.Worker
	// actual is what no task holds; free is what is left of it beside nominations.
	actual tbresource.Amount
	free   tbresource.Amount
	// stopping is held by tasks that were told to stop.
	stopping tbresource.Amount
	// services run on the same instance; tasks is what they share it with.
	services []string
	tasks    []tbneighbour.Task
	// trial is true for a worker that may run only one task to prove itself.
	trial bool
}

// shape stands for all jobs that fit or do not fit alike.
type shape struct {
	size  tbresource.Amount
	class class
	team  string
}

// round is the working state of one plan.
type round struct {
	p        *Planner
	s        *tbstate.State
	now      time.Time
	seats    []*seat
	capacity tbresource.Amount
	// longUse is held by long jobs, shortUse by jobs of kinds that are known to be short.
	longUse  tbresource.Amount
	shortUse tbresource.Amount
	teamUse  map[string]tbresource.Amount
	scanned  int
	starts   int
	failed   map[shape]WaitReason
	// outrunKinds are kinds of which most running tasks outran the short class.
	outrunKinds map[string]bool
	// shortWaiting is the size of all short jobs that found no room, shortRank their highest rank.
	shortWaiting tbresource.Amount
	shortRank    int
	neighbours   []neighbour
	commands     []tbstate.Command
}

func newRound(p *Planner, s *tbstate.State, now time.Time) *round {
	r := &round{p: p, s: s, now: now, teamUse: map[string]tbresource.Amount{}, failed: map[shape]WaitReason{}}
	r.findOutrunKinds()
	for _, id := range s.WorkerIDs() {
		w := s.Workers[id]
		if w.Phase != tbstate.WorkerPresent {
			continue
		}
		r.capacity = r.capacity.Add(w.Capacity)
		if w.ProbationUntilMs > s.NowMs {
			continue
		}
		r.seats = append(r.seats, r.newSeat(w))
	}
	r.holdNominated()
	r.findServices()
	return r
}

// findOutrunKinds looks at running tasks, since a kind of very long jobs is learned too late from finished ones.
func (r *round) findOutrunKinds() {
	r.outrunKinds = map[string]bool{}
	balance := map[string]int{}
	for _, id := range r.s.WorkerIDs() {
		r.s.EachTask(id, func(j *tbstate.Job) {
			if r.outran(j) {
				balance[j.Kind]++
				return
			}
			balance[j.Kind]--
		})
	}
	for kind, n := range balance {
		r.outrunKinds[kind] = n > 0
	}
}

func (r *round) newSeat(w *tbstate.Worker) *seat {
	st := &seat{worker: w, actual: w.Capacity.Sub(r.s.Reserved(w.ID))}
	st.trial = w.ProbationUntilMs > 0 && w.Failures > 0
	if st.trial && r.s.TaskCount(w.ID) > 0 {
		st.actual = tbresource.Amount{}
	}
	st.free = st.actual
	r.s.EachTask(w.ID, func(j *tbstate.Job) {
		if r.classOf(j) == longJob {
			r.longUse = r.longUse.Add(j.Resources)
		} else if r.knownShort(j.Kind) {
			r.shortUse = r.shortUse.Add(j.Resources)
		}
		st.tasks = append(st.tasks, st.task(j))
		if j.Phase == tbstate.JobStopping {
			st.stopping = st.stopping.Add(j.Resources)
		}
	})
	return st
}

// holdNominated keeps room on nominated workers from all other jobs.
func (r *round) holdNominated() {
	for id, n := range r.p.nominated {
		if st := r.seat(n.worker); st != nil {
			st.free = st.free.Sub(r.s.Jobs[id].Resources)
		}
	}
}

func (r *round) seat(worker string) *seat {
	for _, st := range r.seats {
		if st.worker.ID == worker {
			return st
		}
	}
	return nil
}

// consider plans one queued job and reports whether to go on.
func (r *round) consider(j *tbstate.Job) bool {
	r.scanned++
	if r.scanned > r.p.policy.MaxScanned || r.starts >= r.p.policy.MaxStarts {
		return false
	}
	c := r.classOf(j)
	key := shape{size: j.Resources, class: c, team: j.Team}
	n, isNominated := r.p.nominated[j.ID]
	if reason, known := r.failed[key]; known && !isNominated && !j.Urgent {
		r.wait(j, c, reason)
		return true
	}
	if !r.withinQuota(j) {
		r.failed[key] = WaitQuota
		r.wait(j, c, WaitQuota)
		return true
	}
	if isNominated {
		r.startNominated(j, n)
		return true
	}
	st, reason := r.bestSeat(j, c)
	if st != nil {
		r.start(j, c, st)
		return true
	}
	if j.Urgent && reason == WaitNoRoom && r.preempt(j) {
		reason = WaitForEviction
	} else {
		r.failed[key] = reason
	}
	r.wait(j, c, reason)
	return true
}

func (r *round) wait(j *tbstate.Job, c class, reason WaitReason) {
	r.p.waiting[j.ID] = reason
	if c == shortJob && reason == WaitNoRoom {
		r.shortWaiting = r.shortWaiting.Add(j.Resources)
		r.shortRank = max(r.shortRank, j.Rank)
	}
}

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

// bestSeat picks the fullest worker with room, so that large jobs keep finding empty ones.
func (r *round) bestSeat(j *tbstate.Job, c class) (*seat, WaitReason) {
	if len(r.seats) == 0 {
		return nil, WaitNoWorkers
	}
	if c == longJob && !j.Urgent && r.overLongShare(j) {
		return nil, WaitKeptForShort
	}
	var best *seat
	var bestLeft float64
	reason := WaitNeverFits
	for _, st := range r.seats {
		if !j.Resources.Fits(st.worker.Capacity) {
			continue
		}
		if !j.Resources.Fits(st.free) {
			if reason != WaitWouldSlow {
				reason = WaitNoRoom
			}
			continue
		}
		if !j.Urgent && r.wouldSlow(st, j) {
			reason = WaitWouldSlow
			continue
		}
		left := st.free.Sub(j.Resources).Share(st.worker.Capacity)
		if best == nil || left < bestLeft {
			best, bestLeft = st, left
		}
	}
	return best, reason
}

// overLongShare keeps part of the whole capacity from long jobs.
//
// The share is kept over all workers, not on each: with 0.13 kept on a worker of
// 32 processors, three jobs of 8 fit and 8 processors would idle instead of 4.
func (r *round) overLongShare(j *tbstate.Job) bool {
	return r.longUse.Add(j.Resources).Share(r.capacity) > 1-r.p.shortShare
}

func (r *round) start(j *tbstate.Job, c class, st *seat) {
	st.free = st.free.Sub(j.Resources)
	st.actual = st.actual.Sub(j.Resources)
	if c == longJob {
		r.longUse = r.longUse.Add(j.Resources)
	}
	if st.trial {
		st.free, st.actual = tbresource.Amount{}, tbresource.Amount{}
	}
	st.tasks = append(st.tasks, st.task(j))
	r.teamUse[j.Team] = r.teamUse[j.Team].Add(j.Resources)
	r.starts++
	r.commands = append(r.commands, tbstate.StartTask{Job: j.ID, Worker: st.worker.ID, Epoch: j.Epoch + 1})
}

// startNominated starts an urgent job once the tasks before it have stopped.
func (r *round) startNominated(j *tbstate.Job, n nomination) {
	st := r.seat(n.worker)
	if st == nil {
		delete(r.p.nominated, j.ID)
		return
	}
	if !j.Resources.Fits(st.actual) {
		r.wait(j, shortJob, WaitForEviction)
		return
	}
	// The held room is the job's own.
	st.free = st.free.Add(j.Resources)
	delete(r.p.nominated, j.ID)
	r.start(j, r.classOf(j), st)
}

// preempt finds room for an urgent job that is about to become free, or frees it.
func (r *round) preempt(j *tbstate.Job) bool {
	for _, st := range r.seats {
		if j.Resources.Fits(st.free.Add(st.stopping)) {
			r.nominate(j, st)
			return true
		}
	}
	var best []*tbstate.Job
	var bestSeat *seat
	for _, st := range r.seats {
		if !j.Resources.Fits(st.worker.Capacity) {
			continue
		}
		victims, ok := r.victims(st, j)
		if !ok || float64(len(victims)) > r.p.evictTokens {
			continue
		}
		if best == nil || lostWork(r.s, victims) < lostWork(r.s, best) {
			best, bestSeat = victims, st
		}
	}
	if bestSeat == nil {
		return false
	}
	for _, v := range best {
		r.evict(v, tbstate.EvictedForUrgent)
		bestSeat.stopping = bestSeat.stopping.Add(v.Resources)
	}
	r.nominate(j, bestSeat)
	return true
}

// nominate keeps room of a worker for a job until the tasks there have stopped.
func (r *round) nominate(j *tbstate.Job, st *seat) {
	st.free = st.free.Sub(j.Resources)
	r.p.nominated[j.ID] = nomination{worker: st.worker.ID, until: r.now.Add(r.p.policy.NominationTimeout)}
}

// victims returns the cheapest tasks of a worker whose end makes room for j.
func (r *round) victims(st *seat, j *tbstate.Job) ([]*tbstate.Job, bool) {
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

// evictable orders a worker's tasks that may give way to j: lowest rank, then least lost work.
func (r *round) evictable(st *seat, j *tbstate.Job) []*tbstate.Job {
	var tasks []*tbstate.Job
	for _, t := range r.s.TasksOn(st.worker.ID) {
		if t.Phase != tbstate.JobRunning || t.Urgent || t.Rank > j.Rank || r.evictedLately(t) {
			continue
		}
		tasks = append(tasks, t)
	}
	slices.SortStableFunc(tasks, func(a, b *tbstate.Job) int {
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		return cmp.Compare(lostMs(r.s, a), lostMs(r.s, b))
	})
	return tasks
}

func (r *round) evictedLately(t *tbstate.Job) bool {
	at, ok := r.p.lastEvicted[t.ID]
	return ok && r.now.Sub(at) < r.p.policy.EvictPause
}

// lostMs is the run time that an eviction throws away.
func lostMs(s *tbstate.State, j *tbstate.Job) int64 {
	if checkpointable(s, j) {
		return 0
	}
	return s.NowMs - j.StartedMs
}

func lostWork(s *tbstate.State, jobs []*tbstate.Job) int64 {
	// One more stopped task costs as much as a second of lost work.
	sum := int64(len(jobs)) * 1000
	for _, j := range jobs {
		sum += lostMs(s, j)
	}
	return sum
}

func checkpointable(s *tbstate.State, j *tbstate.Job) bool {
	b := s.Bundle()
	if b == nil {
		return false
	}
	kind, ok := b.Kind(j.Kind)
	return ok && kind.Checkpointable
}

func (r *round) evict(j *tbstate.Job, reason tbstate.Reason) {
	r.p.evictTokens--
	r.p.lastEvicted[j.ID] = r.now
	r.commands = append(r.commands, tbstate.EvictTask{Job: j.ID, Epoch: j.Epoch, Reason: reason})
}

// makeRoomForShort stops long tasks for short work that found no room.
//
// The kept share follows the use by short work and is gone after a quiet spell.
// A burst after it would wait until a long task ends, so long tasks that can
// resume from a checkpoint give way, as few as needed and each only now and then.
// They give way only while they hold more than their part: a backlog of short
// work in which everything counts must not keep stopping long tasks.
func (r *round) makeRoomForShort() {
	if !r.p.policy.Learn {
		return
	}
	wanted := r.shortWaiting
	longUse := r.longUse
	for _, st := range r.seats {
		wanted = wanted.Sub(st.stopping)
		longUse = longUse.Sub(st.stopping)
	}
	for _, st := range r.seats {
		for _, j := range r.s.TasksOn(st.worker.ID) {
			enough := wanted.MilliProcessors <= 0 && wanted.MemoryMB <= 0 && wanted.Accelerators <= 0
			if enough || longUse.Share(r.capacity) <= 1-r.p.shortShare {
				return
			}
			if r.p.evictTokens < 1 || !r.givesWayToShort(j) {
				continue
			}
			r.evict(j, r.evictReason(j))
			wanted = wanted.Sub(j.Resources)
			longUse = longUse.Sub(j.Resources)
		}
	}
}

func (r *round) givesWayToShort(j *tbstate.Job) bool {
	return j.Phase == tbstate.JobRunning && !j.Urgent && r.classOf(j) == longJob &&
		checkpointable(r.s, j) && !r.evictedLately(j) && j.Rank <= r.shortRank
}

// evictReason marks a job that was taken for short as long from now on.
func (r *round) evictReason(j *tbstate.Job) tbstate.Reason {
	if r.outran(j) && !j.LongClass {
		return tbstate.EvictedForOutrun
	}
	return tbstate.EvictedForShort
}
