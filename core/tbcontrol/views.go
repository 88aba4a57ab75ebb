package tbcontrol

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbstate"
)

// onSync renews an entry's lease and answers with the changes since the entry's view.
//
// The lease and the newest state are sent in one answer, so that an entry with a valid lease
// never works with a bundle or a view older than its lease.
func (c *Control) onSync(now time.Time, ev SyncArrived) {
	answer := AnswerSync{Request: ev.Request, Leader: c.leaderHint(now)}
	if !c.IsConfirmedLeader(now) {
		answer.NotLeader = true
		c.emit(answer)
		return
	}
	key := ev.Sync.Session.Key
	answer.View = c.buildView(ev.Sync)
	switch {
	case c.state.Sessions[key] == nil && ev.Sync.SessionSeen:
		answer.View.SessionClosed = true
	case c.state.Sessions[key] == nil:
		c.enqueueCommands([]tbstate.Command{tbstate.OpenSession{Session: ev.Sync.Session}})
	case c.leader.closingSessions[key]:
		// The entry gets no lease. Once the close is applied, a view tells it that the session is closed.
	default:
		c.leader.leases.Grant(key, now)
		c.leader.recordSync(ev.Sync, now)
		answer.View.LeaseGranted = true
	}
	c.emit(answer)
}

func (c *Control) buildView(sync Sync) View {
	v := View{
		Term: c.replica.Term(), Index: c.state.Applied,
		Replicas:  c.replica.Members().Members,
		Loads:     c.loadsOfOtherEntries(sync.Session.Key),
		Throttled: c.leader.planner.Throttled(),
	}
	changes, ok := c.state.ChangesSince(sync.ViewIndex)
	if !ok || sync.ViewIndex == 0 {
		c.addFullState(&v, sync.Session.Key)
		return v
	}
	for _, change := range changes {
		c.addChange(&v, change, sync)
	}
	return v
}

func (c *Control) addFullState(v *View, session string) {
	v.Full = true
	v.Bundle = c.state.Bundle()
	for _, key := range c.state.SessionKeys() {
		v.Sessions = append(v.Sessions, *c.state.Sessions[key])
	}
	for _, id := range c.state.RunnerIDs() {
		v.Runners = append(v.Runners, runnerForSession(c.state.Runners[id], session))
	}
	for _, id := range c.state.WorkerIDs() {
		v.Workers = append(v.Workers, *c.state.Workers[id])
		for _, j := range c.state.TasksOn(id) {
			v.PlacedJobs = append(v.PlacedJobs, *j)
		}
	}
}

// runnerForSession returns a copy of a runner that has the grant of one session only.
func runnerForSession(r *tbstate.Runner, session string) tbstate.Runner {
	filtered := *r
	filtered.Grants = nil
	if g := r.Grant(session); g.Changed > 0 {
		filtered.Grants = []tbstate.Grant{g}
	}
	return filtered
}

func (c *Control) addChange(v *View, change tbstate.Change, sync Sync) {
	switch change.Kind {
	case tbstate.BundleRecord:
		v.Bundle = c.state.Bundle()
	case tbstate.SessionRecord:
		if s := c.state.Sessions[change.ID]; s != nil {
			v.Sessions = append(v.Sessions, *s)
			return
		}
		v.RemovedSessions = append(v.RemovedSessions, change.ID)
	case tbstate.RunnerRecord:
		c.addChangedRunner(v, change.ID, sync)
	case tbstate.WorkerRecord:
		if w := c.state.Workers[change.ID]; w != nil {
			v.Workers = append(v.Workers, *w)
			return
		}
		v.RemovedWorkers = append(v.RemovedWorkers, change.ID)
	case tbstate.TaskRecord:
		if j := c.state.Jobs[change.ID]; j != nil && j.Phase.Placed() {
			v.PlacedJobs = append(v.PlacedJobs, *j)
			return
		}
		v.RemovedTasks = append(v.RemovedTasks, change.ID)
	}
}

// addChangedRunner adds the runner to v if the runner or the grant of the entry's session changed after
// sync.ViewIndex. A runner that no longer exists is added to v.RemovedRunners.
func (c *Control) addChangedRunner(v *View, id string, sync Sync) {
	r := c.state.Runners[id]
	if r == nil {
		v.RemovedRunners = append(v.RemovedRunners, id)
		return
	}
	grant := r.Grant(sync.Session.Key)
	if r.Changed > sync.ViewIndex || grant.Changed > sync.ViewIndex {
		v.Runners = append(v.Runners, runnerForSession(r, sync.Session.Key))
	}
}

func (c *Control) loadsOfOtherEntries(session string) []EntryLoad {
	var loads []EntryLoad
	for _, key := range slices.Sorted(maps.Keys(c.leader.demandBySession)) {
		if key != session && !c.leader.closingSessions[key] {
			loads = append(loads, EntryLoad{Session: key, Loads: c.leader.demandBySession[key].loads})
		}
	}
	return loads
}

func (c *Control) onJobsQueried(now time.Time, ev JobsQueried) {
	answer := AnswerJobs{Request: ev.Request, Leader: c.leaderHint(now)}
	if !c.IsConfirmedLeader(now) {
		answer.NotLeader = true
		c.emit(answer)
		return
	}
	for _, id := range ev.IDs {
		v := JobStatus{Job: tbstate.Job{ID: id}}
		if j := c.state.Jobs[id]; j != nil {
			v = JobStatus{Job: *j, Known: true}
			if j.Phase == tbstate.JobQueued {
				v.Waiting = c.leader.planner.WaitReason(id)
			}
		}
		answer.Jobs = append(answer.Jobs, v)
	}
	c.emit(answer)
}

func (c *Control) onStatusQueried(now time.Time, ev StatusQueried) {
	answer := AnswerStatus{Request: ev.Request, Leader: c.leaderHint(now)}
	if !c.IsConfirmedLeader(now) {
		answer.NotLeader = true
		c.emit(answer)
		return
	}
	answer.Status = c.buildStatus(now)
	c.emit(answer)
}

func (c *Control) buildStatus(now time.Time) Status {
	st := Status{
		Leader: c.replica.LeaderID(), Term: c.replica.Term(), CommitIndex: c.replica.Commit(),
		ActiveVersion: c.state.ActiveVersion, Replicas: c.replica.Members().Members, Progress: c.replica.Progress(),
		Queued: c.state.QueuedCount(), Claims: len(c.state.Claims),
	}
	for _, version := range slices.Sorted(maps.Keys(c.state.Bundles)) {
		st.Bundles = append(st.Bundles, *c.state.Bundles[version])
	}
	for _, key := range c.state.SessionKeys() {
		st.Entries = append(st.Entries, EntryStatus{
			Session: *c.state.Sessions[key], ConfirmedVersion: c.leader.confirmedVersionBySession[key],
			LeaseLeft: max(0, c.leader.leases.Expiry(key).Sub(now)),
		})
	}
	for _, id := range c.state.RunnerIDs() {
		st.Runners = append(st.Runners, *c.state.Runners[id])
	}
	for _, id := range c.state.WorkerIDs() {
		st.Workers = append(st.Workers, WorkerStatus{
			Worker: *c.state.Workers[id], Reserved: c.state.Reserved(id), Tasks: c.state.TaskCount(id),
		})
	}
	st.Jobs = c.countJobsByPhase()
	st.Evacuations = c.evacuationStatuses()
	return st
}

func (c *Control) countJobsByPhase() []PhaseCount {
	countByPhase := map[tbstate.JobPhase]int{}
	for _, j := range c.state.Jobs {
		countByPhase[j.Phase]++
	}
	var phaseCounts []PhaseCount
	for _, phase := range slices.Sorted(maps.Keys(countByPhase)) {
		phaseCounts = append(phaseCounts, PhaseCount{Phase: phase, Count: countByPhase[phase]})
	}
	return phaseCounts
}
