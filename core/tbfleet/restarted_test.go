package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// workerFixture is a leader with one worker that was started a minute ago.
type workerFixture struct {
	now    time.Time
	state  *tbflow.State
	fleet  *tbfleet.Fleet
	term   uint64
	worker *fakeWorker
	// times are those of the replica that leads next.
	times *tbfleet.OutstandingTimes
	// polls holds the polls in flight. renewal is the last poll that renewed the lease. lastAck is
	// the last poll that acknowledged ends.
	polls     []tbfleet.Poll
	renewal   tbfleet.Poll
	lastAck   tbfleet.Poll
	renewedAt time.Time
	// losesRenewals is true if the next poll that renews the lease is lost.
	losesRenewals bool
}

func newWorkerFixture() *workerFixture {
	fx := &workerFixture{now: time.UnixMilli(1_700_000_000_000), state: tbflow.New(), fleet: tbfleet.New(params, 1), term: 1}
	fx.times = tbfleet.NewOutstandingTimes(fx.now, fx.state)
	fx.worker = newFakeWorker("w", fx.now.Add(-time.Minute), 1)
	fx.state.Apply(fx.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	fx.sendReport()
	return fx
}

func (fx *workerFixture) sendReport() {
	fx.worker.lastSequence++
	fx.fleet.HandleReport(fx.now, tbfleet.Report{
		ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation, Class: "c", ClockMs: fx.worker.clockMs(fx.now), Sequence: fx.worker.lastSequence,
		Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	})
}

// submit submits a job of one task and returns the order to start it.
func (fx *workerFixture) submit(id string, longRunning bool) tbfleet.Start {
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}, LongRunning: longRunning}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/" + id, Job: tbflow.Job{ID: id, Steps: []tbflow.Step{step}}})
	fx.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: id}, Run: 1, Worker: "w", Incarnation: fx.fleet.Worker("w").Incarnation}}})
	var start tbfleet.Start
	for _, c := range fx.fleet.TakeOutput().Orders {
		switch c := c.(type) {
		case tbfleet.Start:
			start = c
		case tbfleet.Poll:
			fx.polls = append(fx.polls, c)
		}
	}
	return start
}

func (fx *workerFixture) apply(c tbflow.Command) {
	fx.state.Apply(fx.now.UnixMilli(), c)
	fx.times.HandleApplied(fx.now, fx.state, c)
	fx.times.RemoveExpired(fx.state)
	fx.fleet.HandleApplied(fx.now, fx.state, c)
}

// leaveUnanswered tells the leader that a poll got no answer.
func (fx *workerFixture) leaveUnanswered(poll tbfleet.Poll) {
	fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{Worker: "w", Incarnation: poll.Target.Incarnation, LastRecordedEnd: poll.LastRecordedEnd, LeaseEndMs: poll.LeaseEndMs, SentAt: fx.now})
}

// advance advances the time by d. If the worker is reachable, it answers polls at once.
func (fx *workerFixture) advance(d time.Duration, reachable bool) {
	for end := fx.now.Add(d); fx.now.Before(end); {
		fx.now = fx.now.Add(tick)
		fx.worker.advance(fx.now)
		fx.fleet.Tick(fx.now)
		commands := fx.takeCommands()
		polls := fx.polls
		fx.polls = nil
		for _, l := range polls {
			if !reachable || fx.losesRenewals && l.LeaseEndMs > 0 {
				fx.leaveUnanswered(l)
				fx.losesRenewals = false
				continue
			}
			a := fx.worker.poll(fx.now, l)
			a.SentAt = fx.now
			fx.fleet.HandlePollAnswered(fx.now, a)
		}
		for _, c := range append(commands, fx.takeCommands()...) {
			fx.apply(c)
		}
	}
}

// loseRenewal advances the time until a poll that renews the lease gets no answer, which is then renewal.
func (fx *workerFixture) loseRenewal(t *testing.T) {
	t.Helper()
	fx.losesRenewals = true
	for end := fx.now.Add(params.Lease); fx.losesRenewals; fx.advance(tick, true) {
		qt.Assert(t, fx.now.Before(end), qt.IsTrue)
	}
}

// takeCommands returns the leader's commands and adds its polls to polls.
func (fx *workerFixture) takeCommands() []tbflow.Command {
	out := fx.fleet.TakeOutput()
	for _, c := range out.Orders {
		if poll, ok := c.(tbfleet.Poll); ok {
			fx.polls = append(fx.polls, poll)
			if poll.LastRecordedEnd > 0 {
				fx.lastAck = poll
			}
			if poll.LeaseEndMs > 0 {
				fx.renewal, fx.renewedAt = poll, fx.now
			}
		}
	}
	return out.Commands
}

func (fx *workerFixture) task(id string) tbflow.Task {
	return *fx.state.Jobs[id].Task(tbflow.TaskRef{Job: id})
}

// A worker crashes while disconnected and restarts under its ID. The new incarnation executes a
// late start, and the run ends as done. The leader's next poll must not acknowledge the ends of the
// earlier incarnation. If the poll acknowledged these ends, the new incarnation would discard its
// own end with one of these numbers before the leader has seen that end. The task would be started
// again.
func TestFirstPollOfRestartedWorkerDiscardsNoEnds(t *testing.T) {
	fx := newWorkerFixture()
	for _, id := range []string{"a", "b", "c"} {
		fx.worker.startRun(fx.now, fx.submit(id, false), 100*time.Millisecond)
		fx.advance(2*time.Second, true)
		qt.Assert(t, fx.task(id).Phase, qt.Equals, tbflow.TaskDone)
	}
	late := fx.submit("late", false)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: late.Target.Incarnation, Ref: late.Ref, Run: late.Run})
	fx.advance(time.Second, false)
	fx.worker = newFakeWorker("w", fx.now, 1)
	fx.advance(time.Second, false)
	qt.Assert(t, fx.worker.startRun(fx.now, late, 100*time.Millisecond).Outcome, qt.Equals, tbfleet.Accepted)
	fx.advance(500*time.Millisecond, false)
	fx.advance(2*time.Second, true)
	qt.Check(t, fx.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

// A poll that renews the lease is in flight when the worker crashes and restarts under its ID. The
// new incarnation executes a start addressed to the earlier one, and then that poll. The new
// incarnation's clock starts anew, so the lease lasts for a full length from the arrival of the
// poll. The leader must not give up the run before that lease expires.
func TestUnansweredStartIsNotGivenUpBeforeLeaseFromLatePollExpires(t *testing.T) {
	fx := newWorkerFixture()
	start := fx.submit("j", true)
	startedAt := fx.now
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: start.Target.Incarnation, Ref: start.Ref, Run: start.Run})
	// For a while, the worker answers polls but no stop orders. The last poll arrives late.
	fx.advance(4*time.Second, true)
	fx.loseRenewal(t)
	fx.advance(time.Second, false)
	poll, polledAt := fx.renewal, fx.renewedAt
	qt.Assert(t, polledAt.After(startedAt.Add(3*time.Second)), qt.IsTrue)
	fx.worker = newFakeWorker("w", fx.now, 0.98)
	started, renewed := false, false
	for fx.task("j").Phase == tbflow.TaskAssigned && fx.now.Before(startedAt.Add(time.Minute)) {
		if !started && !fx.now.Before(startedAt.Add(maxOrderDelay-time.Second)) {
			started = fx.worker.startRun(fx.now, start, time.Hour).Outcome == tbfleet.Accepted
			qt.Assert(t, started, qt.IsTrue)
		}
		if !renewed && !fx.now.Before(polledAt.Add(maxOrderDelay-100*time.Millisecond)) {
			renewed = true
			fx.worker.poll(fx.now, poll)
		}
		fx.advance(tick, false)
	}
	qt.Check(t, started && renewed, qt.IsTrue)
	qt.Check(t, fx.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was ordered", fx.now.Sub(startedAt)))
}

// A worker drains, signs off and restarts under its ID. The sign-off message arrives late, or a
// second time from the instance that received it. If the leader gave up the run of the new
// incarnation, the task would be started elsewhere while it is still running.
func TestLateSignOffDoesNotEndNextIncarnation(t *testing.T) {
	fx := newWorkerFixture()
	fx.worker = newFakeWorker("w", fx.now, 1)
	fx.sendReport()
	fx.worker.startRun(fx.now, fx.submit("j", true), time.Hour)
	fx.advance(time.Second, true)
	qt.Assert(t, fx.worker.running, qt.HasLen, 1)
	fx.fleet.HandleSignOff(fx.now, "w")
	fx.advance(100*time.Millisecond, true)
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, fx.worker.running, qt.HasLen, 1)
}

// A worker drains with a run, signs off, and is removed once the run's end is recorded. A report
// that the worker sent before it drained arrives late. The leader must not treat the worker as
// usable, because the state rejects every assignment to a draining worker.
func TestLateReportDoesNotMakeDrainedWorkerUsable(t *testing.T) {
	fx := newWorkerFixture()
	lateReport := fx.fleet.Worker("w").Report
	fx.sendReport()
	fx.worker.startRun(fx.now, fx.submit("j", false), time.Hour)
	fx.advance(time.Second, true)
	drainingReport := fx.fleet.Worker("w").Report
	drainingReport.Draining = true
	drainingReport.Sequence++
	qt.Assert(t, fx.fleet.HandleReport(fx.now, drainingReport), qt.IsTrue)
	fx.apply(tbflow.RecordDraining{Worker: "w", Incarnation: drainingReport.Incarnation})
	fx.worker.running = map[tbflow.TaskRef]*fakeRun{}
	fx.fleet.HandleSignOff(fx.now, "w")
	for _, c := range fx.takeCommands() {
		fx.apply(c)
	}
	fx.fleet.HandleReport(fx.now, lateReport)
	w := fx.fleet.Worker("w")
	qt.Check(t, w != nil && fx.fleet.Usable(w, fx.now), qt.IsFalse)
}

// A worker restarts under its ID while a poll that renews its lease is in flight. The new
// incarnation, still unknown to the leader, accepts two starts and is disconnected. The late poll
// then extends the lease, because its expiry is a time on the earlier incarnation's clock. The runs
// must have ended when the leader gives them up.
func TestAcceptedStartIsNotGivenUpBeforeLeaseFromLatePollExpires(t *testing.T) {
	fx := newWorkerFixture()
	fx.worker.startRun(fx.now, fx.submit("first", true), time.Hour)
	fx.advance(time.Second, true)
	poll := fx.renewal
	qt.Assert(t, poll.LeaseEndMs > 0, qt.IsTrue)
	fx.worker = newFakeWorker("w", fx.now, 0.98)
	fx.now = fx.now.Add(200 * time.Millisecond)
	startedAt := fx.now
	for _, id := range []string{"j", "k"} {
		a := fx.worker.startRun(fx.now, fx.submit(id, true), time.Hour)
		qt.Assert(t, a.Outcome, qt.Equals, tbfleet.Accepted)
		fx.fleet.HandleStartAnswered(fx.now, a)
	}
	fx.advance(5*time.Second, false)
	fx.worker.poll(fx.now, poll)
	for fx.task("j").Phase == tbflow.TaskAssigned && fx.task("k").Phase == tbflow.TaskAssigned && fx.now.Before(startedAt.Add(time.Minute)) {
		fx.advance(tick, false)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was accepted", fx.now.Sub(startedAt)))
}

// A draining worker signs off, but the answer is lost, and the worker executes its run for some
// more seconds. The task must not be started elsewhere before the run has ended.
func TestRunOfSignedOffWorkerIsKeptUntilLeaseExpires(t *testing.T) {
	fx := newWorkerFixture()
	start := fx.submit("j", true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, start, time.Hour))
	fx.advance(time.Second, true)
	fx.worker.lastSequence++
	fx.fleet.HandleReport(fx.now, tbfleet.Report{
		ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation, Class: "c", ClockMs: fx.worker.clockMs(fx.now), Sequence: fx.worker.lastSequence, Draining: true,
	})
	fx.fleet.HandleSignOff(fx.now, "w")
	for fx.task("j").Phase == tbflow.TaskAssigned {
		fx.advance(tick, false)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 0)
}
