package tbcontrol

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// maxRecordingTime is how long recording the end of a run in the replicated state may take. That is a
// round trip to the worker, one to a replica and two disk syncs of 4 ms. The sum is doubled, because
// an end may have to wait for an earlier batch.
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
// Callers typically ask for a job's state right after the job's last task has ended. If they are told
// that the job still runs, they ask again 250 ms later. At the first request the leader knows of the
// end or is about to learn of it, but recording the end takes two disk syncs. So the answer waits.
func (c *Control) onJobStateRequested(now time.Time, request uint64, q JobStateRequested) {
	j := c.state.Flow.Find(q.ID, q.Host, q.Path)
	if j == nil || !mayEndSoon(j) {
		c.answerLeaderRequest(request, c.buildJobAnswer(q))
		return
	}
	c.deferredReads = append(c.deferredReads, deferredRead{request: request, query: q, deadline: now.Add(maxRecordingTime)})
}

// mayEndSoon reports whether the job can end without further assignments: it runs, no task is waiting,
// and no step is long-running.
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

// answerDeferredReads answers the deferred requests whose deadline has passed or whose job has ended or
// cannot end soon. If this replica is not the confirmed leader any more, it redirects all of them.
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
		c.answerLeaderRequest(r.request, c.buildJobAnswer(r.query))
		return true
	})
}
