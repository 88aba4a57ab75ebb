package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// gapBench has instances of 32 processors with lasting tasks of 4 and 6, one job each, that
// leave gaps of 4.
func gapBench(t testing.TB, workers int) *bench {
	b := newBench(t, workers)
	for i := range workers {
		for _, processors := range []float64{4, 6, 6, 6, 6} {
			s := watcher(1, "a")
			s.Need = need(processors)
			b.startOn(fmt.Sprintf("w%02d", i), s)
		}
	}
	b.pass(10 * time.Second)
	return b
}

// startOn starts the only task of a new lasting job on a worker.
func (b *bench) startOn(worker string, s tbflow.Step) {
	id := fmt.Sprintf("l%d", len(b.state.Jobs))
	b.submit("watch", id, s)
	c := tbflow.Assign{Runs: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: id}, Run: 1, Worker: worker, Born: 1}}}
	b.state.Apply(b.now.UnixMilli(), c)
	b.fleet.Applied(b.now, b.state, c)
}

func (b *bench) short(id string, count int, processors float64) {
	b.submit("short", id, tbflow.Step{Count: count, Need: need(processors), Estimate: 500 * time.Millisecond})
}

// started counts the tasks of the first step of a job that have been assigned.
func (b *bench) started(id string) int {
	n := 0
	for _, t := range b.state.Jobs[id].Tasks[0][0] {
		if t.Phase == tbflow.TaskAssigned {
			n++
		}
	}
	return n
}

// join lets rounds pass; each ends the runs that should move and plans.
func (b *bench) join(rounds int) (moves []Move) {
	for range rounds {
		round := b.group.Joins(b.now, b.state, b.fleet, b.learn)
		b.carryOut(round)
		moves = append(moves, round...)
		b.pass(joinInterval)
	}
	return moves
}

// Eight instances have 32 processors free, 4 on each, and a short job of three tasks asks for
// 24. Without joined gaps none of its tasks ever started, and each lasting task stayed put.
func TestShortTasksGetTheRoomThatIsFreeInSmallGaps(t *testing.T) {
	b := gapBench(t, 8)
	b.short("s", 3, 8)
	qt.Assert(t, b.plan(), qt.HasLen, 0)
	moves := b.join(4)
	qt.Check(t, b.started("s"), qt.Equals, 3)
	// The smallest tasks went, one for each task of the job, and all are at work again.
	qt.Check(t, moves, qt.HasLen, 3)
	for _, m := range moves {
		task := b.state.Jobs[m.Ref.Job].Task(m.Ref)
		qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned)
		qt.Check(t, task.Worker, qt.Equals, m.To)
		qt.Check(t, b.state.StepOf(m.Ref).Need.MilliProcessors, qt.Equals, int64(4000))
	}
}

// A lasting task that lost its worker finds a gap in the same way.
func TestLastingTaskGetsTheRoomThatIsFreeInSmallGaps(t *testing.T) {
	b := gapBench(t, 8)
	s := watcher(1, "a")
	s.Need = need(8)
	b.submit("watch", "lost", s)
	b.join(12)
	qt.Check(t, b.started("lost"), qt.Equals, 1)
}

// Nothing moves while there is room, for filling work, or where no move makes a gap that is large enough.
func TestGapsStayWhereNoTaskNeedsThemJoined(t *testing.T) {
	b := gapBench(t, 8)
	b.short("fits", 8, 4)
	b.submit("fill", "f", filler(100, "x"))
	qt.Check(t, b.join(1), qt.HasLen, 0)
	b = gapBench(t, 8)
	b.short("huge", 1, 20)
	qt.Check(t, b.join(10), qt.HasLen, 0)
}

// A gap that a move is about to leave answers the task for which it was made; the next
// round does not make another one.
func TestGapsAreJoinedOnceForEachTask(t *testing.T) {
	b := gapBench(t, 8)
	b.short("s", 1, 8)
	qt.Check(t, b.group.Joins(b.now, b.state, b.fleet, b.learn), qt.HasLen, 1)
	for range 4 {
		b.pass(joinInterval)
		qt.Check(t, b.group.Joins(b.now, b.state, b.fleet, b.learn), qt.HasLen, 0)
	}
}

// A job may be cancelled while one of its tasks gives way; the next round counts on nothing of it.
func TestJobIsCancelledWhileATaskGivesWay(t *testing.T) {
	b := gapBench(t, 8)
	b.short("s", 1, 8)
	moves := b.group.Joins(b.now, b.state, b.fleet, b.learn)
	qt.Assert(t, moves, qt.HasLen, 1)
	b.state.Apply(b.now.UnixMilli(), tbflow.Cancel{ID: moves[0].Ref.Job, Host: "h", Path: "/watch/" + moves[0].Ref.Job})
	qt.Assert(t, b.state.Jobs[moves[0].Ref.Job].Phase, qt.Equals, tbflow.Cancelled)
	b.pass(joinInterval)
	qt.Check(t, b.group.Joins(b.now, b.state, b.fleet, b.learn), qt.HasLen, 1)
}

// However many tasks wait, few lasting tasks are on their way at once, and one of a step at most.
func TestFewTasksMoveAtOnceForLargerGaps(t *testing.T) {
	b := gapBench(t, 40)
	b.short("s", 60, 8)
	under := 0
	for range 20 {
		round := b.group.Joins(b.now, b.state, b.fleet, b.learn)
		qt.Check(t, len(round) <= joinsAtOnce, qt.IsTrue)
		under += len(round)
		b.pass(joinInterval)
	}
	qt.Check(t, under > 0 && under < leastJoins+joinsAtOnce, qt.IsTrue, qt.Commentf("%d", under))

	b = newBench(t, 8)
	s := watcher(40, "a")
	s.Need = need(5.8)
	b.submit("watch", "one", s)
	b.plan()
	b.pass(10 * time.Second)
	b.short("s", 8, 8)
	qt.Check(t, len(b.group.Joins(b.now, b.state, b.fleet, b.learn)) <= 1, qt.IsTrue)
}

// Spread limits and labels hold for a task that moves, and for the one that it makes room for.
func TestJoinedGapsKeepLimits(t *testing.T) {
	b := gapBench(t, 8)
	b.submit("short", "s", tbflow.Step{Count: 4, Need: need(8), SpreadLimit: 1, Estimate: 500 * time.Millisecond})
	b.submit("short", "labelled", tbflow.Step{Count: 1, Need: need(8), Label: "gpu", Estimate: 500 * time.Millisecond})
	b.join(8)
	qt.Check(t, b.started("s"), qt.Equals, 4)
	qt.Check(t, b.started("labelled"), qt.Equals, 0)
	at := map[string]int{}
	for _, task := range b.state.Jobs["s"].Tasks[0][0] {
		at[task.Worker]++
	}
	qt.Check(t, at, qt.HasLen, 4)
}

// BenchmarkJoins is a round of a busy day in which many tasks wait for larger gaps.
func BenchmarkJoins(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, rng := busyDay(b, workers)
			day.waitingSteps(rng, 200)
			for i := range 30 {
				day.short(fmt.Sprintf("large%d", i), 8, 7+float64(i%5))
			}
			moves := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				moves += len(NewRebalancer().Joins(day.now, day.state, day.fleet, day.learn))
			}
			b.ReportMetric(float64(moves)/float64(b.N), "moves/round")
		})
	}
}
