package tbflow

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbresource"
)

// crashFixture is a state with jobs of one task, each of which is assigned to a worker.
type crashFixture struct {
	t     *testing.T
	s     *State
	nowMs int64
	runs  map[string]uint64
}

func newCrashFixture(t *testing.T, jobs ...string) *crashFixture {
	fx := &crashFixture{t: t, s: New(), nowMs: 1000, runs: map[string]uint64{}}
	key := QueueKey{Host: "h", Prefix: "/q/"}
	fx.apply(PutConfig{Config: Config{Version: 1, Queues: []Queue{{Key: key, WorkerClass: "c", MaxFailures: 3}}}})
	for _, id := range jobs {
		step := Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}}
		qt.Assert(t, fx.apply(Submit{Host: "h", Path: "/q/" + id, Job: Job{ID: id, Steps: []Step{step}}}), qt.Equals, OK)
	}
	return fx
}

func (fx *crashFixture) apply(c Command) Reason {
	fx.nowMs += 10
	return fx.s.Apply(fx.nowMs, c)
}

func (fx *crashFixture) assign(job, worker string) {
	fx.runs[job]++
	fx.apply(Assign{Assignments: []Assignment{{Ref: TaskRef{Job: job}, Run: fx.runs[job], Worker: worker, Incarnation: 1}}})
	qt.Assert(fx.t, fx.s.Jobs[job].Tasks[0][0][0].Worker, qt.Equals, worker)
}

// crash records the crash of a worker under the given jobs, which began ageMs before, and the ends of their
// runs.
func (fx *crashFixture) crash(worker, address string, ageMs int64, jobs ...string) {
	c, ends := RecordCrash{Worker: worker, Incarnation: 1, Address: address}, RecordEnds{Worker: worker, Incarnation: 1}
	for _, job := range jobs {
		c.Runs = append(c.Runs, CrashedRun{Ref: TaskRef{Job: job}, Run: fx.runs[job], AgeMs: ageMs})
		ends.Ends = append(ends.Ends, End{Ref: TaskRef{Job: job}, Run: fx.runs[job], Kind: EndStopped})
	}
	fx.apply(c)
	fx.apply(ends)
}

func (fx *crashFixture) suspects(job string) []int {
	var all []int
	for _, c := range fx.s.Crashes[TaskRef{Job: job}] {
		all = append(all, c.Suspects)
	}
	return all
}

// Two tasks are lost with the same worker. The one whose next workers crash as well is given up, the
// other one is not.
func TestJobIsGivenUpAfterTellingCrashes(t *testing.T) {
	fx := newCrashFixture(t, "bad", "good")
	fx.assign("bad", "w1")
	fx.assign("good", "w1")
	fx.crash("w1", "a1", 10, "bad", "good")
	for i := 2; i <= 3; i++ {
		qt.Check(t, fx.s.Jobs["bad"].Phase, qt.Equals, Running)
		worker := fmt.Sprintf("w%d", i)
		fx.assign("bad", worker)
		fx.crash(worker, fmt.Sprintf("a%d", i), 10, "bad")
	}
	qt.Check(t, fx.suspects("bad"), qt.DeepEquals, []int{2, 1, 1})
	qt.Check(t, fx.suspects("good"), qt.DeepEquals, []int{2})
	qt.Check(t, fx.s.Jobs["bad"].Phase, qt.Equals, Failed)
	qt.Check(t, fx.s.Jobs["good"].Phase, qt.Equals, Running)
}

// Crashes that tell little count less, and so do those of one machine. At the fifth, the job is given up
// nevertheless.
func TestJobIsGivenUpLaterAfterCrashesThatTellLittle(t *testing.T) {
	const jobCount = 6
	var jobs []string
	for i := range jobCount {
		jobs = append(jobs, fmt.Sprintf("j%d", i))
	}
	fx := newCrashFixture(t, jobs...)
	for n := 1; n <= maxCrashes; n++ {
		qt.Check(t, fx.s.Jobs["j0"].Phase.Ended(), qt.IsFalse, qt.Commentf("after %d crashes", n-1))
		worker := fmt.Sprintf("w%d", n)
		for _, id := range jobs {
			fx.assign(id, worker)
		}
		fx.crash(worker, worker, 0, jobs...)
	}
	qt.Check(t, fx.s.Jobs["j0"].Phase, qt.Equals, Failed)

	fx = newCrashFixture(t, "a")
	for n := 1; n <= maxCrashes; n++ {
		qt.Check(t, fx.s.Jobs["a"].Phase.Ended(), qt.IsFalse, qt.Commentf("after %d crashes of one machine", n-1))
		worker := fmt.Sprintf("w%d", n)
		fx.assign("a", worker)
		fx.crash(worker, "same", 0, "a")
	}
	qt.Check(t, fx.s.Jobs["a"].Phase, qt.Equals, Failed)
}

// A crash points at the run that began just before it, and at the machine if it has crashed before. If it
// is not known that the worker received the start, the crash says less.
func TestSuspicionOfACrash(t *testing.T) {
	fx := newCrashFixture(t, "a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		fx.assign(id, "w1")
	}
	share := func(job string) int {
		crashes := fx.s.Crashes[TaskRef{Job: job}]
		return crashes[len(crashes)-1].SuspicionPermille
	}
	run := func(job string, ageMs int64) CrashedRun {
		return CrashedRun{Ref: TaskRef{Job: job}, Run: 1, AgeMs: ageMs}
	}
	fx.apply(RecordCrash{Worker: "w1", Incarnation: 1, Address: "a1", Runs: []CrashedRun{run("a", 5), run("b", 400), run("c", 900)}})
	qt.Check(t, share("a") > 750, qt.IsTrue, qt.Commentf("%d", share("a")))
	qt.Check(t, share("b") < 120 && share("c") < 60, qt.IsTrue, qt.Commentf("%d, %d", share("b"), share("c")))

	fx = newCrashFixture(t, "a")
	fx.assign("a", "w1")
	fx.apply(RecordCrash{Worker: "w1", Incarnation: 1, Address: "a1", Runs: []CrashedRun{run("a", 0)}})
	alone := share("a")
	fx.apply(RecordCrash{Worker: "w2", Incarnation: 1, Address: "a2", EarlierCrashes: 2, Runs: []CrashedRun{run("a", 0)}})
	qt.Check(t, share("a") < alone, qt.IsTrue, qt.Commentf("%d on a machine that has crashed before, %d otherwise", share("a"), alone))
	fx.apply(RecordCrash{Worker: "w3", Incarnation: 1, Address: "a3", Runs: []CrashedRun{{Ref: TaskRef{Job: "a"}, Run: 1, Unconfirmed: true}}})
	qt.Check(t, share("a") < alone, qt.IsTrue, qt.Commentf("%d without a confirmed start, %d otherwise", share("a"), alone))
}

// A task that has executed for long beside a young one is no suspect, and its earlier crashes no longer
// count. The same holds once a leader has recorded that its run is proven.
func TestProvenRunsAreNoSuspects(t *testing.T) {
	fx := newCrashFixture(t, "old", "young")
	fx.assign("old", "w1")
	fx.crash("w1", "a1", 0, "old")
	qt.Check(t, fx.suspects("old"), qt.DeepEquals, []int{1})
	fx.assign("old", "w2")
	fx.assign("young", "w2")
	fx.apply(RecordCrash{Worker: "w2", Incarnation: 1, Address: "a2", Runs: []CrashedRun{
		{Ref: TaskRef{Job: "old"}, Run: fx.runs["old"], RanMs: 60_000}, {Ref: TaskRef{Job: "young"}, Run: 1, RanMs: 10},
	}})
	qt.Check(t, fx.suspects("old"), qt.DeepEquals, []int{0})
	qt.Check(t, fx.suspects("young"), qt.DeepEquals, []int{1})
	fx.apply(RecordProven{Runs: []RunRef{{Ref: TaskRef{Job: "young"}, Run: 1}}})
	qt.Check(t, fx.suspects("young"), qt.HasLen, 0)
}

// The same crash may be recorded by two leaders. A task that is done, a worker that was draining and a
// crash of long ago do not count.
func TestCrashesThatDoNotCount(t *testing.T) {
	fx := newCrashFixture(t, "a", "b")
	fx.assign("a", "w1")
	fx.crash("w1", "a1", 0, "a")
	fx.crash("w1", "a1", 0, "a")
	qt.Check(t, fx.suspects("a"), qt.HasLen, 1)

	fx.apply(RecordDraining{Worker: "w2", Incarnation: 1})
	fx.apply(RecordCrash{Worker: "w2", Incarnation: 1, Runs: []CrashedRun{{Ref: TaskRef{Job: "b"}, Run: 0}}})
	qt.Check(t, fx.suspects("b"), qt.HasLen, 0)

	fx.assign("b", "w3")
	fx.apply(RecordEnds{Worker: "w3", Incarnation: 1, Ends: []End{{Ref: TaskRef{Job: "b"}, Run: 1, Kind: EndDone}}})
	fx.apply(RecordCrash{Worker: "w3", Incarnation: 1, Runs: []CrashedRun{{Ref: TaskRef{Job: "b"}, Run: 1}}})
	qt.Check(t, fx.suspects("b"), qt.HasLen, 0)

	fx.nowMs += crashRetention.Milliseconds() + 1
	fx.assign("a", "w4")
	fx.crash("w4", "a4", 0, "a")
	qt.Check(t, fx.suspects("a"), qt.HasLen, 1)
}

// A run that survived for 3 s before its worker crashed is observed for 6 s the next time.
func TestObservationFollowsTheTimeUntilTheCrash(t *testing.T) {
	qt.Check(t, ObservationTime(nil), qt.Equals, time.Second)
	qt.Check(t, ObservationTime([]Crash{{RanMs: 3000}, {RanMs: 100}}), qt.Equals, 6*time.Second)
	qt.Check(t, ObservationTime([]Crash{{RanMs: 60_000}}), qt.Equals, maxObservation)
}

// An incarnation that is heard from again has not crashed. The lost runs of an earlier incarnation are
// replaced.
func TestLostRunsAreForgotten(t *testing.T) {
	fx := newCrashFixture(t, "a")
	runs := []CrashedRun{{Ref: TaskRef{Job: "a"}, Run: 1}}
	fx.apply(RecordLost{Worker: "w", Incarnation: 1, Runs: runs})
	fx.apply(RecordLost{Worker: "w", Incarnation: 1, Runs: runs})
	qt.Check(t, fx.s.Lost["w"].Runs, qt.HasLen, 2)
	fx.apply(RecordLost{Worker: "w", Incarnation: 2, Runs: runs})
	qt.Check(t, fx.s.Lost["w"], qt.DeepEquals, LostRuns{Incarnation: 2, Runs: runs})
	fx.apply(RecordLost{Worker: "w", Incarnation: 1})
	qt.Check(t, fx.s.Lost, qt.HasLen, 1)
	fx.apply(RecordLost{Worker: "w", Incarnation: 2})
	qt.Check(t, fx.s.Lost, qt.HasLen, 0)
}
