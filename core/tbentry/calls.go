package tbentry

import (
	"time"

	"tamarackbarrow/core/tbadmission"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbstate"
)

// callPhase is where a call stands.
type callPhase uint8

const (
	claiming callPhase = iota
	queued
	running
	// settling means that the answer was lost and the runner is asked what became of the request.
	settling
	handedOver
)

// call is one request in progress.
type call struct {
	id         uint64
	call       Call
	service    *service
	arrived    time.Time
	deadline   time.Time
	phase      callPhase
	idempotent bool
	// fromPeer is true for a call that a peer handed over.
	fromPeer bool
	// claim is the attempt number under which the key is claimed, or 0.
	claim        uint64
	claimKey     tbstate.ClaimKey
	claimSession string
	// triedPeers are sessions that had no free slot for this call.
	triedPeers []string
	// triedRunners are not asked again.
	triedRunners []string
	// mayHaveRun is true once a request may have reached a runner without a decided end.
	mayHaveRun bool
	// ranBefore is true if an attempt before the present one may have run.
	ranBefore bool
	// attempt is the newest attempt.
	attempt    uint64
	attempts   int
	lastReason Reason
	lastDetail string
}

// attempt is one request at a runner; it holds a slot until its end is sure.
type attempt struct {
	id      uint64
	call    uint64
	service *service
	runner  *tbrouting.Runner
	started time.Time
	// slotUntil is when the slot is free even if no answer came.
	slotUntil time.Time
	ended     bool
}

// minWaitShare is the share of the target latency that a call may wait in any case.
const minWaitShare = 0.1

func (e *Entry) onCall(now time.Time, ev CallArrived) {
	c := &call{id: ev.ID, call: ev.Call, arrived: now, fromPeer: ev.Handover}
	if reason := e.refuseAtDoor(now, ev); reason != NoReason {
		e.answerRefused(c, reason, "")
		return
	}
	s := e.serviceOf(ev.Call.Service)
	c.service = s
	c.deadline = now.Add(s.spec.RunDeadline)
	if ev.Call.Within > 0 {
		c.deadline = now.Add(ev.Call.Within)
	}
	c.idempotent = s.spec.Idempotent(ev.Call.Method)
	if !ev.Handover {
		s.arrived++
		s.retryTokens = min(s.retryTokens+float64(s.spec.RetryPercent)/100, maxRetryTokens)
	}
	e.calls[c.id] = c
	needsClaim := !c.idempotent && ev.Call.Key != "" && !ev.Handover
	if !needsClaim {
		e.dispatch(now, c)
		return
	}
	if reason := e.mayQueue(now, c); s.pool.Free(now) == 0 && reason != NoReason && e.peerWithRoom(c) == "" {
		// Refusing before the claim spares the control group the work.
		e.refuse(now, c, reason, "")
		return
	}
	e.makeClaim(now, c)
}

// maxRetryTokens bounds how many retries can be saved up.
const maxRetryTokens = 20

func (e *Entry) refuseAtDoor(now time.Time, ev CallArrived) Reason {
	switch {
	case e.stopping && !ev.Handover:
		return EntryStopping
	case e.stopping:
		return NoFreeSlot
	case !e.lease.Valid(now):
		return NoLease
	case e.view.bundle == nil:
		return NoBundle
	case !e.inForce(ev.Call.Service):
		return ServiceUnknown
	}
	return NoReason
}

// dispatch gives a call to a runner, a peer or the queue, in this order.
func (e *Entry) dispatch(now time.Time, c *call) {
	s := c.service
	if e.lease.Valid(now) && s.queue.Len() == 0 {
		if r := s.pool.Pick(now, c.triedRunners); r != nil {
			e.startRun(now, c, r)
			return
		}
	}
	if c.fromPeer {
		e.refuse(now, c, NoFreeSlot, "")
		return
	}
	if e.handOver(now, c) {
		return
	}
	if reason := e.mayQueue(now, c); reason != NoReason {
		e.refuse(now, c, reason, "")
		return
	}
	if !s.queue.Push(c.call.Member, c.id) {
		e.refuse(now, c, QueueFull, "")
		return
	}
	c.phase = queued
}

// mayQueue refuses a call whose wait would make its answer late.
func (e *Entry) mayQueue(now time.Time, c *call) Reason {
	s := c.service
	if s.queue.Len() >= s.spec.QueueLimit {
		return QueueFull
	}
	if !e.cfg.Admission {
		return NoReason
	}
	wait := tbadmission.ExpectedWait(&s.estimate, s.queue.Len()+1, s.pool.Limit())
	if now.Add(wait).After(e.startBy(c)) {
		return WaitTooLong
	}
	return NoReason
}

// startBy is the last moment at which a start is likely to give an answer on time.
func (e *Entry) startBy(c *call) time.Time {
	s := c.service
	rule := tbadmission.Rule{Target: s.spec.TargetLatency, MinWaitShare: minWaitShare}
	byTarget := c.arrived.Add(rule.MaxWait(&s.estimate))
	byDeadline := c.deadline.Add(-s.estimate.Mean())
	if byDeadline.Before(byTarget) {
		return byDeadline
	}
	return byTarget
}

// pump starts queued calls while there are free slots here or at peers.
func (e *Entry) pump(now time.Time, s *service) {
	for s.queue.Len() > 0 && e.lease.Valid(now) {
		r := s.pool.Pick(now, nil)
		if r == nil && !e.anyPeerFree(s) {
			return
		}
		id, _ := s.queue.Pop(e.cfg.QueueOrder)
		c := e.calls[id]
		if e.cfg.Admission && now.After(e.startBy(c)) {
			e.refuse(now, c, WaitTooLong, "")
			continue
		}
		if own := s.pool.Pick(now, c.triedRunners); own != nil {
			e.startRun(now, c, own)
			continue
		}
		if e.handOver(now, c) {
			continue
		}
		if !s.queue.Push(c.call.Member, c.id) {
			e.refuse(now, c, QueueFull, "")
		}
		return
	}
}

func (e *Entry) startRun(now time.Time, c *call, r *tbrouting.Runner) {
	s := c.service
	within := min(s.spec.RunDeadline, c.deadline.Sub(now))
	a := &attempt{
		id: e.id(), call: c.id, service: s, runner: r, started: now,
		slotUntil: now.Add(within + e.cfg.DeliveryMargin),
	}
	e.attempts[a.id] = a
	r.InUse++
	c.attempt = a.id
	c.attempts++
	c.ranBefore = c.mayHaveRun
	c.phase = running
	c.triedRunners = append(c.triedRunners, r.ID)
	e.emit(StartRun{
		Attempt: a.id, Runner: r.ID, Incarnation: r.Incarnation, Address: r.Address, Call: c.call,
		Within: within, GiveUp: within + e.cfg.DeliveryMargin,
	})
}

func (e *Entry) onRunEnded(now time.Time, ev RunEnded) {
	a := e.attempts[ev.Attempt]
	if a == nil || a.ended {
		return
	}
	a.ended = true
	e.noteRunner(now, a, ev)
	if ev.Kind == RunLost || ev.Kind == RunBadAnswer {
		e.settle(now, a, 0)
	} else {
		e.freeSlot(a)
	}
	if c := e.calls[a.call]; c != nil && c.phase == running {
		e.continueCall(now, c, a, ev)
	}
	e.pump(now, a.service)
}

func (e *Entry) freeSlot(a *attempt) {
	a.runner.InUse--
	delete(e.attempts, a.id)
}

// noteRunner keeps the estimates and the ejection of failing runners.
func (e *Entry) noteRunner(now time.Time, a *attempt, ev RunEnded) {
	switch ev.Kind {
	case RunAnswered:
		took := now.Sub(a.started)
		a.service.estimate.Observe(took)
		t := e.timings[a.runner.ID]
		e.timings[a.runner.ID] = timing{answers: t.answers + 1, sum: t.sum + took}
		a.service.pool.NoteSuccess(a.runner)
	case RunRefused:
	default:
		if a.service.pool.NoteFailure(a.runner, now) {
			e.count("ejected", RunFailed)
		}
	}
}

func (e *Entry) continueCall(now time.Time, c *call, a *attempt, ev RunEnded) {
	switch ev.Kind {
	case RunAnswered:
		e.answer(now, c, ev.Payload)
	case RunRefused:
		e.retryOr(now, c, RunnerRefused, ev.Detail)
	case RunNotSent:
		e.retryOr(now, c, RunnerNotReached, ev.Detail)
	case RunLost:
		e.retryOrSettle(now, c, ConnectionLost, ev.Detail)
	case RunBadAnswer:
		e.retryOrSettle(now, c, BadAnswer, ev.Detail)
	case RunError:
		c.mayHaveRun = true
		e.retryOr(now, c, RunFailed, ev.Detail)
	}
}

// retryOrSettle goes on at once with an idempotent request and otherwise waits for the settlement.
func (e *Entry) retryOrSettle(now time.Time, c *call, reason Reason, detail string) {
	c.mayHaveRun = true
	c.lastReason, c.lastDetail = reason, detail
	if c.idempotent && e.mayRetry(now, c) {
		e.retry(now, c, reason)
		return
	}
	c.phase = settling
}

// retryOr tries another runner when that is allowed, and otherwise ends the call.
//
// A request that may have run is tried again only if it is idempotent.
func (e *Entry) retryOr(now time.Time, c *call, reason Reason, detail string) {
	c.lastReason, c.lastDetail = reason, detail
	if c.mayHaveRun && !c.idempotent || !e.mayRetry(now, c) {
		e.endAfterRetries(now, c)
		return
	}
	e.retry(now, c, reason)
}

// maxAttempts bounds the runners that one call is sent to.
const maxAttempts = 4

// mayRetry keeps retries from multiplying the load of a failing service.
//
// Only a request that may have cost a runner work spends the budget; one that
// surely did not run adds no load, and its attempts are bounded instead.
func (e *Entry) mayRetry(now time.Time, c *call) bool {
	if c.attempts >= maxAttempts || now.Add(c.service.estimate.Mean()).After(c.deadline) {
		return false
	}
	return !c.mayHaveRun || c.service.retryTokens >= 1
}

func (e *Entry) retry(now time.Time, c *call, reason Reason) {
	if c.mayHaveRun {
		c.service.retryTokens--
	}
	e.count("retried", reason)
	e.dispatch(now, c)
}

func (e *Entry) endAfterRetries(now time.Time, c *call) {
	if c.mayHaveRun {
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
	e.end(c, Outcome{Status: Answered, Payload: payload})
	e.count("answered", NoReason)
	e.finishClaim(now, c, tbstate.ClaimAnswered, payload, NoReason)
}

// refuse ends a call that no runner ran; if one may have, it ends as unknown.
func (e *Entry) refuse(now time.Time, c *call, reason Reason, detail string) {
	if c.mayHaveRun {
		e.endUnknown(now, c, reason, detail)
		return
	}
	delete(e.calls, c.id)
	e.answerRefused(c, reason, detail)
	e.finishClaim(now, c, tbstate.ClaimNotRun, nil, reason)
}

func (e *Entry) answerRefused(c *call, reason Reason, detail string) {
	e.count("refused", reason)
	e.emit(AnswerCall{ID: c.id, Outcome: Outcome{Status: NotRun, Reason: reason, Detail: detail}})
}

func (e *Entry) endUnknown(now time.Time, c *call, reason Reason, detail string) {
	e.count("unknown", reason)
	e.end(c, Outcome{Status: Unknown, Reason: reason, Detail: detail})
	e.finishClaim(now, c, tbstate.ClaimOutcomeUnknown, nil, reason)
}

func (e *Entry) end(c *call, o Outcome) {
	delete(e.calls, c.id)
	e.emit(AnswerCall{ID: c.id, Outcome: o})
}

// expireCalls ends calls whose deadline has passed.
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
		case running, settling, handedOver:
			c.mayHaveRun = true
			e.endUnknown(now, c, DeadlineWhileRunning, "")
		}
	}
}

// expireAttempts frees slots whose request has surely ended at the runner.
func (e *Entry) expireAttempts(now time.Time) {
	for _, a := range e.attempts {
		if now.Before(a.slotUntil) {
			continue
		}
		if !a.ended {
			e.noteRunner(now, a, RunEnded{Kind: RunLost})
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
		e.refuse(now, c, CallerLeftQueue, "")
	case claiming:
		// The claim's answer decides what has to be released.
		e.refuse(now, c, CallerLeftQueue, "")
	case running, settling, handedOver:
		// A claimed request keeps its place, so that a resend gets the kept answer.
		if c.claim != 0 {
			return
		}
		c.mayHaveRun = true
		e.endUnknown(now, c, CallerLeftRunning, "")
	}
}
