package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// maxSilenceDelay is the time without contact after which a worker is recorded as silent, and that for a poll.
const maxSilenceDelay = 2500 * time.Millisecond

// The task of a worker that was lost waited for the longest delay and a lease from each takeover.
func TestNextLeaderCountsFromTheSilenceOfALostWorker(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	lostAt := fx.now
	fx.run(8*time.Second, false)
	qt.Assert(t, fx.state.Silent["w"], qt.IsTrue)
	fx.takeOver()
	fx.run(7*time.Second, false)
	fx.takeOver()
	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(lostAt) < time.Minute, qt.IsTrue)
		fx.run(tick, false)
	}
	shortest := maxOrderDelay + params.MaxLease
	waited := fx.now.Sub(lostAt)
	qt.Check(t, waited > shortest && waited < shortest+maxSilenceDelay+300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
	fx.run(time.Second, false)
	qt.Check(t, fx.state.Silent, qt.HasLen, 0)
}

// A later leader gave up the listed run of a lost worker only when a lease had passed since its takeover.
func TestNextLeaderGivesUpRunsOfSilentWorkerWhenTheLeaseHasEnded(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.run(2*time.Second, true)
	lostAt := fx.now
	fx.run(4*time.Second, false)
	fx.takeOver()
	for fx.task("j").Phase == tbflow.TaskAssigned {
		qt.Assert(t, fx.now.Sub(lostAt) < time.Minute, qt.IsTrue)
		fx.run(tick, false)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 0)
	waited := fx.now.Sub(lostAt)
	qt.Check(t, waited < params.MaxLease+maxSilenceDelay+500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
}

// A silent worker that answers gets no renewal of its lease before the end of its silence is recorded. A later leader
// would count from the silence.
func TestSilentWorkerGetsNoRenewalBeforeTheEndOfItsSilenceIsRecorded(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.run(time.Second, true)
	fx.run(3*time.Second, false)
	qt.Assert(t, fx.state.Silent["w"], qt.IsTrue)
	var heard []tbflow.Command
	renewals := 0
	step := func() {
		fx.now = fx.now.Add(tick)
		fx.fleet.Tick(fx.now)
		for _, c := range fx.takeCommands() {
			if _, ok := c.(tbflow.RecordSilenceEnded); ok {
				heard = append(heard, c)
			}
		}
		for _, p := range fx.polls {
			if p.LeaseEndMs > 0 {
				renewals++
			}
			a := fx.worker.poll(fx.now, p)
			a.SentAt = fx.now
			fx.fleet.HandlePollAnswered(fx.now, a)
		}
		fx.polls = nil
	}
	for range 100 {
		step()
	}
	qt.Check(t, renewals, qt.Equals, 0)
	qt.Assert(t, heard, qt.DeepEquals, []tbflow.Command{tbflow.RecordSilenceEnded{Worker: "w"}})
	w := fx.fleet.Worker("w")
	qt.Check(t, fx.fleet.Usable(w, fx.now), qt.IsFalse)
	fx.apply(heard[0])
	for range 10 {
		step()
	}
	qt.Check(t, renewals > 0, qt.IsTrue)
	qt.Check(t, fx.fleet.Usable(w, fx.now), qt.IsTrue)
}

// A start whose assignment was committed before the silence was recorded is not sent after that.
func TestSilentWorkerGetsNoStart(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.run(3*time.Second, false)
	qt.Assert(t, fx.state.Silent["w"], qt.IsTrue)
	fx.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: 2, Worker: "w", Incarnation: fx.worker.incarnation}}})
	for _, o := range fx.fleet.TakeOutput().Orders {
		_, isStart := o.(tbfleet.Start)
		qt.Check(t, isStart, qt.IsFalse)
	}
}

// Each failed poll of a new leader recorded the silence of a worker at once, as if the worker had been silent before.
func TestNewLeaderGivesWorkersTimeToAnswer(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.takeOver()
	fx.run(silenceAfter-100*time.Millisecond, false)
	qt.Check(t, fx.state.Silent, qt.HasLen, 0)
	fx.run(maxSilenceDelay-silenceAfter+200*time.Millisecond, false)
	qt.Check(t, fx.state.Silent, qt.HasLen, 1)
}

// silenceAfter is the time without an answered poll after which a worker is recorded as silent.
const silenceAfter = 2 * time.Second

// A worker whose reports arrive, but that no poll reaches, gets no renewals either. Its silence was not recorded.
func TestSilenceIsRecordedAlthoughReportsArrive(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	for range 3 {
		fx.run(time.Second, false)
		fx.sendReport()
	}
	qt.Check(t, fx.state.Silent["w"], qt.IsTrue)
}
