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

// newLeader is the fleet of a leader that takes over many workers, the last of which run
// one task each.
type newLeader struct {
	t     *testing.T
	now   time.Time
	state *tbflow.State
	fleet *tbfleet.Fleet
	// open holds the looks without an answer, oldest first, and most how many there were.
	open []tbfleet.Look
	most int
	// answeredAt is when a worker answered first.
	answeredAt map[string]time.Time
}

func takeOverMany(t *testing.T, idle, busy int) *newLeader {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxAttempts: 3},
	}}})
	step := tbflow.Step{Count: busy, Need: tbresource.Amount{MilliProcessors: 100}, Lasting: true}
	s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	var runs []tbflow.Assignment
	for i := range idle + busy {
		id := fmt.Sprintf("w%04d", i)
		s.Apply(now.UnixMilli(), tbflow.NoteWorker{
			Worker: id, Born: 1, Address: id, Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000},
		})
		if i >= idle {
			runs = append(runs, tbflow.Assignment{Ref: tbflow.TaskRef{Job: "j", Index: i - idle}, Run: 1, Worker: id, Born: 1})
		}
	}
	s.Apply(now.UnixMilli(), tbflow.Assign{Runs: runs})
	l := &newLeader{t: t, now: now, state: s, fleet: tbfleet.New(terms, 2), answeredAt: map[string]time.Time{}}
	l.fleet.TakeOver(now, s)
	return l
}

// take notes the looks at workers that have not answered yet.
func (l *newLeader) take() {
	for _, c := range l.fleet.Take().Calls {
		if look, ok := c.(tbfleet.Look); ok && l.answeredAt[look.Target.ID].IsZero() {
			l.open = append(l.open, look)
		}
	}
	l.most = max(l.most, len(l.open))
}

// answer brings the answer to the oldest look, or its time-out.
func (l *newLeader) answer(accepted bool) {
	look := l.open[0]
	l.open = l.open[1:]
	a := tbfleet.LookAnswered{Worker: look.Target.ID, Born: 1, SentAt: l.now}
	if accepted {
		a.Verdict, a.ActualBorn, a.ClockMs = tbfleet.Accepted, 1, 1000
		l.answeredAt[a.Worker] = l.now
		l.state.EachRun(a.Worker, func(ref tbflow.TaskRef, task *tbflow.Task) {
			a.Running = append(a.Running, tbfleet.RunReport{Ref: ref, Run: task.Run})
		})
	}
	l.fleet.LookAnswered(l.now, a)
	l.take()
}

// A leader takes 3,000 workers over. It looked at all of them at once, no answer was read
// in time, and it sent all looks again (tunnelcover-ja, sweep-300).
func TestNewLeaderLooksAtABoundedNumberOfWorkersAtOnce(t *testing.T) {
	l := takeOverMany(t, 2900, 100)
	l.fleet.Tick(l.now)
	l.take()
	for len(l.open) > 0 {
		l.now = l.now.Add(300 * time.Microsecond)
		l.answer(true)
	}
	qt.Check(t, l.most <= 256, qt.IsTrue, qt.Commentf("%d looks were under way", l.most))
	qt.Check(t, l.answeredAt, qt.HasLen, 3000)
}

// Idle workers take half of the places at most: those with leases are looked at first.
func TestNewLeaderLooksAtBusyWorkersFirst(t *testing.T) {
	l := takeOverMany(t, 2900, 128)
	l.fleet.Tick(l.now)
	l.take()
	busy := 0
	for _, look := range l.open {
		if look.Target.ID >= "w2900" {
			busy++
		}
	}
	qt.Check(t, busy, qt.Equals, 128)
}

// 500 of 3,000 workers do not answer, among them those that are looked at first. The
// others are all heard within 2 s.
func TestDeadWorkersDoNotKeepANewLeaderFromTheOthers(t *testing.T) {
	const dead = 500
	l := takeOverMany(t, 2400, 600)
	alive := func(id string) bool { return id >= fmt.Sprintf("w%04d", dead) }
	began := l.now
	due := map[string]time.Time{}
	for l.now.Sub(began) < 3*time.Second {
		l.now = l.now.Add(time.Millisecond)
		if l.now.Sub(began)%(100*time.Millisecond) == 0 {
			l.fleet.Tick(l.now)
			l.take()
		}
		// Live workers answer within two milliseconds, the others run into the time-out.
		for n := len(l.open); n > 0; n-- {
			look := l.open[0]
			if due[look.Target.ID].IsZero() {
				due[look.Target.ID] = l.now.Add(look.Timeout)
				if alive(look.Target.ID) {
					due[look.Target.ID] = l.now.Add(2 * time.Millisecond)
				}
			}
			if l.now.Before(due[look.Target.ID]) {
				l.open = append(l.open[1:], look)
				continue
			}
			delete(due, look.Target.ID)
			l.answer(alive(look.Target.ID))
		}
	}
	qt.Check(t, l.answeredAt, qt.HasLen, 3000-dead)
	for id, at := range l.answeredAt {
		qt.Check(t, at.Sub(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("%s was heard after %v", id, at.Sub(began)))
	}
}
