package tbfleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A worker has ended more runs than one list shows when a new leader takes over. The list leaves
// out the end of a run that an earlier leader started; it must not count as one that never ran.
func TestFullListSettlesNoRunThatItLeavesOut(t *testing.T) {
	o := newOneWorker()
	starts := []tbfleet.Start{}
	for i := range endsPerList + 10 {
		starts = append(starts, o.submit(fmt.Sprintf("t%d", i), false))
	}
	for _, start := range starts {
		qt.Assert(t, o.worker.startRun(o.now, start, time.Millisecond).Verdict, qt.Equals, tbfleet.Accepted)
		o.now = o.now.Add(time.Millisecond)
		o.worker.advance(o.now)
	}
	o.state.Apply(o.now.UnixMilli(), tbflow.NoteWorker{Worker: "w", Born: o.worker.born, Address: "a:1", Class: "c"})
	o.fleet, o.looks = tbfleet.New(terms, 2), nil
	o.fleet.TakeOver(o.now, o.state)
	o.pass(2*time.Second, true)
	for i := range starts {
		task := o.task(fmt.Sprintf("t%d", i))
		qt.Assert(t, task.Phase, qt.Equals, tbflow.TaskDone, qt.Commentf("task %d", i))
	}
}

// Each way between a leader and a worker takes 30 ms and the worker gets a short task every 50 ms,
// so that a start is open at all times. Ends must be named as recorded nevertheless: a list shows
// 500 ends at most, and a task whose end no list shows seems never to have run.
func TestOpenStartsDoNotKeepEndsFromBeingNamed(t *testing.T) {
	const (
		tasks = 700
		way   = 30 * time.Millisecond
	)
	o := newOneWorker()
	type later struct {
		at time.Time
		do func()
	}
	var events []later
	after := func(d time.Duration, do func()) { events = append(events, later{o.now.Add(d), do}) }
	order := func(c tbfleet.Call) {
		sentAt := o.now
		switch c := c.(type) {
		case tbfleet.Start:
			after(way, func() {
				a := o.worker.startRun(o.now, c, 100*time.Millisecond)
				after(way, func() { o.fleet.StartAnswered(o.now, a) })
			})
		case tbfleet.Stop:
			after(way, func() {
				a := o.worker.stopRun(o.now, c)
				after(way, func() { o.fleet.StopAnswered(o.now, a) })
			})
		case tbfleet.Look:
			after(way, func() {
				a := o.worker.look(o.now, c)
				until, ends := o.now.Add(c.Wait), len(o.worker.ended)
				var wait func()
				wait = func() {
					if a.Verdict == tbfleet.Accepted && o.now.Before(until) && len(o.worker.ended) == ends {
						after(step, wait)
						return
					}
					if a.Verdict == tbfleet.Accepted {
						a = o.worker.list(o.now, a)
					}
					after(way, func() { a.SentAt = sentAt; o.fleet.LookAnswered(o.now, a) })
				}
				wait()
			})
		}
	}
	carryOut := func() {
		out := o.fleet.Take()
		for _, c := range out.Calls {
			order(c)
		}
		for _, c := range out.Commands {
			after(commitTime, func() { o.apply(c) })
		}
	}
	most, started := uint64(0), 0
	for n := range tasks * 5 {
		o.now = o.now.Add(step)
		o.worker.advance(o.now)
		due := events
		events = nil
		for _, e := range due {
			if e.at.After(o.now) {
				events = append(events, e)
				continue
			}
			e.do()
		}
		if n%10 == 0 {
			o.fleet.Tick(o.now)
		}
		carryOut()
		if n%5 == 0 && o.fleet.Usable(o.fleet.Worker("w"), o.now) {
			order(o.submit(fmt.Sprintf("t%d", started), false))
			started++
			for _, l := range o.looks {
				order(l)
			}
			o.looks = nil
		}
		most = max(most, uint64(len(o.worker.ended))-o.worker.seen)
	}
	again := 0
	for i := range started - 20 {
		if o.task(fmt.Sprintf("t%d", i)).Phase != tbflow.TaskDone {
			again++
		}
	}
	qt.Check(t, again, qt.Equals, 0, qt.Commentf("of %d tasks", started))
	qt.Check(t, most < endsPerList, qt.IsTrue, qt.Commentf("up to %d ends were listed and not noted", most))
}
