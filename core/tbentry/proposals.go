package tbentry

import (
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbstate"
)

// itemKind tells what a proposal is for.
type itemKind uint8

const (
	acquireClaimItem itemKind = iota + 1
	finishClaimItem
	releaseSlotsItem
	announceItem
	reportItem
	submitItem
	closeSessionItem
)

// proposalItem is a group of commands that is proposed in one batch.
type proposalItem struct {
	kind     itemKind
	commands []tbstate.Command
	// deadline is when the entry stops sending the item.
	deadline time.Time
	// notBefore is the earliest time to send the item.
	notBefore time.Time
	// call, request, report and runners identify what the item is for; which of them are set depends
	// on kind.
	call    uint64
	request uint64
	report  reportKey
	runners []string
}

// Limits of proposals. proposalBackoff is the pause after a failed proposal.
const (
	maxProposalsInFlight = 8
	maxCommandsInBatch   = 256
	// maxPayloadInBatch is the size in bytes of the payloads of a batch.
	maxPayloadInBatch = 1 << 20
	proposalBackoff   = 20 * time.Millisecond
)

// proposer holds the items to send to the leader. An item stays until the leader answers or the
// deadline of the item passes.
type proposer struct {
	waiting  []proposalItem
	inFlight map[uint64][]proposalItem
	// pausedUntil is the end of the pause after a failed proposal.
	pausedUntil time.Time
}

func newProposer() proposer { return proposer{inFlight: map[uint64][]proposalItem{}} }

func (p *proposer) isIdle() bool { return len(p.waiting) == 0 && len(p.inFlight) == 0 }

func (e *Entry) propose(item proposalItem) {
	e.proposer.waiting = append(e.proposer.waiting, item)
}

// sendProposals sends the waiting items to the leader in batches.
func (e *Entry) sendProposals(now time.Time) {
	p := &e.proposer
	e.expireItems(now)
	if now.Before(p.pausedUntil) {
		return
	}
	for len(p.waiting) > 0 && len(p.inFlight) < maxProposalsInFlight {
		batch, rest := takeBatch(p.waiting, now)
		p.waiting = rest
		if len(batch) == 0 {
			return
		}
		id := e.newID()
		p.inFlight[id] = batch
		var commands []tbstate.Command
		for _, item := range batch {
			commands = append(commands, item.commands...)
		}
		e.emit(SendProposal{ID: id, Address: e.controlAddress(), Commands: commands})
	}
}

// takeBatch splits off the items that may be sent now, up to maxCommandsInBatch commands and
// maxPayloadInBatch bytes.
//
// An item with more than that is sent alone. If an item does not fit, it stays, but smaller
// items after it may be taken.
func takeBatch(waiting []proposalItem, now time.Time) (batch, rest []proposalItem) {
	commands, payload := 0, 0
	for _, item := range waiting {
		itemPayload := item.payloadBytes()
		full := commands > 0 && (commands+len(item.commands) > maxCommandsInBatch || payload+itemPayload > maxPayloadInBatch)
		if full || now.Before(item.notBefore) {
			rest = append(rest, item)
			continue
		}
		commands, payload = commands+len(item.commands), payload+itemPayload
		batch = append(batch, item)
	}
	return batch, rest
}

func (i proposalItem) payloadBytes() int {
	size := 0
	for _, c := range i.commands {
		size += tbstate.PayloadBytes(c)
	}
	return size
}

func (e *Entry) expireItems(now time.Time) {
	remaining := e.proposer.waiting[:0]
	var expired []proposalItem
	for _, item := range e.proposer.waiting {
		if now.After(item.deadline) {
			expired = append(expired, item)
			continue
		}
		remaining = append(remaining, item)
	}
	e.proposer.waiting = remaining
	for _, item := range expired {
		e.onItemExpired(now, item)
	}
}

func (e *Entry) onProposalEnded(now time.Time, ev ProposalEnded) {
	batch := e.proposer.inFlight[ev.ID]
	delete(e.proposer.inFlight, ev.ID)
	if ev.Failed || ev.NotLeader {
		e.selectNextReplica(ev.Failed, ev.Leader)
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
	case acquireClaimItem:
		e.onClaimOutcome(now, item, outcomes[0])
	case releaseSlotsItem:
		e.onReleaseEnded(item)
	case reportItem:
		e.backends.markDecided(item.report, outcomes[0], now)
	case submitItem:
		e.emit(AnswerCommands{Request: item.request, Outcomes: outcomes})
	}
}

func (e *Entry) onItemExpired(now time.Time, item proposalItem) {
	switch item.kind {
	case acquireClaimItem:
		e.onClaimExpired(now, item)
	case releaseSlotsItem:
		e.onReleaseEnded(item)
	case reportItem:
		e.backends.removeReport(item.report)
	case submitItem:
		e.emit(AnswerCommands{Request: item.request, Reason: ControlUnavailable})
	}
}

func (e *Entry) onCommandsSubmitted(now time.Time, ev CommandsSubmitted) {
	e.propose(proposalItem{
		kind: submitItem, request: ev.Request, deadline: now.Add(ev.Timeout), commands: ev.Commands,
	})
}

// controlAddress returns the address of the control replica that gets the next request.
func (e *Entry) controlAddress() string {
	replicas := e.controlReplicas()
	if len(replicas) == 0 {
		return ""
	}
	for _, r := range replicas {
		if r.ID == e.sync.leader {
			return r.Address
		}
	}
	return replicas[e.sync.rotation%len(replicas)].Address
}

func (e *Entry) controlReplicas() []tbconsensus.Member {
	if len(e.view.replicas) > 0 {
		return e.view.replicas
	}
	return e.cfg.Control
}

// selectNextReplica directs the next request to leader. If the last request failed, or leader is 0 or
// was already selected, it directs the next request to another control replica in turn.
func (e *Entry) selectNextReplica(failed bool, leader tbconsensus.ReplicaID) {
	if !failed && leader != 0 && leader != e.sync.leader {
		e.sync.leader = leader
		return
	}
	e.sync.leader = 0
	e.sync.rotation++
}
