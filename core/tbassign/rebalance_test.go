package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// newMixedFixture returns workers that each run two tasks of image "soft", which best-effort
// image "bad" harms, and two of image "tough", which it does not harm.
func newMixedFixture(t *testing.T, workers int) *fixture {
	b := newFixture(t, workers)
	for i := range workers {
		for _, image := range []string{"soft", "tough", "soft", "tough"} {
			s := longRunningStep(1, image)
			s.Need = resources(7)
			id := fmt.Sprintf("%s%d-%d", image, i, len(b.state.Jobs))
			b.submit("watch", id, s)
			c := tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: id}, Run: 1, Worker: fmt.Sprintf("w%02d", i), Incarnation: 1}}}
			b.state.Apply(b.now.UnixMilli(), c)
			b.fleet.HandleApplied(b.now, b.state, c)
		}
	}
	b.learnSlopes([]string{"soft", "tough"}, []string{"bad", "good"}, map[string][]string{"soft": {"bad"}})
	b.advance(10 * time.Second)
	return b
}

// advance advances the clock and then polls all workers; all runs are executing.
func (b *fixture) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	for _, w := range b.fleet.Workers() {
		b.poll(w.ID, func(s *tbflow.Step, _ *tbfleet.Run) int64 { return 20 })
	}
}

// executeMoves records that the runs that should move have stopped, and makes a plan.
func (b *fixture) executeMoves(moves []Move) {
	for _, m := range moves {
		task := b.state.Jobs[m.Ref.Job].Task(m.Ref)
		c := tbflow.RecordEnds{Worker: m.From, Incarnation: 1, Ends: []tbflow.End{{Ref: m.Ref, Run: task.Run, Kind: tbflow.EndStopped}}}
		b.state.Apply(b.now.UnixMilli(), c)
		b.fleet.HandleApplied(b.now, b.state, c)
	}
	b.plan()
}

// Every worker has long-running tasks that "bad" harms, though half of the workers would be
// enough for all of them. While work of "bad" is waiting, long-running tasks are swapped until
// half of the workers suit it. Without moves, no worker ever did.
func TestRebalancingFreesInstancesForHarmfulImages(t *testing.T) {
	b := newMixedFixture(t, 6)
	b.submit("fill", "f", bestEffortStep(200, "bad"))
	for range 12 {
		moves := b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner)
		b.executeMoves(moves)
		for _, m := range moves {
			qt.Check(t, b.state.Jobs[m.Ref.Job].Task(m.Ref).Worker, qt.Equals, m.To)
		}
		b.advance(1500 * time.Millisecond)
	}
	qt.Check(t, b.workersWithout("soft"), qt.Equals, 3)
	for _, j := range b.state.Active() {
		if j.Steps[0].LongRunning {
			qt.Check(t, j.Tasks[0][0][0].Phase, qt.Equals, tbflow.TaskAssigned)
		}
	}
}

// No task moves while no work is waiting, or for work that harms no long-running image.
func TestNoMovesWithoutHarmfulBacklog(t *testing.T) {
	b := newMixedFixture(t, 6)
	qt.Check(t, b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner), qt.HasLen, 0)
	b.submit("fill", "f", bestEffortStep(20, "good"))
	b.advance(2 * time.Second)
	qt.Check(t, b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner), qt.HasLen, 0)
}

// Two tasks of one step never move at once, and none moves while another one is not running.
func TestOnlyOneTaskOfAStepMovesAtATime(t *testing.T) {
	b := newFixture(t, 4)
	for i, image := range []string{"soft", "tough"} {
		s := longRunningStep(8, image)
		s.Need = resources(7)
		s.SpreadLimit = 2
		b.submit("watch", fmt.Sprintf("w%d", i), s)
		b.plan()
	}
	b.learnSlopes([]string{"soft", "tough"}, []string{"bad"}, map[string][]string{"soft": {"bad"}})
	b.submit("fill", "f", bestEffortStep(200, "bad"))
	// Each worker has two tasks of both steps, and their spread limits keep them there.
	b.advance(10 * time.Second)
	qt.Check(t, b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner), qt.HasLen, 0)
	for _, j := range b.state.Jobs {
		j.Steps[0].SpreadLimit = 0
	}
	b.advance(2 * time.Second)
	moves := b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner)
	jobs := map[string]int{}
	for _, m := range moves {
		jobs[m.Ref.Job]++
	}
	qt.Check(t, jobs, qt.DeepEquals, map[string]int{"w0": 1, "w1": 1})
	b.executeMoves(moves)
	b.now = b.now.Add(2 * time.Second)
	// The moved tasks have not been reported as running again.
	qt.Check(t, b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner), qt.HasLen, 0)
}

// Capacity reserved for a task that is being moved is not given to another task.
func TestCapacityForMovingTaskIsReserved(t *testing.T) {
	b := newMixedFixture(t, 2)
	b.submit("fill", "f", bestEffortStep(200, "bad"))
	moves := b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner)
	qt.Assert(t, moves, qt.HasLen, 2)
	b.submit("short", "s", tbflow.Step{Count: 2, Need: resources(7), Estimate: time.Second})
	b.executeMoves(moves[:1])
	qt.Check(t, b.state.Jobs["s"].Tasks[0][0][0].Phase, qt.Equals, tbflow.TaskWaiting)
	b.executeMoves(moves[1:])
	for _, m := range moves {
		qt.Check(t, b.state.Jobs[m.Ref.Job].Task(m.Ref).Worker, qt.Equals, m.To)
	}
}

// A leader under load records the stop of a moving task more than a second after it decided on
// the move. The reserved capacity used to be given away by then, and the task did not run for
// ten seconds.
func TestReservationOutlastsDelayedStop(t *testing.T) {
	b := newMixedFixture(t, 2)
	b.submit("fill", "f", bestEffortStep(200, "bad"))
	moves := b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner)
	qt.Assert(t, moves, qt.HasLen, 2)
	b.submit("short", "s", tbflow.Step{Count: 2, Need: resources(7), Estimate: time.Second})
	for _, m := range moves {
		b.advance(1300 * time.Millisecond)
		b.executeMoves([]Move{m})
		qt.Check(t, b.state.Jobs["s"].Tasks[0][0][0].Phase, qt.Equals, tbflow.TaskWaiting)
	}
	for _, m := range moves {
		qt.Check(t, b.state.Jobs[m.Ref.Job].Task(m.Ref).Worker, qt.Equals, m.To)
	}
}

// One task of a swap never stops. The other one returns to the worker that it left.
func TestFailedSwapReleasesBothReservations(t *testing.T) {
	b := newMixedFixture(t, 2)
	b.submit("fill", "f", bestEffortStep(200, "bad"))
	moves := b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner)
	qt.Assert(t, moves, qt.HasLen, 2)
	b.executeMoves(moves[:1])
	task := b.state.Jobs[moves[0].Ref.Job].Task(moves[0].Ref)
	qt.Check(t, task.Phase, qt.Equals, tbflow.TaskWaiting)
	b.advance(restartTimeout + 100*time.Millisecond)
	b.plan()
	qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, task.Worker, qt.Equals, moves[0].From)
	// It is running again, so no capacity is reserved for it any more.
	qt.Check(t, b.rebalancer.reservedWorker(b.now, b.state, moves[0].Ref), qt.Equals, "")
}

// Moves took longer than one round, and the next round used to reserve the same capacity for
// another task; all but one of them found it taken, once five tasks in six seconds.
func TestConcurrentRoundsDoNotReuseWorkersInMoves(t *testing.T) {
	b := newMixedFixture(t, 6)
	b.submit("fill", "f", bestEffortStep(400, "bad"))
	inEarlierRounds := map[string]bool{}
	total := 0
	for range 3 {
		moves := b.rebalancer.PlanMoves(b.now, b.state, b.fleet, b.learner)
		total += len(moves)
		round := map[string]bool{}
		for _, m := range moves {
			qt.Check(t, inEarlierRounds[m.From] || inEarlierRounds[m.To], qt.IsFalse, qt.Commentf("%s to %s", m.From, m.To))
			round[m.From], round[m.To] = true, true
		}
		for w := range round {
			inEarlierRounds[w] = true
		}
		b.advance(1100 * time.Millisecond)
	}
	qt.Check(t, total > 0, qt.IsTrue)
}

// While a task of a step with a spread limit is being moved, another task of the step fails and
// waits as well. It must not start on the worker that is reserved for the moving task.
// Simulations with random faults (hunt-8551-19) found a second task of a step on a worker where
// one was allowed.
func TestReservationCountsTowardsSpreadLimit(t *testing.T) {
	for _, failingHasHigherIndex := range []bool{true, false} {
		b := newFixture(t, 3)
		s := longRunningStep(3, "soft")
		s.SpreadLimit = 1
		b.submit("watch", "spread", s)
		b.plan()
		tasks := b.state.Jobs["spread"].Tasks[0][0]
		moving, failing := tbflow.TaskRef{Job: "spread", Index: 2}, tbflow.TaskRef{Job: "spread", Index: 1}
		if failingHasHigherIndex {
			moving, failing = failing, moving
		}
		// The moving task's reservation is on the worker of the failed one.
		to := tasks[failing.Index].Worker
		b.rebalancer.reservations[moving] = reservation{worker: to, run: 1, stopDeadline: b.now.Add(time.Second), partner: moving}
		for _, ref := range []tbflow.TaskRef{failing, moving} {
			c := tbflow.RecordEnds{Worker: tasks[ref.Index].Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: ref, Run: 1, Kind: tbflow.EndStopped}}}
			b.state.Apply(b.now.UnixMilli(), c)
			b.fleet.HandleApplied(b.now, b.state, c)
			b.plan()
		}
		perWorker := map[string]int{}
		for i := range tasks {
			if tasks[i].Phase == tbflow.TaskAssigned {
				perWorker[tasks[i].Worker]++
			}
		}
		for worker, n := range perWorker {
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", worker))
		}
	}
}
