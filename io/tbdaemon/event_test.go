package tbdaemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbentry"
	"tamarackbarrow/core/tbnode"
	"tamarackbarrow/io/tbsettings"
)

// Without this metric, operators could not see how long events wait in the queue of the event loop.
func TestEventQueueWaitIsRecorded(t *testing.T) {
	settings := tbsettings.Settings{
		ID: "a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2",
		Times: tbsettings.Times{ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond},
	}
	d, err := New(settings, hclog.NewNullLogger(), hclog.NewNullLogger(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	d.queueEvent(tbnode.Event{Entry: tbentry.EventBatchEnded{}})
	d.queueEvent(tbnode.Event{Entry: tbentry.EventBatchEnded{}})
	const wait = 5 * time.Millisecond
	time.Sleep(wait)
	d.handleQueued()
	waits := d.counters.histograms.byName[latencyEvent]
	qt.Assert(t, waits, qt.IsNotNil)
	qt.Check(t, waits.TotalCount(), qt.Equals, int64(2))
	// The histogram keeps two significant digits, so a recorded wait may be slightly too small.
	qt.Check(t, waits.Min() >= wait.Microseconds()*99/100, qt.IsTrue, qt.Commentf("%d us", waits.Min()))
}

// A leader that gets events without a pause has to stop runs, give up leases and send heartbeats all the same.
func TestLoopTicksWhileEventsAreAlwaysQueued(t *testing.T) {
	d := newEventTestDaemon(t, true)
	batch := make([]tbnode.Event, maxQueuedPerPass)
	const batches = 1000
	for range batches {
		d.queueEvents(batch)
	}
	d.account = newLoopAccount(time.Now())
	looped := make(chan struct{})
	go func() {
		defer close(looped)
		d.loop()
	}()
	// The batches leave the queue one after the other. The loop ends while there are others.
	for len(d.events) > batches/2 {
		time.Sleep(time.Millisecond)
	}
	d.cancel()
	<-looped
	qt.Assert(t, len(d.events) > 0, qt.IsTrue)
	ticks := d.account.byKind[kindTick]
	qt.Assert(t, ticks, qt.IsNotNil)
	t.Logf("%d ticks", ticks.events)
	qt.Check(t, ticks.events >= 2, qt.IsTrue)
}

func newEventTestDaemon(t *testing.T, entry bool) *Daemon {
	d, err := New(tbsettings.Settings{
		ID: "a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Entry: entry,
		Times: tbsettings.Times{ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond},
	}, hclog.NewNullLogger(), hclog.NewNullLogger(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	return d
}

// A replica whose events wait must not take its group for silent.
func TestMessagesOfTheGroupAreHandledBeforeOtherEvents(t *testing.T) {
	d := newEventTestDaemon(t, false)
	poll := tbnode.Event{Control: tbcontrol.PollAnswered{}}
	first := []tbnode.Event{{Control: tbcontrol.MessagesArrived{}}, {Control: tbcontrol.EntriesPersisted{}}, {Control: tbcontrol.DeliveryFailed{}}}
	d.queueEvent(poll)
	for _, ev := range first {
		d.queueEvent(ev)
		d.queueEvent(poll)
	}
	for _, ev := range append(first, poll) {
		queued, ok := d.nextQueued()
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, queued.events[0], qt.DeepEquals, ev)
	}
}

func TestPassEndsOnceATickIsDue(t *testing.T) {
	d := newEventTestDaemon(t, true)
	const events = 10
	for range events {
		d.queueEvent(tbnode.Event{Entry: tbentry.EventBatchEnded{}})
	}
	time.Sleep(10 * time.Millisecond)
	d.handleQueued()
	qt.Check(t, len(d.events), qt.Equals, events-1)
}
