package tbstate

import (
	"fmt"
	"slices"
	"strings"
)

func (s *State) openSession(c OpenSession) Outcome {
	if s.Sessions[c.Session.Key] != nil {
		return Outcome{}
	}
	opened := c.Session
	opened.Changed = s.Applied
	s.Sessions[opened.Key] = &opened
	s.recordChange(SessionRecord, opened.Key)
	return Outcome{}
}

// closeSession removes a session and the grants of the session. Claims that the session still holds
// end with an unknown outcome.
func (s *State) closeSession(c CloseSession) Outcome {
	if s.Sessions[c.Key] == nil {
		return Outcome{}
	}
	delete(s.Sessions, c.Key)
	s.recordChange(SessionRecord, c.Key)
	for _, id := range s.RunnerIDs() {
		s.dropGrant(s.Runners[id], c.Key)
	}
	for _, claim := range s.Claims {
		if claim.Session == c.Key && claim.Status == ClaimHeld {
			s.endClaim(claim, ClaimOutcomeUnknown, nil, string(EntryLost))
		}
	}
	return Outcome{}
}

func (s *State) dropGrant(r *Runner, session string) {
	i := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Session == session })
	if i >= 0 {
		r.Grants = slices.Delete(r.Grants, i, i+1)
		s.recordChange(RunnerRecord, r.ID)
	}
}

// recordRunnerChange records a change of a runner that does not concern its grants. Each grant has
// a Changed index of its own.
func (s *State) recordRunnerChange(r *Runner) {
	r.Changed = s.Applied
	s.recordChange(RunnerRecord, r.ID)
}

func (s *State) announceRunner(c AnnounceRunner) Outcome {
	existing := s.Runners[c.Runner.ID]
	if existing != nil && c.Runner.Incarnation < existing.Incarnation {
		return Outcome{Reason: StaleIncarnation}
	}
	if existing == nil || c.Runner.Incarnation > existing.Incarnation {
		added := c.Runner
		added.Grants = nil
		s.Runners[added.ID] = &added
		s.recordRunnerChange(&added)
		return Outcome{}
	}
	if existing.Phase == c.Runner.Phase || existing.Phase == RunnerDraining {
		return Outcome{}
	}
	existing.Phase = c.Runner.Phase
	s.recordRunnerChange(existing)
	return Outcome{}
}

// markRunnerAbsent keeps the grants, because requests may still occupy the slots.
func (s *State) markRunnerAbsent(c MarkRunnerAbsent) Outcome {
	r := s.Runners[c.ID]
	if r == nil || r.Incarnation != c.Incarnation {
		return Outcome{Reason: RunnerUnknown}
	}
	if r.Phase == RunnerPresent {
		r.Phase = RunnerAbsent
		s.recordRunnerChange(r)
	}
	return Outcome{}
}

func (s *State) removeRunner(c RemoveRunner) Outcome {
	r := s.Runners[c.ID]
	if r == nil || r.Incarnation != c.Incarnation || r.Phase == RunnerPresent {
		return Outcome{Reason: RunnerUnknown}
	}
	delete(s.Runners, c.ID)
	s.recordChange(RunnerRecord, c.ID)
	return Outcome{}
}

func (s *State) setGrants(c SetGrants) Outcome {
	var refused Outcome
	for _, change := range c.Changes {
		if reason := s.setGrant(change); reason != OK {
			refused = Outcome{
				Reason: reason,
				Detail: fmt.Sprintf("%d slots of runner %q for session %q", change.Slots, change.Runner, change.Session),
			}
		}
	}
	return refused
}

func (s *State) setGrant(c GrantChange) Reason {
	r := s.Runners[c.Runner]
	switch {
	case r == nil:
		return RunnerUnknown
	case s.Sessions[c.Session] == nil:
		return SessionUnknown
	}
	old := r.Grant(c.Session)
	granted := max(old.Granted, c.Slots)
	if r.Granted()-old.Granted+granted > r.Slots {
		return SlotsExceeded
	}
	if old.Target == c.Slots && old.Granted == granted {
		return OK
	}
	r.putGrant(Grant{Session: c.Session, Granted: granted, Target: c.Slots, Changed: s.Applied})
	s.recordChange(RunnerRecord, r.ID)
	return OK
}

func (r *Runner) putGrant(g Grant) {
	i, found := slices.BinarySearchFunc(r.Grants, g.Session, func(existing Grant, session string) int {
		return strings.Compare(existing.Session, session)
	})
	if !found {
		r.Grants = slices.Insert(r.Grants, i, g)
		return
	}
	r.Grants[i] = g
}

// releaseSlots lowers Granted to Target, unless the grant has changed since the session proposed the
// release.
//
// Without this check, a delayed release down to 2 slots could lower a grant whose target has since
// been raised to 5, although the session may already use 5 slots.
func (s *State) releaseSlots(c ReleaseSlots) Outcome {
	var refused Outcome
	for _, change := range c.Changes {
		r := s.Runners[change.Runner]
		if r == nil {
			refused = Outcome{Reason: RunnerUnknown}
			continue
		}
		g := r.Grant(change.Session)
		if g.Changed != change.BasedOn || g.Target != change.Slots {
			refused = Outcome{Reason: GrantChanged}
			continue
		}
		if g.Granted == g.Target {
			continue
		}
		g.Granted = g.Target
		r.putGrant(g)
		if g.Granted == 0 {
			s.dropGrant(r, g.Session)
		}
	}
	return refused
}
