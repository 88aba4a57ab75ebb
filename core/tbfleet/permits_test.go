package tbfleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// massTakeoverFixture is a leader that takes over many workers. Workers without runs come first,
// followed by workers with one run each.
type massTakeoverFixture struct {
	t     *testing.T
	now   time.Time
	state *tbflow.State
	fleet *tbfleet.Fleet
	// open holds the unanswered polls, oldest first. maxOpen is the largest number of polls that
	// were in open at once.
	open    []tbfleet.Poll
	maxOpen int
	// answeredAt holds the time of each worker's first answer.
	answeredAt map[string]time.Time
}

func newMassTakeoverFixture(t *testing.T, idle, busy int) *massTakeoverFixture {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	step := tbflow.Step{Count: busy, Need: tbresource.Amount{MilliProcessors: 100}, LongRunning: true}
	s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	var runs []tbflow.Assignment
	for i := range idle + busy {
		id := fmt.Sprintf("w%04d", i)
		s.Apply(now.UnixMilli(), tbflow.RecordWorker{
			Worker: id, Incarnation: 1, Address: id, Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000},
		})
		if i >= idle {
			runs = append(runs, tbflow.Assignment{Ref: tbflow.TaskRef{Job: "j", Index: i - idle}, Run: 1, Worker: id, Incarnation: 1})
		}
	}
	s.Apply(now.UnixMilli(), tbflow.Assign{Assignments: runs})
	l := &massTakeoverFixture{t: t, now: now, state: s, fleet: tbfleet.New(params, 2), answeredAt: map[string]time.Time{}}
	l.fleet.TakeOver(now, s)
	return l
}

// takePolls adds the new polls of workers that have not answered yet to open.
func (l *massTakeoverFixture) takePolls() {
	for _, c := range l.fleet.TakeOutput().Orders {
		if poll, ok := c.(tbfleet.Poll); ok && l.answeredAt[poll.Target.ID].IsZero() {
			l.open = append(l.open, poll)
		}
	}
	l.maxOpen = max(l.maxOpen, len(l.open))
}

// answerOldest answers the oldest poll, or lets it time out.
func (l *massTakeoverFixture) answerOldest(accepted bool) {
	poll := l.open[0]
	l.open = l.open[1:]
	a := tbfleet.PollAnswered{Worker: poll.Target.ID, Incarnation: 1, SentAt: l.now}
	if accepted {
		a.Outcome, a.ActualIncarnation, a.ClockMs = tbfleet.Accepted, 1, 1000
		l.answeredAt[a.Worker] = l.now
		l.state.EachRun(a.Worker, func(ref tbflow.TaskRef, task *tbflow.Task) {
			a.Running = append(a.Running, tbfleet.ListedRun{Ref: ref, Run: task.Run})
		})
	}
	l.fleet.HandlePollAnswered(l.now, a)
	l.takePolls()
}

// A leader takes over 3,000 workers. If it polled all of them at once, it could read no answer in
// time and would send all polls again (regression: site tunnelcover-ja, scenario sweep-300).
func TestNewLeaderLimitsConcurrentPolls(t *testing.T) {
	l := newMassTakeoverFixture(t, 2900, 100)
	l.fleet.Tick(l.now)
	l.takePolls()
	for len(l.open) > 0 {
		l.now = l.now.Add(300 * time.Microsecond)
		l.answerOldest(true)
	}
	qt.Check(t, l.maxOpen <= 256, qt.IsTrue, qt.Commentf("%d polls were in flight", l.maxOpen))
	qt.Check(t, l.answeredAt, qt.HasLen, 3000)
}

// Workers without runs get at most half of the permits. Otherwise workers with runs would wait for
// a poll while their leases expire.
func TestNewLeaderReservesPollsForWorkersWithRuns(t *testing.T) {
	l := newMassTakeoverFixture(t, 2900, 128)
	l.fleet.Tick(l.now)
	l.takePolls()
	busy := 0
	for _, poll := range l.open {
		if poll.Target.ID >= "w2900" {
			busy++
		}
	}
	qt.Check(t, busy, qt.Equals, 128)
}

// 500 of 3,000 workers do not answer, and some of these are polled first. The other workers must
// all be reached within 2 s.
func TestDeadWorkersDoNotDelayPollsOfOtherWorkers(t *testing.T) {
	const dead = 500
	l := newMassTakeoverFixture(t, 2400, 600)
	alive := func(id string) bool { return id >= fmt.Sprintf("w%04d", dead) }
	start := l.now
	due := map[string]time.Time{}
	for l.now.Sub(start) < 3*time.Second {
		l.now = l.now.Add(time.Millisecond)
		if l.now.Sub(start)%(100*time.Millisecond) == 0 {
			l.fleet.Tick(l.now)
			l.takePolls()
		}
		// Workers that answer do so within two milliseconds. The polls of the other workers time
		// out.
		for n := len(l.open); n > 0; n-- {
			poll := l.open[0]
			if due[poll.Target.ID].IsZero() {
				due[poll.Target.ID] = l.now.Add(poll.Timeout)
				if alive(poll.Target.ID) {
					due[poll.Target.ID] = l.now.Add(2 * time.Millisecond)
				}
			}
			if l.now.Before(due[poll.Target.ID]) {
				l.open = append(l.open[1:], poll)
				continue
			}
			delete(due, poll.Target.ID)
			l.answerOldest(alive(poll.Target.ID))
		}
	}
	qt.Check(t, l.answeredAt, qt.HasLen, 3000-dead)
	for id, at := range l.answeredAt {
		qt.Check(t, at.Sub(start) <= 2*time.Second, qt.IsTrue, qt.Commentf("%s was reached after %v", id, at.Sub(start)))
	}
}
