package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A worker answers a look and starts again under its id; its next life accepts a start, and that
// answer arrives before the one to the look. The list of the earlier life says nothing about the
// run, which must not be given up while it goes on.
func TestListOfAnEarlierLifeDoesNotSettleAStartOfTheNextLife(t *testing.T) {
	o := newOneWorker()
	o.worker.startRun(o.now, o.submit("first", true), time.Hour)
	o.pass(time.Second, true)
	qt.Assert(t, o.looks, qt.HasLen, 1)
	sentAt := o.now
	list := o.worker.look(o.now, o.looks[0])
	list.SentAt = sentAt
	o.looks = nil

	o.now = o.now.Add(100 * time.Millisecond)
	o.worker = newFakeWorker("w", o.now, 1)
	o.now = o.now.Add(10 * time.Millisecond)
	a := o.worker.startRun(o.now, o.submit("j", true), time.Hour)
	qt.Assert(t, a.Verdict, qt.Equals, tbfleet.Accepted)
	o.fleet.StartAnswered(o.now, a)
	o.fleet.LookAnswered(o.now, list)
	for _, c := range o.take() {
		o.apply(c)
	}
	qt.Check(t, o.worker.running, qt.HasLen, 1)
	qt.Check(t, o.task("j").Phase, qt.Equals, tbflow.TaskAssigned)
}
