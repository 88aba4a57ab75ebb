package tbstate

import (
	"cmp"
	"slices"
)

// queueOrder is the order in which queued jobs are offered to the planner.
type queueOrder struct {
	urgent bool
	rank   int
	seq    uint64
}

func compareOrder(a, b queueOrder) int {
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

// queueLane holds the queued jobs of one urgency and rank in order of submission.
type queueLane struct {
	urgent bool
	rank   int
	jobs   []*Job
}

// queuedJobs keeps queued jobs in lanes; removed jobs leave a hole until the lane is swept.
type queuedJobs struct {
	lanes []*queueLane
	count int
}

func (q *queuedJobs) lane(j *Job) *queueLane {
	i, found := slices.BinarySearchFunc(q.lanes, j, func(l *queueLane, j *Job) int {
		return compareOrder(queueOrder{urgent: l.urgent, rank: l.rank}, queueOrder{urgent: j.Urgent, rank: j.Rank})
	})
	if !found {
		q.lanes = slices.Insert(q.lanes, i, &queueLane{urgent: j.Urgent, rank: j.Rank})
	}
	return q.lanes[i]
}

// add inserts by submission, so that an evicted job keeps its place.
func (q *queuedJobs) add(j *Job) {
	l := q.lane(j)
	i, _ := slices.BinarySearchFunc(l.jobs, j, bySeq)
	l.jobs = slices.Insert(l.jobs, i, j)
	q.count++
}

func (q *queuedJobs) remove(j *Job) {
	l := q.lane(j)
	if i, found := slices.BinarySearchFunc(l.jobs, j, bySeq); found {
		l.jobs = slices.Delete(l.jobs, i, i+1)
		q.count--
	}
}

func (q *queuedJobs) each(visit func(*Job) bool) {
	for _, l := range q.lanes {
		for _, j := range l.jobs {
			if !visit(j) {
				return
			}
		}
	}
}
