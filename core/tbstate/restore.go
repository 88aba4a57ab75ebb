package tbstate

import (
	"container/heap"
	"slices"
)

// Rebuild derives the indexes after the exported fields were filled from a snapshot.
func (s *State) Rebuild() {
	s.changes = changeLog{from: s.Applied}
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, bySeq)
	for _, j := range jobs {
		s.indexJob(j)
	}
	slices.SortStableFunc(s.ended, func(a, b *Job) int { return int(a.EndedMs - b.EndedMs) })
	for _, c := range s.Claims {
		s.claimCounts[c.Key.Service]++
		if c.Status != ClaimRunning {
			s.expiries = append(s.expiries, c)
		}
	}
	heap.Init(&s.expiries)
}

func (s *State) indexJob(j *Job) {
	switch {
	case j.Phase == JobQueued:
		s.queued.add(j)
	case j.Phase.Placed():
		s.place(j)
	case j.Phase.Ended():
		s.ended = append(s.ended, j)
	}
}
