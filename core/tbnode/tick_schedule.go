package tbnode

import "time"

// minTickDelay is the shortest time between two ticks.
const minTickDelay = time.Millisecond

// TickSchedule says when a node has to be ticked next. The first tick of the zero TickSchedule is due at once.
//
// An event loop that waits for events or a timer, and resets the timer after each event, never ticks while events
// are always queued. A TickSchedule is therefore asked after the events of each pass, and events do not put a due tick
// off.
type TickSchedule struct {
	due time.Time
}

// IsDue reports whether the node has to be ticked now.
func (s *TickSchedule) IsDue(now time.Time) bool { return !now.Before(s.due) }

// Due returns when the node has to be ticked next.
func (s *TickSchedule) Due() time.Time { return s.due }

// EndPass ends a pass of the event loop, in which the node was ticked or only handled events. next is Node.NextDue.
func (s *TickSchedule) EndPass(now, next time.Time, ticked bool) {
	if earliest := now.Add(minTickDelay); next.Before(earliest) {
		next = earliest
	}
	if ticked || next.Before(s.due) {
		s.due = next
	}
}
