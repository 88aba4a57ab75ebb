package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// speedFixture is a leader with one worker that has a run of a best-effort task.
type speedFixture struct {
	*workerFixture
	ref tbflow.TaskRef
}

func newSpeedFixture(t *testing.T) speedFixture {
	p := speedFixture{workerFixture: newWorkerFixture()}
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}, BestEffort: true}
	p.state.Apply(p.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/f", Job: tbflow.Job{ID: "f", Steps: []tbflow.Step{step}}})
	p.ref = tbflow.TaskRef{Job: "f"}
	p.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: p.ref, Run: 1, Worker: "w", Incarnation: p.worker.incarnation}}})
	start := tbfleet.Start{}
	for _, c := range p.fleet.TakeOutput().Orders {
		if c, ok := c.(tbfleet.Start); ok {
			start = c
		}
	}
	p.fleet.HandleStartAnswered(p.now, p.worker.startRun(p.now, start, time.Hour))
	p.takeCommands()
	return p
}

// setSpeed orders a speed and answers the order with the outcome v.
func (p speedFixture) setSpeed(t *testing.T, percent int, v tbfleet.Outcome) {
	p.fleet.SetSpeed(p.now, "w", p.ref, percent)
	qt.Assert(t, p.answerSpeeds(v), qt.DeepEquals, []int{percent})
}

// answerSpeeds answers all speed orders with the outcome v and returns the ordered speeds.
func (p speedFixture) answerSpeeds(v tbfleet.Outcome) []int {
	var speeds []int
	for _, c := range p.fleet.TakeOutput().Orders {
		if c, ok := c.(tbfleet.SetSpeed); ok {
			speeds = append(speeds, c.Percent)
			p.fleet.HandleSpeedAnswered(p.now, tbfleet.SpeedAnswered{
				Worker: "w", Incarnation: c.Target.Incarnation, Ref: c.Ref, Run: c.Run, Percent: c.Percent, Outcome: v,
			})
		}
	}
	return speeds
}

// advanceAndAnswerSpeeds advances the time by d, answers speed orders with the outcome v, and
// returns the ordered speeds.
func (p speedFixture) advanceAndAnswerSpeeds(d time.Duration, v tbfleet.Outcome) []int {
	var speeds []int
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(tick)
		p.fleet.Tick(p.now)
		speeds = append(speeds, p.answerSpeeds(v)...)
	}
	return speeds
}

// A co-located long-running task misses its target, so the leader orders that a best-effort task be
// suspended. The order is lost. If the leader took the order as executed, it would never order that
// speed again.
func TestUnconfirmedSpeedIsResent(t *testing.T) {
	for _, v := range []tbfleet.Outcome{tbfleet.Unconfirmed, tbfleet.Refused} {
		p := newSpeedFixture(t)
		p.setSpeed(t, 0, v)
		qt.Check(t, p.advanceAndAnswerSpeeds(1500*time.Millisecond, tbfleet.Accepted), qt.DeepEquals, []int{0})
		qt.Check(t, p.advanceAndAnswerSpeeds(5*time.Second, tbfleet.Accepted), qt.HasLen, 0)
	}
}

// An order of half speed is executed seconds late, after a newer order that suspends the task. The
// leader must order the suspension again.
func TestLateExecutionOfOlderSpeedIsOverridden(t *testing.T) {
	p := newSpeedFixture(t)
	p.setSpeed(t, 50, tbfleet.Unconfirmed)
	p.setSpeed(t, 0, tbfleet.Accepted)
	orderedAt := p.now
	for p.now.Before(orderedAt.Add(maxOrderDelay - 2*time.Second)) {
		qt.Check(t, p.advanceAndAnswerSpeeds(2*time.Second, tbfleet.Accepted), qt.Contains, 0)
	}
	p.advanceAndAnswerSpeeds(3*time.Second, tbfleet.Accepted)
	qt.Check(t, p.advanceAndAnswerSpeeds(5*time.Second, tbfleet.Accepted), qt.HasLen, 0)
}

// An earlier leader has throttled a run. The next leader does not know the run's speed, so it must
// order a speed even if it wants full speed. If the leader ordered none, the run would stay slow,
// seem stalled and be given up.
func TestNewLeaderOrdersFullSpeedOfRunThrottledByEarlierLeader(t *testing.T) {
	fx := newTakeoverFixture()
	step := &fx.state.Jobs["j"].Steps[0]
	step.LongRunning, step.BestEffort = false, true
	fx.fleet = tbfleet.New(params, 2)
	fx.fleet.TakeOver(fx.now, fx.state, tbfleet.NewOutstandingTimes(fx.now, fx.state))
	for _, poll := range fx.advanceAndTakePolls(0) {
		a := fx.worker.poll(fx.now, poll)
		a.SentAt = fx.now
		fx.fleet.HandlePollAnswered(fx.now, a)
	}
	fx.fleet.TakeOutput()
	qt.Assert(t, fx.fleet.Worker("w").Run(fx.ref).Phase, qt.Equals, tbfleet.RunExecuting)
	fx.fleet.SetSpeed(fx.now, "w", fx.ref, tbfleet.FullSpeed)
	hasSpeedOrder := false
	for _, c := range fx.fleet.TakeOutput().Orders {
		_, ok := c.(tbfleet.SetSpeed)
		hasSpeedOrder = hasSpeedOrder || ok
	}
	qt.Check(t, hasSpeedOrder, qt.IsTrue)
}
