package tbassign

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

func shortStep(count int) tbflow.Step {
	return tbflow.Step{Count: count, Need: resources(2), Estimate: 500 * time.Millisecond}
}

// recordCrash records a crash under the tasks of jobs, as if their runs had been on another worker.
func (b *fixture) recordCrash(worker string, jobs ...string) {
	c := tbflow.RecordCrash{Worker: worker, Incarnation: 1, Address: worker}
	for _, id := range jobs {
		c.Runs = append(c.Runs, tbflow.CrashedRun{Ref: tbflow.TaskRef{Job: id}})
	}
	b.state.Apply(b.now.UnixMilli(), c)
}

// Suspects of a crash start on different workers without other unproven runs, and these workers get no
// other task meanwhile, up to a share of the workers.
func TestSuspectsOfACrashStartApart(t *testing.T) {
	b := newFixture(t, 16)
	b.submit("short", "young", shortStep(4))
	busy := map[string]bool{}
	for _, r := range b.planAndCommit() {
		busy[r.Worker] = true
	}
	b.submit("short", "s1", shortStep(1))
	b.submit("short", "s2", shortStep(1))
	b.recordCrash("gone", "s1", "s2")
	b.submit("short", "other", shortStep(60))
	workers := map[string]string{}
	for _, r := range b.planAndCommit() {
		if r.Ref.Job == "other" {
			qt.Check(t, r.Worker != workers["s1"] && r.Worker != workers["s2"], qt.IsTrue, qt.Commentf("%s", r.Worker))
			continue
		}
		workers[r.Ref.Job] = r.Worker
		qt.Check(t, busy[r.Worker], qt.IsFalse, qt.Commentf("%s starts beside unproven runs", r.Ref.Job))
	}
	qt.Check(t, workers, qt.HasLen, 2)
	qt.Check(t, workers["s1"], qt.Not(qt.Equals), workers["s2"])
	for _, id := range workers {
		qt.Check(t, b.fleet.Usable(b.fleet.Worker(id), b.now), qt.IsFalse)
		qt.Check(t, b.fleet.Usable(b.fleet.Worker(id), b.now.Add(tbflow.ObservationTime(nil))), qt.IsTrue)
	}
}

// A whole rack crashes, so that nearly all waiting tasks are suspects. They start at once, and other work
// finds workers that are not closed.
func TestManySuspectsDoNotStopOtherWork(t *testing.T) {
	b := newFixture(t, 16)
	var jobs []string
	for i := range 60 {
		id := fmt.Sprintf("s%02d", i)
		b.submit("short", id, shortStep(1))
		jobs = append(jobs, id)
	}
	b.recordCrash("gone", jobs...)
	b.submit("short", "other", shortStep(100))
	runs := b.planAndCommit()
	qt.Check(t, len(runs) > 140, qt.IsTrue, qt.Commentf("%d of 160 tasks start in the first plan", len(runs)))
	usable := 0
	for _, w := range b.fleet.Workers() {
		if b.fleet.Usable(w, b.now) {
			usable++
		}
	}
	qt.Check(t, usable >= 14, qt.IsTrue, qt.Commentf("%d of 16 workers are usable", usable))
}

// After a second suspected crash, a task waits for a worker without unproven runs, but not for long.
func TestTaskWithTwoCrashesWaitsForAWorkerOfItsOwn(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("short", "young", shortStep(20))
	b.planAndCommit()
	b.submit("short", "s", shortStep(1))
	b.recordCrash("gone1", "s")
	b.recordCrash("gone2", "s")
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
	b.now = b.now.Add(suspectWait)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	qt.Check(t, b.planAndCommit(), qt.HasLen, 1)
}
