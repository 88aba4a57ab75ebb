package tbcontrol

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// Load pattern: callers ask for a job's state right after its last task has ended, and
// again a quarter of a second later when they are told that it still runs. The end is
// then already at the leader or on its way, and waits for two disks.

// recordingTime is how long the end of a run may take from the worker to the replicated
// state: a round trip to the worker and one to a replica, and two syncs of 4 ms, twice
// over for those behind another batch.
const recordingTime = 30 * time.Millisecond

// heldRead is a question for the state of a job that may end at any moment.
type heldRead struct {
	request  uint64
	question JobAsked
	until    time.Time
}

// onJobAsked answers at once, or within recordingTime for a job whose last tasks run.
func (c *Control) onJobAsked(now time.Time, request uint64, q JobAsked) {
	j := c.state.Flow.Find(q.ID, q.Host, q.Path)
	if j == nil || !mayEnd(j) {
		c.answer(request, c.jobAnswer(q))
		return
	}
	c.reads = append(c.reads, heldRead{request: request, question: q, until: now.Add(recordingTime)})
}

// mayEnd reports whether the ends of tasks that run now can end the job.
func mayEnd(j *tbflow.Job) bool {
	if j.Phase != tbflow.Running {
		return false
	}
	may := true
	j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
		may = may && t.Phase != tbflow.TaskWaiting && !j.Steps[ref.Step].Lasting
	})
	return may
}

// answerReads answers the held questions whose jobs have ended or whose time is up.
func (c *Control) answerReads(now time.Time) {
	if len(c.reads) == 0 {
		return
	}
	leads := c.Leads(now)
	c.reads = slices.DeleteFunc(c.reads, func(r heldRead) bool {
		if !leads {
			c.emit(AnswerQuestion{Request: r.request, NotLeader: true, Leader: c.leaderToAsk(now)})
			return true
		}
		if j := c.state.Flow.Find(r.question.ID, r.question.Host, r.question.Path); j != nil && mayEnd(j) && now.Before(r.until) {
			return false
		}
		c.answer(r.request, c.jobAnswer(r.question))
		return true
	})
}
