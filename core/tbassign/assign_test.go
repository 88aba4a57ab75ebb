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

// bench is a state and a fleet of instances of 32 processors.
type bench struct {
	t     testing.TB
	now   time.Time
	state *tbflow.State
	fleet *tbfleet.Fleet
	learn *Learner
	group *Rebalancer
	seq   map[string]uint64
}

func newBench(t testing.TB, workers int) *bench {
	b := &bench{
		t: t, now: time.UnixMilli(1_700_000_000_000), state: tbflow.New(), learn: NewLearner(), group: NewRebalancer(), seq: map[string]uint64{},
		fleet: tbfleet.New(tbfleet.Terms{
			Lease: 4 * time.Second, LongestLease: 6 * time.Second, LongestDelay: 12 * time.Second, ClockRateBound: 0.02,
			LookWait: time.Second, OrderTimeout: time.Second, HeartbeatSilence: time.Hour, RetryPause: time.Second,
		}, 1),
	}
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "short", Key: tbflow.QueueKey{Host: "h", Prefix: "/short/"}, WorkerClass: "c", MaxAttempts: 3, Slack: 1.5, Target: 250 * time.Millisecond},
		{Name: "watch", Key: tbflow.QueueKey{Host: "h", Prefix: "/watch/"}, WorkerClass: "c", MaxAttempts: 3, Slack: 2},
		{Name: "fill", Key: tbflow.QueueKey{Host: "h", Prefix: "/fill/"}, WorkerClass: "c", MaxAttempts: 3, Slack: 2, Priority: 2, Target: time.Second},
	}}})
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		b.fleet.Heard(b.now, tbfleet.Report{
			ID: id, Address: id, Born: 1, Class: "c", ClockMs: 1, Sequence: 1,
			Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
		})
	}
	return b
}

func (b *bench) submit(queue, id string, s tbflow.Step) {
	reason := b.state.Apply(b.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/" + queue + "/" + id, Job: tbflow.Job{ID: id, Steps: []tbflow.Step{s}}})
	qt.Assert(b.t, reason, qt.Equals, tbflow.OK)
}

// plan commits one plan and returns it.
func (b *bench) plan() []tbflow.Assignment {
	runs := Plan(b.now, b.state, b.fleet, b.learn, b.group, 1000)
	c := tbflow.Assign{Runs: runs}
	b.state.Apply(b.now.UnixMilli(), c)
	b.fleet.Applied(b.now, b.state, c)
	return runs
}

// look reports the runs of a worker as going on with a reading each.
func (b *bench) look(id string, reading func(s *tbflow.Step, r *tbfleet.Run) int64) *tbfleet.Worker {
	w := b.fleet.Worker(id)
	a := tbfleet.LookAnswered{Worker: id, Born: 1, ActualBorn: 1, Verdict: tbfleet.Accepted, SentAt: b.now, ClockMs: 1}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		a.Running = append(a.Running, tbfleet.RunReport{Ref: ref, Run: r.Run, Percent: 100, Reading: reading(b.state.StepOf(ref), r)})
	})
	b.fleet.LookAnswered(b.now, a)
	b.learn.Observe(b.now, b.state, w)
	return w
}

// lastingImages counts the lasting tasks of a worker by image.
func lastingImages(s *tbflow.State, w *tbfleet.Worker) map[string]int {
	images := map[string]int{}
	w.EachRun(func(ref tbflow.TaskRef, _ *tbfleet.Run) {
		if step := s.StepOf(ref); step != nil && step.Lasting {
			images[step.Image]++
		}
	})
	return images
}

func need(processors float64) tbresource.Amount {
	return tbresource.Amount{MilliProcessors: int64(processors * 1000), MemoryMB: 1000}
}

func watcher(count int, image string) tbflow.Step {
	return tbflow.Step{Count: count, Need: need(6), Lasting: true, Image: image, TailTarget: 50 * time.Millisecond}
}

func filler(count int, image string) tbflow.Step {
	return tbflow.Step{Count: count, Need: need(3), Fills: true, Image: image, Estimate: 2 * time.Second, Checkpoints: true}
}

// A full day: lasting tasks have reserved nearly everything and more of them wait when
// a short job arrives. The short job takes the gap that is left.
func TestShortJobsGoBeforeWaitingLastingTasks(t *testing.T) {
	b := newBench(t, 1)
	b.submit("watch", "w1", watcher(5, "a"))
	b.now = b.now.Add(time.Second)
	b.submit("short", "s1", tbflow.Step{Count: 4, Need: need(6), Estimate: 500 * time.Millisecond})
	runs := b.plan()
	qt.Assert(t, len(runs) > 3, qt.IsTrue)
	for _, r := range runs[:4] {
		qt.Check(t, r.Ref.Job, qt.Equals, "s1")
	}
}

// A lasting task lost its place on a full day, and short jobs keep coming: each plan filled
// every gap with them first, and the task was away for ten seconds and more.
func TestLastingTaskThatWaitsForLongGoesBeforeShortJobs(t *testing.T) {
	b := newBench(t, 1)
	b.submit("watch", "w1", watcher(4, "a"))
	watchers := b.plan()
	qt.Assert(t, watchers, qt.HasLen, 4)
	end := func(r tbflow.Assignment, kind tbflow.EndKind) {
		c := tbflow.NoteEnds{Worker: r.Worker, Born: 1, Ends: []tbflow.End{{Ref: r.Ref, Run: r.Run, Kind: kind}}}
		b.state.Apply(b.now.UnixMilli(), c)
		b.fleet.Applied(b.now, b.state, c)
	}
	short := func(n int) {
		b.submit("short", fmt.Sprintf("s%d", n), tbflow.Step{Count: 2, Need: need(4), Estimate: 500 * time.Millisecond})
	}
	short(0)
	running := b.plan()
	end(watchers[0], tbflow.EndStopped)
	lost := b.state.Jobs["w1"].Task(watchers[0].Ref)
	for i := range 6 {
		short(i + 1)
		running = append(running, b.plan()...)
		if lost.Phase == tbflow.TaskAssigned {
			break
		}
		b.now = b.now.Add(400 * time.Millisecond)
		b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
		for _, r := range running[:2] {
			end(r, tbflow.EndDone)
		}
		running = running[2:]
	}
	qt.Check(t, lost.Phase, qt.Equals, tbflow.TaskAssigned)
}

// Lasting tasks arrive faster than they end: a share of each instance stays free for
// short jobs, though nothing waits at the moment.
func TestLastingTasksLeaveRoomForShortOnes(t *testing.T) {
	b := newBench(t, 4)
	b.submit("watch", "w1", tbflow.Step{Count: 40, Need: need(5), Lasting: true, Image: "a"})
	b.plan()
	b.submit("short", "s1", tbflow.Step{Count: 4, Need: need(2), Estimate: 500 * time.Millisecond})
	qt.Check(t, b.plan(), qt.HasLen, 4)
}

// A burst of filling jobs: those that can still be on time go before those that cannot.
func TestLateJobsGoBehindThoseThatCanBeOnTime(t *testing.T) {
	b := newBench(t, 1)
	b.submit("fill", "late", filler(1, "x"))
	b.now = b.now.Add(30 * time.Second)
	b.submit("fill", "fresh", filler(1, "x"))
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	runs := b.plan()
	qt.Assert(t, runs, qt.HasLen, 2)
	qt.Check(t, runs[0].Ref.Job, qt.Equals, "fresh")
}

// The start of a day: many lasting jobs of several images arrive at once on an empty
// fleet. Each instance gets one image as long as there are enough instances.
func TestLastingTasksOfOneImageShareInstances(t *testing.T) {
	b := newBench(t, 8)
	for i, image := range []string{"a", "b", "a", "b"} {
		b.submit("watch", fmt.Sprintf("w%d", i), watcher(4, image))
	}
	qt.Assert(t, b.plan(), qt.HasLen, 16)
	for _, w := range b.fleet.Workers() {
		qt.Check(t, len(lastingImages(b.state, w)) <= 1, qt.IsTrue, qt.Commentf("%s has %v", w.ID, lastingImages(b.state, w)))
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newBench(t, 1)
	gang := tbflow.Step{Count: 3, Need: need(16), Gang: true, Estimate: time.Second}
	b.submit("short", "g", gang)
	qt.Check(t, b.plan(), qt.HasLen, 0)
	// What the gang could not use is there for others.
	b.submit("short", "s", tbflow.Step{Count: 2, Need: need(16), Estimate: time.Second})
	qt.Check(t, b.plan(), qt.HasLen, 2)
}

func TestSpreadLimitHoldsWithinOnePlan(t *testing.T) {
	b := newBench(t, 3)
	b.submit("short", "s", tbflow.Step{Count: 9, Need: need(1), SpreadLimit: 2, Estimate: time.Second})
	perWorker := map[string]int{}
	for _, r := range b.plan() {
		perWorker[r.Worker]++
	}
	qt.Check(t, perWorker, qt.DeepEquals, map[string]int{"w00": 2, "w01": 2, "w02": 2})
}

// harmed replays a lasting image whose tail is 10 ms on an idle instance, rises with its
// own swinging load, and grows as 1/(1 - load) with what image "bad" uses beside it.
func harmed(b *bench, rng *rand.Rand, tick int) func(s *tbflow.Step, r *tbfleet.Run) int64 {
	bad := 0.0
	w := b.fleet.Worker("w00")
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if s := b.state.StepOf(ref); s.Image == "bad" {
			bad += 3 * float64(r.Pace) / 100 / 32
		}
	})
	return func(s *tbflow.Step, r *tbfleet.Run) int64 {
		if s.Fills {
			return s.Need.MilliProcessors * int64(r.Pace) / 100
		}
		swing := 0.45 + 0.15*float64(tick%17)/17
		load := swing + 1.4*bad + 0.01*rng.Float64()
		return int64(10 / max(0.005, 1-load))
	}
}

// Two filling images work beside a lasting one, and one of them harms it. The model
// finds out which within a day's worth of looks, and only that one is slowed.
func TestLearnsWhichImageHarmsAndSlowsOnlyThat(t *testing.T) {
	b := newBench(t, 1)
	rng := rand.New(rand.NewPCG(7, 7))
	b.submit("watch", "w", watcher(3, "watch"))
	b.plan()
	b.submit("fill", "f1", filler(2, "bad"))
	b.submit("fill", "f2", filler(2, "good"))
	b.plan()
	over := 0
	for tick := range 120 {
		b.now = b.now.Add(time.Second)
		if tick < 60 && tick%5 == 0 {
			// Tasks of both images come and go while the model learns.
			for i, id := range []string{"f1", "f2"} {
				b.fleet.SetPace(b.now, "w00", tbflow.TaskRef{Job: id}, 100*((tick/5+i)%2))
			}
		}
		w := b.look("w00", harmed(b, rng, tick))
		if tick >= 60 {
			for _, p := range b.learn.Paces(b.now, b.state, w) {
				b.fleet.SetPace(b.now, "w00", p.Ref, p.Percent)
			}
			w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
				if s := b.state.StepOf(ref); s.Lasting && r.Reading > 50 && tick > 65 {
					over++
				}
			})
		}
	}
	qt.Check(t, b.learn.slope("watch", "bad") < -3, qt.IsTrue, qt.Commentf("slope of bad: %v", b.learn.slope("watch", "bad")))
	qt.Check(t, b.learn.slope("watch", "good") > harmlessSlope, qt.IsTrue, qt.Commentf("slope of good: %v", b.learn.slope("watch", "good")))
	qt.Check(t, over, qt.Equals, 0)
	b.fleet.Worker("w00").EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if b.state.StepOf(ref).Image == "good" {
			qt.Check(t, r.Pace, qt.Equals, tbfleet.FullPace)
		}
	})
}

// When a tail stays over its target and the model does not know why, every filling task stands still.
func TestStopsAllFillersWhenATailStaysOver(t *testing.T) {
	b := newBench(t, 1)
	b.submit("watch", "w", watcher(1, "watch"))
	b.plan()
	b.submit("fill", "f", filler(1, "x"))
	b.plan()
	var last []PaceChange
	for range 4 {
		b.now = b.now.Add(time.Second)
		w := b.look("w00", func(s *tbflow.Step, _ *tbfleet.Run) int64 { return 70 })
		last = append(last, b.learn.Paces(b.now, b.state, w)...)
		for _, p := range last {
			b.fleet.SetPace(b.now, "w00", p.Ref, p.Percent)
		}
	}
	qt.Assert(t, len(last) > 0, qt.IsTrue)
	qt.Check(t, last[len(last)-1].Percent, qt.Equals, 0)
}

// A tail hovers about its target of 50 ms, a reading now above and now below it. Each one below
// began the time anew, and the filling tasks worked on beside it for seconds.
func TestStopsAllFillersWhenATailHoversAtItsTarget(t *testing.T) {
	b := newBench(t, 1)
	b.submit("watch", "w", watcher(1, "watch"))
	b.plan()
	b.submit("fill", "f", filler(8, "x"))
	b.plan()
	stoodStill := false
	for _, reading := range []int64{51, 49, 51, 48} {
		b.now = b.now.Add(time.Second)
		w := b.look("w00", func(s *tbflow.Step, _ *tbfleet.Run) int64 { return reading })
		for _, p := range b.learn.Paces(b.now, b.state, w) {
			b.fleet.SetPace(b.now, "w00", p.Ref, p.Percent)
		}
		fastest := 0
		w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
			if b.state.StepOf(ref).Fills {
				fastest = max(fastest, r.Pace)
			}
		})
		stoodStill = stoodStill || fastest == 0
	}
	qt.Check(t, stoodStill, qt.IsTrue)
}

// A worker answers, but a task on it makes no progress.
func TestFindsARunThatStandsStill(t *testing.T) {
	b := newBench(t, 1)
	b.submit("short", "s", tbflow.Step{Count: 1, Need: need(1), Estimate: 500 * time.Millisecond})
	b.plan()
	w := b.fleet.Worker("w00")
	ref := tbflow.TaskRef{Job: "s"}
	for range 3 {
		b.now = b.now.Add(700 * time.Millisecond)
		b.fleet.LookAnswered(b.now, tbfleet.LookAnswered{
			Worker: "w00", Born: 1, ActualBorn: 1, Verdict: tbfleet.Accepted, SentAt: b.now, ClockMs: 1,
			Running: []tbfleet.RunReport{{Ref: ref, Run: 1, Percent: 30}},
		})
	}
	qt.Check(t, b.learn.Stalled(b.now, b.state, w), qt.DeepEquals, []tbflow.TaskRef{ref})
}

// Instances were lost for good and lasting tasks wait. Where such a task fits twice, it
// is not held back for short jobs for longer than a moment (found by a hunt: a task of
// kollaalert mix, seed 1033959856353, waited for 25 s).
func TestReserveDoesNotHoldALastingTaskThatFitsTwice(t *testing.T) {
	b := newBench(t, 2)
	b.submit("watch", "w1", tbflow.Step{Count: 2, Need: need(26), Lasting: true, Image: "a"})
	qt.Assert(t, b.plan(), qt.HasLen, 2)
	b.submit("watch", "w2", tbflow.Step{Count: 1, Need: need(5), Lasting: true, Image: "a"})
	qt.Check(t, b.plan(), qt.HasLen, 0)
	b.now = b.now.Add(2 * time.Second)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	qt.Check(t, b.plan(), qt.HasLen, 1)
	// It fits only once more now.
	b.submit("watch", "w3", tbflow.Step{Count: 1, Need: need(5), Lasting: true, Image: "a"})
	b.now = b.now.Add(2 * time.Second)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	qt.Check(t, b.plan(), qt.HasLen, 0)
}

func TestNextLeaderStartsFromWhatWasLearned(t *testing.T) {
	l := NewLearner()
	m := l.slopesOf("watch")
	for range 200 {
		m.observe([]weight{{m.figure("bad"), 0.2}}, -1.4)
		m.observe([]weight{{m.figure("good"), 0.2}}, 0)
	}
	m.figure("unseen")
	qt.Check(t, l.Slopes(), qt.HasLen, 2)
	next := NewLearner()
	next.Adopt(l.Slopes())
	for _, image := range []string{"bad", "good"} {
		qt.Check(t, next.slope("watch", image), qt.Equals, l.slope("watch", image))
	}
	qt.Check(t, next.slope("watch", "unseen"), qt.Equals, priorSlope)
}

// Filling work arrives ten times faster than it can be done, for minutes. Callers are
// turned away once the backlog is too long, told when to come back, and accepted again
// when it has drained; short jobs, which do not wait behind it, are accepted throughout.
func TestTurnsAwayOnlyWhatWouldWaitTooLong(t *testing.T) {
	b := newBench(t, 1)
	fill := b.state.Config.Match("h", "/fill/x")
	short := b.state.Config.Match("h", "/short/x")
	next := &tbflow.Job{Steps: []tbflow.Step{filler(1, "x")}}
	accepted := 0
	for i := range 1000 {
		ok, after := Admit(b.state, b.fleet, b.learn, fill, next)
		if !ok {
			qt.Check(t, after >= 0, qt.IsTrue)
			break
		}
		accepted++
		b.submit("fill", fmt.Sprintf("f%d", i), filler(8, "x"))
	}
	// 32 processors of which 0.4 count, for 90 s, over 48 processor-seconds a job.
	qt.Check(t, accepted >= 24 && accepted <= 25, qt.IsTrue, qt.Commentf("%d jobs were accepted", accepted))
	ok, _ := Admit(b.state, b.fleet, b.learn, short, &tbflow.Job{Steps: []tbflow.Step{{Count: 1, Need: need(1)}}})
	qt.Check(t, ok, qt.IsTrue)
	for _, j := range b.state.Active()[:2] {
		b.state.Apply(b.now.UnixMilli(), tbflow.Cancel{ID: j.ID, Host: "h", Path: "/fill/" + j.ID})
	}
	ok, _ = Admit(b.state, b.fleet, b.learn, fill, next)
	qt.Check(t, ok, qt.IsTrue)
}

// Half of the instances run a lasting image that "bad" harms. Harmless filling work that
// arrives first leaves the other half to "bad".
func TestHarmlessWorkLeavesRoomToImagesThatCanGoNowhereElse(t *testing.T) {
	b := newBench(t, 4)
	b.submit("watch", "w1", watcher(8, "sensitive"))
	b.plan()
	b.submit("watch", "w2", watcher(8, "immune"))
	b.plan()
	for _, s := range []tbflow.Slope{
		{Lasting: "sensitive", Filling: "bad", Mean: -7}, {Lasting: "immune", Filling: "bad", Mean: -0.3},
		{Lasting: "sensitive", Filling: "good", Mean: -0.3}, {Lasting: "immune", Filling: "good", Mean: -0.3},
	} {
		b.learn.Adopt([]tbflow.Slope{s})
	}
	b.submit("fill", "f1", filler(4, "good"))
	for _, r := range b.plan() {
		images := lastingImages(b.state, b.fleet.Worker(r.Worker))
		qt.Check(t, images["sensitive"] > 0, qt.IsTrue, qt.Commentf("%s has %v", r.Worker, images))
	}
	b.submit("fill", "f2", filler(4, "bad"))
	for _, r := range b.plan() {
		images := lastingImages(b.state, b.fleet.Worker(r.Worker))
		qt.Check(t, images["immune"] > 0, qt.IsTrue, qt.Commentf("%s has %v", r.Worker, images))
	}
}

// A new leader has heard of one worker only while a normal backlog waits for the pool
// that it took over. Nobody may be turned away for that (tunnelcover-ja inc-2ea4: eight
// jobs were, and told to come back after 288 s).
func TestNewLeaderCountsWorkersThatItHasNotHeardYet(t *testing.T) {
	b := newBench(t, 0)
	for i := range 10 {
		b.state.Apply(b.now.UnixMilli(), tbflow.NoteWorker{
			Worker: fmt.Sprintf("w%02d", i), Born: 1, Address: fmt.Sprintf("w%02d", i), Class: "c",
			Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
		})
	}
	for i := range 100 {
		b.submit("fill", fmt.Sprintf("f%d", i), filler(8, "x"))
	}
	b.fleet.TakeOver(b.now, b.state)
	b.fleet.Heard(b.now, tbfleet.Report{
		ID: "w00", Address: "w00", Born: 1, Class: "c", ClockMs: 1, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 125_000},
	})
	b.fleet.LookAnswered(b.now, tbfleet.LookAnswered{Worker: "w00", Born: 1, ActualBorn: 1, Verdict: tbfleet.Accepted, SentAt: b.now, ClockMs: 1})
	q := b.state.Config.Match("h", "/fill/x")
	ok, after := Admit(b.state, b.fleet, b.learn, q, &tbflow.Job{Steps: []tbflow.Step{filler(1, "x")}})
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("turned away for %s", after))
}

// Workers come and go for months; what was read at those that are gone is not kept.
func TestForgetsReadingsOfWorkersThatAreGone(t *testing.T) {
	b := newBench(t, 1)
	b.submit("watch", "w", watcher(1, "a"))
	b.plan()
	b.look("w00", func(*tbflow.Step, *tbfleet.Run) int64 { return 70 })
	b.learn.Paces(b.now, b.state, b.fleet.Worker("w00"))
	qt.Check(t, len(b.learn.looks)+len(b.learn.overSince), qt.Equals, 2)
	b.learn.Forget("w00")
	qt.Check(t, len(b.learn.looks)+len(b.learn.overSince), qt.Equals, 0)
}
