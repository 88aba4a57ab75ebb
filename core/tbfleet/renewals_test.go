package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A later incarnation of a worker, which the leader did not know, executed an outstanding start and then refused another
// start for lack of room. The refused start renewed the lease, and the task was started elsewhere before it had ended.
func TestRefusedStartMayRenewTheLeaseOfALaterIncarnation(t *testing.T) {
	fx := newBoundFixture()
	sentAt := fx.now
	fx.runUntilWaiting(t)
	fx.run(sentAt.Add(maxOrderDelay-500*time.Millisecond).Sub(fx.now), true)
	qt.Assert(t, fx.state.IsBound(fx.ref), qt.IsTrue)

	// A poll is in flight when the worker crashes, so that the leader does not learn of the restart.
	fx.restart(100 * time.Millisecond)
	fx.now = sentAt.Add(maxOrderDelay - 100*time.Millisecond)
	qt.Assert(t, fx.worker.startRun(fx.now, fx.start, time.Hour).Outcome, qt.Equals, tbfleet.Accepted)
	fx.now = sentAt.Add(maxOrderDelay - 50*time.Millisecond)
	other := fx.submit("k", false)
	qt.Assert(t, other.LeaseEndMs > 0, qt.IsTrue)
	fx.now = sentAt.Add(maxOrderDelay + 300*time.Millisecond)
	fx.worker.advance(fx.now)
	a := fx.worker.executeStart(fx.now, other, fakeRun{doneAt: fx.now.Add(time.Hour)})
	// The worker has no room.
	delete(fx.worker.running, other.Ref)
	a.Outcome, a.Cause, a.SentBefore = tbfleet.Refused, tbfleet.CauseNoRoom, fx.now.Add(-10*time.Millisecond)
	fx.fleet.HandleStartAnswered(fx.now, a)

	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(sentAt) < time.Minute, qt.IsTrue)
		fx.run(tick, false)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 0, qt.Commentf("free %v after the start was sent", fx.now.Sub(sentAt)))
}

// heldFixture is a boundFixture whose worker holds polls open.
type heldFixture struct {
	*boundFixture
	held []heldPoll
}

// heldPoll is a poll that a worker answers at the end of its wait.
type heldPoll struct {
	order      tbfleet.Poll
	sentAt     time.Time
	answeredAt time.Time
	isLost     bool
}

// runWithHeldPolls advances the time in steps of a millisecond. The worker answers each poll when its wait is over, but
// none before answersFrom. Commands are applied at once, except those for which isCommitted returns false. It returns the
// number of polls that were answered.
func (fx *heldFixture) runWithHeldPolls(d time.Duration, answersFrom time.Time, isCommitted func(tbflow.Command) bool) int {
	answered := 0
	nextTick := fx.now
	for end := fx.now.Add(d); fx.now.Before(end); {
		fx.now = fx.now.Add(time.Millisecond)
		fx.worker.advance(fx.now)
		if !fx.now.Before(nextTick) {
			fx.fleet.Tick(fx.now)
			nextTick = fx.now.Add(tick)
		}
		for _, c := range fx.takeCommands() {
			if isCommitted(c) {
				fx.apply(c)
			}
		}
		for _, p := range fx.polls {
			if p.Target.ID != "w" {
				continue
			}
			h := heldPoll{order: p, sentAt: fx.now, answeredAt: fx.now.Add(p.Wait + time.Millisecond)}
			if h.isLost = fx.now.Before(answersFrom); h.isLost {
				h.answeredAt = fx.now.Add(p.Timeout)
			} else {
				// The lease is renewed when the poll arrives.
				fx.worker.poll(fx.now, p)
			}
			fx.held = append(fx.held, h)
		}
		fx.polls = nil
		remaining := fx.held[:0]
		for _, h := range fx.held {
			switch {
			case fx.now.Before(h.answeredAt):
				remaining = append(remaining, h)
			case h.isLost:
				fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{
					Worker: "w", Incarnation: h.order.Target.Incarnation, LeaseEndMs: h.order.LeaseEndMs, SentAt: h.sentAt, SentBefore: h.sentAt,
				})
			default:
				answered++
				a := fx.worker.fillLists(fx.now, tbfleet.PollAnswered{
					Worker: "w", Incarnation: h.order.Target.Incarnation, LastRecordedEnd: h.order.LastRecordedEnd, LeaseEndMs: h.order.LeaseEndMs,
					SentAt: h.sentAt, SentBefore: h.sentAt, Outcome: tbfleet.Accepted,
				})
				fx.fleet.HandlePollAnswered(fx.now, a)
			}
		}
		fx.held = remaining
	}
	return answered
}

// leaseLeft returns the rest of the worker's lease.
func (fx *heldFixture) leaseLeft() time.Duration {
	return time.Duration(fx.worker.leaseEndMs-fx.worker.clockMs(fx.now)) * time.Millisecond
}

func commitAll(tbflow.Command) bool { return true }

// A worker answered again just before its lease expired. The first poll after that could not renew the lease, because the
// end of the silence was not recorded yet, and the worker held it open, so that its runs lapsed.
func TestLeaseOfSilentWorkerIsRenewedSoonAfterItAnswers(t *testing.T) {
	fx := &heldFixture{boundFixture: newBoundFixtureOf(true)}
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	// The unanswered start is settled.
	fx.run(maxOrderDelay, true)
	qt.Assert(t, fx.state.IsBound(fx.ref), qt.IsFalse)
	fx.runWithHeldPolls(2*time.Second, fx.now, commitAll)
	qt.Assert(t, fx.worker.running, qt.HasLen, 1)

	never := fx.now.Add(time.Hour)
	for since := fx.now; !fx.state.Silent["w"]; fx.runWithHeldPolls(tick, never, commitAll) {
		qt.Assert(t, fx.now.Sub(since) < params.MaxLease, qt.IsTrue)
	}
	fx.runWithHeldPolls(fx.leaseLeft()-700*time.Millisecond, never, commitAll)
	qt.Assert(t, fx.worker.running, qt.HasLen, 1)
	fx.runWithHeldPolls(2*time.Second, fx.now, commitAll)
	qt.Check(t, fx.state.Silent["w"], qt.IsFalse)
	qt.Check(t, fx.worker.running, qt.HasLen, 1)
}

// A worker with an outstanding start answered again. Until the end of its silence was recorded, each poll was followed by
// the next one at once.
func TestSilentWorkerThatAnswersIsNotPolledWithoutPause(t *testing.T) {
	fx := &heldFixture{boundFixture: newBoundFixtureOf(true)}
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.runWithHeldPolls(2*time.Second, fx.now, commitAll)
	for fx.leaseLeft() < params.Lease-50*time.Millisecond {
		fx.runWithHeldPolls(tick, fx.now, commitAll)
	}
	never := fx.now.Add(time.Hour)
	for since := fx.now; !fx.state.Silent["w"]; fx.runWithHeldPolls(tick, never, commitAll) {
		qt.Assert(t, fx.now.Sub(since) < params.MaxLease, qt.IsTrue)
	}
	qt.Assert(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	qt.Assert(t, fx.worker.running, qt.HasLen, 1)
	isNotHeard := func(c tbflow.Command) bool {
		_, isHeard := c.(tbflow.RecordSilenceEnded)
		return !isHeard
	}
	answersFrom := fx.now
	for fx.runWithHeldPolls(tick, answersFrom, isNotHeard) == 0 {
		qt.Assert(t, fx.now.Sub(answersFrom) < time.Second, qt.IsTrue)
	}
	polls := fx.runWithHeldPolls(100*time.Millisecond, answersFrom, isNotHeard)
	qt.Assert(t, fx.worker.running, qt.HasLen, 1)
	qt.Check(t, polls <= 5, qt.IsTrue, qt.Commentf("%d polls in 0.1 s", polls))
}

// A worker signed off. Each later leader waited for a lease from its takeover, although no lease had been renewed since.
func TestNextLeadersCountTheLeaseFromTheSignOff(t *testing.T) {
	for _, isLastPollAnswered := range []bool{false, true} {
		fx := newBoundFixtureOf(true)
		fx.runUntilWaiting(t)
		fx.run(300*time.Millisecond, true)
		fx.startAgain()
		fx.drain()
		fx.fleet.HandleSignOff(fx.now, "w")
		signedOffAt := fx.now
		fx.run(tick, isLastPollAnswered)
		fx.worker.crash()
		for range 2 {
			fx.run(2500*time.Millisecond, false)
			qt.Assert(t, fx.state.Workers["w"].SignedOff, qt.IsTrue)
			qt.Assert(t, fx.task("j").Phase, qt.Equals, tbflow.TaskAssigned)
			fx.takeOver()
		}
		for fx.state.IsBound(fx.ref) || fx.task("j").Phase == tbflow.TaskAssigned {
			qt.Assert(t, fx.now.Sub(signedOffAt) < time.Minute, qt.IsTrue)
			fx.run(tick, false)
		}
		waited := fx.now.Sub(signedOffAt)
		qt.Check(t, waited < maxReturnTime, qt.IsTrue, qt.Commentf("last poll answered: %v; %v", isLastPollAnswered, waited))
	}
}

// A worker signed off, or another worker took its address, while a start was outstanding. A later leader waited for the
// longest delay and a lease from its takeover, although no lease had been renewed there since.
func TestNextLeaderCountsTheDelayFromTheEndOfTheWorker(t *testing.T) {
	for name, end := range map[string]func(fx *boundFixture){
		"signed off": func(fx *boundFixture) {
			fx.announceEnd()
			fx.fleet.HandleSignOff(fx.now, "w")
		},
		"replaced": func(fx *boundFixture) { fx.reportAt("next", "a:1") },
	} {
		fx := newBoundFixture()
		fx.runUntilWaiting(t)
		fx.run(300*time.Millisecond, true)
		end(fx)
		endedAt := fx.now
		fx.run(tick, true)
		fx.worker.crash()
		fx.run(10*time.Second, false)
		fx.takeOver()
		for fx.state.IsBound(fx.ref) {
			qt.Assert(t, fx.now.Sub(endedAt) < time.Minute, qt.IsTrue)
			fx.run(tick, false)
		}
		waited := fx.now.Sub(endedAt)
		qt.Check(t, waited < maxOrderDelay+maxReturnTime, qt.IsTrue, qt.Commentf("%s: %v", name, waited))
	}
}
