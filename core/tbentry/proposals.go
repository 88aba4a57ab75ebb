package tbentry

import (
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbstate"
)

// itemKind tells who waits for a proposal.
type itemKind uint8

const (
	makeClaimItem itemKind = iota + 1
	finishClaimItem
	surrenderItem
	announceItem
	reportItem
	submitItem
	closeSessionItem
)

// proposalItem is a few commands that are committed together.
type proposalItem struct {
	kind     itemKind
	commands []tbstate.Command
	// until is when trying ends.
	until     time.Time
	notBefore time.Time
	call      uint64
	request   uint64
	report    reportKey
	runners   []string
}

// Limits of proposals under way.
const (
	maxProposalsInFlight = 8
	maxCommandsInBatch   = 256
	proposalBackoff      = 20 * time.Millisecond
)

// proposer sends items to the leader until they are decided or too old.
type proposer struct {
	waiting  []proposalItem
	inFlight map[uint64][]proposalItem
	// pausedUntil spaces tries after a failure.
	pausedUntil time.Time
}

func newProposer() proposer { return proposer{inFlight: map[uint64][]proposalItem{}} }

func (p *proposer) idle() bool { return len(p.waiting) == 0 && len(p.inFlight) == 0 }

func (e *Entry) propose(item proposalItem) {
	e.proposer.waiting = append(e.proposer.waiting, item)
}

// sendProposals puts waiting items into batches for the leader.
func (e *Entry) sendProposals(now time.Time) {
	p := &e.proposer
	e.dropLateItems(now)
	if now.Before(p.pausedUntil) {
		return
	}
	for len(p.waiting) > 0 && len(p.inFlight) < maxProposalsInFlight {
		batch, rest := takeBatch(p.waiting, now)
		p.waiting = rest
		if len(batch) == 0 {
			return
		}
		id := e.id()
		p.inFlight[id] = batch
		var commands []tbstate.Command
		for _, item := range batch {
			commands = append(commands, item.commands...)
		}
		e.emit(SendProposal{ID: id, Address: e.controlTarget(), Commands: commands})
	}
}

// takeBatch splits off the items that may be sent now, up to the size of a batch.
func takeBatch(waiting []proposalItem, now time.Time) (batch, rest []proposalItem) {
	commands := 0
	for _, item := range waiting {
		full := commands > 0 && commands+len(item.commands) > maxCommandsInBatch
		if full || now.Before(item.notBefore) {
			rest = append(rest, item)
			continue
		}
		commands += len(item.commands)
		batch = append(batch, item)
	}
	return batch, rest
}

func (e *Entry) dropLateItems(now time.Time) {
	kept := e.proposer.waiting[:0]
	var late []proposalItem
	for _, item := range e.proposer.waiting {
		if now.After(item.until) {
			late = append(late, item)
			continue
		}
		kept = append(kept, item)
	}
	e.proposer.waiting = kept
	for _, item := range late {
		e.onItemUnavailable(now, item)
	}
}

func (e *Entry) onProposalEnded(now time.Time, ev ProposalEnded) {
	batch := e.proposer.inFlight[ev.ID]
	delete(e.proposer.inFlight, ev.ID)
	if ev.Failed || ev.NotLeader {
		e.noteControlFailure(ev.Failed, ev.Leader)
		e.proposer.pausedUntil = now.Add(proposalBackoff)
		e.proposer.waiting = append(batch, e.proposer.waiting...)
		return
	}
	outcomes := ev.Outcomes
	for _, item := range batch {
		n := len(item.commands)
		e.onItemOutcome(now, item, outcomes[:n])
		outcomes = outcomes[n:]
	}
}

func (e *Entry) onItemOutcome(now time.Time, item proposalItem, outcomes []tbstate.Outcome) {
	switch item.kind {
	case makeClaimItem:
		e.onClaimOutcome(now, item, outcomes[0])
	case surrenderItem:
		e.onSurrendered(item)
	case reportItem:
		e.care.noteReported(item.report, outcomes[0], now)
	case submitItem:
		e.emit(AnswerCommands{Request: item.request, Outcomes: outcomes})
	}
}

func (e *Entry) onItemUnavailable(now time.Time, item proposalItem) {
	switch item.kind {
	case makeClaimItem:
		e.onClaimUnavailable(now, item)
	case surrenderItem:
		e.onSurrendered(item)
	case reportItem:
		e.care.dropReport(item.report)
	case submitItem:
		e.emit(AnswerCommands{Request: item.request, Reason: ControlUnavailable})
	}
}

func (e *Entry) onCommands(now time.Time, ev CommandsSubmitted) {
	e.propose(proposalItem{
		kind: submitItem, request: ev.Request, until: now.Add(ev.Within), commands: ev.Commands,
	})
}

// controlTarget returns the address of the control replica to ask.
func (e *Entry) controlTarget() string {
	members := e.controlMembers()
	if len(members) == 0 {
		return ""
	}
	for _, m := range members {
		if m.ID == e.sync.leader {
			return m.Address
		}
	}
	return members[e.sync.rotation%len(members)].Address
}

func (e *Entry) controlMembers() []tbconsensus.Member {
	if len(e.view.replicas) > 0 {
		return e.view.replicas
	}
	return e.cfg.Control
}

// noteControlFailure moves on to the named leader, or to the next replica.
func (e *Entry) noteControlFailure(failed bool, leader tbconsensus.ReplicaID) {
	if !failed && leader != 0 && leader != e.sync.leader {
		e.sync.leader = leader
		return
	}
	e.sync.leader = 0
	e.sync.rotation++
}
