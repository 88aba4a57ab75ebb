package tbassign

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// newTestColocatedTasks returns one long-running task with the given baseline margin beside one
// best-effort image. The image requests the given number of processors on a worker with 32.
func newTestColocatedTasks(baseline, slope, processors float64) *colocatedTasks {
	l := NewLearner()
	l.RestoreInterference([]tbflow.Interference{{LongRunningImage: "watch", BestEffortImage: "x", Slope: slope}})
	return &colocatedTasks{
		learner: l, latencyTasks: []latencyTask{{image: "watch", baselineMargin: baseline}},
		bestEffortLoads: []imageLoad{{image: "x", requestedShare: processors / 32, requestedProcessors: processors}},
	}
}

// The load of a long-running task rises while the same harmful best-effort work runs beside it.
// The work runs at full speed under low load, is slowed down as the load rises, and is suspended
// at the highest load.
func TestSpeedFollowsLoadOfLongRunningTasks(t *testing.T) {
	lastSpeed := 2.0
	for _, baseline := range []float64{3, 2, 1.6, 1.2} {
		c := newTestColocatedTasks(baseline, -7, 6)
		c.optimizeSpeeds()
		qt.Check(t, c.bestEffortLoads[0].speed < lastSpeed || c.bestEffortLoads[0].speed == 0, qt.IsTrue,
			qt.Commentf("margin %v: speed %v", baseline, c.bestEffortLoads[0].speed))
		lastSpeed = c.bestEffortLoads[0].speed
	}
	qt.Check(t, lastSpeed, qt.Equals, 0.0)
	c := newTestColocatedTasks(3, -7, 6)
	c.optimizeSpeeds()
	qt.Check(t, c.bestEffortLoads[0].speed, qt.Equals, 1.0)
}

// Work on sixteen processors mildly harms one long-running task, which is over its target.
// Suspending the work would cost more than the suspension gains, so the work runs at full speed. In
// the second case, four tasks are close to their targets. The work is then slowed down, but only as
// much as is needed to keep them below their targets.
func TestSingleViolationDoesNotSuspendMildlyHarmfulWork(t *testing.T) {
	c := newTestColocatedTasks(0.7, -0.5, 16)
	c.optimizeSpeeds()
	qt.Check(t, c.bestEffortLoads[0].speed, qt.Equals, 1.0)
	c = newTestColocatedTasks(1.5, -0.9, 16)
	c.latencyTasks = append(c.latencyTasks, c.latencyTasks[0], c.latencyTasks[0], c.latencyTasks[0])
	c.optimizeSpeeds()
	qt.Check(t, c.bestEffortLoads[0].speed < 1, qt.IsTrue)
	qt.Check(t, c.bestEffortLoads[0].speed >= 0.5, qt.IsTrue, qt.Commentf("speed %v", c.bestEffortLoads[0].speed))
	qt.Check(t, c.expectedMargin(c.latencyTasks[0]) > 1, qt.IsTrue)
}

// The interference of a best-effort image is stronger than its learned slope for some seconds. The
// difference is attributed to the best-effort work, so the work is slowed down more.
func TestUnexplainedInterferenceSlowsBestEffortWork(t *testing.T) {
	c := newTestColocatedTasks(minBaselineMargin, -0.5, 6)
	c.optimizeSpeeds()
	expectedSpeed := c.bestEffortLoads[0].speed
	c = newTestColocatedTasks(minBaselineMargin, -0.5, 6)
	c.latencyTasks[0].unexplainedSlope = 5
	c.optimizeSpeeds()
	qt.Check(t, c.bestEffortLoads[0].speed < expectedSpeed, qt.IsTrue,
		qt.Commentf("speed %v, without unexplained interference %v", c.bestEffortLoads[0].speed, expectedSpeed))
}
