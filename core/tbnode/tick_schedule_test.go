package tbnode_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbnode"
)

func TestEventsDoNotPutTicksOff(t *testing.T) {
	var s tbnode.TickSchedule
	now := time.UnixMilli(1_700_000_000_000)
	qt.Check(t, s.IsDue(now), qt.IsTrue)
	const interval = 5 * time.Millisecond
	s.EndPass(now, now.Add(interval), true)
	// Each pass handles events and asks for a tick after interval.
	ticks := 0
	for range 100 {
		now = now.Add(2 * time.Millisecond)
		ticked := s.IsDue(now)
		if ticked {
			ticks++
		}
		s.EndPass(now, now.Add(interval), ticked)
	}
	qt.Check(t, ticks, qt.Equals, 33)
}

func TestEventsBringTicksForward(t *testing.T) {
	var s tbnode.TickSchedule
	now := time.UnixMilli(1_700_000_000_000)
	s.EndPass(now, now.Add(time.Second), true)
	s.EndPass(now, now.Add(10*time.Millisecond), false)
	qt.Check(t, s.Due(), qt.Equals, now.Add(10*time.Millisecond))
}

func TestTicksThatAreOverdueLeaveTimeForEvents(t *testing.T) {
	var s tbnode.TickSchedule
	now := time.UnixMilli(1_700_000_000_000)
	s.EndPass(now, now.Add(-time.Second), true)
	qt.Check(t, s.Due(), qt.Equals, now.Add(time.Millisecond))
}
