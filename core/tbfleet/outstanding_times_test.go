package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// checkFreeAfter checks that the task of an outstanding start is free as soon as the longest delay of the start has
// passed since the given time, and not before.
func (fx *boundFixture) checkFreeAfter(t *testing.T, since time.Time) {
	t.Helper()
	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(since) < time.Minute, qt.IsTrue)
		fx.run(tick, true)
	}
	waited := fx.now.Sub(since)
	qt.Check(t, waited > maxOrderDelay && waited < maxOrderDelay+300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
	fx.reportOther()
	qt.Check(t, fx.mayStartAt("other"), qt.IsTrue)
}

// Each leader that took over counted the longest delay of a start again from its takeover.
func TestNextLeadersCountDelayFromRecordOfStart(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	recordedAt := fx.now
	fx.run(5*time.Second, true)
	fx.takeOver()
	fx.run(5*time.Second, true)
	fx.takeOver()
	fx.checkFreeAfter(t, recordedAt)
}

// A start that is executed as late as possible is found, although the leader took over just before.
func TestStartJustBeforeTheEndOfItsDelayIsNotSettled(t *testing.T) {
	fx := newBoundFixture()
	sentAt := fx.now
	fx.runUntilWaiting(t)
	fx.run(sentAt.Add(maxOrderDelay-time.Second).Sub(fx.now), true)
	fx.takeOver()
	fx.run(900*time.Millisecond, true)
	fx.restart(100 * time.Millisecond)
	qt.Assert(t, fx.worker.startRun(fx.now, fx.start, time.Hour).Outcome, qt.Equals, tbfleet.Accepted)
	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(sentAt) < time.Minute, qt.IsTrue)
		qt.Assert(t, fx.mayStartAt("other"), qt.IsFalse)
		fx.run(tick, true)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 0)
}

// A replica that was suspended when the start was recorded counts from when it applied the record.
func TestSuspendedReplicaCountsDelayFromWhenItAppliedTheRecord(t *testing.T) {
	fx := newBoundFixture()
	suspended := tbfleet.NewOutstandingTimes(fx.now, fx.state)
	fx.runUntilWaiting(t)
	fx.run(8*time.Second, true)
	appliedAt := fx.now
	suspended.HandleApplied(fx.now, fx.state, tbflow.RecordUnanswered{Worker: "w", Runs: []tbflow.RunRef{{Ref: fx.ref, Run: 1}}})
	fx.run(2*time.Second, true)
	fx.times = suspended
	fx.takeOver()
	fx.checkFreeAfter(t, appliedAt)
}

// A replica that has read a snapshot does not know when the starts in it were recorded.
func TestReplicaCountsDelayFromItsSnapshot(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.run(8*time.Second, true)
	readAt := fx.now
	fx.times = tbfleet.NewOutstandingTimes(fx.now, fx.state)
	fx.run(2*time.Second, true)
	fx.takeOver()
	fx.checkFreeAfter(t, readAt)
}

// The end of an outstanding run made the start of a later one outstanding. The leader had committed both, but applied
// the assignment much later than the other replicas, and sent the start only then.
func TestStartThatTheLeaderSentAfterItsRecordCountsFromTakeover(t *testing.T) {
	for _, isFromSnapshot := range []bool{false, true} {
		fx := newBoundFixture()
		fx.runUntilWaiting(t)
		fx.run(300*time.Millisecond, true)
		w := fx.worker.incarnation
		assign := tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: 2, Worker: "w", Incarnation: w}}}
		end := tbflow.RecordEnds{Worker: "w", Incarnation: w, Ends: []tbflow.End{{Ref: fx.ref, Run: 1, Kind: tbflow.EndDone}}}
		for _, c := range []tbflow.Command{assign, end} {
			fx.state.Apply(fx.now.UnixMilli(), c)
			fx.times.HandleApplied(fx.now, fx.state, c)
		}
		if isFromSnapshot {
			fx.times = tbfleet.NewOutstandingTimes(fx.now, fx.state)
		}
		qt.Assert(t, fx.state.Outstanding[fx.ref], qt.HasLen, 1)
		qt.Assert(t, fx.state.Outstanding[fx.ref][0].Run, qt.Equals, uint64(2))
		fx.now = fx.now.Add(10 * time.Second)
		fx.takeOver()
		takenOverAt := fx.now
		for fx.state.IsBound(fx.ref) {
			qt.Assert(t, fx.now.Sub(takenOverAt) < time.Minute, qt.IsTrue)
			fx.run(tick, true)
		}
		qt.Check(t, fx.now.Sub(takenOverAt) > maxOrderDelay, qt.IsTrue, qt.Commentf("%v, snapshot: %v", fx.now.Sub(takenOverAt), isFromSnapshot))
	}
}

// The time of a start goes with the start: when it is settled, when its run ends, and when its job is not kept any more.
func TestTimesOfStartsAreRemovedWithThem(t *testing.T) {
	for _, c := range []tbflow.Command{
		tbflow.RecordSettled{},
		tbflow.RecordEnds{Worker: "w", Ends: []tbflow.End{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Kind: tbflow.EndFailed}}},
		tbflow.Cancel{ID: "j", Host: "h", Path: "/q/j"},
	} {
		fx := newBoundFixture()
		fx.runUntilWaiting(t)
		qt.Assert(t, fx.times.TaskCount(), qt.Equals, 1)
		if settled, ok := c.(tbflow.RecordSettled); ok {
			settled.Starts = []tbflow.SettledStart{{Ref: fx.ref, Start: fx.state.Outstanding[fx.ref][0]}}
			c = settled
		}
		fx.apply(c)
		fx.now = fx.now.Add(tbflow.EndedRetention + time.Second)
		fx.apply(tbflow.RecordInterference{})
		qt.Check(t, fx.times.TaskCount(), qt.Equals, 0, qt.Commentf("%T", c))
	}
}

// A later job under the ID of one that is not kept any more had a start of the same number at the same worker.
func TestStartOfALaterJobUnderTheSameIDCountsFromItsOwnRecord(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.apply(tbflow.Cancel{ID: "j", Host: "h", Path: "/q/j"})
	fx.now = fx.now.Add(tbflow.EndedRetention + time.Second)
	fx.apply(tbflow.RecordInterference{})
	fx.takeOver()
	fx.sendReport()
	fx.run(time.Second, true)
	fx.start = fx.submit("j", false)
	fx.run(tick, true)
	fx.leaveStartUnanswered()
	fx.runUntilWaiting(t)
	recordedAt := fx.now
	qt.Assert(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	fx.run(5*time.Second, true)
	fx.takeOver()
	fx.checkFreeAfter(t, recordedAt)
}
