package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// newCapacitySimulation returns a simulation of machines that start whatever they are ordered to start,
// with more work than fits.
func newCapacitySimulation(t *testing.T, seed uint64) *machineSimulation {
	sim := newCrashSimulation(t, seed, 8)
	sim.runTime, sim.stopTime = 1500*time.Millisecond, 400*time.Millisecond
	return sim
}

func (sim *machineSimulation) submitMore(name string, n int) {
	need := tbresource.Amount{MilliProcessors: 1500, MemoryMB: 900}
	for i := range n {
		sim.submit(tbflow.Job{ID: fmt.Sprintf("%s%02d", name, i), Steps: []tbflow.Step{
			{Count: 4, Need: need, Estimate: time.Second}, {Count: 3, Need: need, Estimate: time.Second, BestEffort: true, Image: "fill"},
		}})
	}
}

// Machines that start whatever they are ordered to start shrink and grow while work waits, leaders change,
// machines crash, jobs are cancelled and heartbeats are lost. No start exceeds the capacity that the
// machine has reported, and all work is finished once there is room for it.
func TestStartsFitIntoAChangingCapacity(t *testing.T) {
	for seed := range uint64(*crashSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newCapacitySimulation(t, seed)
			for n := range 16 {
				sim.submitMore(fmt.Sprintf("load%02d-", n), 3)
				for _, m := range sim.machines {
					switch sim.rng.IntN(8) {
					case 0, 1:
						sim.resize(m, 0.1+0.9*sim.rng.Float64(), 0.2+0.8*sim.rng.Float64())
					case 2:
						m.heartbeatsLostUntil = sim.now.Add(time.Duration(sim.rng.IntN(9)) * time.Second)
					}
				}
				sim.run(time.Second)
				switch n % 5 {
				case 2:
					sim.replaceLeader()
				case 3:
					sim.crash(sim.machines[sim.rng.IntN(len(sim.machines))])
				}
			}
			qt.Check(t, sim.overfullStarts, qt.Equals, 0)
			for _, m := range sim.machines {
				sim.resize(m, 1, 1)
			}
			sim.run(90 * time.Second)
			qt.Check(t, sim.overfullStarts, qt.Equals, 0)
			sim.checkOthersSurvive("")
		})
	}
}

// A machine has shrunk, and its heartbeats have not arrived since. A leader that can still poll it used to
// start work there by the capacity of the last heartbeat, and a new leader by the recorded one.
func TestCapacityOfAnOldReportIsNotUsed(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		sim := newCapacitySimulation(t, 1)
		for _, m := range sim.machines {
			m.heartbeatsLostUntil = sim.now.Add(20 * time.Second)
			sim.resize(m, 0.3, 0.3)
		}
		if leaderChanges {
			sim.replaceLeader()
		}
		sim.run(shrinkNotice)
		sim.submitMore("load", 5)
		sim.run(10 * time.Second)
		qt.Check(t, sim.overfullStarts, qt.Equals, 0)
	}
}

// A task that a worker executes without an assignment is being stopped, and occupies capacity until it has
// ended.
func TestStraysOccupyCapacity(t *testing.T) {
	sim := newCapacitySimulation(t, 2)
	// The long-running tasks of the first machine are executed on the second one, too.
	m := sim.machines[1]
	for ref := range sim.machines[0].running {
		m.running[ref] = &fakeRun{number: 99, startedAt: sim.now}
	}
	sim.stopTime = 10 * time.Second
	sim.run(1500 * time.Millisecond)
	w := fleetWorker(sim, m)
	qt.Assert(t, len(w.Strays) >= 5, qt.IsTrue, qt.Commentf("%d strays", len(w.Strays)))
	for n := range 4 {
		sim.submitMore(fmt.Sprintf("more%d-", n), 4)
		sim.run(500 * time.Millisecond)
	}
	qt.Check(t, sim.overfullStarts, qt.Equals, 0)
}

// fleetWorker returns the leader's view of the worker on a machine.
func fleetWorker(sim *machineSimulation, m *machine) *tbfleet.Worker {
	return sim.leader().control.FleetWorker(m.id)
}
