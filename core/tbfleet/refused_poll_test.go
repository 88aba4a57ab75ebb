package tbfleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A refused poll that a later order of this leader has overtaken says nothing about the worker. Any other one is logged with
// its cause and its token.
func TestOnlyRefusedPollThatWasNotOvertakenIsLogged(t *testing.T) {
	for _, isOvertaken := range []bool{true, false} {
		f, s, now := newStartsFixture(t)
		answerStart(f, now, orderStart(f, s, now, 0, "a"), Accepted)
		w := f.Worker("a")
		qt.Assert(t, w.pollInFlight, qt.IsTrue)
		f.TakeOutput()
		if isOvertaken {
			w.raiseSerial()
		}
		f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, Outcome: Refused, Cause: CauseFence, SentAt: now})
		events := f.TakeOutput().LogEvents
		if isOvertaken {
			qt.Check(t, events, qt.HasLen, 0)
			qt.Check(t, f.WhyUnusable(w, now), qt.Equals, NotUnusable)
			continue
		}
		qt.Assert(t, events, qt.HasLen, 1)
		qt.Check(t, events[0].Message, qt.Equals, "worker does not answer")
		qt.Check(t, events[0].Detail, qt.Equals, CauseFence)
		qt.Check(t, f.newTarget(w).Term(), qt.Equals, uint64(1))
		inputs := events[0].Inputs
		qt.Check(t, inputs[len(inputs)-2:], qt.DeepEquals, []any{"token", f.newTarget(w).Token})
		qt.Check(t, f.WhyUnusable(w, now), qt.Equals, Unresponsive)
	}
}
