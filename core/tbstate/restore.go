package tbstate

import (
	"container/heap"
	"slices"
)

// Rebuild derives the unexported indexes from the exported fields of a state that was filled
// from a snapshot.
func (s *State) Rebuild() {
	s.changeLog = changeLog{from: s.Applied}
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, compareSeq)
	for _, j := range jobs {
		s.indexJob(j)
	}
	slices.SortStableFunc(s.endedJobs, func(a, b *Job) int { return int(a.EndedMs - b.EndedMs) })
	for _, c := range s.Claims {
		s.claimCounts[c.Key.Service]++
		s.answerBytes += len(c.Answer)
		if c.Status != ClaimHeld {
			s.claimExpiries = append(s.claimExpiries, c)
		}
	}
	heap.Init(&s.claimExpiries)
}

func (s *State) indexJob(j *Job) {
	s.payloadBytes += len(j.Payload)
	switch {
	case j.Phase == JobQueued:
		s.queued.add(j)
	case j.Phase.Placed():
		s.reserve(j)
	case j.Phase.Ended():
		s.endedJobs = append(s.endedJobs, j)
	}
}
