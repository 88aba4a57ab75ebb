package tbassign

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// testContention returns one lasting task with a margin beside one filling image.
func testContention(clean, slope, processors float64) *contention {
	l := NewLearner()
	l.Adopt([]tbflow.Slope{{Lasting: "watch", Filling: "x", Mean: slope}})
	return &contention{
		learner: l, tasks: []lastingTail{{image: "watch", clean: clean}},
		fills: []fillingShare{{image: "x", share: processors / 32, processors: processors}},
	}
}

// A lasting task's load swings: the same harmful filling work goes at full speed in its
// trough, is slowed on the way up and stands still at the peak.
func TestPaceFollowsTheLoadOfLastingTasks(t *testing.T) {
	last := 2.0
	for _, clean := range []float64{3, 2, 1.6, 1.2} {
		b := testContention(clean, -7, 6)
		b.optimize()
		qt.Check(t, b.fills[0].pace < last || b.fills[0].pace == 0, qt.IsTrue, qt.Commentf("margin %v: pace %v", clean, b.fills[0].pace))
		last = b.fills[0].pace
	}
	qt.Check(t, last, qt.Equals, 0.0)
	b := testContention(3, -7, 6)
	b.optimize()
	qt.Check(t, b.fills[0].pace, qt.Equals, 1.0)
}

// One lasting task is over its target beside sixteen processors of work that harm it
// mildly. Standing still would cost more than it gives. Four such tasks slow the work as
// far as it takes to bring them below their targets.
func TestOneTailDoesNotStopMuchMildWork(t *testing.T) {
	b := testContention(0.7, -0.5, 16)
	b.optimize()
	qt.Check(t, b.fills[0].pace, qt.Equals, 1.0)
	b = testContention(1.5, -0.9, 16)
	b.tasks = append(b.tasks, b.tasks[0], b.tasks[0], b.tasks[0])
	b.optimize()
	qt.Check(t, b.fills[0].pace < 1, qt.IsTrue)
	qt.Check(t, b.fills[0].pace >= 0.5, qt.IsTrue, qt.Commentf("pace %v", b.fills[0].pace))
	qt.Check(t, b.margin(b.tasks[0]) > 1, qt.IsTrue)
}

// The harm of a filling image rises for some seconds above what was learned. What no
// slope explains is put down to the filling work, so that it slows down.
func TestHarmBeyondTheModelSlowsFillingWork(t *testing.T) {
	b := testContention(aloneMargin, -0.5, 6)
	b.optimize()
	free := b.fills[0].pace
	b = testContention(aloneMargin, -0.5, 6)
	b.tasks[0].unexplained = 5
	b.optimize()
	qt.Check(t, b.fills[0].pace < free, qt.IsTrue, qt.Commentf("pace %v, without unexplained harm %v", b.fills[0].pace, free))
}
