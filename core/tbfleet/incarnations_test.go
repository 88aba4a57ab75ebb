package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// twoLives is a leader whose worker starts again under its id.
type twoLives struct {
	now   time.Time
	state *tbflow.State
	fleet *tbfleet.Fleet
	ref   tbflow.TaskRef
	runs  uint64
}

func newTwoLives() *twoLives {
	o := &twoLives{now: time.UnixMilli(1_700_000_000_000), state: tbflow.New(), ref: tbflow.TaskRef{Job: "j"}}
	o.state.Apply(o.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxAttempts: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, Lasting: true}
	o.state.Apply(o.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	o.fleet = tbfleet.New(terms, 1)
	return o
}

// heard starts a life of the worker and lets it report.
func (o *twoLives) heard() *fakeWorker {
	fw := newFakeWorker("w", o.now, 0.98)
	o.fleet.Heard(o.now, tbfleet.Report{ID: "w", Address: "a:1", Born: fw.born, Class: "c", ClockMs: fw.clock(o.now), Sequence: 1})
	return fw
}

// signOff lets a life drain and end.
func (o *twoLives) signOff(fw *fakeWorker) {
	o.fleet.Heard(o.now, tbfleet.Report{
		ID: "w", Address: "a:1", Born: fw.born, Class: "c", ClockMs: fw.clock(o.now), Sequence: 2, Draining: true,
	})
	o.fleet.Left(o.now, "w")
}

// assign lets the leader order a run from the present life.
func (o *twoLives) assign() {
	o.runs++
	w := o.fleet.Worker("w")
	o.apply(tbflow.Assign{Runs: []tbflow.Assignment{{Ref: o.ref, Run: o.runs, Worker: "w", Born: w.Born}}})
}

func (o *twoLives) apply(c tbflow.Command) {
	o.state.Apply(o.now.UnixMilli(), c)
	o.fleet.Applied(o.now, o.state, c)
}

// obey lets a worker carry out all orders at once and applies what the leader records; it
// returns the orders and whether the run was given up.
func (o *twoLives) obey(fw *fakeWorker) (orders []tbfleet.Call, lost bool) {
	for {
		out := o.fleet.Take()
		if len(out.Calls)+len(out.Commands) == 0 {
			return orders, lost
		}
		for _, c := range out.Commands {
			if ends, ok := c.(tbflow.NoteEnds); ok && len(ends.Ends) > 0 {
				lost = true
			}
			o.apply(c)
		}
		orders = append(orders, out.Calls...)
		for _, c := range out.Calls {
			switch c := c.(type) {
			case tbfleet.Start:
				o.fleet.StartAnswered(o.now, fw.startRun(o.now, c, time.Hour))
			case tbfleet.Look:
				if c.Wait > 0 {
					continue
				}
				a := fw.look(o.now, c)
				a.SentAt = o.now
				o.fleet.LookAnswered(o.now, a)
			}
		}
	}
}

// lateLook returns the last look that renews a lease.
func lateLook(t *testing.T, orders []tbfleet.Call) tbfleet.Look {
	for i := len(orders) - 1; i >= 0; i-- {
		if l, ok := orders[i].(tbfleet.Look); ok && l.LeaseEndMs > 0 {
			return l
		}
	}
	t.Fatal("no look renews a lease")
	return tbfleet.Look{}
}

// A worker signs off while a look is under way, starts again under its id and gets tasks.
// The look, carried out then, must be refused: it would drop ends of the new life that
// nobody has recorded, and lengthen its lease (found by random schedules, seed 1822).
func TestOrdersOfALifeThatSignedOffAreRefusedByTheNextOne(t *testing.T) {
	o := newTwoLives()
	first := o.heard()
	o.assign()
	orders, _ := o.obey(first)
	late := lateLook(t, orders)

	o.now = o.now.Add(time.Second)
	o.signOff(first)
	o.obey(first)
	qt.Assert(t, o.fleet.Worker("w"), qt.IsNil)
	o.now = o.now.Add(time.Second)
	second := o.heard()
	qt.Check(t, o.fleet.Usable(o.fleet.Worker("w"), o.now), qt.IsFalse)
	o.obey(second)
	o.assign()
	o.obey(second)
	qt.Assert(t, second.running, qt.HasLen, 1)
	qt.Check(t, second.look(o.now, late).Verdict, qt.Equals, tbfleet.Refused)
}

// A worker has worked for long when it starts again under its id. A look that was meant for
// the life before is carried out by the new one before its first order; the lease then lasts
// as long as the worker allows, since the clock started anew. The leader must not give up a
// run of the new life before that.
func TestLookOfAnEarlierLifeDoesNotOutlastTheLeadersReckoning(t *testing.T) {
	for name, again := range map[string]func(*twoLives, *fakeWorker){
		"crash":    func(*twoLives, *fakeWorker) {},
		"sign-off": func(o *twoLives, fw *fakeWorker) { o.signOff(fw); o.obey(fw) },
	} {
		t.Run(name, func(t *testing.T) {
			o := newTwoLives()
			first := o.heard()
			o.assign()
			o.obey(first)
			o.now = o.now.Add(20 * time.Second)
			a := first.look(o.now, tbfleet.Look{Target: tbfleet.Target{ID: "w", Born: first.born, Token: 1 << 30}})
			a.SentAt, a.Running = o.now, []tbfleet.RunReport{{Ref: o.ref, Run: 1, Percent: 50}}
			o.fleet.LookAnswered(o.now, a)
			late := lateLook(t, o.fleet.Take().Calls)

			o.now = o.now.Add(100 * time.Millisecond)
			again(o, first)
			o.now = o.now.Add(time.Second)
			second := newFakeWorker("w", o.now, 0.98)
			second.look(o.now, late)
			o.fleet.Heard(o.now, tbfleet.Report{ID: "w", Address: "a:1", Born: second.born, Class: "c", ClockMs: second.clock(o.now), Sequence: 1})
			o.obey(second)
			qt.Assert(t, o.fleet.Usable(o.fleet.Worker("w"), o.now), qt.IsTrue)
			o.assign()
			o.obey(second)
			qt.Assert(t, second.running, qt.HasLen, 1)
			o.fleet.LookAnswered(o.now, second.list(o.now, tbfleet.LookAnswered{
				Worker: "w", Born: second.born, SentAt: o.now, Verdict: tbfleet.Accepted,
			}))

			// From now on nothing reaches the worker.
			for lost := false; !lost; {
				o.now = o.now.Add(10 * time.Millisecond)
				second.advance(o.now)
				o.fleet.Tick(o.now)
				out := o.fleet.Take()
				for _, c := range out.Commands {
					ends, ok := c.(tbflow.NoteEnds)
					lost = lost || ok && len(ends.Ends) > 0
				}
				for _, c := range out.Calls {
					if l, ok := c.(tbfleet.Look); ok {
						o.fleet.LookAnswered(o.now, tbfleet.LookAnswered{Worker: "w", Born: l.Target.Born, Seen: l.Seen})
					}
				}
				o.fleet.LookAnswered(o.now, tbfleet.LookAnswered{Worker: "w", Born: second.born})
				qt.Assert(t, o.now.Sub(second.start) < time.Minute, qt.IsTrue)
			}
			qt.Check(t, second.running, qt.HasLen, 0, qt.Commentf("the lease ends %d ms later", second.leaseEnd-second.clock(o.now)))
		})
	}
}

// A look is under way when the worker crashes and starts again under its id. The new life
// carries out a late start and then that look, which names numbers of the earlier life's
// ends although that life knew them to be recorded: the new life forgets an end that nobody
// has read, and the task starts again (found by random schedules, seed 1999).
func TestLookUnderWayAtARestartForgetsNoEndsOfTheNextLife(t *testing.T) {
	o := newOneWorker()
	for _, id := range []string{"a", "b"} {
		o.worker.startRun(o.now, o.submit(id, false), 100*time.Millisecond)
		o.pass(2*time.Second, true)
		qt.Assert(t, o.task(id).Phase, qt.Equals, tbflow.TaskDone)
	}
	o.worker.startRun(o.now, o.submit("lasting", true), time.Hour)
	o.pass(2*time.Second, true)
	look := o.renewal
	start := o.submit("late", false)
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: start.Target.Born, Ref: start.Ref, Run: start.Run})
	o.pass(time.Second, false)

	o.worker = newFakeWorker("w", o.now, 1)
	qt.Assert(t, o.worker.startRun(o.now, start, 100*time.Millisecond).Verdict, qt.Equals, tbfleet.Accepted)
	o.pass(500*time.Millisecond, false)
	o.worker.look(o.now, look)
	o.pass(2*time.Second, true)
	qt.Check(t, o.task("late").Phase, qt.Equals, tbflow.TaskDone)
}
