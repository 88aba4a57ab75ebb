package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// observePlans records full plans, one every 20 ms, with a number of starts each. Starts are answered after 100 ms.
func observePlans(r *startRate, now time.Time, plans int, isLimiting bool, starts int, window float64) time.Time {
	for range plans {
		r.observe(now, isLimiting, starts, window, 100*time.Millisecond)
		now = now.Add(20 * time.Millisecond)
	}
	return now
}

func TestStartRate(t *testing.T) {
	var r startRate
	now := time.UnixMilli(1_700_000_000_000)
	// 50 starts a second were all that was asked for.
	now = observePlans(&r, now, 100, false, 1, 100)
	qt.Check(t, r.timeFor(1000), qt.Equals, time.Duration(0))
	// The window of 100 allows 1,000 starts a second, and 500 were observed.
	now = observePlans(&r, now, 100, true, 10, 100)
	qt.Check(t, r.timeFor(1000), qt.Equals, time.Second)
	// In a moment with a small window, the observed rate counts: 2 s at 500 a second and 0.2 s at 100.
	now = observePlans(&r, now, 10, true, 2, 8)
	qt.Check(t, r.timeFor(1000) > 2*time.Second, qt.IsTrue)
	qt.Check(t, r.timeFor(1000) < 2300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", r.timeFor(1000)))
	// Once the leader has been slow for two periods, the earlier rate is forgotten.
	now = observePlans(&r, now, 1000, true, 2, 8)
	qt.Check(t, r.timeFor(1000), qt.Equals, 10*time.Second)
	observePlans(&r, now, 1, false, 2, 8)
	qt.Check(t, r.timeFor(1000), qt.Equals, time.Duration(0))
}

// 100 jobs of 40 tasks wait although the workers have room for all of them. A job is refused if the leader makes starts too
// slowly for it, and accepted if it makes them in time or if the window does not limit them.
func TestJobIsRefusedIfStartsAreTooSlow(t *testing.T) {
	for _, c := range []struct {
		window     int
		isAccepted bool
		retryAfter time.Duration
	}{{20, true, 0}, {8, false, 10 * time.Second}, {4, false, 15 * time.Second}} {
		r := newReplay(t, 1000, Features{PredictedAdmission: true})
		for i := range 100 {
			r.submit("fill", fmt.Sprintf("f%02d", i), bestEffortStep(40, "x"))
		}
		p := Planner{window: startWindow{size: float64(c.window), nextChangeAt: r.now.Add(time.Hour)}}
		plan := p.NextPlan(r.now, r.state, r.fleet, r.learner, r.rebalancer)
		qt.Assert(t, plan.Runs, qt.HasLen, c.window)
		step := bestEffortStep(40, "x")
		qt.Check(t, r.ask("fill", "unlimited", step), qt.IsTrue, qt.Commentf("no answer time is known"))
		r.learner.startRate.observe(r.now, true, c.window, float64(c.window), 50*time.Millisecond)
		qt.Check(t, r.ask("fill", "next", step), qt.Equals, c.isAccepted, qt.Commentf("window %d", c.window))
		if a := r.refusals["next"]; !c.isAccepted {
			qt.Check(t, a.Reason, qt.Equals, StartsTooLate)
			qt.Check(t, a.RetryAfter >= c.retryAfter, qt.IsTrue, qt.Commentf("%s", a.RetryAfter))
			qt.Check(t, a.RetryAfter <= 2*c.retryAfter, qt.IsTrue, qt.Commentf("%s", a.RetryAfter))
		}
		qt.Check(t, r.ask("short", "short", shortTasks(2, 2)), qt.IsTrue)
	}
}
