package tbcontrol

import (
	"time"

	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbshare"
	"tamarackbarrow/core/tbstate"
)

// leadership is what only a leader knows; a new leader starts with the most careful assumption.
type leadership struct {
	leases *tblease.Grantor
	// closing sessions get no lease any more.
	closing   map[string]bool
	confirmed map[string]uint64
	loads     map[string]entryDemand
	// heardRunners and heardWorkers are when a backend server was last heard by any entry.
	heardRunners map[string]time.Time
	heardWorkers map[string]time.Time
	// fencedAt is when this leader saw a worker's fence committed, or when it took over.
	fencedAt map[string]time.Time
	planner  *tbplacement.Planner
	// planned is the number of planner proposals under way; there is one at most.
	planned   int
	nextShare time.Time
	nextPlan  time.Time
	nextScan  time.Time
	flow      *flowLead
}

// entryDemand smooths what an entry reports.
type entryDemand struct {
	at     time.Time
	loads  []ServiceLoad
	demand map[string]float64
}

// scanInterval is how often silence and ended leases are looked for.
const scanInterval = 100 * time.Millisecond

func newLeadership(c *Control, now time.Time) *leadership {
	l := &leadership{
		leases:       tblease.NewGrantor(c.cfg.EntryLease),
		closing:      map[string]bool{},
		confirmed:    map[string]uint64{},
		loads:        map[string]entryDemand{},
		heardRunners: map[string]time.Time{},
		heardWorkers: map[string]time.Time{},
		fencedAt:     map[string]time.Time{},
		planner:      tbplacement.New(c.cfg.Placement),
		flow:         newFlowLead(c, now),
	}
	l.leases.TakeOver(c.state.SessionKeys(), now)
	for id := range c.state.Runners {
		l.heardRunners[id] = now
	}
	for id, w := range c.state.Workers {
		l.heardWorkers[id] = now
		if w.Phase == tbstate.WorkerFenced {
			l.fencedAt[id] = now
		}
	}
	return l
}

// tick makes the leader's decisions that are due.
func (l *leadership) tick(c *Control, now time.Time) {
	c.tickFlow(now)
	if !now.Before(l.nextScan) {
		l.nextScan = now.Add(scanInterval)
		c.plannerPropose(l.endedSessions(c, now))
		c.plannerPropose(l.silentRunners(c, now))
		c.plannerPropose(l.silentWorkers(c, now))
	}
	if l.planned > 0 {
		return
	}
	if !now.Before(l.nextShare) {
		l.nextShare = now.Add(c.cfg.ShareInterval)
		if change := l.shares(c, now); len(change.Changes) > 0 {
			l.planned++
			c.plannerPropose([]tbstate.Command{change})
		}
	}
	if l.planned == 0 && !now.Before(l.nextPlan) {
		l.nextPlan = now.Add(c.cfg.PlanInterval)
		if commands := l.planner.Plan(c.state, now); len(commands) > 0 {
			l.planned++
			c.plannerPropose(commands)
		}
	}
}

// plannerPropose queues the leader's own commands; nobody waits for their outcomes.
func (c *Control) plannerPropose(commands []tbstate.Command) {
	if len(commands) > 0 {
		c.waiting = append(c.waiting, proposal{commands: commands})
	}
}

// applied notes what a committed batch means for the leader's timers.
func (l *leadership) applied(c *Control, now time.Time, batch tbstate.Batch) {
	for _, command := range batch.Commands {
		switch command := command.(type) {
		case tbstate.FenceWorker:
			l.fencedAt[command.ID] = now
		case tbstate.AnnounceWorker:
			l.heardWorkers[command.Worker.ID] = now
			delete(l.fencedAt, command.Worker.ID)
		case tbstate.AnnounceRunner:
			l.heardRunners[command.Runner.ID] = now
		case tbstate.ForgetRunner:
			l.planner.Neighbours().Forget(command.ID)
		case tbstate.OpenSession:
			l.leases.Grant(command.Session.Key, now)
		case tbstate.CloseSession:
			l.leases.Forget(command.Key)
			delete(l.closing, command.Key)
			delete(l.loads, command.Key)
			delete(l.confirmed, command.Key)
		case tbstate.FlowChange:
			l.flow.applied(c, now, command.Command)
		case tbstate.SetGrants, tbstate.StartTask, tbstate.EvictTask:
			l.planned = 0
		}
	}
}

// endedSessions closes sessions whose lease and whose last requests have surely ended.
func (l *leadership) endedSessions(c *Control, now time.Time) []tbstate.Command {
	var commands []tbstate.Command
	grace := c.cfg.DeliveryMargin + c.state.LongestRunDeadline()
	for _, key := range c.state.SessionKeys() {
		if l.closing[key] || now.Before(l.leases.Until(key).Add(grace)) {
			continue
		}
		l.closing[key] = true
		commands = append(commands, tbstate.CloseSession{Key: key})
	}
	return commands
}

func (l *leadership) silentRunners(c *Control, now time.Time) []tbstate.Command {
	var commands []tbstate.Command
	for _, id := range c.state.RunnerIDs() {
		r := c.state.Runners[id]
		silence := now.Sub(l.heardRunners[id])
		switch {
		case silence > c.cfg.ForgetAfter:
			commands = append(commands, tbstate.ForgetRunner{ID: id, Incarnation: r.Incarnation})
			l.heardRunners[id] = now
		case silence > c.cfg.BackendSilence && r.Phase == tbstate.RunnerPresent:
			commands = append(commands, tbstate.MarkRunnerAbsent{ID: id, Incarnation: r.Incarnation})
		}
	}
	return commands
}

// silentWorkers fences silent workers and loses them when no lease of theirs can be alive.
//
// An entry that got its own lease just before the fence may renew the worker's
// leases until its lease ends, and the worker runs on for one task lease more.
func (l *leadership) silentWorkers(c *Control, now time.Time) []tbstate.Command {
	var commands []tbstate.Command
	safe := c.cfg.EntryLease.GrantorLength() + c.cfg.TaskLease.GrantorLength() + c.cfg.DeliveryMargin
	for _, id := range c.state.WorkerIDs() {
		w := c.state.Workers[id]
		switch w.Phase {
		case tbstate.WorkerFenced:
			if at, ok := l.fencedAt[id]; ok && now.Sub(at) > safe {
				commands = append(commands, tbstate.LoseWorker{ID: id, Incarnation: w.Incarnation, FencedAt: w.Changed})
			}
		case tbstate.WorkerPresent, tbstate.WorkerDraining:
			if now.Sub(l.heardWorkers[id]) > c.cfg.BackendSilence {
				commands = append(commands, tbstate.FenceWorker{ID: id, Incarnation: w.Incarnation})
			}
		}
	}
	return commands
}

// shares plans the slot grants of all services by the entries' demand.
func (l *leadership) shares(c *Control, now time.Time) tbstate.SetGrants {
	b := c.state.Bundle()
	if b == nil {
		return tbstate.SetGrants{}
	}
	var set tbstate.SetGrants
	for _, service := range b.Services {
		holders := l.holders(c, service.Name, now)
		for _, change := range tbshare.Plan(holders, shareRunners(c.state, service.Name), c.cfg.Share) {
			set.Changes = append(set.Changes, tbstate.GrantChange{
				Runner: change.Runner, Session: change.Holder, Slots: change.Slots,
			})
		}
	}
	return set
}

func (l *leadership) holders(c *Control, service string, now time.Time) []tbshare.Holder {
	var holders []tbshare.Holder
	for _, key := range c.state.SessionKeys() {
		if l.closing[key] || l.leases.Ended(key, now) || l.superseded(c, key) {
			continue
		}
		holders = append(holders, tbshare.Holder{
			Key: key, DataCentre: c.state.Sessions[key].DataCentre, Demand: l.loads[key].demand[service],
		})
	}
	return holders
}

// superseded reports whether a newer session of the same entry has reported since.
func (l *leadership) superseded(c *Control, key string) bool {
	own := c.state.Sessions[key]
	for other, s := range c.state.Sessions {
		if other != key && s.ID == own.ID && s.Changed > own.Changed {
			return true
		}
	}
	return false
}

func shareRunners(s *tbstate.State, service string) []tbshare.Runner {
	var runners []tbshare.Runner
	for _, id := range s.RunnerIDs() {
		r := s.Runners[id]
		if r.Service != service || r.Phase != tbstate.RunnerPresent {
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

// demandWeight is the weight of a new report in the smoothed demand.
const demandWeight = 0.5

// note takes an entry's report into the smoothed demand.
func (l *leadership) note(sync Sync, now time.Time) {
	old := l.loads[sync.Session.Key]
	demand := make(map[string]float64, len(sync.Loads))
	elapsed := now.Sub(old.at)
	for _, load := range sync.Loads {
		fresh := float64(load.Queued)
		offered := 0.0
		if !old.at.IsZero() && elapsed > 0 {
			offered = float64(load.Arrived) * load.ServiceTime.Seconds() / elapsed.Seconds()
		}
		fresh += max(offered, float64(load.InFlight))
		demand[load.Service] = demandWeight*fresh + (1-demandWeight)*old.demand[load.Service]
	}
	l.loads[sync.Session.Key] = entryDemand{at: now, loads: sync.Loads, demand: demand}
	l.confirmed[sync.Session.Key] = sync.ConfirmedVersion
	for _, t := range sync.Timings {
		l.planner.Neighbours().Observe(t.Runner, t.Answers, t.Mean)
	}
	for _, id := range sync.HeardRunners {
		l.heardRunners[id] = now
	}
	for _, id := range sync.HeardWorkers {
		l.heardWorkers[id] = now
	}
}
