package tbflow

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against jobs that are given up because their machines lost power: all workers crash at the same moment, again and
// again, whatever they execute. Each has a run that has just begun.
func TestJobIsNotGivenUpWhenAllWorkersCrashTogether(t *testing.T) {
	const workers, losses = 20, maxCrashes
	var jobs []string
	for i := range workers {
		jobs = append(jobs, fmt.Sprintf("j%d", i))
	}
	fx := newCrashFixture(t, jobs...)
	for n := 1; n <= losses; n++ {
		for i, id := range jobs {
			fx.assign(id, fmt.Sprintf("w%d.%d", i, n))
		}
		for i, id := range jobs {
			// A task starts on another machine after each loss.
			fx.crash(fmt.Sprintf("w%d.%d", i, n), fmt.Sprintf("a%d", (i+n)%workers), 0, id)
		}
		failed := 0
		for _, id := range jobs {
			if fx.s.Jobs[id].Phase == Failed {
				failed++
			}
		}
		qt.Assert(t, failed, qt.Equals, 0, qt.Commentf("jobs given up after %d losses of power", n))
	}
}
