package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// lookThatNames ends a short run and returns the look that first names its end, which is under way.
func (o *oneWorker) lookThatNames(t *testing.T, id string) tbfleet.Look {
	o.worker.startRun(o.now, o.submit(id, false), 100*time.Millisecond)
	for o.task(id).Phase != tbflow.TaskDone {
		o.pass(step, true)
	}
	o.take()
	qt.Assert(t, o.looks, qt.HasLen, 1)
	qt.Assert(t, o.looks[0].Seen, qt.Equals, uint64(len(o.worker.ended)))
	return o.looks[0]
}

// restartInto starts the worker's next life, which carries out a late start and then a late look.
func (o *oneWorker) restartInto(t *testing.T, late tbfleet.Start, look tbfleet.Look) {
	o.worker = newFakeWorker("w", o.now, 1)
	qt.Assert(t, o.worker.startRun(o.now, late, 100*time.Millisecond).Verdict, qt.Equals, tbfleet.Accepted)
	o.pass(500*time.Millisecond, false)
	o.worker.look(o.now, look)
	o.pass(2*time.Second, true)
}

// A start and a look that was sent before it, which names ends as recorded, are both under way
// when the worker starts again under its id. The next life carries out the start and then the
// look, and forgets the end of the run unread, so that the task starts again.
func TestLookSentBeforeALateStartForgetsNoEndOfTheNextLife(t *testing.T) {
	o := newOneWorker()
	look := o.lookThatNames(t, "a")
	late := o.submit("late", false)
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: late.Target.Born, Ref: late.Ref, Run: late.Run})
	o.restartInto(t, late, look)
	qt.Check(t, o.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

// The same with a look that is sent while the start is still open.
func TestLookSentBesideAnOpenStartNamesNoEnds(t *testing.T) {
	o := newOneWorker()
	o.worker.startRun(o.now, o.submit("a", false), 100*time.Millisecond)
	o.pass(50*time.Millisecond, true)
	late := o.submit("late", false)
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: late.Target.Born, Ref: late.Ref, Run: late.Run})
	// The stops of the start are not answered, so that it stays open while the end of "a" is recorded.
	o.pass(time.Second, true)
	qt.Assert(t, o.task("a").Phase, qt.Equals, tbflow.TaskDone)
	qt.Assert(t, o.task("late").Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, o.naming.Seen, qt.Equals, uint64(0))
	o.restartInto(t, late, o.naming)
	qt.Check(t, o.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

// A start that is sent while a look names ends is fenced off from it. Where the start arrives
// first, the worker refuses the look; that says nothing about its health, and the ends are
// named by the next one.
func TestLookOvertakenByAStartDoesNotMakeAWorkerSilent(t *testing.T) {
	o := newOneWorker()
	look := o.lookThatNames(t, "a")
	o.looks = nil
	start := o.submit("b", false)
	o.fleet.StartAnswered(o.now, o.worker.startRun(o.now, start, time.Second))
	a := o.worker.look(o.now, look)
	qt.Assert(t, a.Verdict, qt.Equals, tbfleet.Refused)
	a.SentAt = o.now
	o.fleet.LookAnswered(o.now, a)
	qt.Check(t, o.fleet.Usable(o.fleet.Worker("w"), o.now), qt.IsTrue)
	o.take()
	o.pass(10*time.Millisecond, true)
	qt.Check(t, o.worker.seen, qt.Equals, uint64(1))
}

// A look that names ends is not answered, and a later one is. The first may still be carried out
// late; a start that is sent then must be fenced off from it, since the worker's next life could
// carry out the start and then the look, and forget the end of the run unread.
func TestUnansweredLookForgetsNoEndOfTheNextLifeOnceALaterOneIsAnswered(t *testing.T) {
	o := newOneWorker()
	look := o.lookThatNames(t, "a")
	o.looks = nil
	o.silent(look)
	o.pass(2*time.Second, true)
	qt.Assert(t, o.worker.seen, qt.Equals, uint64(1))

	late := o.submit("late", false)
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: late.Target.Born, Ref: late.Ref, Run: late.Run})
	o.restartInto(t, late, look)
	qt.Check(t, o.task("late").Phase, qt.Equals, tbflow.TaskDone)
}
