package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Guards against best-effort tasks that request more processors than any worker leaves unused and never start.
func TestBestEffortTaskThatRequestsMoreThanAnyWorkerHasStarts(t *testing.T) {
	watch, busy := longRunningStep(4, "a"), shortTasks(4, 20)
	watch.SpreadLimit, busy.SpreadLimit, busy.Estimate = 1, 1, time.Minute
	for name, other := range map[string]*tbflow.Step{"empty workers": nil, "long-running tasks": &watch, "short tasks": &busy} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, 4, Features{})
			if other != nil {
				r.submit("watch", "other", *other)
				r.advance(2 * time.Second)
				r.advance(replayTick)
				qt.Assert(t, r.state.Jobs["other"].AssignedTasks(0, 0), qt.Equals, 4)
			}
			large := bestEffortStep(2, "x")
			large.Need.MilliProcessors = 64_000
			r.submit("fill", "large", large)
			for range 2 * headroomWaitMs / 50 {
				r.advance(replayTick)
			}
			qt.Check(t, r.state.Jobs["large"].AssignedTasks(0, 0), qt.Equals, 2)
		})
	}
}

// Guards against best-effort work that waits for as long as bursts of short tasks come, although these use a tenth of the
// class.
func TestBurstsOfShortTasksDoNotHoldBestEffortWork(t *testing.T) {
	b := newBalancedFixture(t, 4)
	begin := b.now
	jobs := 0
	startedAt, _ := b.playSteps(begin.Add(20*time.Second), func() {
		if b.now.Sub(begin)%(1400*time.Millisecond) == 0 {
			step := balancedStep(32)
			step.Estimate = 100 * time.Millisecond
			b.submit("short", fmt.Sprintf("s%d", jobs), step)
			jobs++
		}
		if b.now.Equal(begin.Add(5 * time.Second)) {
			b.submit("fill", "f", balancedBestEffortStep())
		}
	})
	qt.Check(t, startedAt.Sub(begin) < 8*time.Second, qt.IsTrue, qt.Commentf("started after %s", startedAt.Sub(begin)))
}

// Guards against best-effort work that waits for as long as every worker has a long-running task that it would slow down.
// The speed of the task is adjusted once it runs.
func TestBestEffortTaskStartsBesideSensitiveTasksOfAClassWithRoom(t *testing.T) {
	for name, use := range map[string]float64{"room": 4, "no room": 20} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 3)
			watch := longRunningStep(3, "a")
			watch.Need, watch.SpreadLimit = resources(use), 1
			b.submit("watch", "w", watch)
			b.planAndCommit()
			b.now = b.now.Add(2 * time.Second)
			b.commit(tbflow.PutConfig{})
			b.planAndCommit()
			b.learner.RestoreInterference([]tbflow.Interference{{LongRunningImage: "a", BestEffortImage: "x", Slope: -50}})
			b.submit("fill", "f", bestEffortStep(1, "x"))
			qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
			b.now = b.now.Add(2 * headroomWaitMs * time.Millisecond)
			b.commit(tbflow.PutConfig{})
			started := len(b.planAndCommit())
			qt.Check(t, started, qt.Equals, map[string]int{"room": 1, "no room": 0}[name])
		})
	}
}

// Guards against a reservation on the only worker of a class, which kept small tasks waiting while a run lasted for
// longer than expected.
func TestReservationKeepsNoRoomInAClassWithRoom(t *testing.T) {
	r := newReplay(t, 1, Features{LookAhead: true})
	r.submit("short", "running", tbflow.Step{Count: 1, Need: resources(10), Estimate: time.Second})
	r.advance(replayTick)
	r.submit("short", "large", tbflow.Step{Count: 1, Need: resources(30), Estimate: 10 * time.Second})
	r.advance(replayTick)
	qt.Check(t, r.learner.lookAhead.reserved, qt.HasLen, 1)
	r.submit("short", "small", tbflow.Step{Count: 1, Need: resources(4), Estimate: 5 * time.Second})
	r.advance(replayTick)
	qt.Check(t, r.state.Jobs["small"].AssignedTasks(0, 0), qt.Equals, 1)
}
