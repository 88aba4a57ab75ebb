package tbcontrol

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbstate"
)

// proposal holds the encoded commands of one request. If request is 0, the commands are from the leader
// itself.
type proposal struct {
	request      uint64
	commandCount int
	encoded      []byte
	// runChanges holds the commands if all of them are assignments and ends of runs, which the leader itself has
	// made. Otherwise it is nil.
	runChanges []tbstate.Command
}

// inFlightBatch is a log entry of this leader that is not applied yet. nowMs is the time of its batch.
type inFlightBatch struct {
	index     uint64
	term      uint64
	nowMs     int64
	proposals []proposal
}

// onProposal queues commands to be proposed. If this replica is not the confirmed leader, it refuses
// them with NotLeader and names the leader, if one is known. If this leader is busy, it also answers with
// NotLeader, and names itself as Leader. Commands that are too large are rejected.
func (c *Control) onProposal(now time.Time, ev ProposalArrived) {
	if !c.IsConfirmedLeader(now) || c.isBusy() {
		c.emit(AnswerProposal{Request: ev.Request, NotLeader: true, Leader: c.leaderHint(now)})
		return
	}
	if !c.enqueue(ev.Request, ev.Commands) {
		outcomes := make([]tbstate.Outcome, len(ev.Commands))
		for i := range outcomes {
			outcomes[i] = tbstate.Outcome{Reason: tbstate.CommandTooLarge, Detail: fmt.Sprintf("the commands have more than %d bytes", c.cfg.MaxCommandBytes)}
		}
		c.emit(AnswerProposal{Request: ev.Request, Outcomes: outcomes})
	}
}

// isBusy reports whether so many commands wait or are proposed that further requests have to be refused.
func (c *Control) isBusy() bool {
	return len(c.waitingProposals) >= c.cfg.MaxWaiting || c.cfg.MaxWaitingBytes > 0 && c.pendingBytes >= c.cfg.MaxWaitingBytes
}

// enqueue queues the commands of a request to be proposed. It returns false if they are too large. The
// commands of the leader itself, with request 0, are always queued: what they hold has been bounded where
// it came in.
func (c *Control) enqueue(request uint64, commands []tbstate.Command) bool {
	encoded := c.codec.EncodeCommands(commands)
	if request != 0 && c.cfg.MaxCommandBytes > 0 && len(encoded) > c.cfg.MaxCommandBytes {
		c.emit(Log{Message: "command too large", Args: []any{"request", request, "bytes", len(encoded), "maxBytes", c.cfg.MaxCommandBytes}})
		return false
	}
	c.pendingBytes += len(encoded)
	c.waitingProposals = append(c.waitingProposals, proposal{request: request, commandCount: len(commands), encoded: encoded, runChanges: runChangesIn(commands)})
	return true
}

// takeBatch takes waiting proposals for one log entry of bounded size. A proposal that exceeds the bounds
// is taken alone.
func (c *Control) takeBatch() []proposal {
	n, commands, size := 0, 0, 0
	for _, p := range c.waitingProposals {
		commands, size = commands+p.commandCount, size+len(p.encoded)
		if n > 0 && (commands > c.cfg.MaxBatchCommands || c.cfg.MaxBatchBytes > 0 && size > c.cfg.MaxBatchBytes) {
			break
		}
		n++
	}
	batch := c.waitingProposals[:n:n]
	c.waitingProposals = c.waitingProposals[n:]
	return batch
}

// proposeWaiting proposes waiting commands in log entries of bounded size.
//
// While MaxInFlight entries are in flight, new commands accumulate, so that one disk sync serves many of
// them.
func (c *Control) proposeWaiting(now time.Time) {
	for len(c.waitingProposals) > 0 && len(c.inFlightBatches) < c.cfg.MaxInFlight && c.IsConfirmedLeader(now) {
		waiting := c.waitingProposals
		proposals := c.takeBatch()
		parts := make([][]byte, len(proposals))
		for i, p := range proposals {
			parts[i] = p.encoded
		}
		nowMs := c.state.TimeAt(now)
		index, ok := c.replica.Propose(now, [][]byte{c.codec.JoinBatch(nowMs, parts)})
		if !ok {
			c.waitingProposals = waiting
			return
		}
		c.inFlightBatches = append(c.inFlightBatches, inFlightBatch{index: index, term: c.replica.Term(), nowMs: nowMs, proposals: proposals})
	}
}

// rejectPending answers all pending requests after a loss of leadership. The sender of a proposal is told
// which replica to ask next. The sender of a LeaderRequest gets Unconfirmed. The commands of both may
// still be committed.
func (c *Control) rejectPending() {
	for _, batch := range c.inFlightBatches {
		c.waitingProposals = append(batch.proposals, c.waitingProposals...)
	}
	c.inFlightBatches = nil
	for _, p := range c.waitingProposals {
		switch {
		case c.pendingLeaderRequests[p.request]:
			delete(c.pendingLeaderRequests, p.request)
			c.answerLeaderRequest(p.request, Answer{Code: Unconfirmed})
		case p.request != 0:
			c.emit(AnswerProposal{Request: p.request, NotLeader: true, Leader: c.replica.LeaderID()})
		}
	}
	c.waitingProposals, c.pendingBytes = nil, 0
}
