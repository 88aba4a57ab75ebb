package tbcontrol

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbstate"
)

// Control is the control role of one daemon.
type Control struct {
	cfg        Config
	codec      Codec
	replica    *tbconsensus.Replica
	state      *tbstate.State
	snapshotAt uint64
	// committed are the entries that are not applied yet, since appliedAt; appliedNow counts
	// those that were since the last end of a batch.
	committed  []tbconsensus.Entry
	appliedAt  time.Time
	appliedNow int
	waiting    []proposal
	inFlight   []sentBatch
	lead       *leadership
	lines      logLines
	// asked holds the questions whose commands are proposed.
	asked map[uint64]bool
	// reads holds the questions that wait for an end to be recorded.
	reads   []heldRead
	failed  bool
	effects []Effect
}

// proposal is one request's commands, or those of the planner when Request is 0.
type proposal struct {
	request  uint64
	commands []tbstate.Command
}

// sentBatch is a proposed log entry whose outcomes are awaited.
type sentBatch struct {
	index     uint64
	proposals []proposal
}

// New returns a control role that continues from restored.
func New(cfg Config, codec Codec, restored tbconsensus.Restored, now time.Time) (*Control, error) {
	state := tbstate.New()
	if restored.Snapshot.Meta.Index > 0 {
		loaded, err := codec.DecodeState(restored.Snapshot.Data)
		if err != nil {
			return nil, fmt.Errorf("snapshot at index %d: %w", restored.Snapshot.Meta.Index, err)
		}
		state = loaded
	}
	return &Control{
		cfg: cfg, codec: codec, state: state, asked: map[uint64]bool{},
		replica:    tbconsensus.New(cfg.Consensus, restored, now),
		snapshotAt: restored.Snapshot.Meta.Index,
	}, nil
}

// State returns the applied state, which the caller must not change.
func (c *Control) State() *tbstate.State { return c.state }

// Replica returns the consensus replica, which the caller must not change.
func (c *Control) Replica() *tbconsensus.Replica { return c.replica }

// Leads reports whether this control role decides at now.
func (c *Control) Leads(now time.Time) bool {
	return c.lead != nil && !c.failed && c.replica.Confirmed(now)
}

// leaderToAsk names the replica that should be asked instead of this one, or 0.
//
// A leader whose quorum is silent names none: another one may lead already. One that was just
// elected and does not lead yet names itself.
func (c *Control) leaderToAsk(now time.Time) tbconsensus.ReplicaID {
	if c.replica.Role() == tbconsensus.Leader && c.lead != nil && !c.replica.Confirmed(now) {
		return 0
	}
	return c.replica.LeaderID()
}

// NextDue returns when Ticked next has something to do.
func (c *Control) NextDue() time.Time {
	due := c.replica.NextDue()
	if len(c.reads) > 0 && c.reads[0].until.Before(due) {
		due = c.reads[0].until
	}
	if len(c.committed) > 0 && c.appliedAt.Before(due) {
		due = c.appliedAt
	}
	if c.lead == nil {
		return due
	}
	times := []time.Time{c.lead.flow.nextTick, c.lead.nextScan}
	if l := c.lead.flow; l.stale && !l.assigning {
		times = append(times, l.planAt)
	}
	if c.state.Bundle() != nil {
		times = append(times, c.lead.nextShare, c.lead.nextPlan)
	}
	for _, t := range times {
		if t.Before(due) {
			due = t
		}
	}
	return due
}

// Step handles one event and returns what has to be done.
func (c *Control) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case MessagesArrived:
		c.onMessages(now, ev)
	case Ticked:
		c.onTick(now)
	case EntriesPersisted:
		c.replica.Persisted(now, ev.Term, ev.Index)
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
	case QuestionArrived:
		c.onQuestion(now, ev)
	case StartAnswered:
		if c.leadsIn(ev.Term) {
			c.lead.flow.fleet.StartAnswered(now, ev.Answer)
			c.lead.flow.paceStarted(c, now, ev.Answer)
		}
	case StopAnswered:
		if c.leadsIn(ev.Term) {
			c.lead.flow.fleet.StopAnswered(now, ev.Answer)
		}
	case PaceAnswered:
		if c.leadsIn(ev.Term) {
			c.lead.flow.fleet.PaceAnswered(now, ev.Answer)
		}
	case LookAnswered:
		if c.leadsIn(ev.Term) {
			c.onLook(now, ev.Answer)
		}
	case BatchEnded:
		c.appliedNow = 0
		c.planFlow(now)
		c.takeFleetOutput(now)
		c.proposeWaiting(now)
	case DeliveryFailed:
		c.replica.Undelivered(ev.To)
	case StopBegun:
		c.replica.Transfer(now)
	case StorageFailed:
		c.failed = true
	}
	c.collect(now)
	c.answerReads(now)
	c.takeFleetOutput(now)
	effects := c.effects
	c.effects = nil
	return effects
}

// leadsIn reports whether this replica still acts as the leader of a term.
//
// An answer to an order of an earlier term proves nothing in a later one: the worker may
// carry out other orders of that term that the later token does not fence off yet.
func (c *Control) leadsIn(term uint64) bool { return c.lead != nil && c.replica.Term() == term }

func (c *Control) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Control) onMessages(now time.Time, ev MessagesArrived) {
	if c.failed {
		return
	}
	for _, m := range ev.Messages {
		c.replica.Step(now, m)
	}
}

func (c *Control) onTick(now time.Time) {
	if c.failed {
		return
	}
	c.replica.Tick(now)
	c.updateLeadership(now)
	if c.Leads(now) {
		c.lead.tick(c, now)
	}
}

// collect turns the replica's output into effects and applies what is committed.
func (c *Control) collect(now time.Time) {
	out := c.replica.Take()
	c.logRoles(out.Roles)
	if len(out.Send) > 0 {
		c.emit(SendMessages{Messages: out.Send})
	}
	save := Save{Install: out.InstallSnapshot, Entries: out.Entries, HardState: out.HardState, Messages: out.SendAfterSave}
	if save.Install != nil || len(save.Entries) > 0 || save.HardState != nil || len(save.Messages) > 0 {
		c.emit(save)
	}
	if out.InstallSnapshot != nil {
		c.install(*out.InstallSnapshot)
	}
	c.committed = append(c.committed, out.Committed...)
	c.applyCommitted(now)
	c.updateLeadership(now)
	c.snapshotIfDue()
}

func (c *Control) install(s tbconsensus.Snapshot) {
	state, err := c.codec.DecodeState(s.Data)
	if err != nil {
		panic(fmt.Sprintf("snapshot of the leader at index %d cannot be read: %v", s.Meta.Index, err))
	}
	c.state = state
	c.snapshotAt = s.Meta.Index
	c.committed = nil
}

// applyCommitted applies a bounded number of entries; later batches of events apply the others.
//
// After a restart the first commit of a new term covers the whole log. A leader that applied
// thousands of entries in one go would handle nothing for longer than an election timeout.
func (c *Control) applyCommitted(now time.Time) {
	n := len(c.committed)
	if c.cfg.MaxApplied > 0 {
		n = min(n, max(0, c.cfg.MaxApplied-c.appliedNow))
	}
	c.appliedAt = now
	c.appliedNow += n
	for i, e := range c.committed[:n] {
		c.apply(now, e, len(c.committed)-i <= toldBacklog)
	}
	c.committed = c.committed[n:]
	if len(c.committed) == 0 {
		c.committed = nil
	}
}

// toldBacklog is how many entries of its predecessors a new leader tells of in the log. One
// that stops leaves a few that it has not told of, its batches under way, and older ones were
// told: those of a whole log would crowd out the lines about the present.
const toldBacklog = 64

// apply changes the state; recent is false for an entry that an earlier leader told of.
func (c *Control) apply(now time.Time, e tbconsensus.Entry, recent bool) {
	if e.Kind != tbconsensus.EntryData {
		return
	}
	batch, err := c.codec.DecodeBatch(e.Data)
	if err != nil {
		panic(fmt.Sprintf("committed log entry %d cannot be read: %v", e.Index, err))
	}
	outcomes := c.state.Apply(e.Index, batch)
	if recent && c.replica.Role() == tbconsensus.Leader {
		c.logBatch(now, batch)
	}
	if c.lead != nil {
		c.lead.applied(c, now, batch)
	}
	c.answerApplied(e.Index, outcomes)
}

func (c *Control) answerApplied(index uint64, outcomes []tbstate.Outcome) {
	if len(c.inFlight) == 0 || c.inFlight[0].index != index {
		return
	}
	sent := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	for _, p := range sent.proposals {
		n := len(p.commands)
		switch {
		case c.asked[p.request]:
			c.answerAsked(p.request, outcomes[0])
		case p.request != 0:
			c.emit(AnswerProposal{Request: p.request, Outcomes: outcomes[:n:n]})
		}
		outcomes = outcomes[n:]
	}
}

func (c *Control) snapshotIfDue() {
	if c.state.Applied < c.snapshotAt+c.cfg.SnapshotEvery {
		return
	}
	index := c.state.Applied
	s := tbconsensus.Snapshot{Meta: c.replica.SnapshotMetaAt(index), Data: c.codec.EncodeState(c.state)}
	c.replica.Compact(s)
	c.snapshotAt = index
	c.emit(SaveSnapshot{Snapshot: s})
}

func (c *Control) onProposal(now time.Time, ev ProposalArrived) {
	if !c.Leads(now) || len(c.waiting) >= c.cfg.MaxWaiting {
		c.emit(AnswerProposal{Request: ev.Request, NotLeader: true, Leader: c.leaderToAsk(now)})
		return
	}
	c.waiting = append(c.waiting, proposal{request: ev.Request, commands: ev.Commands})
}

// proposeWaiting puts waiting commands into log entries, a bounded number at a time.
//
// While entries are under way new commands gather, so that one sync of the disk
// serves all of them.
func (c *Control) proposeWaiting(now time.Time) {
	for len(c.waiting) > 0 && len(c.inFlight) < c.cfg.MaxInFlight && c.Leads(now) {
		batch := tbstate.Batch{NowMs: now.UnixMilli()}
		taken := 0
		for _, p := range c.waiting {
			if taken > 0 && len(batch.Commands)+len(p.commands) > c.cfg.MaxBatchCommands {
				break
			}
			batch.Commands = append(batch.Commands, p.commands...)
			taken++
		}
		index, ok := c.replica.Propose(now, [][]byte{c.codec.EncodeBatch(batch)})
		if !ok {
			return
		}
		c.inFlight = append(c.inFlight, sentBatch{index: index, proposals: c.waiting[:taken:taken]})
		c.waiting = c.waiting[taken:]
	}
}

// updateLeadership starts or ends the leader's duties as the replica's role asks.
func (c *Control) updateLeadership(now time.Time) {
	committed := c.replica.TermCommitted()
	switch {
	case committed && len(c.committed) == 0 && c.lead == nil:
		c.lead = newLeadership(c, now)
		c.emit(Log{Message: "leads", Detail: fmt.Sprintf("term %d", c.replica.Term())})
	case !committed && c.lead != nil && c.replica.Role() != tbconsensus.Leader:
		c.lead = nil
		c.emit(Log{Message: "no longer leads", Detail: fmt.Sprintf("term %d", c.replica.Term())})
	}
	if c.replica.Role() != tbconsensus.Leader {
		c.refuseAll()
	}
}

// refuseAll tells all requesters to ask the next leader; their commands may still commit.
func (c *Control) refuseAll() {
	for _, sent := range c.inFlight {
		c.waiting = append(sent.proposals, c.waiting...)
	}
	c.inFlight = nil
	for _, p := range c.waiting {
		switch {
		case c.asked[p.request]:
			delete(c.asked, p.request)
			c.answer(p.request, Answer{Code: Unsure})
		case p.request != 0:
			c.emit(AnswerProposal{Request: p.request, NotLeader: true, Leader: c.replica.LeaderID()})
		}
	}
	c.waiting = nil
}

func (c *Control) onMemberChange(now time.Time, ev MemberChangeArrived) {
	answer := AnswerMemberChange{Request: ev.Request}
	if !c.Leads(now) {
		answer.NotLeader = true
		answer.Leader = c.leaderToAsk(now)
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
