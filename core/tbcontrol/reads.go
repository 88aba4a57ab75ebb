package tbcontrol

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// maxRecordingTime is how long recording the end of a run in the replicated state may take: a
// round trip to the worker, one to a replica and two disk syncs of 4 ms, all doubled for ends
// that wait behind another batch.
const maxRecordingTime = 30 * time.Millisecond

// deferredRead is a request for the state of a job that may end at any moment.
type deferredRead struct {
	request  uint64
	query    JobStateRequested
	deadline time.Time
}

// onJobStateRequested answers at once, or within maxRecordingTime for a job whose last tasks are
// running.
//
// Callers typically ask for a job's state right after its last task has ended, and again 250 ms
// later if they are told that it still runs. The leader then knows of the end, or is about to learn of
// it, but recording the end takes two disk syncs; the answer waits for that.
func (c *Control) onJobStateRequested(now time.Time, request uint64, q JobStateRequested) {
	j := c.state.Flow.Find(q.ID, q.Host, q.Path)
	if j == nil || !mayEndSoon(j) {
		c.answer(request, c.jobAnswer(q))
		return
	}
	c.deferredReads = append(c.deferredReads, deferredRead{request: request, query: q, deadline: now.Add(maxRecordingTime)})
}

// mayEndSoon reports whether the ends of the tasks that run now can end the job.
func mayEndSoon(j *tbflow.Job) bool {
	if j.Phase != tbflow.Running {
		return false
	}
	allMayEnd := true
	j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
		allMayEnd = allMayEnd && t.Phase != tbflow.TaskWaiting && !j.Steps[ref.Step].LongRunning
	})
	return allMayEnd
}

// answerDeferredReads answers the deferred requests whose jobs have ended or whose deadline has
// passed, and redirects all of them if this replica no longer leads.
func (c *Control) answerDeferredReads(now time.Time) {
	if len(c.deferredReads) == 0 {
		return
	}
	isLeader := c.IsConfirmedLeader(now)
	c.deferredReads = slices.DeleteFunc(c.deferredReads, func(r deferredRead) bool {
		if !isLeader {
			c.emit(AnswerLeaderRequest{Request: r.request, NotLeader: true, Leader: c.leaderHint(now)})
			return true
		}
		if j := c.state.Flow.Find(r.query.ID, r.query.Host, r.query.Path); j != nil && mayEndSoon(j) && now.Before(r.deadline) {
			return false
		}
		c.answer(r.request, c.jobAnswer(r.query))
		return true
	})
}
