package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Best-effort tasks use processors that short tasks may take back at once, but their memory stays occupied.
// A burst of them used to fill the memory of the workers with the most unused processors, which are those with
// room for short tasks.
func TestBestEffortTasksLeaveMemoryForShortTasks(t *testing.T) {
	b := newFixture(t, 20)
	shortStep := tbflow.Step{Count: 20, Need: tbresource.Amount{MilliProcessors: 10_000, MemoryMB: 30_000}, Estimate: 500 * time.Millisecond}
	b.submit("short", "s0", shortStep)
	short := b.planAndCommit()
	qt.Assert(t, short, qt.HasLen, 20)
	fill := bestEffortStep(20, "fill")
	fill.Need = tbresource.Amount{MilliProcessors: 3000, MemoryMB: 15_000}
	for i := range 20 {
		b.submit("fill", fmt.Sprintf("f%d", i), fill)
	}
	fillRuns := len(b.planAndCommit())
	for _, run := range short {
		b.commit(tbflow.RecordEnds{Worker: run.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: run.Ref, Run: run.Run, Kind: tbflow.EndDone}}})
	}
	b.planAndCommit()
	b.now = b.now.Add(100 * time.Millisecond)
	b.submit("short", "s1", shortStep)
	placed := 0
	for _, run := range b.planAndCommit() {
		if run.Ref.Job == "s1" {
			placed++
		}
	}
	t.Logf("%d best-effort runs beside the first short tasks, then %d of 20 short tasks placed", fillRuns, placed)
	qt.Check(t, placed, qt.Equals, 20)
	qt.Check(t, fillRuns >= 60, qt.IsTrue)
}
