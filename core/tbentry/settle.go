package tbentry

import "time"

// SettlementResult is the answer to SettleAttempt: what became of an attempt whose answer was lost.
type SettlementResult uint8

// Values of SettlementResult.
const (
	// SettlementUnanswered means that the runner did not answer.
	SettlementUnanswered SettlementResult = iota
	// SettledNotExecuted means that the runner has not executed the request and never will.
	SettledNotExecuted
	// SettledExecuting means that the runner is still executing the request; the entry asks the runner
	// again.
	SettledExecuting
	// SettledEnded means that the request was executed. If the runner still has the answer, Payload
	// holds it and Answered is true.
	SettledEnded
	// SettledUnknown means that the runner cannot tell, for example after its restart.
	SettledUnknown
)

// SettleAttempt asks a runner over a new connection for the outcome of an attempt.
type SettleAttempt struct {
	Attempt     uint64
	Address     string
	Incarnation uint64
	// Delay is the time until the question is sent.
	Delay time.Duration
}

// AttemptSettled answers SettleAttempt.
type AttemptSettled struct {
	Attempt  uint64
	State    SettlementResult
	Answered bool
	Payload  []byte
}

func (SettleAttempt) isEffect() {}
func (AttemptSettled) isEvent() {}

// settleRetryDelay is the pause before a runner is asked again.
const settleRetryDelay = 100 * time.Millisecond

// requestSettlement asks a runner for the outcome of an attempt whose answer was lost.
//
// Without the outcome, the slot stays occupied until slotFreeAt, and a request that must not be
// executed twice ends as Unknown. A delayed copy of the request could reach the runner after the
// question. Therefore a runner that has not received the request when asked rejects a later copy.
func (e *Entry) requestSettlement(now time.Time, a *attempt, delay time.Duration) {
	if now.Add(delay).After(a.slotFreeAt) {
		return
	}
	e.emit(SettleAttempt{Attempt: a.id, Address: a.runner.Address, Incarnation: a.runner.Incarnation, Delay: delay})
}

func (e *Entry) onAttemptSettled(now time.Time, ev AttemptSettled) {
	a := e.attempts[ev.Attempt]
	if a == nil {
		return
	}
	c := e.calls[a.call]
	isWaiting := c != nil && c.phase == awaitingSettlement && c.lastAttempt == a.id
	switch ev.State {
	case SettlementUnanswered, SettledExecuting:
		e.requestSettlement(now, a, settleRetryDelay)
		return
	case SettledNotExecuted:
		e.freeSlot(a)
		e.count("settled", settledNotExecuted)
		if isWaiting {
			c.mayHaveExecuted = c.mayHaveExecutedBefore
			e.retryOrEnd(now, c, RunnerNotReached, "")
		}
	case SettledEnded:
		e.freeSlot(a)
		e.count("settled", settledEnded)
		e.continueAfterSettlement(now, c, isWaiting, ev)
	case SettledUnknown:
		e.freeSlot(a)
		if isWaiting {
			e.retryOrEnd(now, c, ConnectionLost, "")
		}
	}
	e.startQueued(now, a.service)
}

// Reasons under which settlements are counted.
const (
	settledNotExecuted Reason = "notRun"
	settledEnded       Reason = "ended"
)

// continueAfterSettlement continues the call of an attempt that was executed.
//
// Meanwhile a retry of the call may be executing or queued. The call ends with the first answer.
func (e *Entry) continueAfterSettlement(now time.Time, c *call, isWaiting bool, ev AttemptSettled) {
	switch {
	case c == nil:
	case ev.Answered && (isWaiting || c.phase == executing || c.phase == queued):
		if c.phase == queued {
			c.service.queue.Remove(c.call.Member, c.id)
		}
		e.answer(now, c, ev.Payload)
	case isWaiting:
		e.retryOrEnd(now, c, ConnectionLost, "")
	}
}
