package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// pacedRunFixture is a leader with one worker that has a run of a best-effort task.
type pacedRunFixture struct {
	*workerFixture
	ref tbflow.TaskRef
}

func newPacedRunFixture(t *testing.T) pacedRunFixture {
	p := pacedRunFixture{workerFixture: newWorkerFixture()}
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}, BestEffort: true}
	p.state.Apply(p.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/f", Job: tbflow.Job{ID: "f", Steps: []tbflow.Step{step}}})
	p.ref = tbflow.TaskRef{Job: "f"}
	p.apply(tbflow.Assign{Runs: []tbflow.Assignment{{Ref: p.ref, Run: 1, Worker: "w", Incarnation: p.worker.incarnation}}})
	start := tbfleet.Start{}
	for _, c := range p.fleet.Take().Calls {
		if c, ok := c.(tbfleet.Start); ok {
			start = c
		}
	}
	p.fleet.StartAnswered(p.now, p.worker.startRun(p.now, start, time.Hour))
	p.takeCommands()
	return p
}

// setPace orders a pace and answers the order.
func (p pacedRunFixture) setPace(t *testing.T, percent int, v tbfleet.Verdict) {
	p.fleet.SetPace(p.now, "w", p.ref, percent)
	qt.Assert(t, p.answerPaces(v), qt.DeepEquals, []int{percent})
}

// answerPaces answers all orders of a pace and returns the ordered paces.
func (p pacedRunFixture) answerPaces(v tbfleet.Verdict) []int {
	var paces []int
	for _, c := range p.fleet.Take().Calls {
		if c, ok := c.(tbfleet.Pace); ok {
			paces = append(paces, c.Percent)
			p.fleet.PaceAnswered(p.now, tbfleet.PaceAnswered{
				Worker: "w", Born: c.Target.Born, Ref: c.Ref, Run: c.Run, Percent: c.Percent, Verdict: v,
			})
		}
	}
	return paces
}

// pacesWithin advances the time by d and returns the paces that are ordered meanwhile.
func (p pacedRunFixture) pacesWithin(d time.Duration, v tbfleet.Verdict) []int {
	var paces []int
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(tick)
		p.fleet.Tick(p.now)
		paces = append(paces, p.answerPaces(v)...)
	}
	return paces
}

// An order that pauses a best-effort task, because a co-located long-running task misses its
// target, is lost. If the leader treats it as executed, it never orders that pace again.
func TestUnconfirmedPaceIsResent(t *testing.T) {
	for _, v := range []tbfleet.Verdict{tbfleet.Unanswered, tbfleet.Refused} {
		p := newPacedRunFixture(t)
		p.setPace(t, 0, v)
		qt.Check(t, p.pacesWithin(1500*time.Millisecond, tbfleet.Accepted), qt.DeepEquals, []int{0})
		qt.Check(t, p.pacesWithin(5*time.Second, tbfleet.Accepted), qt.HasLen, 0)
	}
}

// An order of half speed is executed seconds late, after a newer one that pauses the task.
func TestLateExecutionOfOlderPaceIsOverridden(t *testing.T) {
	p := newPacedRunFixture(t)
	p.setPace(t, 50, tbfleet.Unanswered)
	p.setPace(t, 0, tbfleet.Accepted)
	orderedAt := p.now
	for p.now.Before(orderedAt.Add(maxOrderDelay - 2*time.Second)) {
		qt.Check(t, p.pacesWithin(2*time.Second, tbfleet.Accepted), qt.Contains, 0)
	}
	p.pacesWithin(3*time.Second, tbfleet.Accepted)
	qt.Check(t, p.pacesWithin(5*time.Second, tbfleet.Accepted), qt.HasLen, 0)
}

// An earlier leader has throttled a run. The next one does not know its pace and must also order
// the full pace; otherwise the run stays slow, seems stalled and is given up.
func TestNewLeaderOrdersFullPaceOfRunThrottledByEarlierLeader(t *testing.T) {
	fx := newTakeoverFixture()
	step := &fx.state.Jobs["j"].Steps[0]
	step.LongRunning, step.BestEffort = false, true
	fx.fleet = tbfleet.New(params, 2)
	fx.fleet.TakeOver(fx.now, fx.state)
	for _, l := range fx.pollsAfter(0) {
		a := fx.worker.poll(fx.now, l)
		a.SentAt = fx.now
		fx.fleet.LookAnswered(fx.now, a)
	}
	fx.fleet.Take()
	qt.Assert(t, fx.fleet.Worker("w").Run(fx.ref).Phase, qt.Equals, tbfleet.RunGoingOn)
	fx.fleet.SetPace(fx.now, "w", fx.ref, tbfleet.FullPace)
	paced := false
	for _, c := range fx.fleet.Take().Calls {
		_, ok := c.(tbfleet.Pace)
		paced = paced || ok
	}
	qt.Check(t, paced, qt.IsTrue)
}
