package tbflow

import "time"

// The state's time is the newest time of any batch of commands. It stands still while nothing is
// committed, so a decision of the leader must not wait for it: in a system with nothing else to commit,
// the wait would never end. TimeAt continues the state's time between commits. All replicas still agree,
// because commands carry the times that replicas have to agree on.

// timeAnchor is a reading of the leader's clock and the state's time at that moment.
type timeAnchor struct {
	at      time.Time
	stateMs int64
}

// AnchorTime records that the state's time is atLeastMs or NowMs at now. A new leader calls it before its
// first decision: if an earlier leader's clock was ahead, TimeAt would otherwise stand still until the new
// leader's clock has caught up.
func (s *State) AnchorTime(now time.Time, atLeastMs int64) {
	s.anchor = timeAnchor{at: now, stateMs: max(s.NowMs, atLeastMs)}
}

// TimeAt returns the state's time at now, in milliseconds since 1970. It never is before NowMs. After
// AnchorTime it advances with the leader's clock, even if that clock is behind the state's time.
func (s *State) TimeAt(now time.Time) int64 {
	ms := max(s.NowMs, now.UnixMilli())
	if !s.anchor.at.IsZero() {
		ms = max(ms, s.anchor.stateMs+now.Sub(s.anchor.at).Milliseconds())
	}
	return ms
}

// IsDue reports whether an occurrence of a job may start at now. Occurrences of scheduled jobs are due by
// the leader's own clock, because the state's time may be ahead of all present clocks for ever.
func (j *Job) IsDue(occurrence int, now time.Time) bool {
	return j.Repeat == 0 || j.DueMs(occurrence) <= now.UnixMilli()
}
