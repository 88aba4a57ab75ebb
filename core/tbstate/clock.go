package tbstate

import "time"

// AnchorTime makes TimeAt count on from the state's time at now (see tbflow.State.AnchorTime).
func (s *State) AnchorTime(now time.Time) { s.Flow.AnchorTime(now, s.NowMs) }

// TimeAt returns the state's time at now, in milliseconds since 1970 (see tbflow.State.TimeAt). The
// leader's decisions use it instead of NowMs, which stands still while nothing is committed.
func (s *State) TimeAt(now time.Time) int64 { return max(s.NowMs, s.Flow.TimeAt(now)) }
