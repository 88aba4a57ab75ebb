package tbcontrol

import (
	"time"

	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbshare"
	"tamarackbarrow/core/tbstate"
)

// leaderState is the leader's unreplicated state. A new leader assumes that each session was granted a
// lease, and each backend server was heard from, at the time of the takeover.
type leaderState struct {
	leases *tblease.Grantor
	// closingSessions holds the sessions whose close is proposed. Their leases are not renewed.
	closingSessions           map[string]bool
	confirmedVersionBySession map[string]uint64
	demandBySession           map[string]entryDemand
	// silentSinceByRunner and silentSinceByWorker hold, by id, when the silence of a backend server began.
	// The takeover, a report of an entry that heard from the server, and an applied announcement of the
	// server each restart the silence. A proposal to remove a runner also restarts the silence of the runner.
	silentSinceByRunner map[string]time.Time
	silentSinceByWorker map[string]time.Time
	// fencedAtByWorker holds, by worker, when this leader applied the fence of the worker. For a fence of an
	// earlier leader it holds the time of the takeover.
	fencedAtByWorker map[string]time.Time
	planner          *tbplacement.Planner
	// plansInFlight is the number of plans of slot grants or placements that are proposed and not yet
	// applied. It is at most one.
	plansInFlight       int
	nextGrantPlanAt     time.Time
	nextPlacementPlanAt time.Time
	nextExpiryCheckAt   time.Time
	flow                *flowLeaderState
}

// entryDemand holds the loads in the last report of an entry. It also holds the smoothed demand of the
// entry for each service, in slots.
type entryDemand struct {
	reportedAt      time.Time
	loads           []ServiceLoad
	demandByService map[string]float64
}

// expiryCheckInterval is the interval between checks for unresponsive backend servers and expired leases.
const expiryCheckInterval = 100 * time.Millisecond

func newLeaderState(c *Control, now time.Time) *leaderState {
	c.state.AnchorTime(now)
	l := &leaderState{
		leases:                    tblease.NewGrantor(c.cfg.EntryLease),
		closingSessions:           map[string]bool{},
		confirmedVersionBySession: map[string]uint64{},
		demandBySession:           map[string]entryDemand{},
		silentSinceByRunner:       map[string]time.Time{},
		silentSinceByWorker:       map[string]time.Time{},
		fencedAtByWorker:          map[string]time.Time{},
		planner:                   tbplacement.New(c.cfg.Placement),
		flow:                      newFlowLeaderState(c, now),
	}
	l.leases.AssumeGranted(c.state.SessionKeys(), now)
	for id := range c.state.Runners {
		l.silentSinceByRunner[id] = now
	}
	for id, w := range c.state.Workers {
		l.silentSinceByWorker[id] = now
		if w.Phase == tbstate.WorkerFenced {
			l.fencedAtByWorker[id] = now
		}
	}
	return l
}

// tick makes the leader's decisions that are due.
func (l *leaderState) tick(c *Control, now time.Time) {
	c.tickMultiStepJobs(now)
	if !now.Before(l.nextExpiryCheckAt) {
		l.nextExpiryCheckAt = now.Add(expiryCheckInterval)
		c.enqueueCommands(l.closeExpiredSessions(c, now))
		c.enqueueCommands(l.expireRunners(c, now))
		c.enqueueCommands(l.expireWorkers(c, now))
	}
	if l.plansInFlight > 0 {
		return
	}
	if !now.Before(l.nextGrantPlanAt) {
		l.nextGrantPlanAt = now.Add(c.cfg.GrantInterval)
		if change := l.planGrants(c, now); len(change.Changes) > 0 {
			l.plansInFlight++
			c.enqueueCommands([]tbstate.Command{change})
		}
	}
	if l.plansInFlight == 0 && !now.Before(l.nextPlacementPlanAt) {
		l.nextPlacementPlanAt = now.Add(c.cfg.PlacementInterval)
		if commands := l.planner.Plan(c.state, now); len(commands) > 0 {
			l.plansInFlight++
			c.enqueueCommands(commands)
		}
	}
}

// enqueueCommands queues the commands of the leader itself. No request waits for their outcomes.
func (c *Control) enqueueCommands(commands []tbstate.Command) {
	if len(commands) > 0 {
		c.enqueue(0, commands)
	}
}

// handleApplied updates the leader's timers and leases for an applied batch.
func (l *leaderState) handleApplied(c *Control, now time.Time, batch tbstate.Batch) {
	for _, command := range batch.Commands {
		switch command := command.(type) {
		case tbstate.FenceWorker:
			l.fencedAtByWorker[command.ID] = now
		case tbstate.AnnounceWorker:
			l.silentSinceByWorker[command.Worker.ID] = now
			delete(l.fencedAtByWorker, command.Worker.ID)
		case tbstate.AnnounceRunner:
			l.silentSinceByRunner[command.Runner.ID] = now
		case tbstate.RemoveRunner:
			l.planner.Interference().Remove(command.ID)
		case tbstate.OpenSession:
			l.leases.Grant(command.Session.Key, now)
		case tbstate.CloseSession:
			l.leases.Remove(command.Key)
			delete(l.closingSessions, command.Key)
			delete(l.demandBySession, command.Key)
			delete(l.confirmedVersionBySession, command.Key)
		case tbstate.FlowChange:
			l.flow.handleApplied(c, now, command.Command)
		case tbstate.SetGrants, tbstate.StartTask, tbstate.EvictTask:
			l.plansInFlight = 0
		}
	}
}

// closeExpiredSessions returns commands that close sessions whose lease has expired. A session is closed
// only after the delivery margin and the longest run deadline have also passed, because its last requests
// may run until then.
func (l *leaderState) closeExpiredSessions(c *Control, now time.Time) []tbstate.Command {
	var commands []tbstate.Command
	closeDelay := c.cfg.DeliveryMargin + c.state.LongestRunDeadline()
	for _, key := range c.state.SessionKeys() {
		if l.closingSessions[key] || now.Before(l.leases.Expiry(key).Add(closeDelay)) {
			continue
		}
		l.closingSessions[key] = true
		commands = append(commands, tbstate.CloseSession{Key: key})
	}
	return commands
}

// expireRunners returns commands that mark unresponsive runners absent, and that remove those that
// have been silent for RemoveAfter.
func (l *leaderState) expireRunners(c *Control, now time.Time) []tbstate.Command {
	var commands []tbstate.Command
	for _, id := range c.state.RunnerIDs() {
		r := c.state.Runners[id]
		silence := now.Sub(l.silentSinceByRunner[id])
		switch {
		case silence > c.cfg.RemoveAfter:
			commands = append(commands, tbstate.RemoveRunner{ID: id, Incarnation: r.Incarnation})
			// The removal is proposed again only if the runner still exists after another RemoveAfter.
			l.silentSinceByRunner[id] = now
		case silence > c.cfg.BackendSilence && r.Phase == tbstate.RunnerPresent:
			commands = append(commands, tbstate.MarkRunnerAbsent{ID: id, Incarnation: r.Incarnation})
		}
	}
	return commands
}

// expireWorkers returns commands that fence unresponsive workers, and that declare fenced workers
// lost once none of their task leases can be valid.
//
// An entry whose lease was granted just before the fence may renew the worker's task leases until the
// entry's lease ends. The worker may then run its tasks for the duration of one more task lease.
func (l *leaderState) expireWorkers(c *Control, now time.Time) []tbstate.Command {
	var commands []tbstate.Command
	maxLeaseTime := c.cfg.EntryLease.GrantorDuration() + c.cfg.TaskLease.GrantorDuration() + c.cfg.DeliveryMargin
	for _, id := range c.state.WorkerIDs() {
		w := c.state.Workers[id]
		switch w.Phase {
		case tbstate.WorkerFenced:
			if at, ok := l.fencedAtByWorker[id]; ok && now.Sub(at) > maxLeaseTime {
				commands = append(commands, tbstate.MarkWorkerGone{ID: id, Incarnation: w.Incarnation, FencedAt: w.Changed})
			}
		case tbstate.WorkerPresent, tbstate.WorkerDraining:
			if now.Sub(l.silentSinceByWorker[id]) > c.cfg.BackendSilence {
				commands = append(commands, tbstate.FenceWorker{ID: id, Incarnation: w.Incarnation})
			}
		}
	}
	return commands
}

// planGrants plans the slot grants of all services from the demand of the entries. Runners in evacuated data centres get
// no requests, so all their slots are taken back.
func (l *leaderState) planGrants(c *Control, now time.Time) tbstate.SetGrants {
	b := c.state.Bundle()
	if b == nil {
		return tbstate.SetGrants{}
	}
	grants := tbstate.SetGrants{Changes: withdrawEvacuated(c.state)}
	for _, service := range b.Services {
		holders := l.candidateHolders(c, service.Name, now)
		for _, change := range tbshare.Plan(holders, presentRunners(c.state, service.Name), c.cfg.Share) {
			grants.Changes = append(grants.Changes, tbstate.GrantChange{
				Runner: change.Runner, Session: change.Holder, Slots: change.Target,
			})
		}
	}
	return grants
}

// candidateHolders returns the sessions that may receive slots of service: those that hold a lease, are not
// being closed, and are the newest session of their entry.
func (l *leaderState) candidateHolders(c *Control, service string, now time.Time) []tbshare.Holder {
	var holders []tbshare.Holder
	for _, key := range c.state.SessionKeys() {
		if l.closingSessions[key] || l.leases.Expired(key, now) || l.isSuperseded(c, key) {
			continue
		}
		holders = append(holders, tbshare.Holder{
			Key: key, DataCentre: c.state.Sessions[key].DataCentre, Demand: l.demandBySession[key].demandByService[service],
		})
	}
	return holders
}

// isSuperseded reports whether the same entry has a newer session.
func (l *leaderState) isSuperseded(c *Control, key string) bool {
	session := c.state.Sessions[key]
	for other, s := range c.state.Sessions {
		if other != key && s.ID == session.ID && s.Changed > session.Changed {
			return true
		}
	}
	return false
}

// withdrawEvacuated returns the changes that take back all slots of runners in evacuated data centres.
func withdrawEvacuated(s *tbstate.State) []tbstate.GrantChange {
	var changes []tbstate.GrantChange
	for _, id := range s.RunnerIDs() {
		r := s.Runners[id]
		if !s.Flow.IsEvacuated(r.DataCentre) {
			continue
		}
		for _, g := range r.Grants {
			if g.Target > 0 {
				changes = append(changes, tbstate.GrantChange{Runner: id, Session: g.Session})
			}
		}
	}
	return changes
}

// presentRunners returns the runners of a service that may get requests.
func presentRunners(s *tbstate.State, service string) []tbshare.Runner {
	var runners []tbshare.Runner
	for _, id := range s.RunnerIDs() {
		r := s.Runners[id]
		if r.Service != service || r.Phase != tbstate.RunnerPresent || s.Flow.IsEvacuated(r.DataCentre) {
			continue
		}
		sr := tbshare.Runner{ID: id, DataCentre: r.DataCentre, Slots: r.Slots}
		for _, g := range r.Grants {
			sr.Grants = append(sr.Grants, tbshare.Grant{Holder: g.Session, Granted: g.Granted, Target: g.Target})
		}
		runners = append(runners, sr)
	}
	return runners
}

// newDemandWeight is the weight of a new report in the smoothed demand.
const newDemandWeight = 0.5

// recordSync records an entry's report: its loads, bundle version and timings, and the backend servers
// that it heard from.
func (l *leaderState) recordSync(sync Sync, now time.Time) {
	prev := l.demandBySession[sync.Session.Key]
	demandByService := make(map[string]float64, len(sync.Loads))
	sinceLastReport := now.Sub(prev.reportedAt)
	for _, load := range sync.Loads {
		currentSlots := float64(load.Queued)
		// offeredSlots is the mean number of busy slots: the arrival rate times the service time.
		offeredSlots := 0.0
		if !prev.reportedAt.IsZero() && sinceLastReport > 0 {
			offeredSlots = float64(load.Arrived) * load.ServiceTime.Seconds() / sinceLastReport.Seconds()
		}
		currentSlots += max(offeredSlots, float64(load.InFlight))
		demandByService[load.Service] = newDemandWeight*currentSlots + (1-newDemandWeight)*prev.demandByService[load.Service]
	}
	l.demandBySession[sync.Session.Key] = entryDemand{reportedAt: now, loads: sync.Loads, demandByService: demandByService}
	l.confirmedVersionBySession[sync.Session.Key] = sync.ConfirmedVersion
	for _, t := range sync.Timings {
		l.planner.Interference().Observe(t.Runner, t.Answers, t.Mean)
	}
	for _, id := range sync.HeardRunners {
		l.silentSinceByRunner[id] = now
	}
	for _, id := range sync.HeardWorkers {
		l.silentSinceByWorker[id] = now
	}
}
