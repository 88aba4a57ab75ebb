package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// longRunningJob returns a job of n long-running tasks, at most one on each worker.
func longRunningJob(id string, n int, processors float64) tbflow.Job {
	return tbflow.Job{ID: id, Steps: []tbflow.Step{{
		Count: n, LongRunning: true, SpreadLimit: 1, Image: "lasting", Estimate: time.Second,
		Need: tbresource.Amount{MilliProcessors: int64(processors * 1000), MemoryMB: 10},
	}}}
}

// newQuietSimulation returns a system whose machines run one long-running job, and in which nothing else
// happens.
func newQuietSimulation(t *testing.T, machineCount int, clockOffset time.Duration) *machineSimulation {
	g := newFullGroupWithClocks(t, clockOffset)
	sim := newMachineSimulation(g, 1, machineCount)
	sim.submit(longRunningJob("j", machineCount, 2))
	sim.run(2 * time.Second)
	qt.Assert(t, sim.runningTasks("j"), qt.Equals, machineCount)
	return sim
}

// runningTasks returns how many tasks of a job are running.
func (sim *machineSimulation) runningTasks(job string) int {
	n := 0
	for _, m := range sim.machines {
		for ref := range m.running {
			if ref.Job == job {
				n++
			}
		}
	}
	return n
}

// failOn lets the only run on a machine fail.
func (sim *machineSimulation) failOn(m *machine) {
	qt.Assert(sim.t, m.running, qt.HasLen, 1)
	for ref, r := range m.running {
		m.endRun(ref, r, tbflow.EndFailed)
	}
}

// Guards against a failed long-running task that is never started again: it waited for the state's time,
// which stands still while nothing is committed.
func TestFailedLongRunningTaskStartsAgainInAQuietSystem(t *testing.T) {
	sim := newQuietSimulation(t, 6, 0)
	sim.failOn(sim.machines[2])
	sim.run(3 * time.Second)
	qt.Check(t, sim.runningTasks("j"), qt.Equals, 6)
}

// newSimulationWithEarlierClocks returns a quiet system whose replicas have all restarted after their
// clocks were set back by a minute, so that the state's time is ahead of them.
func newSimulationWithEarlierClocks(t *testing.T, machineCount int) *machineSimulation {
	sim := newQuietSimulation(t, machineCount, time.Minute)
	sim.clockOffset = 0
	sim.losePower()
	sim.run(5 * time.Second)
	qt.Assert(t, sim.leader(), qt.IsNotNil)
	return sim
}

// Guards against the same after a change of leader: the next leader's clock is behind the state's time,
// which stood still until that clock had caught up.
func TestFailedLongRunningTaskStartsAgainAfterClocksWereSetBack(t *testing.T) {
	sim := newSimulationWithEarlierClocks(t, 6)
	sim.failOn(sim.machines[2])
	sim.run(3 * time.Second)
	qt.Check(t, sim.runningTasks("j"), qt.Equals, 6)
}

// Guards against a wait that a new leader does not continue.
func TestFailedLongRunningTaskStartsAgainAfterAChangeOfLeader(t *testing.T) {
	sim := newQuietSimulation(t, 6, 0)
	sim.failOn(sim.machines[2])
	sim.run(500 * time.Millisecond)
	sim.replaceLeader()
	sim.run(2 * time.Second)
	qt.Check(t, sim.runningTasks("j"), qt.Equals, 6)
}

// Guards against scheduled jobs that stay queued when their time comes while nothing is committed.
func TestScheduledJobStartsInAQuietSystem(t *testing.T) {
	for _, replaceLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaceLeader=%v", replaceLeader), func(t *testing.T) {
			sim := newQuietSimulation(t, 4, 0)
			job := tbflow.Job{ID: "scheduled", Repeat: 2, StartAtMs: sim.now.Add(6 * time.Second).UnixMilli(), IntervalMs: 2000, Steps: []tbflow.Step{
				{Count: 2, Estimate: time.Second, Need: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 10}},
			}}
			sim.submit(job)
			if replaceLeader {
				sim.replaceLeader()
			}
			for sim.now.UnixMilli() < job.StartAtMs-50 {
				sim.run(10 * time.Millisecond)
				qt.Assert(t, sim.runningTasks("scheduled"), qt.Equals, 0)
			}
			sim.run(300 * time.Millisecond)
			qt.Check(t, sim.runningTasks("scheduled"), qt.Equals, 2)
			sim.run(4 * time.Second)
			qt.Check(t, sim.flow().Jobs["scheduled"].Phase, qt.Equals, tbflow.Completed)
		})
	}
}

// Guards against scheduled jobs that start before their time, for as long as the system exists, because a
// clock was ahead once.
func TestScheduledJobIsNotDueByTheClockOfAnEarlierLeader(t *testing.T) {
	sim := newSimulationWithEarlierClocks(t, 4)
	sim.submit(tbflow.Job{ID: "scheduled", Repeat: 1, StartAtMs: sim.now.Add(3 * time.Second).UnixMilli(), Steps: []tbflow.Step{
		{Count: 1, Estimate: time.Second, Need: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 10}},
	}})
	sim.run(2500 * time.Millisecond)
	qt.Check(t, sim.history(tbflow.TaskRef{Job: "scheduled"}).starts, qt.Equals, 0)
	sim.run(time.Second)
	qt.Check(t, sim.history(tbflow.TaskRef{Job: "scheduled"}).starts, qt.Equals, 1)
}

// Guards against a suspect of crashes that is never started again: its wait for a better worker did not
// end while nothing was committed.
func TestSuspectStartsAgainInAQuietSystem(t *testing.T) {
	g := newFullGroup(t)
	sim := newMachineSimulation(g, 1, 1)
	crashes := 0
	sim.crashTime = func(tbflow.TaskRef) (time.Duration, bool) {
		crashes++
		return 100 * time.Millisecond, crashes <= 2
	}
	sim.submit(longRunningJob("j", 1, 2))
	sim.run(15 * time.Second)
	qt.Check(t, crashes, qt.Equals, 3)
	qt.Check(t, sim.runningTasks("j"), qt.Equals, 1)
}

// Guards against long-running tasks that never start because the wait for headroom does not end.
func TestLongRunningTaskTakesHeadroomInAQuietSystem(t *testing.T) {
	g := newFullGroup(t)
	sim := newMachineSimulation(g, 1, 2)
	// After these tasks, 5 % of the processors of each machine are left.
	sim.submit(longRunningJob("first", 2, 3.8))
	sim.run(4 * time.Second)
	sim.submit(longRunningJob("second", 1, 3.8))
	sim.run(3 * time.Second)
	qt.Check(t, sim.runningTasks("second"), qt.Equals, 1)
}

// An idle system must not commit anything, or its disks would never rest.
func TestIdleSystemCommitsNothing(t *testing.T) {
	sim := newQuietSimulation(t, 6, 0)
	sim.run(2 * time.Second)
	applied := sim.leader().control.State().Applied
	sim.run(10 * time.Second)
	qt.Check(t, sim.leader().control.State().Applied, qt.Equals, applied)
}
