package tbassign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Sizes of the busy day that the benchmarks replay.
const (
	busyLasting   = 10
	busyFilling   = 18
	busyReserved  = 0.92
	busyFillTasks = 1.0
)

// busyDay returns workers of whose processors lasting tasks reserve nearly all, with filling
// and short tasks beside them, and a model that knows which images harm which.
func busyDay(t testing.TB, workers int) (*bench, *rand.Rand) {
	rng := rand.New(rand.NewPCG(11, uint64(workers)))
	b := newBench(t, workers)
	var lasting, filling []string
	harmed := map[string][]string{}
	for i := range busyFilling {
		filling = append(filling, fmt.Sprintf("registry.example/press/%d", i))
	}
	for i := range busyLasting {
		image := fmt.Sprintf("registry.example/watch/%d", i)
		lasting = append(lasting, image)
		for _, f := range filling {
			if rng.Float64() < 0.4 {
				harmed[image] = append(harmed[image], f)
			}
		}
	}
	b.teach(lasting, filling, harmed)
	free := make([]float64, workers)
	for i := range free {
		free[i] = 32
	}
	var runs []tbflow.Assignment
	at := func(id string, index, worker int) {
		runs = append(runs, tbflow.Assignment{
			Ref: tbflow.TaskRef{Job: id, Index: index}, Run: 1, Worker: workerID(worker), Born: 1,
		})
	}
	for i := 0; float64(i)*14*6.4 < busyReserved*32*float64(workers); i++ {
		id := fmt.Sprintf("watch%d", i)
		step := watcher(14, lasting[rng.IntN(busyLasting)])
		step.Need = need(4.5 + 3.8*rng.Float64())
		if rng.IntN(2) == 0 {
			step.SpreadLimit = 2
		}
		b.submit("watch", id, step)
		for n := range step.Count {
			first := rng.IntN(workers)
			for k := range workers {
				w := (first + k) % workers
				if processors := float64(step.Need.MilliProcessors) / 1000; free[w] >= processors {
					free[w] -= processors
					at(id, n, w)
					break
				}
			}
		}
	}
	for i := range int(busyFillTasks * float64(workers) / 20) {
		id := fmt.Sprintf("press%d", i)
		b.submit("fill", id, filler(20, filling[rng.IntN(busyFilling)]))
		for n := range 20 {
			at(id, n, rng.IntN(workers))
		}
	}
	b.commit(tbflow.Assign{Runs: runs})
	b.now = b.now.Add(5 * time.Second)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
	b.lookAtAll(rng)
	return b, rng
}

func workerID(i int) string { return fmt.Sprintf("w%02d", i) }

func (b *bench) commit(c tbflow.Command) {
	b.state.Apply(b.now.UnixMilli(), c)
	b.fleet.Applied(b.now, b.state, c)
}

func (b *bench) lookAtAll(rng *rand.Rand) {
	for _, w := range b.fleet.Workers() {
		// Runs come in no particular order: each reading follows from its step.
		level := rng.Int64N(25)
		b.look(w.ID, func(s *tbflow.Step, _ *tbfleet.Run) int64 {
			if s.Fills {
				return s.Need.MilliProcessors
			}
			return 10 + (level+s.Need.MilliProcessors/100)%25
		})
	}
}

// shortJob is a short job of two steps.
func shortJob(rng *rand.Rand, id string) tbflow.Job {
	step := func(deps ...int) tbflow.Step {
		return tbflow.Step{
			Count: 3 + rng.IntN(7), Estimate: 500 * time.Millisecond, DependsOn: deps,
			Need: tbresource.Amount{MilliProcessors: 2000 + rng.Int64N(4000), MemoryMB: 4000 + rng.Int64N(8000)},
		}
	}
	return tbflow.Job{ID: id, Steps: []tbflow.Step{step(), step(0)}}
}

func fillJob(rng *rand.Rand, id string) tbflow.Job {
	step := func(deps ...int) tbflow.Step {
		s := filler(10+rng.IntN(20), fmt.Sprintf("registry.example/press/%d", rng.IntN(busyFilling)))
		s.DependsOn = deps
		return s
	}
	return tbflow.Job{ID: id, Steps: []tbflow.Step{step(), step(0)}}
}

func (b *bench) submitJob(queue string, job tbflow.Job) {
	reason := b.state.Apply(b.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/" + queue + "/" + job.ID, Job: job})
	qt.Assert(b.t, reason, qt.Equals, tbflow.OK)
}

// waitingSteps submits as many waiting steps, one in eight of a short job.
func (b *bench) waitingSteps(rng *rand.Rand, steps int) {
	for i := range steps {
		if i%8 == 0 {
			b.submitJob("short", shortJob(rng, fmt.Sprintf("s%d", i)))
		} else {
			b.submitJob("fill", fillJob(rng, fmt.Sprintf("f%d", i)))
		}
	}
}

var busySizes = []int{40, 100, 350, 490, 1100}

// BenchmarkPlan makes one plan of a busy day over and over.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, rng := busyDay(b, workers)
			day.waitingSteps(rng, 200)
			placed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				placed += len(Plan(day.now, day.state, day.fleet, day.learn, day.group, 256))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(1, placed)), "ns/task")
			b.ReportMetric(float64(placed)/float64(b.N), "tasks/plan")
		})
	}
}

// BenchmarkMoves makes one round of rebalancing over and over.
func BenchmarkMoves(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, rng := busyDay(b, workers)
			day.waitingSteps(rng, 200)
			moves := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				moves += len(NewRebalancer().Moves(day.now, day.state, day.fleet, day.learn))
			}
			b.ReportMetric(float64(moves)/float64(b.N), "moves/round")
		})
	}
}

// BenchmarkLook learns from one look and sets the paces that follow.
func BenchmarkLook(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, _ := busyDay(b, workers)
			all := day.fleet.Workers()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w := all[i%len(all)]
				if i%len(all) == 0 {
					day.now = day.now.Add(time.Second)
				}
				day.learn.Observe(day.now, day.state, w)
				day.learn.Paces(day.now, day.state, w)
			}
		})
	}
}

// BenchmarkAdmit decides on one more job while 200 wait.
func BenchmarkAdmit(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, rng := busyDay(b, workers)
			day.waitingSteps(rng, 200)
			job := fillJob(rng, "more")
			queue := day.state.Config.Match("h", "/fill/more")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				Admit(day.state, day.fleet, day.learn, queue, &job)
			}
		})
	}
}

// BenchmarkPlanShort makes one plan of the short steps of a busy day over and over.
func BenchmarkPlanShort(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, rng := busyDay(b, workers)
			day.waitingSteps(rng, 200)
			placed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				placed += len(PlanShort(day.now, day.state, day.fleet, day.learn, day.group, 256))
			}
			b.ReportMetric(float64(placed)/float64(b.N), "tasks/plan")
		})
	}
}

// BenchmarkPlanFull makes plans while no step that waits finds room any more.
func BenchmarkPlanFull(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, rng := busyDay(b, workers)
			day.waitingSteps(rng, workers)
			for len(day.plan()) > 0 {
				continue
			}
			day.lookAtAll(rng)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				Plan(day.now, day.state, day.fleet, day.learn, day.group, 256)
			}
		})
	}
}

// BenchmarkPlanEmpty makes plans while nothing waits.
func BenchmarkPlanEmpty(b *testing.B) {
	for _, workers := range busySizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			day, _ := busyDay(b, workers)
			for len(day.plan()) > 0 {
				continue
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				Plan(day.now, day.state, day.fleet, day.learn, day.group, 256)
			}
		})
	}
}
