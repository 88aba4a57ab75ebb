package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Best-effort work may ask for more starts in a second than the leader, the relays and the workers can
// handle. What they can handle depends on their processors and on what else they do, so it is observed, as
// a congestion control based on delay does. While the leader's events are handled at once and starts are
// answered soon, more starts may be under way. Once events or answers are late, fewer may be, so that
// best-effort work is the first to wait.
//
// Answers may be late for other reasons, for example because the machines of the workers are slow. While the leader
// handles its events at once, answers that are late although the window is at its minimum are not late because of
// best-effort starts. Their time is the base from which lateness is counted from then on.

// Bounds of the window.
const (
	// initialWindow is the window of a new leader. minWindow keeps some starts under way, whose answers
	// show when the pressure has gone.
	initialWindow = 32
	minWindow     = 8
	// A step passes through the event queue three times until it starts: with its submission or the end of the
	// step before it, and twice with its commit. With events of a sixth of the target, that is half of it.
	eventAgeShare = 6
	// An order without an answer is unconfirmed after its timeout, and its run is stopped. What answers take
	// longer than the shortest one has to stay well below the rest of the timeout.
	answerTimeShare = 4
	// baseChanges is the number of changes for which the window has to be at its minimum until the lateness that
	// remains is a base. Best-effort starts that were under way before have been answered by then.
	baseChanges = 2
	// baseWeight is the weight of a shorter answer time in the base, so that a few fast answers among slow ones hardly
	// change it.
	baseWeight = 1.0 / 8
	// maxDecrease is the smallest factor of one change of the window.
	maxDecrease = 0.5
	// defaultTarget is the target while no queue has one.
	defaultTarget = time.Second
	// latePressure is the pressure of old events from which the leader is late. It saves work from then on, so
	// that best-effort starts need not wait yet.
	latePressure = 0.5
)

// startWindow is the number of best-effort starts that may be under way. Starts of other tasks are not
// bounded by it.
type startWindow struct {
	size float64
	// nextChangeAt is when the effect of the last change can be observed.
	nextChangeAt time.Time
	// ageSum is the sum of the ages of the events since the last change.
	ageSum time.Duration
	events int
	// answerBase is the usual answer time without late best-effort starts. It is 0 until the window has been at its
	// minimum.
	answerBase time.Duration
	// changesAtMin is the number of changes in a row that have left the window at its minimum although no event was
	// late. sizeBefore is the size before the decreases that have led there, and answerAtMin the longest answer time
	// since the first of them.
	changesAtMin int
	sizeBefore   float64
	answerAtMin  time.Duration
	// isLate is true if the events before the last change were so old that the leader has to save work.
	isLate bool
	// isLimiting is true if a plan since the last change has reached the limit that follows from the window.
	isLimiting bool
}

func (w *startWindow) observeEvents(events int, ageSum time.Duration) {
	w.events += events
	w.ageSum += ageSum
}

// update changes the window at most once per answer time. answerTime is the usual time until a start is answered,
// and shortest the shortest one. The pressure is above 1 if events or answers are late.
func (w *startWindow) update(now time.Time, answerTime, shortest, orderTimeout, target time.Duration) {
	if w.size == 0 {
		w.size = initialWindow
	}
	if now.Before(w.nextChangeAt) || answerTime == 0 {
		return
	}
	agePressure := 0.0
	if w.events > 0 {
		age := w.ageSum / time.Duration(w.events)
		agePressure = float64(age*eventAgeShare) / float64(target)
	}
	w.isLate = agePressure > latePressure
	if agePressure > 1 {
		w.changesAtMin = 0
	}
	w.updateBase(answerTime)
	base := max(shortest, w.answerBase)
	pressure := max(agePressure, float64((answerTime-base)*answerTimeShare)/float64(max(time.Millisecond, orderTimeout-base)))
	switch {
	case pressure > 1:
		w.sizeBefore = max(w.sizeBefore, w.size)
		w.size = max(minWindow, w.size*max(maxDecrease, 1/pressure))
	case w.isLimiting:
		w.size, w.sizeBefore = w.size*(2-pressure), 0
	default:
		w.sizeBefore = 0
	}
	w.changesAtMin++
	if w.size > minWindow {
		w.changesAtMin = 0
	}
	w.nextChangeAt = now.Add(answerTime)
	w.events, w.ageSum, w.isLimiting = 0, 0, false
}

// updateBase updates the answer time without late best-effort starts. If that is all that is left, the decreases of the
// window were of no use, and it gets the size back that it had before.
func (w *startWindow) updateBase(answerTime time.Duration) {
	if w.changesAtMin == 0 {
		w.answerAtMin = 0
	}
	w.answerAtMin = max(w.answerAtMin, answerTime)
	if w.changesAtMin >= baseChanges {
		w.answerBase = w.answerAtMin
		w.size, w.sizeBefore, w.changesAtMin = max(w.size, w.sizeBefore), 0, 0
	}
	w.answerBase -= time.Duration(baseWeight * float64(max(0, w.answerBase-answerTime)))
}

// room returns how many more best-effort starts may be under way.
func (w *startWindow) room(underWay int) int { return max(0, int(w.size)-underWay) }

// shortestTarget returns the shortest target of all queues.
func shortestTarget(c *tbflow.Config) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Queues {
		if t := c.Queues[i].Target; t > 0 && (shortest == 0 || t < shortest) {
			shortest = t
		}
	}
	if shortest == 0 {
		return defaultTarget
	}
	return shortest
}
