package tbassign

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// windowAfter returns the window after changes under the same conditions. The shortest answer takes 5 ms.
func windowAfter(changes int, age, answerTime time.Duration, isLimiting bool) float64 {
	w := startWindow{size: 200}
	now := time.UnixMilli(0)
	for range changes {
		w.observeEvents(10, 10*age)
		w.isLimiting = isLimiting
		w.update(now, answerTime, 5*time.Millisecond, 400*time.Millisecond, 250*time.Millisecond)
		now = now.Add(answerTime)
	}
	return w.size
}

func TestWindowGrowsWhileItLimitsAndNothingIsLate(t *testing.T) {
	grown := windowAfter(5, time.Millisecond, 10*time.Millisecond, true)
	qt.Check(t, grown > 3000, qt.IsTrue, qt.Commentf("%.0f", grown))
	// Starts that take longer to be answered let the window grow less in a change, but not less far.
	grown = windowAfter(5, time.Millisecond, 50*time.Millisecond, true)
	qt.Check(t, grown > 1000, qt.IsTrue, qt.Commentf("%.0f", grown))
}

func TestWindowStaysWhileItDoesNotLimit(t *testing.T) {
	qt.Check(t, windowAfter(5, time.Millisecond, 10*time.Millisecond, false), qt.Equals, 200.0)
}

func TestWindowShrinksWhileEventsOrAnswersAreLate(t *testing.T) {
	late := windowAfter(5, 80*time.Millisecond, 10*time.Millisecond, true)
	qt.Check(t, late < 10, qt.IsTrue, qt.Commentf("%.0f", late))
	late = windowAfter(5, time.Millisecond, 300*time.Millisecond, true)
	qt.Check(t, late < 10, qt.IsTrue, qt.Commentf("%.0f", late))
	// Some starts stay under way, so that it is seen when the pressure has gone.
	qt.Check(t, windowAfter(50, time.Second, 300*time.Millisecond, true), qt.Equals, float64(minWindow))
}

// While best-effort starts make answers late, however long that lasts, the window keeps the lateness near its limit, a
// quarter of the rest of the order timeout.
func TestWindowFollowsTheLoadThatStartsCause(t *testing.T) {
	const shortest, limit = 5 * time.Millisecond, 395 * time.Millisecond / answerTimeShare
	for _, perStart := range []time.Duration{100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		w := startWindow{size: 200}
		now := time.UnixMilli(0)
		for range 1000 {
			w.isLimiting = true
			answerTime := shortest + time.Duration(w.size)*perStart
			w.update(now, answerTime, shortest, 400*time.Millisecond, 250*time.Millisecond)
			qt.Assert(t, now.Before(time.UnixMilli(5000)) || answerTime <= 2*limit, qt.IsTrue, qt.Commentf("%v for each start: answers take %v", perStart, answerTime))
			now = now.Add(answerTime)
		}
		qt.Check(t, w.size > float64(limit/perStart)/2, qt.IsTrue, qt.Commentf("%v for each start: %.0f", perStart, w.size))
	}
}

// The effect of a change shows after an answer time. Until then, late events must not shrink the window again.
func TestWindowChangesOncePerAnswerTime(t *testing.T) {
	w := startWindow{size: 200}
	now := time.UnixMilli(0)
	for range 10 {
		w.observeEvents(10, 10*time.Second)
		w.update(now, 50*time.Millisecond, 5*time.Millisecond, 400*time.Millisecond, 250*time.Millisecond)
		now = now.Add(time.Millisecond)
	}
	qt.Check(t, w.size, qt.Equals, 100.0)
}

// Workers that are far away take long to answer, however few starts are under way.
func TestWindowGrowsAlthoughWorkersAreFarAway(t *testing.T) {
	w := startWindow{size: 200}
	now := time.UnixMilli(0)
	for range 5 {
		w.isLimiting = true
		w.update(now, 210*time.Millisecond, 200*time.Millisecond, 400*time.Millisecond, 250*time.Millisecond)
		now = now.Add(210 * time.Millisecond)
	}
	qt.Check(t, w.size > 1000, qt.IsTrue, qt.Commentf("%.0f", w.size))
}

// A plan during which the process was preempted says nothing about the next ones.
func TestOneSlowPlanDoesNotDelayTheNextOnes(t *testing.T) {
	var p Planner
	p.ObserveLoad(Load{PlanTime: 2 * time.Millisecond})
	p.ObserveLoad(Load{PlanTime: 600 * time.Millisecond})
	qt.Check(t, p.planTime(), qt.Equals, 2*time.Millisecond)
	p.ObserveLoad(Load{PlanTime: 600 * time.Millisecond})
	qt.Check(t, p.planTime(), qt.Equals, 600*time.Millisecond)
}
