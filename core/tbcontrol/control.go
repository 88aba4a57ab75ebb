package tbcontrol

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbstate"
)

// Control is the control role of one daemon.
type Control struct {
	cfg               Config
	codec             Codec
	replica           *tbconsensus.Replica
	state             *tbstate.State
	outstandingTimes  *tbfleet.OutstandingTimes
	lastSnapshotIndex uint64
	// lastSnapshotBytes is the size of the last snapshot, and bytesSinceSnapshot that of the entries applied
	// since then.
	lastSnapshotBytes  int
	bytesSinceSnapshot int
	// unapplied holds the committed entries that are not applied yet. lastApplyAt is the time of the last
	// call of applyCommitted. appliedInEventBatch is the number of entries applied since the last
	// EventBatchEnded.
	unapplied           []tbconsensus.Entry
	lastApplyAt         time.Time
	appliedInEventBatch int
	waitingProposals    []proposal
	inFlightBatches     []inFlightBatch
	// pendingBytes is the size of the commands in waitingProposals and inFlightBatches.
	pendingBytes    int
	leader          *leaderState
	pendingLogLines logLines
	// pendingLeaderRequests holds the numbers of the requests to the leader whose commands are not applied yet.
	pendingLeaderRequests map[uint64]bool
	// deferredReads holds the JobStateRequested requests that wait for the end of their job to be recorded.
	deferredReads []deferredRead
	storageFailed bool
	effects       []Effect
}

// New returns a control role that continues from persisted, or an error if the snapshot in it
// cannot be decoded.
func New(cfg Config, codec Codec, persisted tbconsensus.PersistedState, now time.Time) (*Control, error) {
	state := tbstate.New()
	if persisted.Snapshot.Meta.Index > 0 {
		decodedState, err := codec.DecodeState(persisted.Snapshot.Data)
		if err != nil {
			return nil, fmt.Errorf("decode snapshot at index %d: %w", persisted.Snapshot.Meta.Index, err)
		}
		state = decodedState
	}
	return &Control{
		cfg: cfg, codec: codec, state: state, pendingLeaderRequests: map[uint64]bool{},
		replica:           tbconsensus.New(cfg.Consensus, persisted, now),
		outstandingTimes:  tbfleet.NewOutstandingTimes(now, state.Flow),
		lastSnapshotIndex: persisted.Snapshot.Meta.Index, lastSnapshotBytes: len(persisted.Snapshot.Data),
	}, nil
}

// State returns the applied state; the caller must not modify it.
func (c *Control) State() *tbstate.State { return c.state }

// Replica returns the consensus replica; the caller must not modify it.
func (c *Control) Replica() *tbconsensus.Replica { return c.replica }

// IsConfirmedLeader reports whether this replica may make the leader's decisions at now. It must have
// been elected, have applied all entries of earlier terms, and hold the leader lease. After a storage
// failure it returns false.
func (c *Control) IsConfirmedLeader(now time.Time) bool {
	return c.leader != nil && !c.storageFailed && c.replica.HoldsLease(now)
}

// leaderHint returns the replica to which a request should be redirected, or 0 if none is known.
//
// A leader that has lost its quorum returns 0, because another replica may lead already. A leader
// that was just elected and does not make decisions yet returns its own id.
func (c *Control) leaderHint(now time.Time) tbconsensus.ReplicaID {
	if c.replica.Role() == tbconsensus.Leader && c.leader != nil && !c.replica.HoldsLease(now) {
		return 0
	}
	return c.replica.LeaderID()
}

// NextDue returns the time by which the next Tick event has to come.
func (c *Control) NextDue() time.Time {
	due := c.replica.NextDue()
	if len(c.deferredReads) > 0 && c.deferredReads[0].deadline.Before(due) {
		due = c.deferredReads[0].deadline
	}
	if len(c.unapplied) > 0 && c.lastApplyAt.Before(due) {
		due = c.lastApplyAt
	}
	if c.leader == nil {
		return due
	}
	dueTimes := []time.Time{c.leader.flow.nextTickAt, c.leader.nextExpiryCheckAt}
	if l := c.leader.flow; l.needsPlan && !l.assignInFlight {
		dueTimes = append(dueTimes, l.earliestPlanAt)
	}
	if c.state.Bundle() != nil {
		dueTimes = append(dueTimes, c.leader.nextGrantPlanAt, c.leader.nextPlacementPlanAt)
	}
	for _, t := range dueTimes {
		if t.Before(due) {
			due = t
		}
	}
	return due
}

// Step handles one event and returns the effects to carry out.
func (c *Control) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case MessagesArrived:
		c.onMessages(now, ev)
	case Tick:
		c.onTick(now)
	case EntriesPersisted:
		c.replica.ReportPersisted(now, ev.Term, ev.Index)
	case ProposalArrived:
		c.onProposal(now, ev)
	case SyncArrived:
		c.onSync(now, ev)
	case JobsQueried:
		c.onJobsQueried(now, ev)
	case StatusQueried:
		c.onStatusQueried(now, ev)
	case MemberChangeArrived:
		c.onMemberChange(now, ev)
	case LeaderRequestArrived:
		c.onLeaderRequest(now, ev)
	case StartAnswered:
		if c.isLeaderOf(ev.Term) {
			c.leader.flow.fleet.HandleStartAnswered(now, ev.Answer)
			c.leader.flow.setBestEffortSpeedAtStart(c, now, ev.Answer)
		}
	case StopAnswered:
		if c.isLeaderOf(ev.Term) {
			c.leader.flow.fleet.HandleStopAnswered(now, ev.Answer)
		}
	case SpeedAnswered:
		if c.isLeaderOf(ev.Term) {
			c.leader.flow.fleet.HandleSpeedAnswered(now, ev.Answer)
		}
	case PollAnswered:
		if c.isLeaderOf(ev.Term) {
			c.onPollAnswered(now, ev.Answer)
		}
	case EventBatchEnded:
		c.appliedInEventBatch = 0
		if c.leader != nil {
			c.leader.flow.planner.ObserveLoad(ev.Load)
		}
		c.failExhausted(now)
		c.planRuns(now)
		c.planCopies(now)
		c.processFleetOutput(now)
		c.proposeWaiting(now)
	case DeliveryFailed:
		c.replica.ReportUndelivered(ev.To)
	case ShutdownStarted:
		c.replica.Transfer(now)
	case StorageFailed:
		c.storageFailed = true
	}
	c.processReplicaOutput(now)
	c.answerDeferredReads(now)
	c.processFleetOutput(now)
	effects := c.effects
	c.effects = nil
	return effects
}

// isLeaderOf reports whether this replica still acts as the leader of term.
//
// Answers to orders of an earlier term are ignored. After such an answer, the worker may still carry out
// other orders of that term, so the answer does not show the worker's final state. The worker refuses
// orders of the earlier term only once it has seen a token of the later term.
func (c *Control) isLeaderOf(term uint64) bool { return c.leader != nil && c.replica.Term() == term }

func (c *Control) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Control) onMessages(now time.Time, ev MessagesArrived) {
	if c.storageFailed {
		return
	}
	for _, m := range ev.Messages {
		c.replica.Step(now, m)
	}
}

func (c *Control) onTick(now time.Time) {
	if c.storageFailed {
		return
	}
	c.replica.Tick(now)
	c.updateLeadership(now)
	if c.IsConfirmedLeader(now) {
		c.leader.tick(c, now)
	}
}

// processReplicaOutput turns the replica's output into effects and applies committed entries.
func (c *Control) processReplicaOutput(now time.Time) {
	out := c.replica.Take()
	c.logRoleChanges(out.RoleChanges)
	if len(out.Send) > 0 {
		c.emit(SendMessages{Messages: out.Send})
	}
	save := Save{Install: out.InstallSnapshot, Entries: out.Entries, HardState: out.HardState, Messages: out.SendAfterSave}
	if save.Install != nil || len(save.Entries) > 0 || save.HardState != nil || len(save.Messages) > 0 {
		c.emit(save)
	}
	if out.InstallSnapshot != nil {
		c.installSnapshot(now, *out.InstallSnapshot)
	}
	c.unapplied = append(c.unapplied, out.Committed...)
	c.applyCommitted(now)
	c.updateLeadership(now)
	c.snapshotIfDue()
}

func (c *Control) installSnapshot(now time.Time, s tbconsensus.Snapshot) {
	state, err := c.codec.DecodeState(s.Data)
	if err != nil {
		panic(fmt.Sprintf("decode snapshot of the leader at index %d: %v", s.Meta.Index, err))
	}
	c.state, c.outstandingTimes = state, tbfleet.NewOutstandingTimes(now, state.Flow)
	c.lastSnapshotIndex, c.lastSnapshotBytes, c.bytesSinceSnapshot = s.Meta.Index, len(s.Data), 0
	c.unapplied = nil
}

// applyCommitted applies at most MaxApplied entries between two EventBatchEnded. The remaining entries
// stay in unapplied until the next EventBatchEnded.
//
// After a restart the first commit of a new term covers the whole log. A leader that applied thousands
// of entries at once would handle no event for longer than an election timeout, and then step down.
func (c *Control) applyCommitted(now time.Time) {
	n := len(c.unapplied)
	if c.cfg.MaxApplied > 0 {
		n = min(n, max(0, c.cfg.MaxApplied-c.appliedInEventBatch))
	}
	c.lastApplyAt = now
	c.appliedInEventBatch += n
	for i, e := range c.unapplied[:n] {
		c.apply(now, e, len(c.unapplied)-i <= maxReloggedEntries)
	}
	c.unapplied = c.unapplied[n:]
	if len(c.unapplied) == 0 {
		c.unapplied = nil
	}
}

// maxReloggedEntries limits the entries of a backlog for which a new leader writes log lines, to the
// newest ones. The earlier leader wrote lines for all entries except the few batches that were in
// flight when it stopped. Lines for the whole backlog would displace those about current events.
const maxReloggedEntries = 64

// apply applies a committed entry to the state. shouldLog is false if an earlier leader has already
// logged the decisions in the entry.
func (c *Control) apply(now time.Time, e tbconsensus.Entry, shouldLog bool) {
	c.bytesSinceSnapshot += len(e.Data)
	if e.Kind != tbconsensus.EntryData {
		return
	}
	batch := c.batchOf(e)
	outcomes := c.state.Apply(e.Index, batch)
	c.noteOutstandingTimes(now, batch)
	if shouldLog && c.replica.Role() == tbconsensus.Leader {
		c.logDecisions(now, batch)
	}
	if c.leader != nil {
		c.leader.handleApplied(c, now, batch)
	}
	c.answerProposals(e, outcomes)
}

func (c *Control) noteOutstandingTimes(now time.Time, batch tbstate.Batch) {
	for _, command := range batch.Commands {
		if change, ok := command.(tbstate.FlowChange); ok {
			c.outstandingTimes.HandleApplied(now, c.state.Flow, change.Command)
		}
	}
	c.outstandingTimes.RemoveExpired(c.state.Flow)
}

// isOldestInFlight reports whether an entry is the oldest batch in flight. After a change of leader, another
// entry may have the index of that batch.
func (c *Control) isOldestInFlight(e tbconsensus.Entry) bool {
	return len(c.inFlightBatches) > 0 && c.inFlightBatches[0].index == e.Index && c.inFlightBatches[0].term == e.Term
}

// batchOf returns the batch of a committed entry. Most commands of a busy leader are assignments and ends of
// runs, which it need not decode again.
func (c *Control) batchOf(e tbconsensus.Entry) tbstate.Batch {
	if !c.isOldestInFlight(e) {
		return c.decodeBatch(e.Index, e.Data)
	}
	inFlight := c.inFlightBatches[0]
	batch := tbstate.Batch{NowMs: inFlight.nowMs}
	for _, p := range inFlight.proposals {
		commands := p.runChanges
		if commands == nil {
			commands = c.decodeBatch(e.Index, c.codec.JoinBatch(inFlight.nowMs, [][]byte{p.encoded})).Commands
		}
		batch.Commands = append(batch.Commands, commands...)
	}
	return batch
}

func (c *Control) decodeBatch(index uint64, data []byte) tbstate.Batch {
	batch, err := c.codec.DecodeBatch(data)
	if err != nil {
		panic(fmt.Sprintf("decode committed log entry %d: %v", index, err))
	}
	return batch
}

// runChangesIn returns the commands if all of them are assignments or ends of runs, and nil otherwise.
func runChangesIn(commands []tbstate.Command) []tbstate.Command {
	for _, command := range commands {
		change, ok := command.(tbstate.FlowChange)
		if !ok {
			return nil
		}
		switch change.Command.(type) {
		case tbflow.Assign, tbflow.AssignCopies, tbflow.RecordEnds:
		default:
			return nil
		}
	}
	return commands
}

func (c *Control) answerProposals(e tbconsensus.Entry, outcomes []tbstate.Outcome) {
	if !c.isOldestInFlight(e) {
		return
	}
	batch := c.inFlightBatches[0]
	c.inFlightBatches = c.inFlightBatches[1:]
	for _, p := range batch.proposals {
		n := p.commandCount
		c.pendingBytes -= len(p.encoded)
		switch {
		case c.pendingLeaderRequests[p.request]:
			c.answerCommitted(p.request, outcomes[0])
		case p.request != 0:
			c.emit(AnswerProposal{Request: p.request, Outcomes: outcomes[:n:n]})
		}
		outcomes = outcomes[n:]
	}
}

func (c *Control) snapshotIfDue() {
	hasManyEntries := c.state.Applied >= c.lastSnapshotIndex+c.cfg.SnapshotEvery
	hasManyBytes := c.cfg.SnapshotBytes > 0 && c.bytesSinceSnapshot >= max(c.cfg.SnapshotBytes, c.lastSnapshotBytes)
	if !hasManyEntries && !hasManyBytes {
		return
	}
	index := c.state.Applied
	s := tbconsensus.Snapshot{Meta: c.replica.SnapshotMetaAt(index), Data: c.codec.EncodeState(c.state)}
	c.replica.Compact(s)
	c.lastSnapshotIndex, c.lastSnapshotBytes, c.bytesSinceSnapshot = index, len(s.Data), 0
	c.emit(SaveSnapshot{Snapshot: s})
}

// updateLeadership creates the leader's state once an entry of the current term is committed and all
// committed entries are applied. It drops that state when the replica is no longer leader.
func (c *Control) updateLeadership(now time.Time) {
	hasCommittedInTerm := c.replica.HasCommittedInTerm()
	switch {
	case hasCommittedInTerm && len(c.unapplied) == 0 && c.leader == nil:
		c.leader = newLeaderState(c, now)
		c.emit(Log{Message: "leads", Detail: fmt.Sprintf("term %d", c.replica.Term())})
	case !hasCommittedInTerm && c.leader != nil && c.replica.Role() != tbconsensus.Leader:
		c.leader = nil
		c.emit(Log{Message: "no longer leads", Detail: fmt.Sprintf("term %d", c.replica.Term())})
	}
	if c.replica.Role() != tbconsensus.Leader {
		c.rejectPending()
	}
}

func (c *Control) onMemberChange(now time.Time, ev MemberChangeArrived) {
	answer := AnswerMemberChange{Request: ev.Request}
	if !c.IsConfirmedLeader(now) {
		answer.NotLeader = true
		answer.Leader = c.leaderHint(now)
		c.emit(answer)
		return
	}
	switch ev.Change {
	case AddLearner:
		answer.Refusal = c.replica.AddLearner(now, ev.Replica, ev.Address)
	case Promote:
		answer.Refusal = c.replica.Promote(now, ev.Replica)
	case Remove:
		answer.Refusal = c.replica.Remove(now, ev.Replica)
	}
	c.emit(answer)
}
