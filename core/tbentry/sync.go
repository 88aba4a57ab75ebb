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

// view is what the entry knows of the replicated state.
type view struct {
	index    uint64
	bundle   *tbbundle.Bundle
	sessions map[string]tbstate.Session
	runners  map[string]tbstate.Runner
	workers  map[string]tbstate.Worker
	tasks    map[string]tbstate.Job
	// byWorker holds the jobs of each worker.
	byWorker map[string]map[string]bool
	// throttled holds jobs whose tasks may use only part of their processors.
	throttled map[string]bool
	replicas  []tbconsensus.Member
}

func newView() view {
	return view{
		sessions: map[string]tbstate.Session{}, runners: map[string]tbstate.Runner{},
		workers: map[string]tbstate.Worker{}, tasks: map[string]tbstate.Job{},
		byWorker: map[string]map[string]bool{}, throttled: map[string]bool{},
	}
}

// syncer keeps the regular exchange with the leader.
type syncer struct {
	next        time.Time
	inFlight    bool
	leader      tbconsensus.ReplicaID
	rotation    int
	sessionSeen bool
	// surrendering names grants whose surrender is under way, by runner.
	surrendering map[string]uint64
}

// syncRetry is the pause after a failed sync.
const syncRetry = 30 * time.Millisecond

func (e *Entry) syncIfDue(now time.Time) {
	if e.sync.inFlight || now.Before(e.sync.next) || e.closing {
		return
	}
	target := e.controlTarget()
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
	sync.HeardRunners, sync.HeardWorkers = e.care.heardSince()
	if e.view.bundle != nil {
		sync.ConfirmedVersion = e.view.bundle.Version
	}
	sync.Timings = e.takeTimings(now)
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		sync.Loads = append(sync.Loads, e.load(now, e.services[name]))
	}
	return sync
}

// timingInterval is how often the runners' times are reported; fewer answers say little.
const timingInterval = time.Second

// timing sums up the answers of one runner.
type timing struct {
	answers int
	sum     time.Duration
}

// takeTimings returns the runners' mean times since the last report, when one is due.
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

func (e *Entry) load(now time.Time, s *service) tbcontrol.ServiceLoad {
	inFlight := 0
	for _, r := range s.pool.Runners() {
		inFlight += r.InUse
	}
	load := tbcontrol.ServiceLoad{
		Service: s.spec.Name, InFlight: inFlight, Queued: s.queue.Len(),
		Arrived: s.arrived, ServiceTime: s.estimate.Mean(),
	}
	if s.queue.Len() == 0 && !e.stopping {
		load.Free = s.pool.Free(now)
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
		e.care.heardLost()
		e.noteControlFailure(ev.Failed, ev.Leader)
		e.sync.next = now.Add(syncRetry)
		return
	}
	e.sync.next = ev.SentAt.Add(e.cfg.SyncInterval)
	e.sync.leader = ev.Leader
	if ev.View.SessionClosed {
		e.replaceSession()
		e.sync.next = now
		return
	}
	e.useView(now, ev.View)
	if ev.View.LeaseGranted && !e.closing {
		e.lease.Renew(ev.SentAt)
	}
	if _, open := e.view.sessions[e.session]; open {
		e.sync.sessionSeen = true
	} else {
		e.sync.next = now.Add(syncRetry)
	}
	for _, s := range e.services {
		e.pump(now, s)
	}
	e.surrender(now)
}

// replaceSession starts over without grants after the leader closed the session.
func (e *Entry) replaceSession() {
	e.startSession()
	for id, r := range e.view.runners {
		r.Grants = nil
		e.view.runners[id] = r
		e.useRunner(r)
	}
	e.view.index = 0
}

func (e *Entry) useView(now time.Time, v tbcontrol.View) {
	if v.Index < e.view.index {
		return
	}
	if v.Full {
		e.useFullView(v)
	}
	e.view.index = v.Index
	e.view.replicas = v.Replicas
	if v.Bundle != nil {
		e.useBundle(v.Bundle)
	}
	for _, s := range v.Sessions {
		e.view.sessions[s.Key] = s
	}
	for _, key := range v.GoneSessions {
		delete(e.view.sessions, key)
	}
	for _, r := range v.Runners {
		e.view.runners[r.ID] = r
		e.useRunner(r)
	}
	for _, id := range v.GoneRunners {
		e.dropRunner(id)
	}
	for _, w := range v.Workers {
		e.view.workers[w.ID] = w
	}
	for _, id := range v.GoneWorkers {
		delete(e.view.workers, id)
	}
	e.usePeerLoads(v.Loads)
	e.useTasks(now, v)
}

// useFullView drops what the full view does not name.
func (e *Entry) useFullView(v tbcontrol.View) {
	kept := map[string]bool{}
	for _, r := range v.Runners {
		kept[r.ID] = true
	}
	for id := range e.view.runners {
		if !kept[id] {
			e.dropRunner(id)
		}
	}
	clear(e.view.sessions)
	clear(e.view.workers)
	clear(e.view.tasks)
	clear(e.view.byWorker)
}

func (e *Entry) dropRunner(id string) {
	if r, ok := e.view.runners[id]; ok {
		e.poolFor(r.Service).Remove(id)
		delete(e.view.runners, id)
	}
}

// useRunner brings a runner's pool record up to date; slots in use stay counted.
func (e *Entry) useRunner(r tbstate.Runner) {
	pool := e.poolFor(r.Service)
	known := pool.Get(r.ID)
	if known == nil || known.Incarnation != r.Incarnation {
		known = &tbrouting.Runner{ID: r.ID, Incarnation: r.Incarnation, DataCentre: r.DataCentre}
		pool.Put(known)
	}
	known.Address = r.Address
	known.Available = r.Phase == tbstate.RunnerPresent
	known.Limit = r.Grant(e.session).Target
}

func (e *Entry) usePeerLoads(loads []tbcontrol.EntryLoad) {
	for _, s := range e.services {
		clear(s.peerFree)
	}
	for _, entry := range loads {
		for _, load := range entry.Loads {
			if s := e.services[load.Service]; s != nil && load.Free > 0 {
				s.peerFree[entry.Session] = load.Free
			}
		}
	}
}

// useTasks follows placements and tells the workers concerned at once.
func (e *Entry) useTasks(now time.Time, v tbcontrol.View) {
	changed := map[string]bool{}
	e.useThrottled(v.Throttled, changed)
	for _, id := range v.GoneTasks {
		e.dropTask(id, changed)
	}
	for _, j := range v.Tasks {
		e.dropTask(j.ID, changed)
		e.view.tasks[j.ID] = j
		if e.view.byWorker[j.Worker] == nil {
			e.view.byWorker[j.Worker] = map[string]bool{}
		}
		e.view.byWorker[j.Worker][j.ID] = true
		changed[j.Worker] = true
	}
	for _, worker := range slices.Sorted(maps.Keys(changed)) {
		e.pushOrders(now, worker)
	}
}

// useThrottled notes the workers of which a task's throttle changed.
func (e *Entry) useThrottled(throttled []string, changed map[string]bool) {
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

func (e *Entry) dropTask(id string, changed map[string]bool) {
	j, ok := e.view.tasks[id]
	if !ok {
		return
	}
	delete(e.view.tasks, id)
	delete(e.view.byWorker[j.Worker], id)
	changed[j.Worker] = true
}

// surrender gives back slots above lowered targets once they are not in use.
func (e *Entry) surrender(now time.Time) {
	if e.sync.surrendering == nil {
		e.sync.surrendering = map[string]uint64{}
	}
	item := proposalItem{kind: surrenderItem, until: now.Add(surrenderWithin)}
	var changes []tbstate.GrantChange
	for id, r := range e.view.runners {
		g := r.Grant(e.session)
		if g.Granted <= g.Target || e.sync.surrendering[id] == g.Changed {
			continue
		}
		used := e.poolFor(r.Service).Get(id)
		if used == nil || used.InUse > g.Target {
			continue
		}
		e.sync.surrendering[id] = g.Changed
		item.runners = append(item.runners, id)
		changes = append(changes, tbstate.GrantChange{
			Runner: id, Session: e.session, Slots: g.Target, BasedOn: g.Changed,
		})
	}
	if len(changes) == 0 {
		return
	}
	item.commands = []tbstate.Command{tbstate.Surrender{Changes: changes}}
	e.propose(item)
}

// surrenderWithin bounds the tries of one surrender; the next one starts afresh.
const surrenderWithin = 2 * time.Second

func (e *Entry) onSurrendered(item proposalItem) {
	for _, id := range item.runners {
		// The view shows the result; if the grant is still too large, it is tried again.
		delete(e.sync.surrendering, id)
	}
}
