package tbcontrol_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

var (
	scheduleCount = flag.Int("schedules", 60, "number of random schedules")
	firstSeed     = flag.Uint64("seed", 1, "seed of the first random schedule")
)

// Times of a schedule of a quiet system.
const (
	// faultsPerSchedule faults are followed by quietTime each, in which nothing is submitted.
	faultsPerSchedule = 3
	quietTime         = 15 * time.Second
	// maxStartDelay is how late an occurrence of a scheduled job may start, or after recoveryTime if that is later.
	maxStartDelay = 3 * time.Second
	recoveryTime  = 9 * time.Second
)

// Guards against work that waits for a commit of something else. Each fault strikes a system in which
// nothing happens, so that all that has to come due later has to do so by itself.
func TestSchedulesOfQuietSystems(t *testing.T) {
	for i := range *scheduleCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			g := newFullGroupWithClocks(t, randomClockOffset(rng))
			g.silenceTimeout = 3500 * time.Millisecond
			for _, r := range g.replicas {
				g.start(r.id, r.address, r.disk)
			}
			g.advance(3 * time.Second)
			sim := newMachineSimulation(g, seed, 4+rng.IntN(4))
			sim.keepsIDs, sim.dark = rng.IntN(2) == 0, rng.IntN(4) == 0
			spread, pair := len(sim.machines), 2
			sim.submit(longRunningJob("spread", spread, 2))
			sim.submit(longRunningJob("pair", pair, 1+float64(rng.IntN(40))/10))
			sim.run(5 * time.Second)
			for n := range faultsPerSchedule {
				id := fmt.Sprintf("scheduled%d", n)
				dueAt := sim.scheduleJob(id, 6*time.Second+time.Duration(rng.IntN(6000))*time.Millisecond)
				usableAt := sim.now.Add(recoveryTime)
				// A clock that is set forward makes the job due earlier.
				dueAt = dueAt.Add(-sim.injectQuietFault(rng))
				sim.runUntil(latest(dueAt, usableAt).Add(maxStartDelay))
				qt.Check(t, sim.history(tbflow.TaskRef{Job: id}).starts > 0, qt.IsTrue, qt.Commentf("%s is not started %v after its time", id, maxStartDelay))
				sim.run(quietTime - maxStartDelay)
				qt.Check(t, sim.runningTasks("spread"), qt.Equals, spread, qt.Commentf("after fault %d", n))
				qt.Check(t, sim.runningTasks("pair"), qt.Equals, pair, qt.Commentf("after fault %d", n))
				qt.Check(t, sim.flow().Jobs[id].Phase, qt.Equals, tbflow.Completed)
			}
		})
	}
}

// randomClockOffset returns how far the clock of a process is ahead, which is mostly 0.
func randomClockOffset(rng *rand.Rand) time.Duration {
	if rng.IntN(2) == 0 {
		return 0
	}
	return time.Duration(rng.IntN(120)-60) * time.Second
}

// scheduleJob submits a job that is due after a while by the leader's clock, and returns that time.
func (sim *machineSimulation) scheduleJob(id string, after time.Duration) time.Time {
	at := sim.timeAt(sim.leader()).Add(after)
	sim.submit(tbflow.Job{ID: id, Repeat: 1, StartAtMs: at.UnixMilli(), Steps: []tbflow.Step{
		{Count: 1, Estimate: time.Second, Need: tbresource.Amount{MilliProcessors: 500, MemoryMB: 10}},
	}})
	return sim.now.Add(at.Sub(sim.timeAt(sim.leader())))
}

func (sim *machineSimulation) runUntil(t time.Time) { sim.run(t.Sub(sim.now)) }

// injectQuietFault injects one random fault and returns how far it sets the clocks forward.
func (sim *machineSimulation) injectQuietFault(rng *rand.Rand) time.Duration {
	m := sim.machines[rng.IntN(len(sim.machines))]
	switch rng.IntN(5) {
	case 0:
		for ref, r := range m.running {
			m.endRun(ref, r, tbflow.EndFailed)
		}
	case 1:
		if m.up {
			sim.crash(m)
		}
	case 2:
		m.unreachableUntil = sim.now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
	case 3:
		for ref, r := range m.running {
			m.endRun(ref, r, tbflow.EndFailed)
		}
		sim.replaceLeader()
	case 4:
		// All processes restart, with clocks that are set back or forward.
		for ref, r := range m.running {
			m.endRun(ref, r, tbflow.EndFailed)
		}
		earlier := sim.clockOffset
		sim.clockOffset = randomClockOffset(rng)
		sim.losePower()
		return sim.clockOffset - earlier
	}
	return 0
}
