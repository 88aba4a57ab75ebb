package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// replay submits jobs to a fixture, plans, and ends the short runs when their time is over.
type replay struct {
	*fixture
	refusals map[string]Admission
	// ends holds when the short runs end.
	ends map[tbflow.TaskRef]time.Time
	runs map[tbflow.TaskRef]tbflow.Assignment
}

func newReplay(t *testing.T, workers int, f Features) *replay {
	r := &replay{fixture: newFixture(t, workers), refusals: map[string]Admission{}, ends: map[tbflow.TaskRef]time.Time{}, runs: map[tbflow.TaskRef]tbflow.Assignment{}}
	r.learner.Features = f
	return r
}

// ask submits a job if it is accepted.
func (r *replay) ask(queue, id string, step tbflow.Step) bool { return r.askFrom("", queue, id, step) }

// askFrom submits a job of a caller in a data centre if it is accepted.
func (r *replay) askFrom(dataCentre, queue, id string, step tbflow.Step) bool {
	q := r.state.Config.Match("h", "/"+queue+"/")
	j := tbflow.Job{ID: id, Steps: []tbflow.Step{step}, CallerDataCentre: dataCentre}
	if a := Admit(r.now, r.state, r.fleet, r.learner, q, &j); !a.IsAccepted() {
		r.refusals[id] = a
		return false
	}
	reason := r.state.Apply(r.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/" + queue + "/" + id, Job: j})
	qt.Assert(r.t, reason, qt.Equals, tbflow.OK)
	return true
}

// advance ends runs, makes a plan and lets some time pass.
func (r *replay) advance(d time.Duration) {
	for ref, end := range r.ends {
		if !r.now.Before(end) {
			run := r.runs[ref]
			r.commit(tbflow.RecordEnds{Worker: run.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: ref, Run: run.Run, Kind: tbflow.EndDone}}})
			delete(r.ends, ref)
		}
	}
	for _, run := range r.planAndCommit() {
		r.answerStart(run)
		r.runs[run.Ref] = run
		if step := r.state.StepOf(run.Ref); isShort(step) {
			r.ends[run.Ref] = r.now.Add(step.Estimate)
		}
	}
	r.now = r.now.Add(d)
	r.state.Apply(r.now.UnixMilli(), tbflow.PutConfig{})
	for _, w := range r.fleet.Workers() {
		r.poll(w.ID, noMeasurement)
	}
}

// outcomes counts the accepted short jobs that ended on time, and those that ended when they were of no use or have
// not ended.
func (r *replay) outcomes(objective time.Duration) (inTime, useless int) {
	for _, j := range r.state.Jobs {
		if !isShort(&j.Steps[0]) {
			continue
		}
		switch took := time.Duration(j.EndedMs-j.SubmittedMs) * time.Millisecond; {
		case !j.Phase.Ended() || took > usefulFactor*objective:
			useless++
		case took <= objective:
			inTime++
		}
	}
	return inTime, useless
}

const (
	replayTick = 50 * time.Millisecond
	// shortObjective is the objective of a job of shortTasks in the queue "short" of the fixture.
	shortObjective = 1000 * time.Millisecond
)

func shortTasks(count int, processors float64) tbflow.Step {
	return tbflow.Step{Count: count, Need: resources(processors), Estimate: 500 * time.Millisecond}
}

// A burst of short jobs asks for three times the room for 6 s. Without predictions, all are accepted, and the last of
// them are worked on for nothing.
func TestBurstOfShortJobsOnFullPool(t *testing.T) {
	play := func(f Features) (inTime, useless, refused int) {
		r := newReplay(t, 2, f)
		for i := 0; i < 120; i++ {
			// Each job has 8 processor seconds, and the workers have 64 processors.
			for k := range 2 {
				r.ask("short", fmt.Sprintf("s%d-%d", i, k), shortTasks(4, 2.4+float64(k)*1.6))
			}
			r.advance(replayTick)
		}
		for range 400 {
			r.advance(replayTick)
		}
		inTime, useless = r.outcomes(shortObjective)
		return inTime, useless, len(r.refusals)
	}
	inTimeBefore, uselessBefore, refusedBefore := play(Features{})
	inTime, useless, refused := play(Features{PredictedAdmission: true})
	t.Logf("without predictions: %d in time, %d useless, %d refused; with predictions: %d, %d, %d", inTimeBefore, uselessBefore, refusedBefore, inTime, useless, refused)
	qt.Check(t, uselessBefore > 20, qt.IsTrue)
	qt.Check(t, useless < uselessBefore/2, qt.IsTrue)
	qt.Check(t, inTime >= inTimeBefore*19/20, qt.IsTrue)
	qt.Check(t, refused <= uselessBefore, qt.IsTrue)
}

// Long-running tasks have taken nearly all of the room, so that the backlog of short jobs would take minutes. Refused
// callers are not told to stay away for longer than their results are of use.
func TestRefusedCallersDoNotStayAwayForMinutes(t *testing.T) {
	r := newReplay(t, 1, Features{PredictedAdmission: true})
	r.submit("watch", "w", longRunningStep(5, "a"))
	r.advance(replayTick)
	for i := range 100 {
		r.ask("short", fmt.Sprintf("s%d", i), shortTasks(20, 1))
		r.advance(replayTick)
	}
	qt.Check(t, len(r.refusals) > 0, qt.IsTrue)
	for _, a := range r.refusals {
		qt.Check(t, a.RetryAfter <= 2*usefulFactor*shortObjective, qt.IsTrue, qt.Commentf("%s", a.RetryAfter))
	}
}

// Short jobs that the workers can do are all accepted and end in time.
func TestNothingIsRefusedWithRoomFree(t *testing.T) {
	r := newReplay(t, 2, Features{PredictedAdmission: true})
	for i := range 100 {
		r.ask("short", fmt.Sprintf("s%d", i), shortTasks(2, 2))
		if i%20 == 0 {
			r.ask("watch", fmt.Sprintf("w%d", i), longRunningStep(1, "a"))
			r.ask("fill", fmt.Sprintf("f%d", i), bestEffortStep(2, "x"))
		}
		r.advance(replayTick)
	}
	qt.Check(t, r.refusals, qt.HasLen, 0)
	for range 20 {
		r.advance(replayTick)
	}
	inTime, _ := r.outcomes(shortObjective)
	qt.Check(t, inTime, qt.Equals, 100)
}

// Long-running jobs arrive every second while short jobs come in bursts of 2 s that need half of the workers. Without a
// limit, long-running tasks take all room between two bursts, and short jobs get too late. With it, they take what short jobs leave, and the rest
// once there are no short jobs any more.
func TestLongRunningJobsLeaveRoomForExpectedShortJobs(t *testing.T) {
	play := func(f Features) (inTime, useless, accepted, acceptedLater int) {
		r := newReplay(t, 4, f)
		longRunning := func(i int) int {
			if i%20 == 10 && r.ask("watch", fmt.Sprintf("w%d", i), longRunningStep(2, "a")) {
				return 1
			}
			return 0
		}
		for i := range 300 {
			// Short jobs need 64 of the 128 processors.
			if i%100 < 40 {
				r.ask("short", fmt.Sprintf("s%d", i), shortTasks(2, 3.2))
			}
			accepted += longRunning(i)
			r.advance(replayTick)
		}
		for i := range 1200 {
			acceptedLater += longRunning(300 + i)
			r.advance(replayTick)
		}
		inTime, useless = r.outcomes(shortObjective)
		return inTime, useless, accepted, acceptedLater
	}
	inTimeBefore, uselessBefore, acceptedBefore, _ := play(Features{})
	inTime, useless, accepted, acceptedLater := play(Features{PredictedAdmission: true})
	t.Logf("without limit: %d in time, %d useless, %d long-running jobs; with limit: %d, %d, %d and %d later",
		inTimeBefore, uselessBefore, acceptedBefore, inTime, useless, accepted, acceptedLater)
	qt.Check(t, inTimeBefore < 100, qt.IsTrue)
	qt.Check(t, inTime >= 108, qt.IsTrue)
	qt.Check(t, useless, qt.Equals, 0)
	qt.Check(t, accepted >= 2, qt.IsTrue)
	qt.Check(t, acceptedLater >= 1, qt.IsTrue)
	// Five tasks of 6 processors fit on each worker.
	qt.Check(t, accepted+acceptedLater, qt.Equals, 10)
}

// Short tasks need 14 processors each, and a long-running task of 14 runs on each worker of 32. The pieces of 4 beside them
// are of no use for short tasks. Long-running tasks that fit into these pieces are accepted however many short jobs are
// expected.
func TestLongRunningJobsUsePiecesThatShortTasksCannotUse(t *testing.T) {
	r := newReplay(t, 4, Features{PredictedAdmission: true})
	longRunning := func(count int, processors float64) tbflow.Step {
		return tbflow.Step{Count: count, Need: resources(processors), LongRunning: true, Image: "a", SpreadLimit: 1}
	}
	r.submit("watch", "first", longRunning(4, 14))
	r.advance(replayTick)
	for i := range 100 {
		r.ask("short", fmt.Sprintf("s%d", i), shortTasks(2, 14))
		r.advance(replayTick)
	}
	qt.Check(t, r.ask("watch", "large", longRunning(2, 14)), qt.IsFalse)
	qt.Check(t, r.refusals["large"].Reason, qt.Equals, RoomForShortJobs)
	qt.Check(t, r.ask("watch", "small", longRunning(4, 4)), qt.IsTrue)
}

// Short jobs came minutes ago, and long-running jobs fill the workers. No room is kept for short jobs any more.
func TestNoRoomIsKeptLongAfterShortJobs(t *testing.T) {
	r := newReplay(t, 1, Features{PredictedAdmission: true})
	for i := range 20 {
		r.ask("short", fmt.Sprintf("s%d", i), shortTasks(1, 3))
		r.advance(replayTick)
	}
	r.advance(5 * time.Minute)
	for i := range 7 {
		qt.Check(t, r.ask("watch", fmt.Sprintf("w%d", i), longRunningStep(1, "a")), qt.IsTrue)
		r.advance(replayTick)
	}
}

// Hundreds of callers are refused at the same moment. They are told to return over several seconds.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	bySecond := map[int]int{}
	for i := range 300 {
		bySecond[int(stagger(fmt.Sprintf("%016x", i*7919), 2500*time.Millisecond).Seconds()+0.999)]++
	}
	for second, n := range bySecond {
		qt.Check(t, n <= 180, qt.IsTrue, qt.Commentf("%d of 300 return after %d s", n, second))
	}
	qt.Check(t, len(bySecond) >= 3, qt.IsTrue)
}

// A useful step that no worker could ever take does not keep useless work from free workers.
func TestUselessShortWorkDoesNotWaitForImpossibleSteps(t *testing.T) {
	r := newReplay(t, 1, Features{PredictedAdmission: true})
	r.submit("watch", "w", longRunningStep(5, "a"))
	r.advance(replayTick)
	r.submit("short", "useless", shortTasks(1, 6))
	r.advance(8 * time.Second)
	r.submit("short", "impossible", shortTasks(1, 40))
	r.commit(tbflow.Cancel{ID: "w", Host: "h", Path: "/watch/w"})
	for ref, run := range r.runs {
		r.commit(tbflow.RecordEnds{Worker: run.Worker, Incarnation: 1, Ends: []tbflow.End{{Ref: ref, Run: run.Run, Kind: tbflow.EndStopped}}})
	}
	r.advance(replayTick)
	qt.Check(t, r.state.Jobs["useless"].AssignedTasks(0, 0), qt.Equals, 1)
}

// Right after a change of leader, the room is not known, and nothing is refused.
func TestNothingIsPredictedWhileRoomIsUnknown(t *testing.T) {
	r := newReplay(t, 10, Features{PredictedAdmission: true})
	for i := range 100 {
		r.submit("short", fmt.Sprintf("s%d", i), shortTasks(20, 3))
	}
	r.fleet.TakeOver(r.now, r.state, tbfleet.NewOutstandingTimes(r.now, r.state))
	r.poll("w00", noMeasurement)
	Plan(r.now, r.state, r.fleet, r.learner, r.rebalancer, 100)
	qt.Check(t, r.ask("short", "next", shortTasks(1, 3)), qt.IsTrue)
}

// A data centre is evacuated while short jobs come. Its workers are empty, but their room is not counted: a
// long-running job is refused that would find room only there, and accepted once the evacuation has been stopped.
func TestRoomOfEvacuatedDataCentreIsNotCounted(t *testing.T) {
	r := newReplay(t, 0, Features{PredictedAdmission: true})
	r.fixture = newZonedFixture(t, 2)
	r.learner.Features = Features{PredictedAdmission: true}
	r.setEvacuation(true)
	for i := range 120 {
		// Short jobs need 32 of the 64 processors of the other data centre.
		r.ask("short", fmt.Sprintf("s%d", i), shortTasks(1, 3.2))
		r.advance(replayTick)
	}
	// The job needs 90 processors, and half of them at once.
	qt.Check(t, r.ask("watch", "w", longRunningStep(15, "a")), qt.IsFalse)
	r.setEvacuation(false)
	qt.Check(t, r.ask("watch", "w", longRunningStep(15, "a")), qt.IsTrue)
}
