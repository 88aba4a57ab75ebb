package tbcontrol_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// maxOrderDelay is tbfleet.Params.MaxOrderDelay of all replicas.
const maxOrderDelay = 12 * time.Second

// outstandingSimulation has a start that got no answer, of a task that was recorded as bound at recordedAt.
type outstandingSimulation struct {
	*machineSimulation
	ref        tbflow.TaskRef
	recordedAt time.Time
}

func newOutstandingSimulation(t *testing.T) *outstandingSimulation {
	sim := &outstandingSimulation{machineSimulation: newMachineSimulation(newFullGroup(t), 1, 3), ref: tbflow.TaskRef{Job: "j"}}
	sim.submit(tbflow.Job{ID: "before", Steps: []tbflow.Step{{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}}}})
	sim.run(time.Second)
	for _, m := range sim.machines {
		m.unreachableUntil = sim.now.Add(300 * time.Millisecond)
	}
	sim.submit(tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}}}})
	for since := sim.now; !sim.flow().IsBound(sim.ref); sim.run(10 * time.Millisecond) {
		qt.Assert(t, sim.now.Sub(since) < 5*time.Second, qt.IsTrue)
	}
	sim.recordedAt = sim.now
	return sim
}

// checkFreeAfter checks that the task is free as soon as the longest delay of an order has passed since the given time.
func (sim *outstandingSimulation) checkFreeAfter(since time.Time) {
	sim.t.Helper()
	for sim.flow().IsBound(sim.ref) {
		qt.Assert(sim.t, sim.now.Sub(since) < time.Minute, qt.IsTrue)
		sim.run(10 * time.Millisecond)
	}
	waited := sim.now.Sub(since)
	qt.Check(sim.t, waited > maxOrderDelay && waited < maxOrderDelay+time.Second, qt.IsTrue, qt.Commentf("%v", waited))
}

// A leader that took over counted the longest delay of a start from its takeover.
func TestNextLeaderCountsDelayFromRecordOfStart(t *testing.T) {
	sim := newOutstandingSimulation(t)
	sim.run(5 * time.Second)
	first := sim.leader()
	sim.replaceLeader()
	qt.Assert(t, sim.leader() == first, qt.IsFalse)
	sim.checkFreeAfter(sim.recordedAt)
}

// A replica that has restarted counts from when it has read its log.
func TestRestartedLeaderCountsDelayFromItsRestart(t *testing.T) {
	sim := newOutstandingSimulation(t)
	sim.run(5 * time.Second)
	sim.losePower()
	restartedAt := sim.now
	sim.run(2 * time.Second)
	first := sim.leader()
	sim.run(5 * time.Second)
	sim.replaceLeader()
	qt.Assert(t, sim.leader() == first, qt.IsFalse)
	sim.checkFreeAfter(restartedAt)
}

// A replica that has got the record of a start with a snapshot counts from the installation.
func TestReplicaThatInstalledASnapshotCountsDelayFromThen(t *testing.T) {
	sim := newOutstandingSimulation(t)
	behind := sim.replicas[0]
	if behind == sim.leader() {
		behind = sim.replicas[1]
	}
	// It is away until the others have a snapshot of the start.
	behind.isolated = true
	for i := range 3 {
		sim.submit(tbflow.Job{ID: fmt.Sprint("large", i), Spec: strings.Repeat("x", 1<<20), Steps: []tbflow.Step{{Count: 1}}})
	}
	qt.Assert(t, sim.leader().disk.persisted.Snapshot.Meta.Index > behind.control.State().Applied, qt.IsTrue)
	behind = sim.simulatedGroup.start(behind.id, behind.address, behind.disk)
	installedAt := sim.now
	for since := sim.now; behind.control.State().Flow.Jobs["large0"] == nil; sim.run(10 * time.Millisecond) {
		qt.Assert(t, sim.now.Sub(since) < 3*time.Second, qt.IsTrue)
		installedAt = sim.now
	}
	for sim.leader() != behind {
		qt.Assert(t, sim.now.Sub(installedAt) < maxOrderDelay-3*time.Second, qt.IsTrue)
		sim.replaceLeader()
	}
	sim.checkFreeAfter(installedAt)
}
