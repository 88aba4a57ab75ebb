package tbstate

import (
	"cmp"
	"slices"
)

// queuePosition is the position of a level in the queue. Its seq is always 0: compareSeq orders the jobs
// within a level by Job.Seq.
type queuePosition struct {
	urgent bool
	rank   int
	seq    uint64
}

func comparePositions(a, b queuePosition) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(b.rank, a.rank); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// priorityLevel holds the queued jobs of one urgency and rank in order of submission.
type priorityLevel struct {
	urgent bool
	rank   int
	jobs   []*Job
}

// queuedJobs holds the queued jobs in levels, ordered from the highest priority to the lowest.
type queuedJobs struct {
	levels []*priorityLevel
	count  int
}

// findOrAddLevel returns the level of a job and adds the level if it is missing. A level stays when
// it becomes empty.
func (q *queuedJobs) findOrAddLevel(j *Job) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, j, func(l *priorityLevel, j *Job) int {
		return comparePositions(queuePosition{urgent: l.urgent, rank: l.rank}, queuePosition{urgent: j.Urgent, rank: j.Rank})
	})
	if !found {
		q.levels = slices.Insert(q.levels, i, &priorityLevel{urgent: j.Urgent, rank: j.Rank})
	}
	return q.levels[i]
}

// add inserts a job in order of submission, so that an evicted job gets back its earlier position.
func (q *queuedJobs) add(j *Job) {
	l := q.findOrAddLevel(j)
	i, _ := slices.BinarySearchFunc(l.jobs, j, compareSeq)
	l.jobs = slices.Insert(l.jobs, i, j)
	q.count++
}

func (q *queuedJobs) remove(j *Job) {
	l := q.findOrAddLevel(j)
	if i, found := slices.BinarySearchFunc(l.jobs, j, compareSeq); found {
		l.jobs = slices.Delete(l.jobs, i, i+1)
		q.count--
	}
}

func (q *queuedJobs) each(visit func(*Job) bool) {
	for _, l := range q.levels {
		for _, j := range l.jobs {
			if !visit(j) {
				return
			}
		}
	}
}
