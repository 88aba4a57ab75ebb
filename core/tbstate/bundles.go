package tbstate

import (
	"fmt"
	"time"
)

func (s *State) signOff(c SignOff) Outcome {
	b := c.Bundle
	if existing := s.Bundles[b.Version]; existing != nil {
		if existing.Digest == b.Digest {
			return Outcome{}
		}
		return Outcome{
			Reason: VersionTaken,
			Detail: fmt.Sprintf("version %d is already signed off with digest %s, the refused file has digest %s", b.Version, existing.Digest, b.Digest),
		}
	}
	if b.Version < s.ActiveVersion {
		return s.refuseLowerVersion(b.Version, b.Digest)
	}
	s.Bundles[b.Version] = &b
	return Outcome{}
}

func (s *State) rollOut(c RollOut) Outcome {
	b := s.Bundles[c.Version]
	switch {
	case b == nil:
		return Outcome{Reason: VersionUnknown, Detail: fmt.Sprintf("version %d is not signed off", c.Version)}
	case c.Version < s.ActiveVersion:
		return s.refuseLowerVersion(c.Version, b.Digest)
	case c.Version == s.ActiveVersion:
		return Outcome{}
	}
	s.ActiveVersion = c.Version
	s.recordChange(BundleRecord, "")
	return Outcome{}
}

// LongestRunDeadline returns the largest run deadline of all signed-off versions, or 0.
func (s *State) LongestRunDeadline() time.Duration {
	var longest time.Duration
	for _, b := range s.Bundles {
		longest = max(longest, b.LongestRunDeadline())
	}
	return longest
}

func (s *State) refuseLowerVersion(version uint64, digest string) Outcome {
	return Outcome{
		Reason: VersionLower,
		Detail: fmt.Sprintf("version %d (digest %s) is lower than the active version %d (digest %s)",
			version, digest, s.ActiveVersion, s.Bundles[s.ActiveVersion].Digest),
	}
}
