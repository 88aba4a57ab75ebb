package tbcontrol_test

import (
	"testing"
	"time"
)

// Guards against a job that is started again and again on a worker that lists no ends: a late poll for its
// earlier incarnation has acknowledged them (fault soak, seed 8, 10 s of faults).
func TestJobsEndBesideAWorkerThatListsNoEnds(t *testing.T) {
	sim := newCrashSimulation(t, 1, 3)
	// The long-running tasks leave most room on this machine.
	sim.machines[0].lastAckedEnd = 1000
	for i := range sim.machines[1:] {
		sim.resize(sim.machines[i+1], 0.4, 1)
	}
	sim.run(5 * time.Second)
	sim.submitLoad("load", 8)
	sim.run(12 * time.Second)
	sim.checkOthersSurvive("")
}
