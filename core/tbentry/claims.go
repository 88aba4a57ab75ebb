package tbentry

import (
	"time"

	"tamarackbarrow/core/tbstate"
)

// claimPoll is the wait before asking again for a claim that another attempt runs.
const claimPoll = 50 * time.Millisecond

// releaseWithin bounds the tries to record how a claimed request ended.
const releaseWithin = time.Minute

// makeClaim asks the control group for the right to run a keyed request.
func (e *Entry) makeClaim(now time.Time, c *call) {
	c.phase = claiming
	c.claim = e.id()
	c.claimKey = tbstate.ClaimKey{Member: c.call.Member, Service: c.call.Service, Key: c.call.Key}
	c.claimSession = e.session
	e.propose(proposalItem{
		kind: makeClaimItem, call: c.id, until: c.deadline,
		commands: []tbstate.Command{tbstate.MakeClaim{Key: c.claimKey, Session: c.claimSession, Attempt: c.claim}},
	})
}

// onClaimOutcome continues a call whose claim is decided.
func (e *Entry) onClaimOutcome(now time.Time, item proposalItem, o tbstate.Outcome) {
	c := e.calls[item.call]
	if c == nil || c.phase != claiming {
		// The call ended meanwhile and its claim is being released.
		return
	}
	switch o.Reason {
	case tbstate.OK:
		e.dispatch(now, c)
	case tbstate.ClaimFinished:
		c.claim = 0
		e.endWithKept(now, c, o.Claim)
	case tbstate.ClaimInProgress:
		e.pollClaim(now, c)
	case tbstate.ClaimTableFull:
		c.claim = 0
		e.refuse(now, c, ClaimTableFull, "")
	case tbstate.SessionUnknown:
		c.claim = 0
		e.refuse(now, c, NoLease, "")
	default:
		c.claim = 0
		e.refuse(now, c, ServiceUnknown, string(o.Reason))
	}
}

// endWithKept answers a resent request with what its first run gave.
func (e *Entry) endWithKept(now time.Time, c *call, kept *tbstate.Claim) {
	if kept.Status == tbstate.ClaimAnswered && kept.Reason == "" {
		e.answer(now, c, kept.Answer)
		return
	}
	c.mayHaveRun = true
	e.endUnknown(now, c, ClaimUndecided, kept.Reason)
}

// pollClaim asks again until the running attempt ends or the deadline nears.
func (e *Entry) pollClaim(now time.Time, c *call) {
	if now.Add(2 * claimPoll).After(c.deadline) {
		c.claim = 0
		c.mayHaveRun = true
		e.endUnknown(now, c, ClaimStillRunning, "")
		return
	}
	c.claim = e.id()
	e.propose(proposalItem{
		kind: makeClaimItem, call: c.id, until: c.deadline, notBefore: now.Add(claimPoll),
		commands: []tbstate.Command{tbstate.MakeClaim{Key: c.claimKey, Session: c.claimSession, Attempt: c.claim}},
	})
}

// onClaimUnavailable refuses a call whose claim could not be decided in time.
func (e *Entry) onClaimUnavailable(now time.Time, item proposalItem) {
	if c := e.calls[item.call]; c != nil && c.phase == claiming {
		e.refuse(now, c, ControlUnavailable, "")
	}
}

// finishClaim records the end of a claimed request; the caller does not wait for it.
func (e *Entry) finishClaim(now time.Time, c *call, status tbstate.ClaimStatus, answer []byte, reason Reason) {
	if c.claim == 0 {
		return
	}
	kept := answer
	if len(kept) > tbstate.UnkeptAnswerBytes {
		kept = nil
		reason = answerTooLarge
	}
	e.propose(proposalItem{
		kind: finishClaimItem, until: now.Add(releaseWithin),
		commands: []tbstate.Command{tbstate.FinishClaim{
			Key: c.claimKey, Session: c.claimSession, Attempt: c.claim,
			Status: status, Answer: kept, Reason: string(reason),
		}},
	})
	c.claim = 0
}

// answerTooLarge is kept with a claim whose answer was too large to keep.
const answerTooLarge Reason = "answerTooLargeToKeep"
