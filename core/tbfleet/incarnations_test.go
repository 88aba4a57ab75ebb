package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// restartFixture is a leader with one worker that restarts under its ID.
type restartFixture struct {
	now           time.Time
	state         *tbflow.State
	fleet         *tbfleet.Fleet
	ref           tbflow.TaskRef
	lastRunNumber uint64
}

func newRestartFixture() *restartFixture {
	fx := &restartFixture{now: time.UnixMilli(1_700_000_000_000), state: tbflow.New(), ref: tbflow.TaskRef{Job: "j"}}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, LongRunning: true}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	fx.fleet = tbfleet.New(params, 1)
	return fx
}

// startWorker starts an incarnation of the worker and sends its first report.
func (fx *restartFixture) startWorker() *fakeWorker {
	fw := newFakeWorker("w", fx.now, 0.98)
	fx.fleet.HandleReport(fx.now, tbfleet.Report{ID: "w", Address: "a:1", Incarnation: fw.incarnation, Class: "c", ClockMs: fw.clockMs(fx.now), Sequence: 1, Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000}})
	return fw
}

// signOff lets an incarnation drain and sign off.
func (fx *restartFixture) signOff(fw *fakeWorker) {
	fx.fleet.HandleReport(fx.now, tbfleet.Report{
		ID: "w", Address: "a:1", Incarnation: fw.incarnation, Class: "c", ClockMs: fw.clockMs(fx.now), Sequence: 2, Draining: true, Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	})
	fx.fleet.HandleSignOff(fx.now, "w")
}

// assign lets the leader assign a run to the current incarnation.
func (fx *restartFixture) assign() {
	fx.lastRunNumber++
	w := fx.fleet.Worker("w")
	fx.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: fx.lastRunNumber, Worker: "w", Incarnation: w.Incarnation}}})
}

func (fx *restartFixture) apply(c tbflow.Command) {
	fx.state.Apply(fx.now.UnixMilli(), c)
	fx.fleet.HandleApplied(fx.now, fx.state, c)
}

// executeOrders lets a worker execute all orders at once and applies the leader's commands. It
// returns the orders, and whether the leader gave up the run.
func (fx *restartFixture) executeOrders(fw *fakeWorker) (orders []tbfleet.Order, givenUp bool) {
	for {
		out := fx.fleet.TakeOutput()
		if len(out.Orders)+len(out.Commands) == 0 {
			return orders, givenUp
		}
		for _, c := range out.Commands {
			if ends, ok := c.(tbflow.RecordEnds); ok && len(ends.Ends) > 0 {
				givenUp = true
			}
			fx.apply(c)
		}
		orders = append(orders, out.Orders...)
		for _, c := range out.Orders {
			switch c := c.(type) {
			case tbfleet.Start:
				fx.fleet.HandleStartAnswered(fx.now, fw.startRun(fx.now, c, time.Hour))
			case tbfleet.Poll:
				if c.Wait > 0 {
					continue
				}
				a := fw.poll(fx.now, c)
				a.SentAt = fx.now
				fx.fleet.HandlePollAnswered(fx.now, a)
			}
		}
	}
}

// lastRenewal returns the last poll in orders that renews a lease.
func lastRenewal(t *testing.T, orders []tbfleet.Order) tbfleet.Poll {
	for i := len(orders) - 1; i >= 0; i-- {
		if poll, ok := orders[i].(tbfleet.Poll); ok && poll.LeaseEndMs > 0 {
			return poll
		}
	}
	t.Fatal("no poll renews a lease")
	return tbfleet.Poll{}
}

// A worker signs off while a poll is in flight, restarts under its ID and gets tasks. If the new
// incarnation executed the poll, it would discard its own ends that are not recorded, and extend
// its lease. The new incarnation must refuse the poll (found by TestSchedules, seed 1822).
func TestOrdersToSignedOffIncarnationAreRefusedByNextOne(t *testing.T) {
	fx := newRestartFixture()
	first := fx.startWorker()
	fx.assign()
	orders, _ := fx.executeOrders(first)
	latePoll := lastRenewal(t, orders)

	fx.now = fx.now.Add(time.Second)
	fx.signOff(first)
	fx.executeOrders(first)
	qt.Assert(t, fx.fleet.Worker("w"), qt.IsNil)
	fx.now = fx.now.Add(time.Second)
	second := fx.startWorker()
	qt.Check(t, fx.fleet.Usable(fx.fleet.Worker("w"), fx.now), qt.IsFalse)
	fx.executeOrders(second)
	fx.assign()
	fx.executeOrders(second)
	qt.Assert(t, second.running, qt.HasLen, 1)
	qt.Check(t, second.poll(fx.now, latePoll).Outcome, qt.Equals, tbfleet.Refused)
}

// A worker restarts under its ID after a long time. Before its own first order, the new incarnation
// executes a poll addressed to the earlier one. The expiry in that poll is far ahead of the new
// clock, so the lease gets the longest length that the worker allows. The leader must not give up a
// run before that lease expires.
func TestRunIsNotGivenUpBeforeLeaseFromPollOfEarlierIncarnationExpires(t *testing.T) {
	for name, restart := range map[string]func(*restartFixture, *fakeWorker){
		"crash":    func(*restartFixture, *fakeWorker) {},
		"sign-off": func(fx *restartFixture, fw *fakeWorker) { fx.signOff(fw); fx.executeOrders(fw) },
	} {
		t.Run(name, func(t *testing.T) {
			fx := newRestartFixture()
			first := fx.startWorker()
			fx.assign()
			fx.executeOrders(first)
			fx.now = fx.now.Add(20 * time.Second)
			a := first.poll(fx.now, tbfleet.Poll{Target: tbfleet.Target{ID: "w", Incarnation: first.incarnation, Token: 1 << 30}})
			a.SentAt, a.Running = fx.now, []tbfleet.ListedRun{{Ref: fx.ref, Run: 1, Progress: 50}}
			fx.fleet.HandlePollAnswered(fx.now, a)
			latePoll := lastRenewal(t, fx.fleet.TakeOutput().Orders)

			fx.now = fx.now.Add(100 * time.Millisecond)
			restart(fx, first)
			fx.now = fx.now.Add(time.Second)
			second := newFakeWorker("w", fx.now, 0.98)
			second.poll(fx.now, latePoll)
			fx.fleet.HandleReport(fx.now, tbfleet.Report{ID: "w", Address: "a:1", Incarnation: second.incarnation, Class: "c", ClockMs: second.clockMs(fx.now), Sequence: 1, Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000}})
			fx.executeOrders(second)
			qt.Assert(t, fx.fleet.Usable(fx.fleet.Worker("w"), fx.now), qt.IsTrue)
			fx.assign()
			fx.executeOrders(second)
			qt.Assert(t, second.running, qt.HasLen, 1)
			fx.fleet.HandlePollAnswered(fx.now, second.fillLists(fx.now, tbfleet.PollAnswered{
				Worker: "w", Incarnation: second.incarnation, SentAt: fx.now, Outcome: tbfleet.Accepted,
			}))

			// From now on the worker is unreachable.
			for givenUp := false; !givenUp; {
				fx.now = fx.now.Add(10 * time.Millisecond)
				second.advance(fx.now)
				fx.fleet.Tick(fx.now)
				out := fx.fleet.TakeOutput()
				for _, c := range out.Commands {
					ends, ok := c.(tbflow.RecordEnds)
					givenUp = givenUp || ok && len(ends.Ends) > 0
				}
				for _, c := range out.Orders {
					if l, ok := c.(tbfleet.Poll); ok {
						fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{Worker: "w", Incarnation: l.Target.Incarnation, LastRecordedEnd: l.LastRecordedEnd})
					}
				}
				fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{Worker: "w", Incarnation: second.incarnation})
				qt.Assert(t, fx.now.Sub(second.startedAt) < time.Minute, qt.IsTrue)
			}
			qt.Check(t, second.running, qt.HasLen, 0, qt.Commentf("the lease expires %d ms later", second.leaseEndMs-second.clockMs(fx.now)))
		})
	}
}

// A poll is in flight when the worker crashes and restarts under the same ID. The new incarnation
// executes a late start and then the poll. It numbers its ends from 1 again. If the poll repeated an
// acknowledgement that the earlier incarnation had accepted, the new incarnation would discard its
// end with the same number before the leader has seen that end. The task would be started again
// (found by TestSchedules, seed 1999).
func TestPollInFlightDuringRestartDiscardsNoEndsOfNextIncarnation(t *testing.T) {
	fx := newWorkerFixture()
	for _, id := range []string{"a", "b"} {
		fx.worker.startRun(fx.now, fx.submit(id, false), 100*time.Millisecond)
		fx.advance(2*time.Second, true)
		qt.Assert(t, fx.task(id).Phase, qt.Equals, tbflow.TaskDone)
	}
	fx.worker.startRun(fx.now, fx.submit("long-running", true), time.Hour)
	fx.advance(2*time.Second, true)
	poll := fx.renewal
	start := fx.submit("late", false)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: start.Target.Incarnation, Ref: start.Ref, Run: start.Run})
	fx.advance(time.Second, false)

	fx.worker = newFakeWorker("w", fx.now, 1)
	qt.Assert(t, fx.worker.startRun(fx.now, start, 100*time.Millisecond).Outcome, qt.Equals, tbfleet.Accepted)
	fx.advance(500*time.Millisecond, false)
	fx.worker.poll(fx.now, poll)
	fx.advance(2*time.Second, true)
	qt.Check(t, fx.task("late").Phase, qt.Equals, tbflow.TaskDone)
}
