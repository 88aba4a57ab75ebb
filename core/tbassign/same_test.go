package tbassign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// randomStep draws a step of any kind.
func randomStep(rng *rand.Rand, queue string, images int) tbflow.Step {
	s := tbflow.Step{
		Count: 1 + rng.IntN(12), Estimate: time.Duration(200+rng.IntN(2000)) * time.Millisecond,
		Need: tbresource.Amount{MilliProcessors: 500 * (1 + rng.Int64N(16)), MemoryMB: 1000 * (1 + rng.Int64N(14))},
	}
	s.Image = fmt.Sprintf("%s%d", queue, rng.IntN(images))
	switch queue {
	case "watch":
		s.Lasting, s.TailTarget = true, 50*time.Millisecond
	case "fill":
		s.Fills = true
	default:
		s.Gang = rng.IntN(5) == 0
	}
	if rng.IntN(4) == 0 {
		s.SpreadLimit = 1 + rng.IntN(2)
	}
	if rng.IntN(5) == 0 {
		s.Label = "fast"
	}
	if rng.IntN(5) == 0 {
		s.Rack = fmt.Sprintf("rack%d", rng.IntN(3))
	}
	return s
}

// randomDay is a day of any events on a few workers.
type randomDay struct {
	*bench
	rng    *rand.Rand
	images int
	jobs   int
}

func newRandomDay(t *testing.T, seed uint64) *randomDay {
	d := &randomDay{bench: newBench(t, 0), rng: rand.New(rand.NewPCG(seed, 1)), images: 2 + int(seed%5)}
	for i := range 2 + d.rng.IntN(25) {
		r := tbfleet.Report{
			ID: workerID(i), Address: workerID(i), Born: 1, Class: "c", ClockMs: 1, Sequence: 1, Rack: fmt.Sprintf("rack%d", i%3),
			Capacity: tbresource.Amount{MilliProcessors: 16_000 * (1 + d.rng.Int64N(3)), MemoryMB: 125_000},
		}
		if d.rng.IntN(2) == 0 {
			r.Labels = []string{"fast"}
		}
		d.fleet.Heard(d.now, r)
	}
	config := tbflow.Config{Version: 2, Queues: slices.Clone(d.state.Config.Queues)}
	for i := range config.Queues {
		config.Queues[i].Priority = d.rng.IntN(3)
	}
	d.commit(tbflow.PutConfig{Config: config})
	return d
}

// submitSome submits a job of one or two steps.
func (d *randomDay) submitSome() {
	queue := []string{"short", "watch", "fill", "fill"}[d.rng.IntN(4)]
	job := tbflow.Job{ID: fmt.Sprintf("j%d", d.jobs), Steps: []tbflow.Step{randomStep(d.rng, queue, d.images)}}
	if queue != "watch" && d.rng.IntN(2) == 0 {
		next := randomStep(d.rng, queue, d.images)
		next.DependsOn = []int{0}
		job.Steps = append(job.Steps, next)
	}
	d.jobs++
	d.submitJob(queue, job)
}

// endSome ends runs in some way.
func (d *randomDay) endSome() {
	for _, j := range slices.Clone(d.state.Active()) {
		var ends []tbflow.TaskRef
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskAssigned && d.rng.IntN(6) == 0 {
				ends = append(ends, ref)
			}
		})
		for _, ref := range ends {
			t := j.Task(ref)
			if t.Phase != tbflow.TaskAssigned {
				continue
			}
			kind := tbflow.EndDone
			switch {
			case d.rng.IntN(8) == 0:
				kind = tbflow.EndFailed
			case d.rng.IntN(8) == 0 || j.Steps[ref.Step].Lasting:
				kind = tbflow.EndStopped
			}
			if j.Steps[ref.Step].Lasting && d.rng.IntN(3) == 0 {
				// Its place may be held for a task, its own or another, that is being moved.
				d.group.pins[ref] = pin{worker: workerID(d.rng.IntN(27)), run: t.Run, until: d.now.Add(time.Second), partner: ref}
			}
			d.commit(tbflow.NoteEnds{Worker: t.Worker, Born: t.Born, Ends: []tbflow.End{{Ref: ref, Run: t.Run, Kind: kind}}})
		}
	}
}

func (d *randomDay) learnSome() {
	d.learn.Adopt([]tbflow.Slope{{
		Lasting: fmt.Sprintf("watch%d", d.rng.IntN(d.images)), Filling: fmt.Sprintf("fill%d", d.rng.IntN(d.images)),
		Mean: -8 * d.rng.Float64(),
	}})
	d.lookAtAll(d.rng)
}

// What a plan keeps from one task, step or plan to the next changes none of its decisions.
func TestPlanDecidesAsTheFullComputation(t *testing.T) {
	placed := 0
	for seed := range uint64(120) {
		d := newRandomDay(t, seed)
		for round := range 30 {
			d.now = d.now.Add(time.Duration(d.rng.IntN(1200)) * time.Millisecond)
			d.commit(tbflow.PutConfig{})
			// On every third day far more is submitted than there is room for.
			for range d.rng.IntN(4 + 12*(int(seed)%3/2)) {
				d.submitSome()
			}
			d.endSome()
			if d.rng.IntN(3) == 0 {
				d.learnSome()
			}
			limit := []int{5, 40, 1000}[d.rng.IntN(3)]
			want := fullPlan(d.now, d.state, d.fleet, d.learn, d.group, limit)
			got := Plan(d.now, d.state, d.fleet, d.learn, d.group, limit)
			qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("seed %d, round %d", seed, round))
			placed += len(got)
			d.commit(tbflow.Assign{Runs: got})
		}
	}
	t.Logf("%d runs placed", placed)
	qt.Check(t, placed > 20_000, qt.IsTrue)
}

// While filling work has the lowest priority, a plan of short steps is the beginning of
// the plan of everything.
func TestShortPlanIsTheBeginningOfTheFullOne(t *testing.T) {
	placed := 0
	for seed := range uint64(120) {
		d := newRandomDay(t, seed)
		config := tbflow.Config{Version: 3, Queues: slices.Clone(d.state.Config.Queues)}
		for i := range config.Queues {
			config.Queues[i].Priority = d.rng.IntN(2)
			if config.Queues[i].Name == "fill" {
				config.Queues[i].Priority = 2
			}
		}
		d.commit(tbflow.PutConfig{Config: config})
		for round := range 30 {
			d.now = d.now.Add(time.Duration(d.rng.IntN(400)) * time.Millisecond)
			d.commit(tbflow.PutConfig{})
			for range d.rng.IntN(4) {
				d.submitSome()
			}
			d.endSome()
			runs := Plan(d.now, d.state, d.fleet, d.learn, d.group, 1000)
			urgent := PlanShort(d.now, d.state, d.fleet, d.learn, d.group, 1000)
			begins := len(urgent) <= len(runs) && slices.Equal(urgent, runs[:len(urgent)])
			qt.Assert(t, begins, qt.IsTrue, qt.Commentf("seed %d, round %d: %v, all %v", seed, round, urgent, runs))
			placed += len(urgent)
			d.commit(tbflow.Assign{Runs: runs})
		}
	}
	t.Logf("%d runs placed", placed)
	qt.Check(t, placed > 2000, qt.IsTrue)
}
