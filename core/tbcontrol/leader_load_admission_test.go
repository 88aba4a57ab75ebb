package tbcontrol_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

const (
	// standingInterval is the time between two looks at what runs.
	standingInterval = 100 * time.Millisecond
	// maxStanding is the time that the users' contract allows an accepted job to have nothing running beside room.
	maxStanding = 3 * time.Second
)

// standingObserver finds accepted jobs that have nothing running although a ready task of them has room twice over and
// under half of the workers' capacity is in use. It also counts the submissions that the leader refuses.
type standingObserver struct {
	s *loadSimulation
	// since holds since when the jobs that stand have done so, and longest the longest time by queue.
	since   map[string]time.Time
	longest map[string]time.Duration
	// stood holds the jobs that stood for longer than maxStanding.
	stood   map[string]bool
	refused int
	// lastWaitingAt is when a task of a best-effort job has last waited for its start.
	lastWaitingAt time.Time
	// maxUse is the largest share of the workers' capacity that was in use.
	maxUse float64
}

func newStandingObserver(s *loadSimulation) *standingObserver {
	o := &standingObserver{s: s, since: map[string]time.Time{}, longest: map[string]time.Duration{}, stood: map[string]bool{}}
	s.observe = o
	var look func()
	look = func() {
		o.look()
		s.at(s.now.Add(standingInterval), look)
	}
	look()
	return o
}

func (o *standingObserver) step(r *loadReplica, now time.Time, ev tbcontrol.Event) []tbcontrol.Effect {
	effects := r.control.Step(now, ev)
	for _, e := range effects {
		if a, ok := e.(tbcontrol.AnswerLeaderRequest); ok && a.Answer.Code == tbcontrol.Overloaded {
			o.refused++
		}
	}
	return effects
}

// look compares what runs on the workers with the jobs that the leader has accepted.
func (o *standingObserver) look() {
	r := o.s.leader()
	if r == nil {
		return
	}
	flow := r.control.State().Flow
	var used, capacity tbresource.Amount
	running := map[string]bool{}
	free := make([]tbresource.Amount, 0, len(o.s.workers))
	for _, w := range o.s.workers {
		left := loadWorkerCapacity
		for ref := range w.running {
			running[ref.Job] = true
			if step := flow.StepOf(ref); step != nil {
				left = left.Sub(step.Need)
			}
		}
		capacity = capacity.Add(loadWorkerCapacity)
		used = used.Add(loadWorkerCapacity.Sub(left))
		free = append(free, left)
	}
	use := used.DominantShare(capacity)
	o.maxUse = max(o.maxUse, use)
	standing := map[string]time.Time{}
	for _, j := range flow.Active() {
		step := readyStep(j)
		if step != nil && step.BestEffort {
			o.lastWaitingAt = o.s.now
		}
		if running[j.ID] || step == nil || use >= 0.5 || !fitsTwice(step, free) {
			continue
		}
		since, ok := o.since[j.ID]
		if !ok {
			since = o.s.now
		}
		standing[j.ID] = since
		queue := j.Queue.Prefix
		o.longest[queue] = max(o.longest[queue], o.s.now.Sub(since))
		if o.s.now.Sub(since) > maxStanding {
			o.stood[j.ID] = true
		}
	}
	o.since = standing
}

// readyStep returns a step of a job that has a waiting task whose turn has come, or nil.
func readyStep(j *tbflow.Job) *tbflow.Step {
	for i := range j.Steps {
		if j.WaitingTasks(0, i) > 0 && j.StepReady(0, i) {
			return &j.Steps[i]
		}
	}
	return nil
}

func fitsTwice(step *tbflow.Step, free []tbresource.Amount) bool {
	fitting := 0
	for _, f := range free {
		for ; fitting < 2 && step.Need.Fits(f); f = f.Sub(step.Need) {
			fitting++
		}
	}
	return fitting >= 2
}

// check reports what stood. At the end, no accepted job has stood for longer than maxStanding.
func (o *standingObserver) check(t *testing.T) {
	t.Helper()
	t.Logf("%d jobs, %d refused, %d stood for over %s, longest by queue %v, at most %.2f in use", len(o.s.jobs), o.refused, len(o.stood), maxStanding, o.longest, o.maxUse)
	qt.Check(t, len(o.stood), qt.Equals, 0)
}

// newSlowSimulation returns a simulation with few long-running tasks, so that half of the workers' capacity is never in
// use, and predicted admission.
func newSlowSimulation(t *testing.T, seed uint64, slowdown float64, workerDelay time.Duration) (*loadSimulation, *standingObserver) {
	s := newScheduledSimulation(t, seed, 1800, slowdown, tbassign.Features{PredictedAdmission: true, FairShares: true})
	s.workerDelay = workerDelay
	s.startLongRunning(36)
	return s, newStandingObserver(s)
}

// A leader or workers that are slower than the load needs do not leave accepted jobs without a running task while there
// is room.
func TestAcceptedJobsDoNotStandWhenStartsAreSlow(t *testing.T) {
	for _, c := range []struct {
		slowdown    float64
		workerDelay time.Duration
	}{
		{1, 4 * time.Millisecond}, {2, 4 * time.Millisecond}, {4, 4 * time.Millisecond}, {6, 4 * time.Millisecond},
		{1, 100 * time.Millisecond}, {1, 200 * time.Millisecond}, {4, 100 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("slowdown=%v,delay=%s", c.slowdown, c.workerDelay), func(t *testing.T) {
			t.Parallel()
			s, o := newSlowSimulation(t, 1, c.slowdown, c.workerDelay)
			s.submitLoad(baseRates, 8*time.Second)
			s.run(8 * time.Second)
			o.check(t)
		})
	}
}

// loadTime is how long jobs are submitted, and drainTime how long the leader has for them after that.
const (
	loadTime  = 8 * time.Second
	drainTime = 40 * time.Second
)

// Jobs are refused only if the leader makes starts so slowly that the backlog lasts for at least half of the time in
// which results are of use, and none of the accepted ones stands.
func TestJobsAreRefusedOnlyWhenStartsAreTooLate(t *testing.T) {
	seed := uint64(0)
	for _, slowdown := range []float64{1, 2, 4, 6} {
		for _, workerDelay := range []time.Duration{4 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			seed++
			seed := seed
			t.Run(fmt.Sprintf("slowdown=%v,delay=%s,seed=%d", slowdown, workerDelay, seed), func(t *testing.T) {
				t.Parallel()
				s, o := newSlowSimulation(t, seed, slowdown, workerDelay)
				// At a slowdown of 6, polls and reports alone take most of the leader's time, and callers that do not
				// back off the rest.
				s.callersBackOff = slowdown > 4
				start := s.now
				s.submitLoad(baseRates, loadTime)
				until := s.now
				s.run(drainTime)
				o.check(t)
				useful, jobs := s.usefulShare(fillQueue, start, until)
				drained := o.lastWaitingAt.Sub(start)
				t.Logf("%d best-effort jobs, %.3f of use, drained after %s", jobs, useful, drained)
				if slowdown <= 4 {
					// All of them can be of use, so none is refused.
					qt.Check(t, o.refused, qt.Equals, 0)
					qt.Check(t, useful, qt.Equals, 1.0)
					return
				}
				// Two steps, and a second.
				objective := 4*s.runTimes[fillQueue] + time.Second
				qt.Check(t, o.refused > 0, qt.IsTrue)
				qt.Check(t, drained > usefulObjectives*objective/2, qt.IsTrue)
			})
		}
	}
}

// A twentieth of the workers leaves a slow leader that has thousands of long-running tasks. These start again soon, and no
// best-effort job stands, although about half of the workers' capacity is in use or on its way to be.
func TestLongRunningTasksStartAgainSoonWhenStartsAreSlow(t *testing.T) {
	t.Parallel()
	s := newScheduledSimulation(t, 1, 1800, 4, tbassign.Features{PredictedAdmission: true, FairShares: true})
	s.workerDelay = 200 * time.Millisecond
	s.callersBackOff = true
	o := newStandingObserver(s)
	s.startLongRunning(216)
	s.submitLoad(baseRates, 2*time.Second)
	s.restartWaits = nil
	s.leave(90, 2*time.Second)
	s.submitLoad(baseRates, loadTime)
	s.run(15 * time.Second)
	o.check(t)
	qt.Assert(t, len(s.restartWaits) > 200, qt.IsTrue)
	qt.Check(t, s.stoppedTasks, qt.HasLen, 0)
	longest := slices.Max(s.restartWaits)
	t.Logf("%d long-running tasks started again after at most %s", len(s.restartWaits), longest)
	qt.Check(t, longest < maxStanding, qt.IsTrue)
}

// Nine of ten workers take 400 ms to answer a start, however few starts are under way. A leader that has time does not
// hold best-effort work back for that.
func TestBestEffortWorkIsNotHeldBackByWorkersThatAnswerLate(t *testing.T) {
	t.Parallel()
	s, o := newSlowSimulation(t, 1, 1, 4*time.Millisecond)
	for i, w := range s.workers {
		if i%10 != 0 {
			w.startTime = 400 * time.Millisecond
		}
	}
	s.submitLoad(baseRates, loadTime)
	s.run(loadTime)
	o.check(t)
	qt.Check(t, o.refused, qt.Equals, 0)
}
