package tbfleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A worker has more ends than one poll answer lists when a new leader takes over. The answer omits
// the end of a run that an earlier leader started. The leader must not take the run as never
// started.
func TestPartialListDoesNotEndRunsThatItOmits(t *testing.T) {
	fx := newWorkerFixture()
	starts := []tbfleet.Start{}
	for i := range maxListedEnds + 10 {
		starts = append(starts, fx.submit(fmt.Sprintf("t%d", i), false))
	}
	for _, start := range starts {
		qt.Assert(t, fx.worker.startRun(fx.now, start, time.Millisecond).Outcome, qt.Equals, tbfleet.Accepted)
		fx.now = fx.now.Add(time.Millisecond)
		fx.worker.advance(fx.now)
	}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c"})
	fx.fleet, fx.polls = tbfleet.New(params, 2), nil
	fx.fleet.TakeOver(fx.now, fx.state, tbfleet.NewOutstandingTimes(fx.now, fx.state))
	fx.advance(2*time.Second, true)
	for i := range starts {
		task := fx.task(fmt.Sprintf("t%d", i))
		qt.Assert(t, task.Phase, qt.Equals, tbflow.TaskDone, qt.Commentf("task %d", i))
	}
}

// A poll answer lists 500 ends at most, and a task whose end is not listed seems never to have been
// started. Ends must therefore be acknowledged even if starts are always in flight. Here, messages
// take 30 ms in each direction, and the worker gets a short task every 50 ms.
func TestEndsAreAcknowledgedWhileStartsAreAlwaysInFlight(t *testing.T) {
	const (
		taskCount   = 700
		oneWayDelay = 30 * time.Millisecond
	)
	fx := newWorkerFixture()
	type event struct {
		at time.Time
		do func()
	}
	var events []event
	schedule := func(d time.Duration, do func()) { events = append(events, event{fx.now.Add(d), do}) }
	send := func(c tbfleet.Order) {
		sentAt := fx.now
		switch c := c.(type) {
		case tbfleet.Start:
			schedule(oneWayDelay, func() {
				a := fx.worker.startRun(fx.now, c, 100*time.Millisecond)
				schedule(oneWayDelay, func() { fx.fleet.HandleStartAnswered(fx.now, a) })
			})
		case tbfleet.Stop:
			schedule(oneWayDelay, func() {
				a := fx.worker.stopRun(fx.now, c)
				schedule(oneWayDelay, func() { fx.fleet.HandleStopAnswered(fx.now, a) })
			})
		case tbfleet.Poll:
			schedule(oneWayDelay, func() {
				a := fx.worker.poll(fx.now, c)
				waitUntil, endCount := fx.now.Add(c.Wait), len(fx.worker.ends)
				var wait func()
				wait = func() {
					if a.Outcome == tbfleet.Accepted && fx.now.Before(waitUntil) && len(fx.worker.ends) == endCount {
						schedule(tick, wait)
						return
					}
					if a.Outcome == tbfleet.Accepted {
						a = fx.worker.fillLists(fx.now, a)
					}
					schedule(oneWayDelay, func() { a.SentAt = sentAt; fx.fleet.HandlePollAnswered(fx.now, a) })
				}
				wait()
			})
		}
	}
	flush := func() {
		out := fx.fleet.TakeOutput()
		for _, c := range out.Orders {
			send(c)
		}
		for _, c := range out.Commands {
			schedule(commitDelay, func() { fx.apply(c) })
		}
	}
	maxUnacked, startedCount := uint64(0), 0
	for n := range taskCount * 5 {
		fx.now = fx.now.Add(tick)
		fx.worker.advance(fx.now)
		due := events
		events = nil
		for _, e := range due {
			if e.at.After(fx.now) {
				events = append(events, e)
				continue
			}
			e.do()
		}
		if n%10 == 0 {
			fx.fleet.Tick(fx.now)
		}
		flush()
		if n%5 == 0 && fx.fleet.Usable(fx.fleet.Worker("w"), fx.now) {
			send(fx.submit(fmt.Sprintf("t%d", startedCount), false))
			startedCount++
			for _, l := range fx.polls {
				send(l)
			}
			fx.polls = nil
		}
		maxUnacked = max(maxUnacked, uint64(len(fx.worker.ends))-fx.worker.lastAckedEnd)
	}
	notDoneCount := 0
	for i := range startedCount - 20 {
		if fx.task(fmt.Sprintf("t%d", i)).Phase != tbflow.TaskDone {
			notDoneCount++
		}
	}
	qt.Check(t, notDoneCount, qt.Equals, 0, qt.Commentf("of %d tasks", startedCount))
	qt.Check(t, maxUnacked < maxListedEnds, qt.IsTrue, qt.Commentf("up to %d ends were listed and not acknowledged", maxUnacked))
}
