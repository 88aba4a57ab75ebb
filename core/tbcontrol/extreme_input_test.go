package tbcontrol_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

var extremeNumbers = []int64{0, 1, -1, 7, 1000, 1 << 31, 1 << 53, math.MaxInt64 / 2, math.MaxInt64 - 1, math.MaxInt64, math.MinInt64}

func extreme(rng *rand.Rand) int64 { return extremeNumbers[rng.IntN(len(extremeNumbers))] }

func extremeAmount(rng *rand.Rand) tbresource.Amount {
	return tbresource.Amount{MilliProcessors: extreme(rng), MemoryMB: extreme(rng), Accelerators: extreme(rng)}
}

// A job or a worker with extreme numbers must not end the leader's process. Callers submit a job again after
// a lost answer, and a worker reports again, so that each next leader would end as well.
func TestExtremeInputDoesNotEndTheLeader(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sim := newCrashSimulation(t, seed, 3)
		ask := func(q tbcontrol.LeaderRequest) {
			if r := sim.leader(); r != nil {
				sim.lastRequest++
				sim.step(r, tbcontrol.LeaderRequestArrived{Request: sim.lastRequest, LeaderRequest: q})
			}
		}
		for n := range 30 {
			job := tbflow.Job{ID: fmt.Sprintf("x%02d", n), StartAtMs: extreme(rng), IntervalMs: extreme(rng), Repeat: rng.IntN(3)}
			for i := range 1 + rng.IntN(2) {
				step := tbflow.Step{
					Count: 1 + rng.IntN(4), Need: extremeAmount(rng), Estimate: time.Duration(extreme(rng)), Gang: rng.IntN(4) == 0,
					LongRunning: rng.IntN(3) == 0, BestEffort: rng.IntN(3) == 0, TailTarget: time.Duration(extreme(rng)), SpreadLimit: int(extreme(rng)), Image: "x",
				}
				if i > 0 {
					step.DependsOn = []int{0}
				}
				job.Steps = append(job.Steps, step)
			}
			ask(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/" + job.ID, Job: job}})
			id := fmt.Sprintf("e%d", rng.IntN(4))
			ask(tbcontrol.WorkerReported{Report: tbfleet.Report{
				ID: id, Address: sim.machines[0].address, Incarnation: extreme(rng), Class: "c", ClockMs: extreme(rng), Sequence: uint64(extreme(rng)),
				Capacity: extremeAmount(rng), DrainTimeLeft: time.Duration(extreme(rng)), Draining: rng.IntN(4) == 0,
			}})
			if r := sim.leader(); r != nil && r.control.FleetWorker(id) != nil {
				a := tbfleet.PollAnswered{
					Worker: id, Incarnation: r.control.FleetWorker(id).Incarnation, ActualIncarnation: extreme(rng), SentAt: sim.now, Outcome: tbfleet.Accepted, ClockMs: extreme(rng),
					Running: []tbfleet.ListedRun{{Ref: tbflow.TaskRef{Job: job.ID}, Run: uint64(extreme(rng)), Progress: int(extreme(rng)), Measurement: extreme(rng)}},
					Ended:   []tbfleet.ListedEnd{{Number: uint64(extreme(rng)), Ref: tbflow.TaskRef{Job: job.ID, Index: int(extreme(rng))}, Run: 1}},
				}
				sim.step(r, tbcontrol.PollAnswered{Term: r.control.Replica().Term(), Answer: a})
			}
			sim.run(100 * time.Millisecond)
		}
	}
}
