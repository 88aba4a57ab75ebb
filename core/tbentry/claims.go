package tbentry

import (
	"time"

	"tamarackbarrow/core/tbstate"
)

// claimRetryDelay is the pause before the next request for a claim that another call holds.
const claimRetryDelay = 50 * time.Millisecond

// finishClaimTimeout is how long the entry tries to record the outcome of a claimed request.
const finishClaimTimeout = time.Minute

// requestClaim asks the control group for a claim on the call's idempotency key,
// which gives one call the exclusive right to execute the request.
func (e *Entry) requestClaim(now time.Time, c *call) {
	c.phase = claiming
	c.claimID = e.newID()
	c.claimKey = tbstate.ClaimKey{Member: c.call.Member, Service: c.call.Service, Key: c.call.Key}
	c.claimSession = e.session
	e.propose(proposalItem{
		kind: acquireClaimItem, call: c.id, deadline: c.deadline,
		commands: []tbstate.Command{tbstate.AcquireClaim{Key: c.claimKey, Session: c.claimSession, CallID: c.claimID}},
	})
}

// onClaimOutcome continues a call whose claim was granted or refused.
func (e *Entry) onClaimOutcome(now time.Time, item proposalItem, o tbstate.Outcome) {
	c := e.calls[item.call]
	if c == nil || c.phase != claiming {
		// The call has ended, and finishClaim has proposed to end its claim.
		return
	}
	switch o.Reason {
	case tbstate.OK:
		e.dispatch(now, c)
	case tbstate.ClaimFinished:
		c.claimID = 0
		e.endWithStoredResult(now, c, o.Claim)
	case tbstate.ClaimInProgress:
		e.retryClaim(now, c)
	case tbstate.ClaimTableFull:
		c.claimID = 0
		e.refuse(now, c, ClaimTableFull, "")
	case tbstate.SessionUnknown:
		c.claimID = 0
		e.refuse(now, c, NoLease, "")
	default:
		// The reason is tbstate.NoActiveBundle or tbstate.ServiceUnknown; the detail tells which.
		c.claimID = 0
		e.refuse(now, c, ServiceUnknown, string(o.Reason))
	}
}

// endWithStoredResult ends a resent request with the stored answer to its first execution, or as
// Unknown if no answer is stored.
func (e *Entry) endWithStoredResult(now time.Time, c *call, stored *tbstate.Claim) {
	if stored.Status == tbstate.ClaimAnswered && stored.Reason == "" {
		e.answer(now, c, stored.Answer)
		return
	}
	c.mayHaveExecuted = true
	e.endUnknown(now, c, ClaimOutcomeUnknown, stored.Reason)
}

// retryClaim requests the claim again after claimRetryDelay, because another call holds the claim. If
// the deadline is too near for that, it ends the call as Unknown.
func (e *Entry) retryClaim(now time.Time, c *call) {
	if now.Add(2 * claimRetryDelay).After(c.deadline) {
		c.claimID = 0
		c.mayHaveExecuted = true
		e.endUnknown(now, c, ClaimInProgress, "")
		return
	}
	c.claimID = e.newID()
	e.propose(proposalItem{
		kind: acquireClaimItem, call: c.id, deadline: c.deadline, notBefore: now.Add(claimRetryDelay),
		commands: []tbstate.Command{tbstate.AcquireClaim{Key: c.claimKey, Session: c.claimSession, CallID: c.claimID}},
	})
}

// onClaimExpired refuses a call whose claim was not decided in time.
func (e *Entry) onClaimExpired(now time.Time, item proposalItem) {
	if c := e.calls[item.call]; c != nil && c.phase == claiming {
		e.refuse(now, c, ControlUnavailable, "")
	}
}

// finishClaim proposes to record the outcome of a claimed request. The caller gets the answer without
// waiting for the commit.
func (e *Entry) finishClaim(now time.Time, c *call, status tbstate.ClaimStatus, answer []byte, reason Reason) {
	if c.claimID == 0 {
		return
	}
	stored := answer
	if len(stored) > tbstate.MaxStoredAnswerBytes {
		stored = nil
		reason = answerTooLarge
	}
	e.propose(proposalItem{
		kind: finishClaimItem, deadline: now.Add(finishClaimTimeout),
		commands: []tbstate.Command{tbstate.FinishClaim{
			Key: c.claimKey, Session: c.claimSession, CallID: c.claimID,
			Status: status, Answer: stored, Reason: string(reason),
		}},
	})
	c.claimID = 0
}

// answerTooLarge is recorded with a claim whose answer was too large to store; a resend of the
// request ends with an unknown outcome.
const answerTooLarge Reason = "answerTooLargeToKeep"
