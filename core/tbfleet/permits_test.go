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
	// openPolls holds the unanswered polls, oldest first. maxOpenPolls is the largest number of
	// polls that were in openPolls at once.
	openPolls    []tbfleet.Poll
	maxOpenPolls int
	// firstAnsweredAt holds the time of each worker's first answer.
	firstAnsweredAt map[string]time.Time
}

func newMassTakeoverFixture(t *testing.T, idleCount, busyCount int) *massTakeoverFixture {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	step := tbflow.Step{Count: busyCount, Need: tbresource.Amount{MilliProcessors: 100}, LongRunning: true}
	s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	var runs []tbflow.Assignment
	for i := range idleCount + busyCount {
		id := fmt.Sprintf("w%04d", i)
		s.Apply(now.UnixMilli(), tbflow.RecordWorker{
			Worker: id, Incarnation: 1, Address: id, Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000},
		})
		if i >= idleCount {
			runs = append(runs, tbflow.Assignment{Ref: tbflow.TaskRef{Job: "j", Index: i - idleCount}, Run: 1, Worker: id, Incarnation: 1})
		}
	}
	s.Apply(now.UnixMilli(), tbflow.Assign{Assignments: runs})
	l := &massTakeoverFixture{t: t, now: now, state: s, fleet: tbfleet.New(params, 2), firstAnsweredAt: map[string]time.Time{}}
	l.fleet.TakeOver(now, s, tbfleet.NewOutstandingTimes(now, s))
	return l
}

// takePolls adds the new polls of workers that have not answered yet to openPolls.
func (l *massTakeoverFixture) takePolls() {
	for _, c := range l.fleet.TakeOutput().Orders {
		if poll, ok := c.(tbfleet.Poll); ok && l.firstAnsweredAt[poll.Target.ID].IsZero() {
			l.openPolls = append(l.openPolls, poll)
		}
	}
	l.maxOpenPolls = max(l.maxOpenPolls, len(l.openPolls))
}

// answerOldest answers the oldest poll, or lets it time out.
func (l *massTakeoverFixture) answerOldest(accepted bool) {
	poll := l.openPolls[0]
	l.openPolls = l.openPolls[1:]
	a := tbfleet.PollAnswered{Worker: poll.Target.ID, Incarnation: 1, SentAt: l.now}
	if accepted {
		a.Outcome, a.ActualIncarnation, a.ClockMs = tbfleet.Accepted, 1, 1000
		l.firstAnsweredAt[a.Worker] = l.now
		l.state.EachRun(a.Worker, func(ref tbflow.TaskRef, task *tbflow.Task) {
			a.Running = append(a.Running, tbfleet.ListedRun{Ref: ref, Run: task.Run})
		})
	}
	l.fleet.HandlePollAnswered(l.now, a)
	l.takePolls()
}

// A leader takes over 3,000 workers. If it polled all of them at once, it could read no answer in
// time and would send all polls again (regression: platform simulation, site tunnelcover-ja,
// scenario sweep-300).
func TestNewLeaderLimitsConcurrentPolls(t *testing.T) {
	l := newMassTakeoverFixture(t, 2900, 100)
	l.fleet.Tick(l.now)
	l.takePolls()
	for len(l.openPolls) > 0 {
		l.now = l.now.Add(300 * time.Microsecond)
		l.answerOldest(true)
	}
	qt.Check(t, l.maxOpenPolls <= 256, qt.IsTrue, qt.Commentf("%d polls were in flight", l.maxOpenPolls))
	qt.Check(t, l.firstAnsweredAt, qt.HasLen, 3000)
}

// Workers without runs get at most half of the permits. If workers without runs got all permits,
// workers with runs would wait for a poll while their leases expire.
func TestNewLeaderReservesPollsForWorkersWithRuns(t *testing.T) {
	l := newMassTakeoverFixture(t, 2900, 128)
	l.fleet.Tick(l.now)
	l.takePolls()
	busyPollCount := 0
	for _, poll := range l.openPolls {
		if poll.Target.ID >= "w2900" {
			busyPollCount++
		}
	}
	qt.Check(t, busyPollCount, qt.Equals, 128)
}

// 500 of 3,000 workers do not answer, and some of these are polled first. The other workers must
// all be reached within 2 s.
func TestDeadWorkersDoNotDelayPollsOfOtherWorkers(t *testing.T) {
	const deadCount = 500
	l := newMassTakeoverFixture(t, 2400, 600)
	isAlive := func(id string) bool { return id >= fmt.Sprintf("w%04d", deadCount) }
	start := l.now
	answerDueAt := map[string]time.Time{}
	for l.now.Sub(start) < 3*time.Second {
		l.now = l.now.Add(time.Millisecond)
		if l.now.Sub(start)%(100*time.Millisecond) == 0 {
			l.fleet.Tick(l.now)
			l.takePolls()
		}
		// Workers that answer do so within two milliseconds. The polls of the other workers time
		// out.
		for n := len(l.openPolls); n > 0; n-- {
			poll := l.openPolls[0]
			if answerDueAt[poll.Target.ID].IsZero() {
				answerDueAt[poll.Target.ID] = l.now.Add(poll.Timeout)
				if isAlive(poll.Target.ID) {
					answerDueAt[poll.Target.ID] = l.now.Add(2 * time.Millisecond)
				}
			}
			if l.now.Before(answerDueAt[poll.Target.ID]) {
				l.openPolls = append(l.openPolls[1:], poll)
				continue
			}
			delete(answerDueAt, poll.Target.ID)
			l.answerOldest(isAlive(poll.Target.ID))
		}
	}
	qt.Check(t, l.firstAnsweredAt, qt.HasLen, 3000-deadCount)
	for id, at := range l.firstAnsweredAt {
		qt.Check(t, at.Sub(start) <= 2*time.Second, qt.IsTrue, qt.Commentf("%s was reached after %v", id, at.Sub(start)))
	}
}
