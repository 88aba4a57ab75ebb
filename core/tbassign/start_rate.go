package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// The window and the answer time of starts bound how many best-effort starts the leader makes in a second (Little's
// law), however much room there is. While the window keeps work waiting, the starts are the bottleneck, and not the
// processors of the workers.

// startRatePeriod is how long starts count at least. A burst of starts returns as a burst of ends that take the leader's
// time, so the period spans several run times. It is that of the shortest answer time.
const startRatePeriod = 10 * time.Second

// startRate measures the rate of best-effort starts while the window limits them.
type startRate struct {
	// isLimiting is true if the window has kept work waiting in the last full plan, and present is the rate that follows
	// from the window and the answer time, in starts per second.
	isLimiting bool
	present    float64
	lastPlanAt time.Time
	// current counts in the period that began at periodStart, and previous in the one before.
	current, previous startCount
	periodStart       time.Time
}

// startCount is the number of starts in the time in which the window was limiting.
type startCount struct {
	starts  int
	limited time.Duration
}

// observe records a full plan with a number of best-effort starts.
func (r *startRate) observe(now time.Time, isLimiting bool, starts int, window float64, answerTime time.Duration) {
	switch elapsed := now.Sub(r.periodStart); {
	case elapsed >= 2*startRatePeriod:
		r.current, r.previous, r.periodStart = startCount{}, startCount{}, now
	case elapsed >= startRatePeriod:
		r.current, r.previous, r.periodStart = startCount{}, r.current, now
	}
	if r.isLimiting {
		r.current.starts += starts
		r.current.limited += now.Sub(r.lastPlanAt)
	}
	r.isLimiting, r.present, r.lastPlanAt = isLimiting && answerTime > 0, 0, now
	if r.isLimiting {
		r.present = window / answerTime.Seconds()
	}
}

// timeFor returns the time that a number of starts takes, or 0 while the window does not limit them. A rate that rises
// counts at once, so that nothing is refused that may still be of use.
func (r *startRate) timeFor(starts int) time.Duration {
	if !r.isLimiting {
		return 0
	}
	rate := r.present
	if limited := r.current.limited + r.previous.limited; limited > 0 {
		rate = max(rate, float64(r.current.starts+r.previous.starts)/limited.Seconds())
	}
	return time.Duration(float64(starts) / rate * float64(time.Second))
}

// startsOf returns the number of best-effort starts that the tasks of a job need.
func startsOf(steps []tbflow.Step) int {
	sum := 0
	for i := range steps {
		if isWindowed(&steps[i]) {
			sum += steps[i].Count
		}
	}
	return sum
}

// startsAhead returns the number of best-effort starts that go before those of a new job.
func startsAhead(all []waitingWork, own waitingWork, lateStartMs int64) int {
	sum := 0
	for _, w := range all {
		if w.goesBefore(own, lateStartMs) {
			sum += w.starts
		}
	}
	return sum
}
