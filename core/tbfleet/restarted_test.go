package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// oneWorker is a leader with one worker that has lived for a while.
type oneWorker struct {
	now    time.Time
	state  *tbflow.State
	fleet  *tbfleet.Fleet
	worker *fakeWorker
	// looks are under way; renewal is the last one that renewed the lease, and naming is the last
	// one that named ends as recorded.
	looks     []tbfleet.Look
	renewal   tbfleet.Look
	naming    tbfleet.Look
	renewedAt time.Time
}

func newOneWorker() *oneWorker {
	o := &oneWorker{now: time.UnixMilli(1_700_000_000_000), state: tbflow.New(), fleet: tbfleet.New(terms, 1)}
	o.worker = newFakeWorker("w", o.now.Add(-time.Minute), 1)
	o.state.Apply(o.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxAttempts: 3},
	}}})
	o.heard()
	return o
}

func (o *oneWorker) heard() {
	o.worker.sequence++
	o.fleet.Heard(o.now, tbfleet.Report{
		ID: "w", Address: "a:1", Born: o.worker.born, Class: "c", ClockMs: o.worker.clock(o.now), Sequence: o.worker.sequence,
		Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	})
}

// submit hands in a job of one task and returns the order to start it.
func (o *oneWorker) submit(id string, lasting bool) tbfleet.Start {
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}, Lasting: lasting}
	o.state.Apply(o.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/" + id, Job: tbflow.Job{ID: id, Steps: []tbflow.Step{step}}})
	o.apply(tbflow.Assign{Runs: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: id}, Run: 1, Worker: "w", Born: o.fleet.Worker("w").Born}}})
	var start tbfleet.Start
	for _, c := range o.fleet.Take().Calls {
		switch c := c.(type) {
		case tbfleet.Start:
			start = c
		case tbfleet.Look:
			o.looks = append(o.looks, c)
		}
	}
	return start
}

func (o *oneWorker) apply(c tbflow.Command) {
	o.state.Apply(o.now.UnixMilli(), c)
	o.fleet.Applied(o.now, o.state, c)
}

// silent tells the leader that a look got no answer.
func (o *oneWorker) silent(l tbfleet.Look) {
	o.fleet.LookAnswered(o.now, tbfleet.LookAnswered{Worker: "w", Born: l.Target.Born, Seen: l.Seen, SentAt: o.now})
}

// pass lets time pass; the worker answers looks at once while reached is true.
func (o *oneWorker) pass(d time.Duration, reached bool) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(step)
		o.worker.advance(o.now)
		o.fleet.Tick(o.now)
		commands := o.take()
		looks := o.looks
		o.looks = nil
		for _, l := range looks {
			if !reached {
				o.silent(l)
				continue
			}
			a := o.worker.look(o.now, l)
			a.SentAt = o.now
			o.fleet.LookAnswered(o.now, a)
		}
		for _, c := range append(commands, o.take()...) {
			o.apply(c)
		}
	}
}

// take returns the commands that the leader asks for and keeps its looks.
func (o *oneWorker) take() []tbflow.Command {
	out := o.fleet.Take()
	for _, c := range out.Calls {
		if l, ok := c.(tbfleet.Look); ok {
			o.looks = append(o.looks, l)
			if l.Seen > 0 {
				o.naming = l
			}
			if l.LeaseEndMs > 0 {
				o.renewal, o.renewedAt = l, o.now
			}
		}
	}
	return out.Commands
}

func (o *oneWorker) task(id string) tbflow.Task {
	return *o.state.Jobs[id].Task(tbflow.TaskRef{Job: id})
}

// A worker crashes behind a cut and starts again under its id. The new life carries out a
// late start and ends it as done; the leader's next look still names the numbers of the
// earlier life's ends, so that the new life forgets the end unread and the task starts again.
func TestLookAtARestartedWorkerForgetsNoEnds(t *testing.T) {
	o := newOneWorker()
	for _, id := range []string{"a", "b", "c"} {
		o.worker.startRun(o.now, o.submit(id, false), 100*time.Millisecond)
		o.pass(2*time.Second, true)
		qt.Assert(t, o.task(id).Phase, qt.Equals, tbflow.TaskDone)
	}
	late := o.submit("late", false)
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: late.Target.Born, Ref: late.Ref, Run: late.Run})
	o.pass(time.Second, false)
	o.worker = newFakeWorker("w", o.now, 1)
	o.pass(time.Second, false)
	qt.Assert(t, o.worker.startRun(o.now, late, 100*time.Millisecond).Verdict, qt.Equals, tbfleet.Accepted)
	o.pass(500*time.Millisecond, false)
	o.pass(2*time.Second, true)
	qt.Check(t, o.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

// A look that renews the lease is under way when the worker crashes and starts again under
// its id; a start meant for the earlier life and then that look reach the new one, whose
// clock starts anew. The lease counts from the look's arrival and outlasts the leader's wait.
func TestLateLookDoesNotOutlastTheWaitForALateStart(t *testing.T) {
	o := newOneWorker()
	start := o.submit("j", true)
	startedAt := o.now
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: start.Target.Born, Ref: start.Ref, Run: start.Run})
	// The worker answers looks but no stop for a while; the last look is late.
	o.pass(4*time.Second, true)
	o.pass(time.Second, false)
	look, lookAt := o.renewal, o.renewedAt
	qt.Assert(t, lookAt.After(startedAt.Add(3*time.Second)), qt.IsTrue)
	o.worker = newFakeWorker("w", o.now, 0.98)
	begun, renewed := false, false
	for o.task("j").Phase == tbflow.TaskAssigned && o.now.Before(startedAt.Add(time.Minute)) {
		if !begun && !o.now.Before(startedAt.Add(longestLag-time.Second)) {
			begun = o.worker.startRun(o.now, start, time.Hour).Verdict == tbfleet.Accepted
			qt.Assert(t, begun, qt.IsTrue)
		}
		if !renewed && !o.now.Before(lookAt.Add(longestLag-100*time.Millisecond)) {
			renewed = true
			o.worker.look(o.now, look)
		}
		o.pass(step, false)
	}
	qt.Check(t, begun && renewed, qt.IsTrue)
	qt.Check(t, o.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was ordered", o.now.Sub(startedAt)))
}

// A worker drains, signs off and starts again under its id; the message that it signs off
// is late, or sent again by the instance that took it. The new life's run is given up while
// it goes on, and the task starts elsewhere.
func TestLateSignOffDoesNotEndTheNextLife(t *testing.T) {
	o := newOneWorker()
	o.worker = newFakeWorker("w", o.now, 1)
	o.heard()
	o.worker.startRun(o.now, o.submit("j", true), time.Hour)
	o.pass(time.Second, true)
	qt.Assert(t, o.worker.running, qt.HasLen, 1)
	o.fleet.Left(o.now, "w")
	o.pass(100*time.Millisecond, true)
	qt.Check(t, o.task("j").Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, o.worker.running, qt.HasLen, 1)
}

// A worker drains with a run, signs off, and is forgotten once the run's end is recorded. A
// report from before it drained arrives late: it is taken though newer ones were known, and
// the worker looks usable, while the state refuses every run on it.
func TestLateReportDoesNotBringADrainedWorkerBack(t *testing.T) {
	o := newOneWorker()
	late := o.fleet.Worker("w").Report
	o.heard()
	o.worker.startRun(o.now, o.submit("j", false), time.Hour)
	o.pass(time.Second, true)
	draining := o.fleet.Worker("w").Report
	draining.Draining = true
	draining.Sequence++
	qt.Assert(t, o.fleet.Heard(o.now, draining), qt.IsTrue)
	o.apply(tbflow.NoteDraining{Worker: "w", Born: draining.Born})
	o.worker.running = map[tbflow.TaskRef]*fakeRun{}
	o.fleet.Left(o.now, "w")
	for _, c := range o.take() {
		o.apply(c)
	}
	o.fleet.Heard(o.now, late)
	w := o.fleet.Worker("w")
	qt.Check(t, w != nil && o.fleet.Usable(w, o.now), qt.IsFalse)
}

// A worker starts again under its id while a look that renews its lease is under way; the
// new life, of which the leader does not know yet, accepts two starts and is cut off. The late
// look, whose end is on the earlier life's clock, then keeps the runs past the leader's wait.
func TestLateLookDoesNotOutlastTheWaitForAnAcceptedStart(t *testing.T) {
	o := newOneWorker()
	o.worker.startRun(o.now, o.submit("first", true), time.Hour)
	o.pass(time.Second, true)
	look := o.renewal
	qt.Assert(t, look.LeaseEndMs > 0, qt.IsTrue)
	o.worker = newFakeWorker("w", o.now, 0.98)
	o.now = o.now.Add(200 * time.Millisecond)
	startedAt := o.now
	for _, id := range []string{"j", "k"} {
		a := o.worker.startRun(o.now, o.submit(id, true), time.Hour)
		qt.Assert(t, a.Verdict, qt.Equals, tbfleet.Accepted)
		o.fleet.StartAnswered(o.now, a)
	}
	o.pass(5*time.Second, false)
	o.worker.look(o.now, look)
	for o.task("j").Phase == tbflow.TaskAssigned && o.task("k").Phase == tbflow.TaskAssigned && o.now.Before(startedAt.Add(time.Minute)) {
		o.pass(step, false)
	}
	qt.Check(t, o.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was accepted", o.now.Sub(startedAt)))
}

// A worker that drains signs off, the answer is lost, and it ends some seconds later. Its run
// must not start elsewhere meanwhile.
func TestWorkerThatSignedOffMayRunOnUntilItsLeaseHasEnded(t *testing.T) {
	o := newOneWorker()
	start := o.submit("j", true)
	o.fleet.StartAnswered(o.now, o.worker.startRun(o.now, start, time.Hour))
	o.pass(time.Second, true)
	o.worker.sequence++
	o.fleet.Heard(o.now, tbfleet.Report{
		ID: "w", Address: "a:1", Born: o.worker.born, Class: "c", ClockMs: o.worker.clock(o.now), Sequence: o.worker.sequence, Draining: true,
	})
	o.fleet.Left(o.now, "w")
	for o.task("j").Phase == tbflow.TaskAssigned {
		o.pass(step, false)
	}
	qt.Check(t, o.worker.running, qt.HasLen, 0)
}
