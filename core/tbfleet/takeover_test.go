package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// takeOver is a new leader's view of one worker that runs a lasting task for an earlier one.
type takeOver struct {
	now    time.Time
	state  *tbflow.State
	fleet  *tbfleet.Fleet
	worker *fakeWorker
	ref    tbflow.TaskRef
}

func newTakeOver() *takeOver {
	now := time.UnixMilli(1_700_000_000_000)
	o := &takeOver{now: now, state: tbflow.New(), ref: tbflow.TaskRef{Job: "j"}}
	o.worker = newFakeWorker("w", now.Add(-20*time.Second), 0.98)
	o.state.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxAttempts: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, Lasting: true}
	o.state.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	o.state.Apply(now.UnixMilli(), tbflow.NoteWorker{
		Worker: "w", Born: o.worker.born, Address: "a:1", Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000},
	})
	o.state.Apply(now.UnixMilli(), tbflow.Assign{Runs: []tbflow.Assignment{{Ref: o.ref, Run: 1, Worker: "w", Born: o.worker.born}}})
	o.worker.startRun(now, tbfleet.Start{
		Target: tbfleet.Target{ID: "w", Born: o.worker.born, Token: 1}, Ref: o.ref, Run: 1,
		LeaseEndMs: o.worker.clock(now) + terms.Lease.Milliseconds(),
	}, time.Hour)
	o.fleet = tbfleet.New(terms, 2)
	o.fleet.TakeOver(now, o.state)
	return o
}

// looks lets a moment pass and returns the looks that the leader sends.
func (o *takeOver) looks(d time.Duration) []tbfleet.Look {
	o.now = o.now.Add(d)
	o.worker.advance(o.now)
	o.fleet.Tick(o.now)
	var all []tbfleet.Look
	for _, c := range o.fleet.Take().Calls {
		if l, ok := c.(tbfleet.Look); ok {
			all = append(all, l)
		}
	}
	return all
}

// unanswered tells the leader that a look got no answer.
func (o *takeOver) unanswered(l tbfleet.Look) {
	o.now = o.now.Add(l.Timeout)
	o.fleet.LookAnswered(o.now, tbfleet.LookAnswered{Worker: "w", Born: l.Target.Born, Seen: l.Seen, SentAt: o.now.Add(-l.Timeout)})
}

// A new leader's first look is carried out late, after the worker has been cut off. The
// task must be over when the leader gives the worker up (kollaalert inc1, TWICE).
func TestLateFirstLookOfANewLeaderDoesNotLengthenTheLease(t *testing.T) {
	for _, late := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 11 * time.Second} {
		o := newTakeOver()
		first := o.looks(0)
		qt.Assert(t, first, qt.HasLen, 1)
		lateAt := o.now.Add(late)
		o.unanswered(first[0])

		// The worker answers for a moment and is cut off then.
		answered := 0
		for i := 0; answered < 3 && i < 100; i++ {
			for _, l := range o.looks(50 * time.Millisecond) {
				a := o.worker.look(o.now, l)
				a.SentAt = o.now
				o.fleet.LookAnswered(o.now, a)
				answered++
			}
		}
		qt.Assert(t, answered >= 2, qt.IsTrue)

		delivered, lost := false, false
		for i := 0; !lost && i < 2000; i++ {
			o.now = o.now.Add(10 * time.Millisecond)
			if !delivered && !o.now.Before(lateAt) {
				delivered = true
				o.worker.look(o.now, first[0])
			}
			o.worker.advance(o.now)
			o.fleet.Tick(o.now)
			out := o.fleet.Take()
			for _, c := range out.Calls {
				if l, ok := c.(tbfleet.Look); ok {
					o.unanswered(l)
				}
			}
			for _, c := range append(out.Commands, o.fleet.Take().Commands...) {
				if ends, ok := c.(tbflow.NoteEnds); ok && len(ends.Ends) > 0 {
					lost = true
				}
			}
		}
		qt.Assert(t, lost, qt.IsTrue)
		o.worker.advance(o.now)
		_, running := o.worker.running[o.ref]
		qt.Check(t, running, qt.IsFalse, qt.Commentf("the look is carried out %v after it was sent; the lease ends %d ms later", late, o.worker.leaseEnd-o.worker.clock(o.now)))
	}
}

// A worker restarts under its id, is cut off until it is forgotten, and comes back in the
// same life. Orders must carry a token as high as the one that it has seen; otherwise it
// refuses all of them.
func TestWorkerThatWasForgottenIsNotFencedOffWhenItComesBack(t *testing.T) {
	o := newTakeOver()
	o.fleet = tbfleet.New(terms, 2)
	first := newFakeWorker("w", o.now, 1)
	o.fleet.Heard(o.now, tbfleet.Report{ID: "w", Address: "a:1", Born: first.born, Class: "c", ClockMs: 1000, Sequence: 1})
	o.now = o.now.Add(time.Second)
	second := newFakeWorker("w", o.now, 1)
	r := tbfleet.Report{ID: "w", Address: "a:1", Born: second.born, Class: "c", ClockMs: 1000, Sequence: 1}
	o.fleet.Heard(o.now, r)
	second.token = o.token()
	for range 20 {
		o.looks(time.Second)
	}
	qt.Assert(t, o.fleet.Worker("w"), qt.IsNil)
	r.Sequence = 30
	o.fleet.Heard(o.now, r)
	qt.Check(t, o.token() >= second.token, qt.IsTrue)
}

// token starts a task and returns the token of the order.
func (o *takeOver) token() uint64 {
	w := o.fleet.Worker("w")
	j := o.state.Jobs["j"]
	run := j.Task(o.ref).Run
	if j.Task(o.ref).Phase == tbflow.TaskAssigned {
		o.apply(tbflow.NoteEnds{Worker: "w", Born: j.Task(o.ref).Born, Ends: []tbflow.End{{Ref: o.ref, Run: run, Kind: tbflow.EndStopped}}})
	}
	o.apply(tbflow.Assign{Runs: []tbflow.Assignment{{Ref: o.ref, Run: run + 1, Worker: "w", Born: w.Born}}})
	var token uint64
	for _, c := range o.fleet.Take().Calls {
		if s, ok := c.(tbfleet.Start); ok {
			token = s.Target.Token
		}
	}
	o.apply(tbflow.NoteEnds{Worker: "w", Born: w.Born, Ends: []tbflow.End{{Ref: o.ref, Run: run + 1, Kind: tbflow.EndStopped}}})
	return token
}

func (o *takeOver) apply(c tbflow.Command) {
	o.state.Apply(o.now.UnixMilli(), c)
	o.fleet.Applied(o.now, o.state, c)
}
