package tbentry

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbstate"
)

// view is the entry's copy of the replicated state, as last received from the leader.
type view struct {
	index    uint64
	bundle   *tbbundle.Bundle
	sessions map[string]tbstate.Session
	runners  map[string]tbstate.Runner
	workers  map[string]tbstate.Worker
	tasks    map[string]tbstate.Job
	// tasksByWorker holds the job ids of each worker's tasks.
	tasksByWorker map[string]map[string]bool
	// throttled holds the job ids of tasks that may use only part of their processors.
	throttled map[string]bool
	replicas  []tbconsensus.Member
}

func newView() view {
	return view{
		sessions: map[string]tbstate.Session{}, runners: map[string]tbstate.Runner{},
		workers: map[string]tbstate.Worker{}, tasks: map[string]tbstate.Job{},
		tasksByWorker: map[string]map[string]bool{}, throttled: map[string]bool{},
	}
}

// syncer is the state of the periodic exchange (sync) with the leader.
type syncer struct {
	// next is the earliest time of the next sync.
	next     time.Time
	inFlight bool
	// leader is the last known leader, or 0.
	leader tbconsensus.ReplicaID
	// rotation selects the control replica to ask while the leader is unknown.
	rotation int
	// sessionSeen is true once a view contained the current session.
	sessionSeen bool
	// releasing maps a runner to Grant.Changed of the grant of which slots are being released. An
	// element stays until the proposal of the release has ended.
	releasing map[string]uint64
}

// syncRetryDelay is the pause after a failed sync.
const syncRetryDelay = 30 * time.Millisecond

func (e *Entry) syncIfDue(now time.Time) {
	if e.sync.inFlight || now.Before(e.sync.next) || e.closingSession {
		return
	}
	target := e.controlAddress()
	if target == "" {
		return
	}
	e.sync.inFlight = true
	e.emit(SendSync{Address: target, Sync: e.buildSync(now), SentAt: now})
}

func (e *Entry) buildSync(now time.Time) tbcontrol.Sync {
	sync := tbcontrol.Sync{
		Session: tbstate.Session{
			Key: e.session, ID: e.cfg.ID, DataCentre: e.cfg.DataCentre, Address: e.cfg.PeerAddress,
		},
		SessionSeen: e.sync.sessionSeen,
		ViewIndex:   e.view.index,
	}
	sync.HeardRunners, sync.HeardWorkers = e.backends.takeHeard()
	if e.view.bundle != nil {
		sync.ConfirmedVersion = e.view.bundle.Version
	}
	sync.Timings = e.takeTimings(now)
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		sync.Loads = append(sync.Loads, e.serviceLoad(now, e.services[name]))
	}
	return sync
}

// timingInterval is the time between two syncs that contain response times. A shorter interval would
// contain too few answers for a useful mean.
const timingInterval = time.Second

// timing is the count and total response time of one runner's answers.
type timing struct {
	answers int
	sum     time.Duration
}

// takeTimings returns and clears the mean response times of the runners, or returns nil before
// nextTimings.
func (e *Entry) takeTimings(now time.Time) []tbcontrol.RunnerTiming {
	if now.Before(e.nextTimings) {
		return nil
	}
	e.nextTimings = now.Add(timingInterval)
	var all []tbcontrol.RunnerTiming
	for _, id := range slices.Sorted(maps.Keys(e.timings)) {
		t := e.timings[id]
		all = append(all, tbcontrol.RunnerTiming{Runner: id, Answers: t.answers, Mean: t.sum / time.Duration(t.answers)})
	}
	clear(e.timings)
	return all
}

func (e *Entry) serviceLoad(now time.Time, s *service) tbcontrol.ServiceLoad {
	inFlight := 0
	for _, r := range s.pool.Runners() {
		inFlight += r.InUse
	}
	load := tbcontrol.ServiceLoad{
		Service: s.spec.Name, InFlight: inFlight, Queued: s.queue.Len(),
		Arrived: s.arrived, ServiceTime: s.estimate.Mean(),
	}
	if s.queue.Len() == 0 && !e.stopping {
		load.Free = s.pool.FreeSlots(now)
	}
	if s.answered > 0 {
		load.SlowPercent = 100 * s.slow / s.answered
	}
	s.arrived, s.answered, s.slow = 0, 0, 0
	return load
}

func (e *Entry) onSyncEnded(now time.Time, ev SyncEnded) {
	e.sync.inFlight = false
	if ev.Failed || ev.NotLeader {
		e.backends.restoreHeard()
		e.selectNextReplica(ev.Failed, ev.Leader)
		e.sync.next = now.Add(syncRetryDelay)
		return
	}
	e.sync.next = ev.SentAt.Add(e.cfg.SyncInterval)
	e.sync.leader = ev.Leader
	if ev.View.SessionClosed {
		e.replaceSession()
		e.sync.next = now
		return
	}
	e.applyView(now, ev.View)
	if ev.View.LeaseGranted && !e.closingSession {
		e.lease.Renew(ev.SentAt)
	}
	if _, open := e.view.sessions[e.session]; open {
		e.sync.sessionSeen = true
	} else {
		e.sync.next = now.Add(syncRetryDelay)
	}
	for _, s := range e.services {
		e.startQueued(now, s)
	}
	e.releaseUnusedSlots(now)
}

// replaceSession starts a new session without grants after the leader closed the previous one.
func (e *Entry) replaceSession() {
	e.startSession()
	for id, r := range e.view.runners {
		r.Grants = nil
		e.view.runners[id] = r
		e.updatePoolRunner(r)
	}
	e.view.index = 0
}

func (e *Entry) applyView(now time.Time, v tbcontrol.View) {
	if v.Index < e.view.index {
		return
	}
	if v.Full {
		e.clearForFullView(v)
	}
	e.view.index = v.Index
	e.view.replicas = v.Replicas
	if v.Bundle != nil {
		e.applyBundle(v.Bundle)
	}
	for _, s := range v.Sessions {
		e.view.sessions[s.Key] = s
	}
	for _, key := range v.RemovedSessions {
		delete(e.view.sessions, key)
	}
	for _, r := range v.Runners {
		e.view.runners[r.ID] = r
		e.updatePoolRunner(r)
	}
	for _, id := range v.RemovedRunners {
		e.removeRunner(id)
	}
	for _, w := range v.Workers {
		e.view.workers[w.ID] = w
	}
	for _, id := range v.RemovedWorkers {
		delete(e.view.workers, id)
	}
	e.updatePeerLoads(v.Loads)
	e.applyTasks(now, v)
}

// clearForFullView removes all sessions, workers and tasks, which applyView then adds from the full
// view. It removes only those runners that the full view does not contain. The pool counts the slots
// in use of the others, and that count must not be lost.
func (e *Entry) clearForFullView(v tbcontrol.View) {
	present := map[string]bool{}
	for _, r := range v.Runners {
		present[r.ID] = true
	}
	for id := range e.view.runners {
		if !present[id] {
			e.removeRunner(id)
		}
	}
	clear(e.view.sessions)
	clear(e.view.workers)
	clear(e.view.tasks)
	clear(e.view.tasksByWorker)
}

func (e *Entry) removeRunner(id string) {
	if r, ok := e.view.runners[id]; ok {
		e.poolFor(r.Service).Remove(id)
		delete(e.view.runners, id)
	}
}

// updatePoolRunner updates a runner in its pool; a new incarnation starts
// with no slots in use.
func (e *Entry) updatePoolRunner(r tbstate.Runner) {
	pool := e.poolFor(r.Service)
	pooled := pool.Get(r.ID)
	if pooled == nil || pooled.Incarnation != r.Incarnation {
		pooled = &tbrouting.Runner{ID: r.ID, Incarnation: r.Incarnation, DataCentre: r.DataCentre}
		pool.Put(pooled)
	}
	pooled.Address = r.Address
	pooled.Available = r.Phase == tbstate.RunnerPresent
	pooled.SlotLimit = r.Grant(e.session).Target
}

func (e *Entry) updatePeerLoads(loads []tbcontrol.EntryLoad) {
	for _, s := range e.services {
		clear(s.peerFreeSlots)
	}
	for _, entry := range loads {
		for _, load := range entry.Loads {
			if s := e.services[load.Service]; s != nil && load.Free > 0 {
				s.peerFreeSlots[entry.Session] = load.Free
			}
		}
	}
}

// applyTasks updates the tasks of the view and pushes orders to the workers affected.
func (e *Entry) applyTasks(now time.Time, v tbcontrol.View) {
	changed := map[string]bool{}
	e.applyThrottled(v.Throttled, changed)
	for _, id := range v.RemovedTasks {
		e.removeTask(id, changed)
	}
	for _, j := range v.PlacedJobs {
		e.removeTask(j.ID, changed)
		e.view.tasks[j.ID] = j
		if e.view.tasksByWorker[j.Worker] == nil {
			e.view.tasksByWorker[j.Worker] = map[string]bool{}
		}
		e.view.tasksByWorker[j.Worker][j.ID] = true
		changed[j.Worker] = true
	}
	for _, worker := range slices.Sorted(maps.Keys(changed)) {
		e.pushOrders(now, worker)
	}
}

// applyThrottled replaces the set of throttled tasks. It adds to changed the workers of tasks that
// are newly throttled or no longer throttled.
func (e *Entry) applyThrottled(throttled []string, changed map[string]bool) {
	next := make(map[string]bool, len(throttled))
	for _, id := range throttled {
		next[id] = true
		if !e.view.throttled[id] {
			changed[e.view.tasks[id].Worker] = true
		}
	}
	for id := range e.view.throttled {
		if !next[id] {
			changed[e.view.tasks[id].Worker] = true
		}
	}
	e.view.throttled = next
}

func (e *Entry) removeTask(id string, changed map[string]bool) {
	j, ok := e.view.tasks[id]
	if !ok {
		return
	}
	delete(e.view.tasks, id)
	delete(e.view.tasksByWorker[j.Worker], id)
	changed[j.Worker] = true
}

// releaseUnusedSlots proposes to release the slots granted above a lowered target. It leaves out
// runners on which more slots are in use than the target.
func (e *Entry) releaseUnusedSlots(now time.Time) {
	if e.sync.releasing == nil {
		e.sync.releasing = map[string]uint64{}
	}
	item := proposalItem{kind: releaseSlotsItem, deadline: now.Add(releaseTimeout)}
	var changes []tbstate.GrantChange
	for id, r := range e.view.runners {
		g := r.Grant(e.session)
		if g.Granted <= g.Target || e.sync.releasing[id] == g.Changed {
			continue
		}
		pooled := e.poolFor(r.Service).Get(id)
		if pooled == nil || pooled.InUse > g.Target {
			continue
		}
		e.sync.releasing[id] = g.Changed
		item.runners = append(item.runners, id)
		changes = append(changes, tbstate.GrantChange{
			Runner: id, Session: e.session, Slots: g.Target, BasedOn: g.Changed,
		})
	}
	if len(changes) == 0 {
		return
	}
	item.commands = []tbstate.Command{tbstate.ReleaseSlots{Changes: changes}}
	e.propose(item)
}

// releaseTimeout is how long the entry tries to get one release committed. After that, a new release
// may be proposed.
const releaseTimeout = 2 * time.Second

func (e *Entry) onReleaseEnded(item proposalItem) {
	for _, id := range item.runners {
		// If the view still shows more slots granted than the target, the release is proposed again.
		delete(e.sync.releasing, id)
	}
}
