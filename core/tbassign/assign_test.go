package tbassign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// fixture is a replicated state and a fleet of workers with 32 processors each.
type fixture struct {
	t          testing.TB
	now        time.Time
	state      *tbflow.State
	fleet      *tbfleet.Fleet
	learner    *Learner
	rebalancer *Rebalancer
	seq        map[string]uint64
}

func newFixture(t testing.TB, workers int) *fixture {
	b := &fixture{
		t: t, now: time.UnixMilli(1_700_000_000_000), state: tbflow.New(), learner: NewLearner(), rebalancer: NewRebalancer(), seq: map[string]uint64{},
		fleet: tbfleet.New(tbfleet.Params{
			Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, MaxDeliveryDelay: 12 * time.Second, ClockRateBound: 0.02,
			PollWait: time.Second, OrderTimeout: time.Second, SilenceTimeout: time.Hour, PollRetryDelay: time.Second,
		}, 1),
	}
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "short", Key: tbflow.QueueKey{Host: "h", Prefix: "/short/"}, WorkerClass: "c", MaxFailures: 3, Slack: 1.5, Target: 250 * time.Millisecond},
		{Name: "watch", Key: tbflow.QueueKey{Host: "h", Prefix: "/watch/"}, WorkerClass: "c", MaxFailures: 3, Slack: 2},
		{Name: "fill", Key: tbflow.QueueKey{Host: "h", Prefix: "/fill/"}, WorkerClass: "c", MaxFailures: 3, Slack: 2, Priority: 2, Target: time.Second},
	}}})
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		b.fleet.HandleReport(b.now, tbfleet.Report{
			ID: id, Address: id, Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1,
			Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
		})
	}
	return b
}

func (b *fixture) submit(queue, id string, s tbflow.Step) {
	reason := b.state.Apply(b.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/" + queue + "/" + id, Job: tbflow.Job{ID: id, Steps: []tbflow.Step{s}}})
	qt.Assert(b.t, reason, qt.Equals, tbflow.OK)
}

// planAndCommit makes a plan, commits the plan and returns its runs.
func (b *fixture) planAndCommit() []tbflow.Assignment {
	runs := Plan(b.now, b.state, b.fleet, b.learner, b.rebalancer, 1000)
	c := tbflow.Assign{Assignments: runs}
	b.state.Apply(b.now.UnixMilli(), c)
	b.fleet.HandleApplied(b.now, b.state, c)
	return runs
}

// poll simulates one answered poll of a worker and passes it to the learner. All runs of the
// worker are reported with 100 percent progress and the measurement that measure returns.
func (b *fixture) poll(id string, measure func(s *tbflow.Step, r *tbfleet.Run) int64) *tbfleet.Worker {
	w := b.fleet.Worker(id)
	a := tbfleet.PollAnswered{Worker: id, Incarnation: 1, ActualIncarnation: 1, Outcome: tbfleet.Accepted, SentAt: b.now, ClockMs: 1}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		a.Running = append(a.Running, tbfleet.ListedRun{Ref: ref, Run: r.Number, Progress: 100, Measurement: measure(b.state.StepOf(ref), r)})
	})
	b.fleet.HandlePollAnswered(b.now, a)
	b.learner.ObservePoll(b.now, b.state, w)
	return w
}

// countLongRunningByImage returns the number of long-running tasks of each image on a worker.
func countLongRunningByImage(s *tbflow.State, w *tbfleet.Worker) map[string]int {
	images := map[string]int{}
	w.EachRun(func(ref tbflow.TaskRef, _ *tbfleet.Run) {
		if step := s.StepOf(ref); step != nil && step.LongRunning {
			images[step.Image]++
		}
	})
	return images
}

func resources(processors float64) tbresource.Amount {
	return tbresource.Amount{MilliProcessors: int64(processors * 1000), MemoryMB: 1000}
}

func longRunningStep(count int, image string) tbflow.Step {
	return tbflow.Step{Count: count, Need: resources(6), LongRunning: true, Image: image, TailTarget: 50 * time.Millisecond}
}

func bestEffortStep(count int, image string) tbflow.Step {
	return tbflow.Step{Count: count, Need: resources(3), BestEffort: true, Image: image, Estimate: 2 * time.Second, Checkpoints: true}
}

// Long-running tasks that request nearly the whole worker are waiting when a short job arrives. The
// long-running tasks are not overdue yet, so the short job is placed first.
func TestShortJobsStartBeforeWaitingLongRunningTasks(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("watch", "w1", longRunningStep(5, "a"))
	b.now = b.now.Add(time.Second)
	b.submit("short", "s1", tbflow.Step{Count: 4, Need: resources(6), Estimate: 500 * time.Millisecond})
	runs := b.planAndCommit()
	qt.Assert(t, len(runs) > 3, qt.IsTrue)
	for _, r := range runs[:4] {
		qt.Check(t, r.Ref.Job, qt.Equals, "s1")
	}
}

// A long-running task is stopped while short jobs keep arriving. Each plan used to give all free
// capacity to short jobs first, so that the task did not run for ten seconds or more.
func TestOverdueLongRunningTaskStartsBeforeShortJobs(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("watch", "w1", longRunningStep(4, "a"))
	longRunningRuns := b.planAndCommit()
	qt.Assert(t, longRunningRuns, qt.HasLen, 4)
	recordEnd := func(r tbflow.Assignment, kind tbflow.EndKind) {
		c := tbflow.RecordEnds{Worker: r.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: r.Ref, Run: r.Run, Kind: kind}}}
		b.state.Apply(b.now.UnixMilli(), c)
		b.fleet.HandleApplied(b.now, b.state, c)
	}
	submitShort := func(n int) {
		b.submit("short", fmt.Sprintf("s%d", n), tbflow.Step{Count: 2, Need: resources(4), Estimate: 500 * time.Millisecond})
	}
	submitShort(0)
	shortRuns := b.planAndCommit()
	recordEnd(longRunningRuns[0], tbflow.EndStopped)
	waitingTask := b.state.Jobs["w1"].Task(longRunningRuns[0].Ref)
	for i := range 6 {
		submitShort(i + 1)
		shortRuns = append(shortRuns, b.planAndCommit()...)
		if waitingTask.Phase == tbflow.TaskAssigned {
			break
		}
		b.now = b.now.Add(400 * time.Millisecond)
		b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
		for _, r := range shortRuns[:2] {
			recordEnd(r, tbflow.EndDone)
		}
		shortRuns = shortRuns[2:]
	}
	qt.Check(t, waitingTask.Phase, qt.Equals, tbflow.TaskAssigned)
}

// More long-running tasks are waiting than fit. They must leave a share of each worker free for
// short jobs, even if no short job is waiting at the moment.
func TestLongRunningTasksLeaveHeadroomForShortJobs(t *testing.T) {
	b := newFixture(t, 4)
	b.submit("watch", "w1", tbflow.Step{Count: 40, Need: resources(5), LongRunning: true, Image: "a"})
	b.planAndCommit()
	b.submit("short", "s1", tbflow.Step{Count: 4, Need: resources(2), Estimate: 500 * time.Millisecond})
	b.planAndCommit()
	b.state.Jobs["s1"].EachTask(func(ref tbflow.TaskRef, task *tbflow.Task) {
		qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned, qt.Commentf("%s", ref))
	})
	// Now that short tasks are known, long-running tasks use the slots that are to spare. When the
	// short tasks have ended, as many must still find room.
	b.planAndCommit()
	b.state.Jobs["s1"].EachTask(func(ref tbflow.TaskRef, task *tbflow.Task) {
		b.commit(tbflow.RecordEnds{Worker: task.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: ref, Run: 1, Kind: tbflow.EndDone}}})
	})
	for range 3 {
		b.planAndCommit()
	}
	b.submit("short", "s2", tbflow.Step{Count: 4, Need: resources(2), Estimate: 500 * time.Millisecond})
	b.planAndCommit()
	b.state.Jobs["s2"].EachTask(func(ref tbflow.TaskRef, task *tbflow.Task) {
		qt.Check(t, task.Phase, qt.Equals, tbflow.TaskAssigned, qt.Commentf("%s", ref))
	})
}

// Best-effort jobs that can still be on time start before those that cannot.
func TestLateJobsStartAfterJobsThatCanBeOnTime(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("fill", "late", bestEffortStep(1, "x"))
	b.now = b.now.Add(30 * time.Second)
	b.submit("fill", "fresh", bestEffortStep(1, "x"))
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	runs := b.planAndCommit()
	qt.Assert(t, runs, qt.HasLen, 2)
	qt.Check(t, runs[0].Ref.Job, qt.Equals, "fresh")
}

// Many long-running jobs of two images arrive at once on an empty fleet. There are enough workers
// for both images, so no worker gets tasks of both.
func TestLongRunningTasksOfOneImageShareWorkers(t *testing.T) {
	b := newFixture(t, 8)
	for i, image := range []string{"a", "b", "a", "b"} {
		b.submit("watch", fmt.Sprintf("w%d", i), longRunningStep(4, image))
	}
	qt.Assert(t, b.planAndCommit(), qt.HasLen, 16)
	for _, w := range b.fleet.Workers() {
		qt.Check(t, len(countLongRunningByImage(b.state, w)) <= 1, qt.IsTrue, qt.Commentf("%s has %v", w.ID, countLongRunningByImage(b.state, w)))
	}
}

func TestGangIsPlacedAtomically(t *testing.T) {
	b := newFixture(t, 1)
	gang := tbflow.Step{Count: 3, Need: resources(16), Gang: true, Estimate: time.Second}
	b.submit("short", "g", gang)
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
	// The capacity that the gang could not use is available to other steps.
	b.submit("short", "s", tbflow.Step{Count: 2, Need: resources(16), Estimate: time.Second})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 2)
}

func TestSpreadLimitHoldsWithinOnePlan(t *testing.T) {
	b := newFixture(t, 3)
	b.submit("short", "s", tbflow.Step{Count: 9, Need: resources(1), SpreadLimit: 2, Estimate: time.Second})
	perWorker := map[string]int{}
	for _, r := range b.planAndCommit() {
		perWorker[r.Worker]++
	}
	qt.Check(t, perWorker, qt.DeepEquals, map[string]int{"w00": 2, "w01": 2, "w02": 2})
}

// interferenceMeasurements simulates the measurements of a worker. The tail latency of a
// long-running task is 10 ms at load 0 and grows as 1/(1 - load). The load is the sum of the
// task's own load, which varies, and the interference of image "bad", which grows with the
// processors that "bad" uses.
func interferenceMeasurements(b *fixture, rng *rand.Rand, tick int) func(s *tbflow.Step, r *tbfleet.Run) int64 {
	harmfulShare := 0.0
	w := b.fleet.Worker("w00")
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if s := b.state.StepOf(ref); s.Image == "bad" {
			harmfulShare += 3 * float64(r.Speed) / 100 / 32
		}
	})
	return func(s *tbflow.Step, r *tbfleet.Run) int64 {
		if s.BestEffort {
			return s.Need.MilliProcessors * int64(r.Speed) / 100
		}
		ownLoad := 0.45 + 0.15*float64(tick%17)/17
		load := ownLoad + 1.4*harmfulShare + 0.01*rng.Float64()
		return int64(10 / max(0.005, 1-load))
	}
}

// Two best-effort images run beside a long-running one, and one of them harms it. From 60 polls,
// the model learns which image is harmful. After that, only the harmful image is slowed down.
func TestLearnsHarmfulImageAndSlowsOnlyThatImage(t *testing.T) {
	b := newFixture(t, 1)
	rng := rand.New(rand.NewPCG(7, 7))
	b.submit("watch", "w", longRunningStep(3, "watch"))
	b.planAndCommit()
	b.submit("fill", "f1", bestEffortStep(2, "bad"))
	b.submit("fill", "f2", bestEffortStep(2, "good"))
	b.planAndCommit()
	violations := 0
	for tick := range 120 {
		b.now = b.now.Add(time.Second)
		if tick < 60 && tick%5 == 0 {
			// One task of each image is suspended and resumed in turn while the model learns.
			for i, id := range []string{"f1", "f2"} {
				b.fleet.SetSpeed(b.now, "w00", tbflow.TaskRef{Job: id}, 100*((tick/5+i)%2))
			}
		}
		w := b.poll("w00", interferenceMeasurements(b, rng, tick))
		if tick >= 60 {
			for _, change := range b.learner.SpeedChanges(b.now, b.state, w) {
				b.fleet.SetSpeed(b.now, "w00", change.Ref, change.Percent)
			}
			w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
				if s := b.state.StepOf(ref); s.LongRunning && r.Measurement > 50 && tick > 65 {
					violations++
				}
			})
		}
	}
	qt.Check(t, b.learner.slope("watch", "bad") < -3, qt.IsTrue, qt.Commentf("slope of bad: %v", b.learner.slope("watch", "bad")))
	qt.Check(t, b.learner.slope("watch", "good") > harmlessSlope, qt.IsTrue, qt.Commentf("slope of good: %v", b.learner.slope("watch", "good")))
	qt.Check(t, violations, qt.Equals, 0)
	b.fleet.Worker("w00").EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if b.state.StepOf(ref).Image == "good" {
			qt.Check(t, r.Speed, qt.Equals, tbfleet.FullSpeed)
		}
	})
}

// All best-effort tasks are suspended if a tail latency stays over its target and the model cannot
// explain it.
func TestSuspendsAllBestEffortTasksAfterLongTargetViolation(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("watch", "w", longRunningStep(1, "watch"))
	b.planAndCommit()
	b.submit("fill", "f", bestEffortStep(1, "x"))
	b.planAndCommit()
	var changes []SpeedChange
	for range 4 {
		b.now = b.now.Add(time.Second)
		w := b.poll("w00", func(s *tbflow.Step, _ *tbfleet.Run) int64 { return 70 })
		changes = append(changes, b.learner.SpeedChanges(b.now, b.state, w)...)
		for _, change := range changes {
			b.fleet.SetSpeed(b.now, "w00", change.Ref, change.Percent)
		}
	}
	qt.Assert(t, len(changes) > 0, qt.IsTrue)
	qt.Check(t, changes[len(changes)-1].Percent, qt.Equals, 0)
}

// A tail latency oscillates around its target of 50 ms. Best-effort tasks are suspended after a
// period over the target. Each measurement below the target used to restart that period, so
// best-effort tasks ran on for seconds.
func TestSuspendsAllBestEffortTasksWhenTailOscillatesAroundTarget(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("watch", "w", longRunningStep(1, "watch"))
	b.planAndCommit()
	b.submit("fill", "f", bestEffortStep(8, "x"))
	b.planAndCommit()
	suspended := false
	for _, measurement := range []int64{51, 49, 51, 48} {
		b.now = b.now.Add(time.Second)
		w := b.poll("w00", func(s *tbflow.Step, _ *tbfleet.Run) int64 { return measurement })
		for _, change := range b.learner.SpeedChanges(b.now, b.state, w) {
			b.fleet.SetSpeed(b.now, "w00", change.Ref, change.Percent)
		}
		maxSpeed := 0
		w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
			if b.state.StepOf(ref).BestEffort {
				maxSpeed = max(maxSpeed, r.Speed)
			}
		})
		suspended = suspended || maxSpeed == 0
	}
	qt.Check(t, suspended, qt.IsTrue)
}

// A worker answers its polls, but a task on it makes no progress.
func TestDetectsStalledRun(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("short", "s", tbflow.Step{Count: 1, Need: resources(1), Estimate: 500 * time.Millisecond})
	b.planAndCommit()
	w := b.fleet.Worker("w00")
	ref := tbflow.TaskRef{Job: "s"}
	begin := b.now
	for range 3 {
		b.now = b.now.Add(700 * time.Millisecond)
		b.fleet.HandlePollAnswered(b.now, tbfleet.PollAnswered{
			Worker: "w00", Incarnation: 1, ActualIncarnation: 1, Outcome: tbfleet.Accepted, SentAt: b.now, ClockMs: 1 + b.now.Sub(begin).Milliseconds(),
			Running: []tbfleet.ListedRun{{Ref: ref, Run: 1, Progress: 30}},
		})
	}
	qt.Check(t, b.learner.StalledRuns(b.now, b.state, w), qt.DeepEquals, []tbflow.TaskRef{ref})
}

// Long-running tasks are waiting, and each worker has little free capacity. A task that fits on
// two workers must not wait for longer than headroomWaitMs because of the headroom for short jobs.
// In simulations with random faults (seed 1033959856353), workers were lost for good and such a
// task waited for 25 s.
func TestHeadroomDoesNotBlockLongRunningTaskThatFitsOnTwoWorkers(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("watch", "w1", tbflow.Step{Count: 2, Need: resources(26), LongRunning: true, Image: "a"})
	qt.Assert(t, b.planAndCommit(), qt.HasLen, 2)
	b.submit("watch", "w2", tbflow.Step{Count: 1, Need: resources(5), LongRunning: true, Image: "a"})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
	b.now = b.now.Add(2 * time.Second)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 1)
	// Only one worker has room for w3, and starting w3 there would use up its headroom. So w3 must
	// not be started.
	b.submit("watch", "w3", tbflow.Step{Count: 1, Need: resources(5), LongRunning: true, Image: "a"})
	b.now = b.now.Add(2 * time.Second)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
}

func TestNextLeaderRestoresLearnedSlopes(t *testing.T) {
	l := NewLearner()
	m := l.getOrAddFilter("watch")
	for range 200 {
		m.update([]usageChange{{m.getOrAddIndex("bad"), 0.2}}, -1.4)
		m.update([]usageChange{{m.getOrAddIndex("good"), 0.2}}, 0)
	}
	m.getOrAddIndex("unseen")
	qt.Check(t, l.KnownInterference(), qt.HasLen, 2)
	nextLearner := NewLearner()
	nextLearner.RestoreInterference(l.KnownInterference())
	for _, image := range []string{"bad", "good"} {
		qt.Check(t, nextLearner.slope("watch", image), qt.Equals, l.slope("watch", image))
	}
	qt.Check(t, nextLearner.slope("watch", "unseen"), qt.Equals, priorSlope)
}

// Best-effort work arrives ten times faster than it can be done, for minutes. Its jobs are
// rejected with a retry delay once the backlog is too long, and accepted again when the backlog is
// shorter. Short jobs do not wait for best-effort work and are always accepted.
func TestAdmitRejectsOnlyWhenBacklogIsTooLong(t *testing.T) {
	b := newFixture(t, 1)
	fillJobQueue := b.state.Config.Match("h", "/fill/x")
	shortJobQueue := b.state.Config.Match("h", "/short/x")
	nextJob := &tbflow.Job{Steps: []tbflow.Step{bestEffortStep(1, "x")}}
	accepted := 0
	for i := range 1000 {
		a := Admit(b.now, b.state, b.fleet, b.learner, fillJobQueue, nextJob)
		if !a.IsAccepted() {
			qt.Check(t, a.RetryAfter >= 0, qt.IsTrue)
			break
		}
		accepted++
		b.submit("fill", fmt.Sprintf("f%d", i), bestEffortStep(8, "x"))
	}
	// Best-effort work gets 0.4 of the 32 processors for 90 s; each job takes 48 processor
	// seconds.
	qt.Check(t, accepted >= 24 && accepted <= 25, qt.IsTrue, qt.Commentf("%d jobs were accepted", accepted))
	a := Admit(b.now, b.state, b.fleet, b.learner, shortJobQueue, &tbflow.Job{Steps: []tbflow.Step{{Count: 1, Need: resources(1)}}})
	qt.Check(t, a.IsAccepted(), qt.IsTrue)
	for _, j := range b.state.Active()[:2] {
		b.state.Apply(b.now.UnixMilli(), tbflow.Cancel{ID: j.ID, Host: "h", Path: "/fill/" + j.ID})
	}
	a = Admit(b.now, b.state, b.fleet, b.learner, fillJobQueue, nextJob)
	qt.Check(t, a.IsAccepted(), qt.IsTrue)
}

// Half of the workers run a long-running image that "bad" harms. Harmless best-effort work arrives
// first. The harmless work must not use the other half of the workers, which "bad" needs.
func TestHarmlessWorkLeavesScarceWorkersToHarmfulImages(t *testing.T) {
	b := newFixture(t, 4)
	b.submit("watch", "w1", longRunningStep(8, "sensitive"))
	b.planAndCommit()
	b.submit("watch", "w2", longRunningStep(8, "immune"))
	b.planAndCommit()
	for _, s := range []tbflow.Interference{
		{LongRunningImage: "sensitive", BestEffortImage: "bad", Slope: -7}, {LongRunningImage: "immune", BestEffortImage: "bad", Slope: -0.3},
		{LongRunningImage: "sensitive", BestEffortImage: "good", Slope: -0.3}, {LongRunningImage: "immune", BestEffortImage: "good", Slope: -0.3},
	} {
		b.learner.RestoreInterference([]tbflow.Interference{s})
	}
	b.submit("fill", "f1", bestEffortStep(4, "good"))
	for _, r := range b.planAndCommit() {
		images := countLongRunningByImage(b.state, b.fleet.Worker(r.Worker))
		qt.Check(t, images["sensitive"] > 0, qt.IsTrue, qt.Commentf("%s has %v", r.Worker, images))
	}
	b.submit("fill", "f2", bestEffortStep(4, "bad"))
	for _, r := range b.planAndCommit() {
		images := countLongRunningByImage(b.state, b.fleet.Worker(r.Worker))
		qt.Check(t, images["immune"] > 0, qt.IsTrue, qt.Commentf("%s has %v", r.Worker, images))
	}
}

// A new leader has heard from only one worker while a normal backlog is waiting for the worker
// class. No job may be rejected only because the leader has not heard from the other workers. In
// one failure, eight jobs were rejected with a retry delay of 288 s.
func TestAdmitCountsWorkersThatNewLeaderHasNotHeardFrom(t *testing.T) {
	b := newFixture(t, 0)
	for i := range 10 {
		b.state.Apply(b.now.UnixMilli(), tbflow.RecordWorker{
			Worker: fmt.Sprintf("w%02d", i), Incarnation: 1, Address: fmt.Sprintf("w%02d", i), Class: "c",
			Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
		})
	}
	for i := range 100 {
		b.submit("fill", fmt.Sprintf("f%d", i), bestEffortStep(8, "x"))
	}
	b.fleet.TakeOver(b.now, b.state, tbfleet.NewOutstandingTimes(b.now, b.state))
	b.fleet.HandleReport(b.now, tbfleet.Report{
		ID: "w00", Address: "w00", Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
	})
	b.fleet.HandlePollAnswered(b.now, tbfleet.PollAnswered{Worker: "w00", Incarnation: 1, ActualIncarnation: 1, Outcome: tbfleet.Accepted, SentAt: b.now, ClockMs: 1})
	q := b.state.Config.Match("h", "/fill/x")
	a := Admit(b.now, b.state, b.fleet, b.learner, q, &tbflow.Job{Steps: []tbflow.Step{bestEffortStep(1, "x")}})
	qt.Check(t, a.IsAccepted(), qt.IsTrue, qt.Commentf("rejected for %s", a.RetryAfter))
}

// Workers come and go for months. If the measurements of removed workers were kept, memory use
// would grow all the time.
func TestRemoveWorkerDropsSamplesOfTheWorker(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("watch", "w", longRunningStep(1, "a"))
	b.planAndCommit()
	b.poll("w00", func(*tbflow.Step, *tbfleet.Run) int64 { return 70 })
	b.learner.SpeedChanges(b.now, b.state, b.fleet.Worker("w00"))
	qt.Check(t, len(b.learner.lastSamples)+len(b.learner.violatingSince), qt.Equals, 2)
	b.learner.RemoveWorker("w00")
	qt.Check(t, len(b.learner.lastSamples)+len(b.learner.violatingSince), qt.Equals, 0)
}

// A long-running task fails on its worker while all other workers are full. It used to avoid that worker for
// ever, so that it did not run although there was room for it.
func TestFailedTaskReturnsToItsWorkerIfNoOtherHasRoom(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("watch", "full", longRunningStep(5, "a"))
	b.submit("watch", "w", tbflow.Step{Count: 1, Need: resources(6), LongRunning: true, Image: "b"})
	apply := func(c tbflow.Command) {
		b.state.Apply(b.now.UnixMilli(), c)
		b.fleet.HandleApplied(b.now, b.state, c)
	}
	failed := tbflow.TaskRef{Job: "w"}
	assign := tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: failed, Run: 1, Worker: "w01", Incarnation: 1}}}
	for i := range 5 {
		assign.Assignments = append(assign.Assignments, tbflow.Assignment{Ref: tbflow.TaskRef{Job: "full", Index: i}, Run: 1, Worker: "w00", Incarnation: 1})
	}
	apply(assign)
	apply(tbflow.RecordEnds{Worker: "w01", Incarnation: 1, Ends: []tbflow.End{{Ref: failed, Run: 1, Kind: tbflow.EndFailed}}})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
	b.now = b.now.Add((avoidWaitMs + 1) * time.Millisecond)
	apply(tbflow.PutConfig{})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 1)
}

// Guards against a full class that keeps best-effort work of the same image from idle workers of another class.
func TestFullClassDoesNotHoldBestEffortWorkOfAnotherClass(t *testing.T) {
	r := newReplay(t, 1, Features{})
	r.fleet.HandleReport(r.now, tbfleet.Report{
		ID: "other", Address: "other", Incarnation: 1, Class: "d", ClockMs: 1, Sequence: 1, Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
	})
	config := tbflow.Config{Version: 2, Queues: append(r.state.Config.Queues, tbflow.Queue{
		Name: "other", Key: tbflow.QueueKey{Host: "h", Prefix: "/other/"}, WorkerClass: "d", MaxFailures: 3, Slack: 2, Priority: 2, Target: time.Second,
	})}
	r.commit(tbflow.PutConfig{Config: config})
	for i := range 12 {
		r.submit("fill", fmt.Sprintf("full%d", i), bestEffortStep(1, "x"))
	}
	r.advance(replayTick)
	r.submit("other", "other", bestEffortStep(4, "x"))
	r.advance(replayTick)
	qt.Check(t, r.state.Jobs["full11"].WaitingTasks(0, 0), qt.Equals, 1)
	qt.Check(t, r.state.Jobs["other"].AssignedTasks(0, 0), qt.Equals, 4)
}
