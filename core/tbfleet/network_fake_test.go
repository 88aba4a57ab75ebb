package tbfleet_test

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// partition is a loss of connection between a worker and the leaders.
type partition struct {
	until time.Time
	// losesOrders is true if orders to the worker are lost. losesAnswers is true if answers,
	// reports and sign-offs of the worker are lost.
	losesOrders  bool
	losesAnswers bool
	// disconnectedTerm is the term of the leader that is disconnected from the worker. 0 means all
	// leaders.
	disconnectedTerm uint64
}

// partitionFrom returns the current partition between a leader and the worker at an address, or the
// zero value if there is none.
func (sim *simulation) partitionFrom(address string, l *leader) partition {
	c := sim.partitionsByAddress[address]
	if !sim.now.Before(c.until) || c.disconnectedTerm != 0 && l != nil && c.disconnectedTerm != l.term {
		return partition{}
	}
	return c
}

const (
	// lostAnswerRate is the fraction of orders whose answer is lost. lateOrderRate is the fraction
	// of orders that are executed late and not answered. During a burst, burstLateOrderRate
	// replaces lateOrderRate.
	lostAnswerRate     = 0.08
	lateOrderRate      = 0.06
	burstLateOrderRate = 0.5
	// notSentRate is the fraction of orders to a disconnected worker that are not sent, because no
	// connection is established.
	notSentRate = 0.3
	// heldOrderRate is the fraction of orders that a leader or relay holds for up to maxOrderDelay -
	// maxDeliveryDelay before it sends them. unknownSendingRate is the fraction of unconfirmed orders of
	// which the leader does not learn when they were sent.
	heldOrderRate      = 0.03
	unknownSendingRate = 0.3
	// expiredRate is the fraction of orders that a suspended relay gives up without sending them.
	expiredRate = 0.01
	// slowAnswerRate is the fraction of answers and sign-offs that are slow. They take up to
	// maxAnswerDelay.
	slowAnswerRate = 0.1
	maxAnswerDelay = 500 * time.Millisecond
	// lostResultRate is the fraction of orders, in schedules with slow workers, whose relay is lost before their timeout.
	lostResultRate = 0.03
	// minSlowAnswer and maxSlowAnswer bound the answer times of a slow worker.
	minSlowAnswer = 500 * time.Millisecond
	maxSlowAnswer = 1300 * time.Millisecond
)

// slowDown lets a worker answer slowly for some seconds.
func (sim *simulation) slowDown(address string) {
	d := time.Second + time.Duration(sim.slowRNG.Int64N(int64(8*time.Second)))
	sim.slowUntil[address] = sim.now.Add(d)
	sim.extendFaults(d + maxSlowAnswer)
	sim.logf("%s is slow for %v", address, d)
}

// slowAnswer returns how much longer the answer of a worker takes because it is slow.
func (sim *simulation) slowAnswer(address string) time.Duration {
	if !sim.now.Before(sim.slowUntil[address]) {
		return 0
	}
	return minSlowAnswer + time.Duration(sim.slowRNG.Int64N(int64(maxSlowAnswer-minSlowAnswer)))
}

// sendOrder delivers an order, sometimes late. The answer may be lost.
func (sim *simulation) sendOrder(l *leader, c tbfleet.Order) {
	target, wait, timeout := orderTarget(c)
	issuedAt, sentAt := sim.now, sim.now
	if sim.injectsFaults && sim.rng.Float64() < heldOrderRate {
		sentAt = sentAt.Add(sim.randomDuration(0, maxOrderDelay-maxDeliveryDelay))
	}
	unconfirmed := failedAnswer(c, tbfleet.Unconfirmed)
	if sim.rng.Float64() >= unknownSendingRate && sentAt.Before(issuedAt.Add(timeout)) {
		unconfirmed = withSentBefore(unconfirmed, sentAt.Add(sim.resendTime(issuedAt.Add(timeout).Sub(sentAt))))
	}
	if timeout-wait > params.OrderTimeout {
		sim.longTimeouts++
	}
	delay := sentAt.Sub(issuedAt) + sim.oneWayDelay(0)
	if sim.relayRNG != nil && sim.injectsFaults && sim.relayRNG.Float64() < expiredRate {
		sim.schedule(sim.oneWayDelay(maxAnswerDelay), func() { sim.deliverAnswer(l, issuedAt, c, failedAnswer(c, tbfleet.NotSent)) })
		return
	}
	late := sim.injectsFaults && sim.rng.Float64() < sim.lateRate(c)
	isHeld := sentAt.Sub(issuedAt) >= timeout
	answerLost := late || isHeld || sim.injectsFaults && sim.rng.Float64() < lostAnswerRate
	if late {
		delay += 2*time.Second + time.Duration(sim.rng.Int64N(int64(maxDeliveryDelay-2*time.Second)-int64(10*time.Millisecond)))
		timeLeft := timeout
		if sentAt.Sub(issuedAt) < timeout {
			timeLeft -= sentAt.Sub(issuedAt)
		}
		if resendTime := min(sim.resendTime(timeLeft), maxSendingTime); resendTime > 0 {
			delay += time.Duration(sim.slowRNG.Int64N(int64(resendTime)))
			if sim.slowRNG.IntN(2) == 0 {
				// It is executed as late as possible.
				delay = sentAt.Sub(issuedAt) + resendTime + maxDeliveryDelay - tick
			}
		}
	} else if sim.partitionFrom(target.Address, l).losesOrders {
		answer := unconfirmed
		if sim.rng.Float64() < notSentRate {
			answer = unsentAnswer(c)
		}
		sim.schedule(timeout, func() { sim.deliverAnswer(l, issuedAt, c, answer) })
		return
	}
	if sim.losesPoll(c, target.Address) {
		sim.schedule(timeout, func() { sim.deliverAnswer(l, issuedAt, c, unconfirmed) })
		return
	}
	deliverNoAnswer := func() { sim.deliverAnswer(l, issuedAt, c, unconfirmed) }
	if sim.slowRNG != nil && sim.injectsFaults && sim.slowRNG.Float64() < lostResultRate {
		answerLost = true
		unconfirmed = withoutResult(failedAnswer(c, tbfleet.Unconfirmed))
		timeout = time.Duration(sim.slowRNG.Int64N(int64(timeout)))
	}
	if answerLost {
		sim.schedule(timeout, deliverNoAnswer)
	}
	sim.schedule(delay, func() {
		fw := sim.workersByAddress[target.Address]
		a := sim.deliver(fw, c, late || isHeld)
		if answerLost {
			return
		}
		var pollDelay time.Duration
		if _, ok := c.(tbfleet.Poll); ok && wait > 0 {
			pollDelay = time.Duration(sim.rng.Int64N(int64(wait)))
		}
		sim.schedule(pollDelay, func() {
			if sim.workersByAddress[target.Address] != fw {
				sim.schedule(issuedAt.Add(timeout).Sub(sim.now), deliverNoAnswer)
				return
			}
			if list, ok := a.(tbfleet.PollAnswered); ok && list.Outcome == tbfleet.Accepted {
				a = fw.fillLists(sim.now, list)
			}
			// The answer is now in flight, even if the incarnation that sent it ends.
			sim.schedule(sim.oneWayDelay(maxAnswerDelay)+sim.slowAnswer(target.Address), func() {
				if sim.partitionFrom(target.Address, l).losesAnswers || sim.now.Sub(issuedAt) >= timeout {
					sim.schedule(issuedAt.Add(timeout).Sub(sim.now), deliverNoAnswer)
					return
				}
				sim.deliverAnswer(l, issuedAt, c, a)
			})
		})
	})
}

// resendTime returns the longest time for which parts of an order that were lost are sent again, if the order times out in d.
func (sim *simulation) resendTime(d time.Duration) time.Duration {
	if sim.slowRNG == nil {
		return 0
	}
	return d
}

// lateRate returns the current fraction of orders like this one that are executed late.
func (sim *simulation) lateRate(c tbfleet.Order) float64 {
	if _, ok := c.(tbfleet.Start); ok && sim.hasTakeovers {
		return burstLateOrderRate
	}
	if sim.now.Before(sim.lateBurstUntil) {
		return burstLateOrderRate
	}
	return lateOrderRate
}

// oneWayDelay returns the delay of one message. While faults are injected, a few messages take a
// random time below maxSlow instead, if maxSlow is positive.
func (sim *simulation) oneWayDelay(maxSlow time.Duration) time.Duration {
	if sim.injectsFaults && maxSlow > 0 && sim.rng.Float64() < slowAnswerRate {
		return time.Duration(sim.rng.Int64N(int64(maxSlow)))
	}
	return time.Duration(1+sim.rng.IntN(5)) * time.Millisecond
}

func orderTarget(c tbfleet.Order) (t tbfleet.Target, wait, timeout time.Duration) {
	switch c := c.(type) {
	case tbfleet.Start:
		return c.Target, 0, c.Timeout
	case tbfleet.Stop:
		return c.Target, 0, c.Timeout
	case tbfleet.Poll:
		return c.Target, c.Wait, c.Timeout
	}
	panic("unknown order")
}

// failedAnswer returns the result of an order that no worker has executed yet.
func failedAnswer(c tbfleet.Order, outcome tbfleet.Outcome) any {
	switch c := c.(type) {
	case tbfleet.Start:
		return tbfleet.StartAnswered{Worker: c.Target.ID, Incarnation: c.Target.Incarnation, Ref: c.Ref, Run: c.Run, Outcome: outcome}
	case tbfleet.Stop:
		return tbfleet.StopAnswered{Worker: c.Target.ID, Incarnation: c.Target.Incarnation, Ref: c.Ref, Run: c.Run, Outcome: outcome}
	case tbfleet.Poll:
		return tbfleet.PollAnswered{Worker: c.Target.ID, Incarnation: c.Target.Incarnation, LastRecordedEnd: c.LastRecordedEnd, LeaseEndMs: c.LeaseEndMs, Outcome: outcome}
	}
	panic("unknown order")
}

// unsentAnswer returns the result of an order for which no connection was established.
func unsentAnswer(c tbfleet.Order) any {
	if _, ok := c.(tbfleet.Start); ok {
		a := failedAnswer(c, tbfleet.NotSent).(tbfleet.StartAnswered)
		a.Cause = tbfleet.CauseConnectTimeout
		return a
	}
	return failedAnswer(c, tbfleet.Refused)
}

// withSentBefore returns the result of an order with a time after which the order was not sent.
func withSentBefore(answer any, sentBefore time.Time) any {
	switch a := answer.(type) {
	case tbfleet.StartAnswered:
		a.SentBefore = sentBefore
		return a
	case tbfleet.PollAnswered:
		a.SentBefore = sentBefore
		return a
	}
	return answer
}

// withoutResult returns the result of an order of which its relay returned none.
func withoutResult(answer any) any {
	switch a := answer.(type) {
	case tbfleet.StartAnswered:
		a.Cause = tbfleet.CauseNoResult
		return a
	case tbfleet.PollAnswered:
		a.Cause = tbfleet.CauseNoResult
		return a
	}
	return answer
}

// deliver lets fw, the current incarnation at the order's address, execute an order and returns the
// answer. fw is nil if no worker is at the address.
func (sim *simulation) deliver(fw *fakeWorker, c tbfleet.Order, isLate bool) any {
	target, _, _ := orderTarget(c)
	switch {
	case fw == nil:
		return unsentAnswer(c)
	case fw.id != target.ID:
		return failedAnswer(c, tbfleet.OtherWorker)
	}
	fw.advance(sim.now)
	switch c := c.(type) {
	case tbfleet.Start:
		run := sim.randomRun(c.Ref, c.Run)
		run.isLate = isLate
		a := fw.executeStart(sim.now, c, run)
		sim.logf("start %v run %d at %s/%d token %x: %v", c.Ref, c.Run, fw.id, fw.incarnation, c.Target.Token, a.Outcome)
		return a
	case tbfleet.Stop:
		sim.logf("stop %v run %d at %s/%d token %x", c.Ref, c.Run, fw.id, fw.incarnation, c.Target.Token)
		return fw.stopRun(sim.now, c)
	case tbfleet.Poll:
		a := fw.poll(sim.now, c)
		sim.logf("poll of %s/%d token %x acknowledged %d lease %d to %d: %v", fw.id, fw.incarnation, c.Target.Token, c.LastRecordedEnd, c.LeaseEndMs-fw.clockMs(sim.now), fw.leaseEndMs-fw.clockMs(sim.now), a.Outcome)
		return a
	}
	panic("unknown order")
}

// randomRun chooses how long a run takes and how it ends.
func (sim *simulation) randomRun(ref tbflow.TaskRef, number uint64) fakeRun {
	r := fakeRun{fails: sim.injectsFaults && sim.rng.Float64() < failureRate}
	switch step := sim.state.StepOf(ref); {
	case step.Speculative && number == 1 && sim.copyRNG.IntN(2) == 0:
		r.fails, r.doneAt = false, sim.now.Add(time.Hour)
	case !step.LongRunning:
		r.doneAt = sim.now.Add(time.Duration(200+sim.rng.IntN(3000)) * time.Millisecond)
		// A task with maxFailures-1 failures gets no copy, and its first run may take too long.
		r.fails = r.fails && (!step.Speculative || number <= 2)
	case r.fails:
		r.doneAt = sim.now.Add(time.Duration(1000+sim.rng.IntN(8000)) * time.Millisecond)
	default:
		r.doneAt = sim.now.Add(time.Hour)
	}
	return r
}

// deliverAnswer passes the result of an order, which may be that no answer came, to the leader that
// sent the order. A paused leader gets the result when it resumes.
func (sim *simulation) deliverAnswer(l *leader, issuedAt time.Time, c tbfleet.Order, answer any) {
	if l.stopped {
		return
	}
	if sim.now.Before(l.pausedUntil) {
		sim.schedule(l.pausedUntil.Sub(sim.now), func() { sim.deliverAnswer(l, issuedAt, c, answer) })
		return
	}
	switch a := answer.(type) {
	case tbfleet.StartAnswered:
		l.fleet.HandleStartAnswered(sim.now, a)
	case tbfleet.StopAnswered:
		l.fleet.HandleStopAnswered(sim.now, a)
	case tbfleet.PollAnswered:
		a.SentAt = issuedAt
		l.fleet.HandlePollAnswered(sim.now, a)
	}
}

// sendReport sends a worker's report. Some reports arrive late, even after the incarnation that
// sent them has ended.
func (sim *simulation) sendReport(fw *fakeWorker) {
	if fw.signedOff {
		return
	}
	fw.lastSequence++
	r := tbfleet.Report{
		ID: fw.id, Address: fw.address, Incarnation: fw.incarnation, Class: "c", ClockMs: fw.clockMs(sim.now),
		Sequence: fw.lastSequence, Draining: fw.draining, Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	}
	delay := sim.oneWayDelay(0)
	switch {
	case sim.injectsFaults && sim.rng.Float64() < lateOrderRate:
		delay = time.Duration(sim.rng.Int64N(int64(maxReportDelay)))
	case sim.partitionFrom(fw.address, sim.leader).losesAnswers, sim.injectsFaults && sim.rng.Float64() < lostAnswerRate:
		return
	}
	sim.schedule(delay, func() { sim.handleReport(r) })
}

// maxReportDelay is the longest delay of a report.
const maxReportDelay = 8 * time.Second

// handleReport passes a report to the leader and proposes to record what is new in it.
func (sim *simulation) handleReport(r tbfleet.Report) {
	if !sim.mayAct(sim.leader) {
		return
	}
	record := sim.state.Workers[r.ID]
	drainingUnrecorded := r.Draining && (record == nil || record.Incarnation < r.Incarnation || record.Incarnation == r.Incarnation && !record.Draining)
	if sim.leader.fleet.HandleReport(sim.now, r) && (record == nil || record.Incarnation < r.Incarnation || record.Address != r.Address) {
		sim.propose(tbflow.RecordWorker{Worker: r.ID, Incarnation: r.Incarnation, Address: r.Address, Class: r.Class})
	}
	if drainingUnrecorded {
		sim.propose(tbflow.RecordDraining{Worker: r.ID, Incarnation: r.Incarnation})
	}
}
