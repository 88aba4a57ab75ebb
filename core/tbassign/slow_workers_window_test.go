package tbassign

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// A job has to start within waitLimit while there is room for it.
	waitLimit = 3 * time.Second
	// waitingStarts is the number of tasks that wait, one for each worker of a large deployment.
	waitingStarts = 1800
)

// startsWithinLimit returns how many starts a window lets through within waitLimit, after it was used for a while. Each start
// is answered after answerTime, however many are under way.
func startsWithinLimit(answerTime, shortest time.Duration) int {
	var w startWindow
	now := time.UnixMilli(0)
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(15 * time.Millisecond) {
		w.isLimiting = w.size < waitingStarts
		w.observeEvents(10, 10*time.Millisecond)
		w.update(now, answerTime, shortest, 400*time.Millisecond, 250*time.Millisecond)
	}
	return int(w.size * waitLimit.Seconds() / answerTime.Seconds())
}

// Guards against a backlog of accepted best-effort work beside 1,800 idle workers: a few workers answer in 5 ms, most machines
// are slow, and answers take long whatever the window is.
func TestSlowWorkersDoNotCloseTheWindow(t *testing.T) {
	fast := startsWithinLimit(10*time.Millisecond, 5*time.Millisecond)
	qt.Assert(t, fast >= waitingStarts, qt.IsTrue, qt.Commentf("%d starts within %v", fast, waitLimit))
	slow := startsWithinLimit(250*time.Millisecond, 5*time.Millisecond)
	qt.Check(t, slow >= waitingStarts, qt.IsTrue, qt.Commentf("%d starts within %v while answers take 250 ms", slow, waitLimit))
}
