package tbfleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// slowCommits delays the commits of the leader, and loses single polls of workers that are well otherwise.
type slowCommits struct {
	rng *rand.Rand
	// until is the end of the current period without commits.
	until time.Time
	// pollLostAt holds when the last poll to an address was lost.
	pollLostAt map[string]time.Time
}

// Rates and times of schedules with slow commits.
const (
	// slowCommitRatePerTick is the rate at which commits stop, for up to maxCommitPause, which is longer than a lease.
	slowCommitRatePerTick = 0.005
	maxCommitPause        = 6 * time.Second
	// lostPollRate is the fraction of polls that are lost, at most one in lostPollInterval of each worker.
	lostPollRate     = 0.1
	lostPollInterval = 6 * time.Second
)

// TestSchedulesWithSlowCommits simulates a leader whose commits sometimes take longer than a lease. Each worker executes all orders
// but for a single lost poll now and then. No run ends because its lease expires, and no worker is taken for silent.
func TestSchedulesWithSlowCommits(t *testing.T) {
	for i := range *schedulesFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			sim.injectsFaults = false
			sim.slowCommits = &slowCommits{rng: rand.New(rand.NewPCG(seed, 5)), pollLostAt: map[string]time.Time{}}
			sim.submit("long-running0", 2, true)
			for n := range 8 {
				sim.submit(fmt.Sprintf("job%d", n), 3, false)
				sim.advance(faultPeriod / 8)
			}
			sim.slowCommits = nil
			sim.advance(settledTimeout)
			sim.checkSettled()
		})
	}
}

func (sim *simulation) injectSlowCommits() {
	s := sim.slowCommits
	if s == nil || s.rng.Float64() >= slowCommitRatePerTick || sim.now.Before(s.until) {
		return
	}
	d := time.Duration(s.rng.Int64N(int64(maxCommitPause)))
	s.until = sim.now.Add(d)
	sim.logf("nothing is committed for %v", d)
}

func (sim *simulation) commitsPause() bool {
	return sim.slowCommits != nil && sim.now.Before(sim.slowCommits.until)
}

// losesPoll reports whether an order is a poll that is lost.
func (sim *simulation) losesPoll(o tbfleet.Order, address string) bool {
	s := sim.slowCommits
	if _, ok := o.(tbfleet.Poll); !ok || s == nil || s.rng.Float64() >= lostPollRate || sim.now.Sub(s.pollLostAt[address]) < lostPollInterval {
		return false
	}
	s.pollLostAt[address] = sim.now
	sim.logf("a poll to %s is lost", address)
	return true
}

// checkKeepsLease checks that a worker that is well has a lease as long as it has runs.
func (sim *simulation) checkKeepsLease(fw *fakeWorker) {
	sim.t.Helper()
	if sim.slowCommits != nil && len(fw.running) > 0 && fw.clockMs(sim.now) > fw.leaseEndMs {
		sim.failf("the lease of %s has expired at %d on its clock", fw.id, fw.leaseEndMs)
	}
}

// checkNotSilent checks that no worker is taken for silent.
func (sim *simulation) checkNotSilent(c tbflow.Command) {
	sim.t.Helper()
	if c, ok := c.(tbflow.RecordSilent); ok && sim.slowCommits != nil {
		sim.failf("%s is taken for silent", c.Worker)
	}
}
