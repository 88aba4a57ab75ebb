package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// With 400 workers there is a full plan only every 80 ms. A short job, and its second step once
// the first one has ended, are nevertheless assigned within 20 ms.
func TestShortStepsDoNotWaitForTheNextFullPlan(t *testing.T) {
	g := newFullGroup(t)
	config := tbflow.Config{Version: 2, Source: []byte("source"), Queues: []tbflow.Queue{{
		Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 2, Slack: 1.5, Target: 250 * time.Millisecond,
	}}}
	qt.Assert(t, g.ask(tbcontrol.ConfigPutRequested{Config: config}).Answer.Code, qt.Equals, tbcontrol.Done)
	r := g.leader()
	for i := range 400 {
		g.lastRequest++
		id := fmt.Sprintf("w%03d", i)
		g.step(r, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.WorkerReported{Report: tbfleet.Report{
			ID: id, Address: id, Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1, Capacity: tbresource.Amount{MilliProcessors: 8000, MemoryMB: 8000},
		}}})
	}
	g.advance(time.Second)
	flow := r.control.State().Flow
	qt.Assert(t, len(flow.Workers), qt.Equals, 400)
	endCountByWorker := map[string]uint64{}
	firstStep := tbflow.Step{Count: 1, Estimate: 500 * time.Millisecond, Need: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 10}}
	secondStep := firstStep
	secondStep.DependsOn = []int{0}
	for i := range 20 {
		id := fmt.Sprintf("j%d", i)
		g.lastRequest++
		g.step(r, tbcontrol.LeaderRequestArrived{Request: g.lastRequest, LeaderRequest: tbcontrol.SubmitRequested{
			Submit: tbflow.Submit{Host: "h", Path: "/q/" + id, Job: tbflow.Job{ID: id, Steps: []tbflow.Step{firstStep, secondStep}}},
		}})
		for n := range 2 {
			const timeUntilEnd = 50 * time.Millisecond
			g.advance(timeUntilEnd)
			task := flow.Jobs[id].Tasks[0][n][0]
			qt.Assert(t, task.Phase, qt.Equals, tbflow.TaskAssigned, qt.Commentf("job %d, step %d", i, n))
			waitedMs := task.AssignedMs - task.WaitingSinceMs
			qt.Check(t, waitedMs <= 20, qt.IsTrue, qt.Commentf("job %d, step %d waited for %d ms", i, n, waitedMs))
			endCountByWorker[task.Worker]++
			g.step(r, tbcontrol.PollAnswered{Term: r.control.Replica().Term(), Answer: tbfleet.PollAnswered{
				Worker: task.Worker, Incarnation: 1, ActualIncarnation: 1, SentAt: g.now, Outcome: tbfleet.Accepted, ClockMs: 10,
				Ended: []tbfleet.ListedEnd{{Number: endCountByWorker[task.Worker], Ref: tbflow.TaskRef{Job: id, Step: n}, Run: 1, Kind: tbflow.EndDone}},
			}})
		}
		g.advance(20 * time.Millisecond)
	}
}
