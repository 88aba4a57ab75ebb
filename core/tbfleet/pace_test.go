package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// pacedWorker is a leader whose one worker runs one filling task.
type pacedWorker struct {
	*oneWorker
	ref tbflow.TaskRef
}

func newPacedWorker(t *testing.T) pacedWorker {
	p := pacedWorker{oneWorker: newOneWorker()}
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}, Fills: true}
	p.state.Apply(p.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/f", Job: tbflow.Job{ID: "f", Steps: []tbflow.Step{step}}})
	p.ref = tbflow.TaskRef{Job: "f"}
	p.apply(tbflow.Assign{Runs: []tbflow.Assignment{{Ref: p.ref, Run: 1, Worker: "w", Born: p.worker.born}}})
	start := tbfleet.Start{}
	for _, c := range p.fleet.Take().Calls {
		if c, ok := c.(tbfleet.Start); ok {
			start = c
		}
	}
	p.fleet.StartAnswered(p.now, p.worker.startRun(p.now, start, time.Hour))
	p.take()
	return p
}

// setPace orders a pace and answers the order.
func (p pacedWorker) setPace(t *testing.T, percent int, v tbfleet.Verdict) {
	p.fleet.SetPace(p.now, "w", p.ref, percent)
	qt.Assert(t, p.answerPaces(v), qt.DeepEquals, []int{percent})
}

// answerPaces answers all orders of paces and returns the paces.
func (p pacedWorker) answerPaces(v tbfleet.Verdict) []int {
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

// pacesWithin lets time pass and returns the paces that are ordered meanwhile.
func (p pacedWorker) pacesWithin(d time.Duration, v tbfleet.Verdict) []int {
	var paces []int
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(step)
		p.fleet.Tick(p.now)
		paces = append(paces, p.answerPaces(v)...)
	}
	return paces
}

// An order that stops a filling task beside a lasting one over its target is lost. The leader
// took it for carried out and never ordered that pace again.
func TestPaceThatIsNotConfirmedIsOrderedAgain(t *testing.T) {
	for _, v := range []tbfleet.Verdict{tbfleet.Unanswered, tbfleet.Refused} {
		p := newPacedWorker(t)
		p.setPace(t, 0, v)
		qt.Check(t, p.pacesWithin(1500*time.Millisecond, tbfleet.Accepted), qt.DeepEquals, []int{0})
		qt.Check(t, p.pacesWithin(5*time.Second, tbfleet.Accepted), qt.HasLen, 0)
	}
}

// An order of full speed is carried out seconds late, after a newer one that slows the task.
func TestLateOrderOfAPaceDoesNotLast(t *testing.T) {
	p := newPacedWorker(t)
	p.setPace(t, 50, tbfleet.Unanswered)
	p.setPace(t, 0, tbfleet.Accepted)
	orderedAt := p.now
	for p.now.Before(orderedAt.Add(longestLag - 2*time.Second)) {
		qt.Check(t, p.pacesWithin(2*time.Second, tbfleet.Accepted), qt.Contains, 0)
	}
	p.pacesWithin(3*time.Second, tbfleet.Accepted)
	qt.Check(t, p.pacesWithin(5*time.Second, tbfleet.Accepted), qt.HasLen, 0)
}

// An earlier leader has slowed a run. The next one knows no pace of it, and must order the full
// pace too; otherwise the run stays slow, seems to stand still and is given up.
func TestNewLeaderOrdersTheFullPaceOfARunThatAnEarlierOneSlowed(t *testing.T) {
	o := newTakeOver()
	step := &o.state.Jobs["j"].Steps[0]
	step.Lasting, step.Fills = false, true
	o.fleet = tbfleet.New(terms, 2)
	o.fleet.TakeOver(o.now, o.state)
	for _, l := range o.looks(0) {
		a := o.worker.look(o.now, l)
		a.SentAt = o.now
		o.fleet.LookAnswered(o.now, a)
	}
	o.fleet.Take()
	qt.Assert(t, o.fleet.Worker("w").Run(o.ref).Phase, qt.Equals, tbfleet.RunGoingOn)
	o.fleet.SetPace(o.now, "w", o.ref, tbfleet.FullPace)
	paced := false
	for _, c := range o.fleet.Take().Calls {
		_, ok := c.(tbfleet.Pace)
		paced = paced || ok
	}
	qt.Check(t, paced, qt.IsTrue)
}
