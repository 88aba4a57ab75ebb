package tbentry

import (
	"time"

	"tamarackbarrow/core/tbadmission"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbstate"
)

// callPhase is what a call is waiting for.
type callPhase uint8

const (
	// claiming means that the control group has not decided on the claim on the idempotency key. It is
	// also the phase of a new call. A call without a claim leaves this phase before Step returns.
	claiming callPhase = iota
	queued
	// executing means that an attempt is in progress at a runner.
	executing
	// awaitingSettlement means that the answer was lost and the outcome is requested from the
	// runner.
	awaitingSettlement
	// awaitingPeer means that the call was handed over to another entry.
	awaitingPeer
)

// call is one call in progress.
type call struct {
	id         uint64
	call       Call
	service    *service
	arrived    time.Time
	deadline   time.Time
	phase      callPhase
	idempotent bool
	// fromPeer is true for a call that another entry handed over.
	fromPeer bool
	// claimID is the CallID under which this call claims its idempotency key, or 0 without a claim.
	claimID      uint64
	claimKey     tbstate.ClaimKey
	claimSession string
	// triedPeers are the sessions to which this call was handed over.
	triedPeers []string
	// triedRunners are the ids of the runners that get no further attempt of this call.
	triedRunners []string
	// mayHaveExecuted is true once a runner may have executed the request and the answer is not known.
	mayHaveExecuted bool
	// mayHaveExecutedBefore is the value of mayHaveExecuted when the last attempt started.
	mayHaveExecutedBefore bool
	// lastAttempt is the id of the newest attempt.
	lastAttempt  uint64
	attemptCount int
	lastReason   Reason
	lastDetail   string
}

// attempt is one request sent to a runner. It occupies a slot until the runner is certain to have
// finished the request.
type attempt struct {
	id      uint64
	call    uint64
	service *service
	runner  *tbrouting.Runner
	started time.Time
	// slotFreeAt is when the slot is freed if the outcome of the attempt is still not known.
	slotFreeAt time.Time
	// ended is true once the attempt has a result. After a lost or bad answer, the attempt still
	// occupies the slot.
	ended bool
}

// minWaitShare is the share of the target latency that a call may always wait for a slot, even if the
// estimated response time leaves less.
const minWaitShare = 0.1

func (e *Entry) onCallArrived(now time.Time, ev CallArrived) {
	c := &call{id: ev.ID, call: ev.Call, arrived: now, fromPeer: ev.FromPeer}
	if reason := e.refusalOnArrival(now, ev); reason != NoReason {
		e.sendRefusal(c, reason, "")
		return
	}
	s := e.lookupService(ev.Call.Service)
	c.service = s
	c.deadline = now.Add(s.spec.RunDeadline)
	if ev.Call.Timeout > 0 {
		c.deadline = now.Add(ev.Call.Timeout)
	}
	c.idempotent = s.spec.Idempotent(ev.Call.Method)
	if !ev.FromPeer {
		s.arrived++
		s.retryTokens = min(s.retryTokens+float64(s.spec.RetryPercent)/100, maxRetryTokens)
	}
	e.calls[c.id] = c
	needsClaim := !c.idempotent && ev.Call.Key != "" && !ev.FromPeer
	if !needsClaim {
		e.dispatch(now, c)
		return
	}
	if reason := e.refusalToQueue(now, c); s.pool.FreeSlots(now) == 0 && reason != NoReason && e.bestPeer(c) == "" {
		// Refusing before the claim saves a commit in the control group.
		e.refuse(now, c, reason, "")
		return
	}
	e.requestClaim(now, c)
}

// maxRetryTokens is the capacity of the retry budget, in retries.
const maxRetryTokens = 20

// refusalOnArrival returns why the entry cannot take a new call, or NoReason.
func (e *Entry) refusalOnArrival(now time.Time, ev CallArrived) Reason {
	switch {
	case e.stopping && !ev.FromPeer:
		return EntryStopping
	case e.stopping:
		return NoFreeSlot
	case !e.lease.Valid(now):
		return NoLease
	case e.view.bundle == nil:
		return NoBundle
	case !e.isServiceActive(ev.Call.Service):
		return ServiceUnknown
	}
	return NoReason
}

// dispatch sends a call to a runner with a free slot. If there is none, it hands the call over to a
// peer or else queues the call. It refuses a call for which none of these is possible.
func (e *Entry) dispatch(now time.Time, c *call) {
	s := c.service
	if e.lease.Valid(now) && s.queue.Len() == 0 {
		if r := s.pool.Pick(now, c.triedRunners); r != nil {
			e.startAttempt(now, c, r)
			return
		}
	}
	if c.fromPeer {
		e.refuse(now, c, NoFreeSlot, "")
		return
	}
	if e.tryHandover(now, c) {
		return
	}
	if reason := e.refusalToQueue(now, c); reason != NoReason {
		e.refuse(now, c, reason, "")
		return
	}
	if !s.queue.Push(c.call.Member, c.id) {
		e.refuse(now, c, QueueFull, "")
		return
	}
	c.phase = queued
}

// refusalToQueue returns why a call may not be queued, or NoReason: the queue is
// full, or the expected wait is too long for the target latency or the deadline.
func (e *Entry) refusalToQueue(now time.Time, c *call) Reason {
	s := c.service
	if s.queue.Len() >= s.spec.QueueLimit {
		return QueueFull
	}
	if !e.cfg.AdmissionEnabled {
		return NoReason
	}
	wait := tbadmission.ExpectedWait(&s.estimate, s.queue.Len()+1, s.pool.TotalSlots())
	if now.Add(wait).After(e.latestStart(c)) {
		return WaitTooLong
	}
	return NoReason
}

// latestStart returns the latest time at which an attempt should start, the earlier of two times.
// One is the arrival plus WaitLimit.MaxWait. The other is the deadline minus the mean response time.
func (e *Entry) latestStart(c *call) time.Time {
	s := c.service
	limit := tbadmission.WaitLimit{Target: s.spec.TargetLatency, MinWaitShare: minWaitShare}
	byTarget := c.arrived.Add(limit.MaxWait(&s.estimate))
	byDeadline := c.deadline.Add(-s.estimate.Mean())
	if byDeadline.Before(byTarget) {
		return byDeadline
	}
	return byTarget
}

// startQueued takes calls from the queue while this entry or a peer has free slots. It starts a call
// at this entry or else hands the call over. It refuses calls whose latest start has passed.
func (e *Entry) startQueued(now time.Time, s *service) {
	for s.queue.Len() > 0 && e.lease.Valid(now) {
		r := s.pool.Pick(now, nil)
		if r == nil && !e.hasFreePeer(s) {
			return
		}
		id, _ := s.queue.Pop(e.cfg.QueueOrder)
		c := e.calls[id]
		if e.cfg.AdmissionEnabled && now.After(e.latestStart(c)) {
			e.refuse(now, c, WaitTooLong, "")
			continue
		}
		if own := s.pool.Pick(now, c.triedRunners); own != nil {
			e.startAttempt(now, c, own)
			continue
		}
		if e.tryHandover(now, c) {
			continue
		}
		if !s.queue.Push(c.call.Member, c.id) {
			e.refuse(now, c, QueueFull, "")
		}
		return
	}
}

func (e *Entry) startAttempt(now time.Time, c *call, r *tbrouting.Runner) {
	s := c.service
	timeout := min(s.spec.RunDeadline, c.deadline.Sub(now))
	a := &attempt{
		id: e.newID(), call: c.id, service: s, runner: r, started: now,
		slotFreeAt: now.Add(timeout + e.cfg.DeliveryMargin),
	}
	e.attempts[a.id] = a
	r.InUse++
	c.lastAttempt = a.id
	c.attemptCount++
	c.mayHaveExecutedBefore = c.mayHaveExecuted
	c.phase = executing
	c.triedRunners = append(c.triedRunners, r.ID)
	e.emit(StartAttempt{
		Attempt: a.id, Runner: r.ID, Incarnation: r.Incarnation, Address: r.Address, Call: c.call,
		Timeout: timeout, AnswerTimeout: timeout + e.cfg.DeliveryMargin,
	})
}

func (e *Entry) onAttemptEnded(now time.Time, ev AttemptEnded) {
	a := e.attempts[ev.Attempt]
	if a == nil || a.ended {
		return
	}
	a.ended = true
	e.recordAttemptResult(now, a, ev)
	if ev.Result == AttemptLost || ev.Result == AttemptBadAnswer {
		e.requestSettlement(now, a, 0)
	} else {
		e.freeSlot(a)
	}
	if c := e.calls[a.call]; c != nil && c.phase == executing {
		e.continueCall(now, c, a, ev)
	}
	e.startQueued(now, a.service)
}

func (e *Entry) freeSlot(a *attempt) {
	a.runner.InUse--
	delete(e.attempts, a.id)
}

// recordAttemptResult updates the response times after an answer. After a failure, it ejects the
// runner if the runner keeps failing. A refusal changes nothing.
func (e *Entry) recordAttemptResult(now time.Time, a *attempt, ev AttemptEnded) {
	switch ev.Result {
	case AttemptAnswered:
		took := now.Sub(a.started)
		a.service.estimate.Observe(took)
		t := e.timings[a.runner.ID]
		e.timings[a.runner.ID] = timing{answers: t.answers + 1, sum: t.sum + took}
		a.service.pool.ReportSuccess(a.runner)
	case AttemptRefused:
	default:
		if a.service.pool.ReportFailure(a.runner, now) {
			e.count("ejected", RunnerFailed)
		}
	}
}

func (e *Entry) continueCall(now time.Time, c *call, a *attempt, ev AttemptEnded) {
	switch ev.Result {
	case AttemptAnswered:
		e.answer(now, c, ev.Payload)
	case AttemptRefused:
		e.retryOrEnd(now, c, RunnerRefused, ev.Detail)
	case AttemptNotSent:
		e.retryOrEnd(now, c, RunnerNotReached, ev.Detail)
	case AttemptLost:
		e.retryOrAwaitSettlement(now, c, ConnectionLost, ev.Detail)
	case AttemptBadAnswer:
		e.retryOrAwaitSettlement(now, c, BadAnswer, ev.Detail)
	case AttemptError:
		c.mayHaveExecuted = true
		e.retryOrEnd(now, c, RunnerFailed, ev.Detail)
	}
}

// retryOrAwaitSettlement retries an idempotent request at once if canRetry allows it. Otherwise the
// call waits for the settlement, in which the runner reports the outcome.
func (e *Entry) retryOrAwaitSettlement(now time.Time, c *call, reason Reason, detail string) {
	c.mayHaveExecuted = true
	c.lastReason, c.lastDetail = reason, detail
	if c.idempotent && e.canRetry(now, c) {
		e.retry(now, c, reason)
		return
	}
	c.phase = awaitingSettlement
}

// retryOrEnd retries a call on another runner if that is allowed, and ends it otherwise.
//
// A request that may have been executed is retried only if it is idempotent.
func (e *Entry) retryOrEnd(now time.Time, c *call, reason Reason, detail string) {
	c.lastReason, c.lastDetail = reason, detail
	if c.mayHaveExecuted && !c.idempotent || !e.canRetry(now, c) {
		e.endWithLastReason(now, c)
		return
	}
	e.retry(now, c, reason)
}

// maxAttempts bounds the attempts of one call.
const maxAttempts = 4

// canRetry reports whether a call has attempts, time and, if needed, retry budget left.
//
// Retries could multiply the load of a failing service, so a retry budget limits them. A retry uses
// the budget only if a runner may have executed the request. Otherwise the earlier attempts cost
// the runners no work, and the budget does not limit the retry.
func (e *Entry) canRetry(now time.Time, c *call) bool {
	if c.attemptCount >= maxAttempts || now.Add(c.service.estimate.Mean()).After(c.deadline) {
		return false
	}
	return !c.mayHaveExecuted || c.service.retryTokens >= 1
}

func (e *Entry) retry(now time.Time, c *call, reason Reason) {
	if c.mayHaveExecuted {
		c.service.retryTokens--
	}
	e.count("retried", reason)
	e.dispatch(now, c)
}

func (e *Entry) endWithLastReason(now time.Time, c *call) {
	if c.mayHaveExecuted {
		e.endUnknown(now, c, c.lastReason, c.lastDetail)
		return
	}
	e.refuse(now, c, c.lastReason, c.lastDetail)
}

func (e *Entry) answer(now time.Time, c *call, payload []byte) {
	s := c.service
	s.answered++
	if now.Sub(c.arrived) > s.spec.TargetLatency {
		s.slow++
	}
	e.endCall(c, Outcome{Status: Answered, Payload: payload})
	e.count("answered", NoReason)
	e.finishClaim(now, c, tbstate.ClaimAnswered, payload, NoReason)
}

// refuse ends a call as NotExecuted, or as Unknown if an earlier attempt may have executed the request.
func (e *Entry) refuse(now time.Time, c *call, reason Reason, detail string) {
	if c.mayHaveExecuted {
		e.endUnknown(now, c, reason, detail)
		return
	}
	delete(e.calls, c.id)
	e.sendRefusal(c, reason, detail)
	e.finishClaim(now, c, tbstate.ClaimNotExecuted, nil, reason)
}

func (e *Entry) sendRefusal(c *call, reason Reason, detail string) {
	e.count("refused", reason)
	e.emit(AnswerCall{ID: c.id, Outcome: Outcome{Status: NotExecuted, Reason: reason, Detail: detail}})
}

func (e *Entry) endUnknown(now time.Time, c *call, reason Reason, detail string) {
	e.count("unknown", reason)
	e.endCall(c, Outcome{Status: Unknown, Reason: reason, Detail: detail})
	e.finishClaim(now, c, tbstate.ClaimOutcomeUnknown, nil, reason)
}

func (e *Entry) endCall(c *call, o Outcome) {
	delete(e.calls, c.id)
	e.emit(AnswerCall{ID: c.id, Outcome: o})
}

// expireCalls ends the calls whose deadline has passed.
func (e *Entry) expireCalls(now time.Time) {
	for _, c := range e.calls {
		if now.Before(c.deadline) {
			continue
		}
		switch c.phase {
		case claiming:
			e.refuse(now, c, DeadlineWhileClaiming, "")
		case queued:
			c.service.queue.Remove(c.call.Member, c.id)
			e.refuse(now, c, DeadlineWhileQueued, "")
		case executing, awaitingSettlement, awaitingPeer:
			c.mayHaveExecuted = true
			e.endUnknown(now, c, DeadlineWhileExecuting, "")
		}
	}
}

// expireAttempts frees the slots of attempts whose slotFreeAt has been reached; by then, the runner is
// certain to have finished the request.
func (e *Entry) expireAttempts(now time.Time) {
	for _, a := range e.attempts {
		if now.Before(a.slotFreeAt) {
			continue
		}
		if !a.ended {
			e.recordAttemptResult(now, a, AttemptEnded{Result: AttemptLost})
		}
		e.freeSlot(a)
	}
}

func (e *Entry) onCallerLeft(now time.Time, ev CallerLeft) {
	c := e.calls[ev.ID]
	if c == nil {
		return
	}
	switch c.phase {
	case queued:
		c.service.queue.Remove(c.call.Member, c.id)
		e.refuse(now, c, CallerLeftWhileWaiting, "")
	case claiming:
		// The control group may already have granted the claim, so refuse also proposes to end the claim
		// as not executed.
		e.refuse(now, c, CallerLeftWhileWaiting, "")
	case executing, awaitingSettlement, awaitingPeer:
		// A claimed request continues, so that a resend of it gets the stored answer.
		if c.claimID != 0 {
			return
		}
		c.mayHaveExecuted = true
		e.endUnknown(now, c, CallerLeftWhileExecuting, "")
	}
}
