package tbentry

import "time"

// SettleState is what a runner says became of a request whose answer was lost.
type SettleState uint8

// Answers to a settlement.
const (
	// SettleFailed means that the runner was not reached.
	SettleFailed SettleState = iota
	// SettledNotRun means that the runner never ran the request and never will.
	SettledNotRun
	SettledRunning
	// SettledEnded means that the request ran; Payload is its answer if Answered is true.
	SettledEnded
	// SettledUnknown means that the runner cannot tell, for example after its restart.
	SettledUnknown
)

// SettleRun asks a runner over a new connection what became of an attempt.
type SettleRun struct {
	Attempt     uint64
	Address     string
	Incarnation uint64
	// After is the pause before asking.
	After time.Duration
}

// RunSettled answers SettleRun.
type RunSettled struct {
	Attempt  uint64
	State    SettleState
	Answered bool
	Payload  []byte
}

func (SettleRun) isEffect() {}
func (RunSettled) isEvent() {}

// settleAgain is the pause before a runner is asked again.
const settleAgain = 100 * time.Millisecond

// settle finds out what became of a request whose connection was lost.
//
// Without it the slot stays held until the run deadline has surely passed, and
// a request that may not run twice has to end as unknown. A runner that never
// saw the request bars its id, so that a copy still under way cannot run later.
func (e *Entry) settle(now time.Time, a *attempt, after time.Duration) {
	if now.Add(after).After(a.slotUntil) {
		return
	}
	e.emit(SettleRun{Attempt: a.id, Address: a.runner.Address, Incarnation: a.runner.Incarnation, After: after})
}

func (e *Entry) onRunSettled(now time.Time, ev RunSettled) {
	a := e.attempts[ev.Attempt]
	if a == nil {
		return
	}
	c := e.calls[a.call]
	waits := c != nil && c.phase == settling && c.attempt == a.id
	switch ev.State {
	case SettleFailed, SettledRunning:
		e.settle(now, a, settleAgain)
		return
	case SettledNotRun:
		e.freeSlot(a)
		e.count("settled", settledNotRun)
		if waits {
			c.mayHaveRun = c.ranBefore
			e.retryOr(now, c, RunnerNotReached, "")
		}
	case SettledEnded:
		e.freeSlot(a)
		e.count("settled", settledEnded)
		e.settleEnded(now, c, waits, ev)
	case SettledUnknown:
		e.freeSlot(a)
		if waits {
			e.retryOr(now, c, ConnectionLost, "")
		}
	}
	e.pump(now, a.service)
}

// Reasons under which settlements are counted.
const (
	settledNotRun Reason = "notRun"
	settledEnded  Reason = "ended"
)

// settleEnded answers the call late with the answer that was lost on the way.
func (e *Entry) settleEnded(now time.Time, c *call, waits bool, ev RunSettled) {
	switch {
	case c == nil:
	case ev.Answered && (waits || c.phase == running || c.phase == queued):
		if c.phase == queued {
			c.service.queue.Remove(c.call.Member, c.id)
		}
		e.answer(now, c, ev.Payload)
	case waits:
		e.retryOr(now, c, ConnectionLost, "")
	}
}
