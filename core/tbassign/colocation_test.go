package tbassign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// learnSlopes gives the learner one slope for each pair of images. harmed lists, by long-running
// image, the best-effort images with a strong slope; all other pairs get a weak one.
func (b *fixture) learnSlopes(longRunning, bestEffort []string, harmed map[string][]string) {
	var all []tbflow.Interference
	for _, longRunningImage := range longRunning {
		for _, bestEffortImage := range bestEffort {
			s := tbflow.Interference{LongRunningImage: longRunningImage, BestEffortImage: bestEffortImage, Slope: -0.4}
			if slices.Contains(harmed[longRunningImage], bestEffortImage) {
				s.Slope = -7
			}
			all = append(all, s)
		}
	}
	b.learner.RestoreInterference(all)
}

// cancel cancels a long-running job and ends its runs.
func (b *fixture) cancel(queue, id string) {
	b.state.Apply(b.now.UnixMilli(), tbflow.Cancel{ID: id, Host: "h", Path: "/" + queue + "/" + id})
	var ends []tbflow.End
	b.state.Jobs[id].EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
		if t.Phase == tbflow.TaskAssigned {
			c := tbflow.RecordEnds{Worker: t.Worker, Incarnation: t.Incarnation, Ends: []tbflow.End{{Ref: ref, Run: t.Run, Kind: tbflow.EndStopped}}}
			ends = append(ends, c.Ends...)
			b.state.Apply(b.now.UnixMilli(), c)
			b.fleet.HandleApplied(b.now, b.state, c)
		}
	})
	qt.Assert(b.t, len(ends) > 0, qt.IsTrue)
}

// A worker class is three quarters full of long-running jobs of five images. Half of the jobs have
// a spread limit. Jobs end, and other jobs replace them. The best-effort images x, y and z harm
// the three long-running images a, b and c.
//
// In the failure that this test guards against, 18 of 66 workers suited x, y and z at the start,
// but only 6 of 66 after half a minute. In this simulation, 7.5 of 30 workers suit x, y and z on
// average if tasks are preferably placed beside tasks of their own image only. The test requires a
// mean above 10.
func TestSensitiveLongRunningTasksShareWorkers(t *testing.T) {
	b := newFixture(t, 30)
	longRunning := []string{"a", "b", "c", "tough", "hardy"}
	b.learnSlopes(longRunning, []string{"x", "y", "z", "mild", "other"}, map[string][]string{
		"a": {"x", "y", "z", "other"}, "b": {"x", "y", "z"}, "c": {"x", "y", "z", "other"}, "hardy": {"other"},
	})
	rng := rand.New(rand.NewPCG(3, 3))
	submit := func(i int) string {
		id := fmt.Sprintf("w%d", i)
		s := longRunningStep(6, longRunning[rng.IntN(len(longRunning))])
		s.Need = resources(4 + 5*rng.Float64())
		if rng.IntN(2) == 0 {
			s.SpreadLimit = 1 + rng.IntN(2)
		}
		b.submit("watch", id, s)
		return id
	}
	var jobs []string
	for i := range 17 {
		jobs = append(jobs, submit(i))
		b.planAndCommit()
	}
	suitableSum := 0
	const replacedJobs = 300
	for i := range replacedJobs {
		b.now = b.now.Add(2 * time.Second)
		k := rng.IntN(len(jobs))
		b.cancel("watch", jobs[k])
		jobs[k] = submit(17 + i)
		b.planAndCommit()
		suitableSum += b.countWorkersWithout("a", "b", "c")
	}
	meanSuitable := float64(suitableSum) / replacedJobs
	qt.Check(t, meanSuitable > 10, qt.IsTrue, qt.Commentf("%.1f of 30 workers suit the most harmful images", meanSuitable))
}

// countWorkersWithout returns the number of workers that run none of the images.
func (b *fixture) countWorkersWithout(images ...string) int {
	n := 0
	for _, w := range b.fleet.Workers() {
		found := map[string]bool{}
		b.state.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) { found[b.state.StepOf(ref).Image] = true })
		if !slices.ContainsFunc(images, func(image string) bool { return found[image] }) {
			n++
		}
	}
	return n
}
