package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// refusedStart returns the result of a start that was refused.
func refusedStart(f *Fleet, now time.Time, a tbflow.Assignment, cause string) {
	f.HandleStartAnswered(now, StartAnswered{Worker: a.Worker, Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: Refused, Cause: cause, ClockMs: 1})
}

// Each reason is reached, and for the first time by the change that it names.
func TestEachReasonWhyAWorkerIsUnusable(t *testing.T) {
	start := func(f *Fleet, s *tbflow.State, now time.Time) tbflow.Assignment { return orderStart(f, s, now, 0, "a") }
	for reason, change := range map[UnusableReason]func(f *Fleet, s *tbflow.State, w *Worker, now time.Time){
		NotUnusable: func(*Fleet, *tbflow.State, *Worker, time.Time) {},
		NotRegistered: func(f *Fleet, s *tbflow.State, w *Worker, now time.Time) {
			start(f, s, now)
			w.Draining = true
			f.HandleSignOff(now, "a")
		},
		Draining: func(f *Fleet, _ *tbflow.State, w *Worker, now time.Time) {
			r := w.Report
			r.Sequence, r.Draining = 2, true
			f.HandleReport(now, r)
		},
		Silent: func(f *Fleet, s *tbflow.State, w *Worker, now time.Time) {
			start(f, s, now)
			f.proposeSilence(w.ID)
		},
		Unresponsive: func(f *Fleet, _ *tbflow.State, w *Worker, now time.Time) {
			f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, Outcome: Unconfirmed})
		},
		Lapsing: func(_ *Fleet, _ *tbflow.State, w *Worker, _ time.Time) { w.lapse, w.needsFence = lapsing, true },
		NotPolled: func(f *Fleet, _ *tbflow.State, w *Worker, now time.Time) {
			r := w.Report
			r.Incarnation, r.Sequence = 2, 1
			f.HandleReport(now, r)
		},
		ClockUnknown: func(_ *Fleet, _ *tbflow.State, w *Worker, _ time.Time) { w.lastClockReading = clockReading{} },
		UnackedEnds:  func(_ *Fleet, _ *tbflow.State, w *Worker, _ time.Time) { w.unackedEndCount = maxUnackedEnds },
		NotHeard: func(f *Fleet, _ *tbflow.State, w *Worker, now time.Time) {
			w.LastHeardAt = now.Add(-f.params.SilenceTimeout)
		},
		AvoidedFailures: func(f *Fleet, s *tbflow.State, _ *Worker, now time.Time) {
			for i := range failuresBeforeBackoff {
				a := orderStart(f, s, now, i, "a")
				answerStart(f, now, a, Accepted)
				f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: now, Outcome: Accepted, ClockMs: 1,
					Ended: []ListedEnd{{Number: uint64(i + 1), Ref: a.Ref, Run: a.Run, Kind: tbflow.EndFailed}}})
			}
		},
		AvoidedNoRoom: func(f *Fleet, s *tbflow.State, _ *Worker, now time.Time) {
			refusedStart(f, now, start(f, s, now), CauseNoRoom)
		},
		AvoidedRefusedStart: func(f *Fleet, s *tbflow.State, _ *Worker, now time.Time) {
			refusedStart(f, now, start(f, s, now), "status 503 ")
		},
		Unreached: func(f *Fleet, s *tbflow.State, _ *Worker, now time.Time) {
			unsentStart(f, now, start(f, s, now), CauseConnectTimeout)
		},
		AvoidedUnansweredStart: func(f *Fleet, s *tbflow.State, _ *Worker, now time.Time) {
			answerStart(f, now, start(f, s, now), Unconfirmed)
		},
		AvoidedStalledRun: func(f *Fleet, s *tbflow.State, _ *Worker, now time.Time) {
			a := start(f, s, now)
			answerStart(f, now, a, Accepted)
			f.StopStalled(now, "a", a.Ref)
		},
		Observed: func(_ *Fleet, _ *tbflow.State, w *Worker, now time.Time) { w.ObservedUntil = now.Add(time.Second) },
		OverdueStart: func(f *Fleet, s *tbflow.State, w *Worker, now time.Time) {
			answerStart(f, now, orderStart(f, s, now.Add(-110*time.Millisecond), 0, "b"), Accepted)
			f.answers.smoothed, f.answers.deviation = 10*time.Millisecond, time.Millisecond
			orderStart(f, s, now.Add(-100*time.Millisecond), 1, "a")
		},
	} {
		f, s, now := newStartsFixture(t)
		w := f.Worker("a")
		change(f, s, w, now)
		qt.Check(t, f.WhyUnusable(w, now).String(), qt.Equals, reason.String())
		qt.Check(t, f.Usable(w, now), qt.Equals, reason == NotUnusable)
	}
}

// All reasons have a name, so that each is told from the others in the log.
func TestReasonsWhyAWorkerIsUnusableHaveNames(t *testing.T) {
	named := map[string]bool{}
	for r := range UnusableReasonCount {
		named[r.String()] = true
	}
	qt.Check(t, named[""], qt.IsFalse)
	qt.Check(t, named, qt.HasLen, int(UnusableReasonCount))
}

// A shorter avoidance neither shortens a longer one nor replaces its reason, unless it has to.
func TestAvoidanceKeepsReasonOfLongerOne(t *testing.T) {
	f, s, now := newStartsFixture(t)
	a, b := orderStart(f, s, now, 0, "a"), orderStart(f, s, now, 1, "a")
	refusedStart(f, now, a, "status 503 ")
	refusedStart(f, now, b, "status 429 ")
	c := orderStart(f, s, now, 2, "a")
	answerStart(f, now, c, Unconfirmed)
	now = now.Add(failedStartBackoff)
	qt.Check(t, f.WhyUnusable(f.Worker("a"), now), qt.Equals, AvoidedRefusedStart)
	qt.Check(t, f.Worker("a").AvoidUntil.Sub(now), qt.Equals, minBackoff-failedStartBackoff)
}

// A start for which no connection was established is told from one that the worker has refused.
func TestUnsentStartIsNotLoggedAsRefused(t *testing.T) {
	for cause, message := range map[string]string{
		CauseConnectTimeout: "start not sent", CauseConnectRefused: "start not sent", CauseConnectFailed: "start not sent",
		CauseNoRoom: "start refused", "status 503 ": "start refused",
	} {
		f, s, now := newStartsFixture(t)
		a := orderStart(f, s, now, 0, "a")
		if IsUnsent(cause) {
			unsentStart(f, now, a, cause)
		} else {
			refusedStart(f, now, a, cause)
		}
		events := f.TakeOutput().LogEvents
		qt.Assert(t, events, qt.HasLen, 1)
		qt.Check(t, events[0].Message, qt.Equals, message, qt.Commentf("%s", cause))
		qt.Check(t, events[0].Detail, qt.Equals, cause)
	}
}

// unsentStart returns the result of a start that was not sent.
func unsentStart(f *Fleet, now time.Time, a tbflow.Assignment, cause string) {
	f.HandleStartAnswered(now, StartAnswered{Worker: a.Worker, Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: NotSent, Cause: cause})
}
