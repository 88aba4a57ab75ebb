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
	// basePeriod is how long the answer time at the smallest window counts. It is the period of the shortest one.
	basePeriod = 10 * time.Second
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
	// isLate is true if the events before the last change were so old that the leader has to save work.
	isLate bool
	// base is the usual answer time while the window was at its minimum, when starts hardly delay each other, until
	// baseEndsAt.
	base       time.Duration
	baseEndsAt time.Time
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
	switch {
	case w.size <= minWindow:
		w.base, w.baseEndsAt = max(w.base, answerTime), now.Add(basePeriod)
	case now.After(w.baseEndsAt):
		w.base = 0
	}
	// Some workers may always be slower than others to answer.
	shortest = max(shortest, min(w.base, orderTimeout))
	pressure := float64((answerTime-shortest)*answerTimeShare) / float64(max(time.Millisecond, orderTimeout-shortest))
	agePressure := 0.0
	if w.events > 0 {
		age := w.ageSum / time.Duration(w.events)
		agePressure = float64(age*eventAgeShare) / float64(target)
	}
	w.isLate = agePressure > latePressure
	pressure = max(pressure, agePressure)
	switch {
	case pressure > 1:
		w.size = max(minWindow, w.size*max(maxDecrease, 1/pressure))
	case w.isLimiting:
		w.size *= 2 - pressure
	}
	w.nextChangeAt = now.Add(answerTime)
	w.events, w.ageSum, w.isLimiting = 0, 0, false
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
