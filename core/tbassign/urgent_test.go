package tbassign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Times that a leader with half a core takes on a few hundred workers.
const (
	fullPlanTakes  = 7 * time.Millisecond
	shortPlanTakes = time.Millisecond
	orderTakes     = time.Millisecond
	commitTakes    = 10 * time.Millisecond
)

// leaderReplay plays a leader that is busy for as long as its plans and orders take.
type leaderReplay struct {
	*bench
	rng      *rand.Rand
	arrivals []arrival
	ends     []ending
	// ready is when each short step could start.
	ready map[stepRef]time.Time
	waits []time.Duration
	// filled counts the filling runs that were ordered.
	filled int
}

type arrival struct {
	at    time.Time
	queue string
	job   tbflow.Job
}

type ending struct {
	at  time.Time
	run tbflow.Assignment
}

// shortBesideBurst is ten seconds of short jobs, one every 70 ms, with a burst of filling jobs in them.
func shortBesideBurst(t *testing.T) *leaderReplay {
	b, rng := busyDay(t, 300)
	r := &leaderReplay{bench: b, rng: rng, ready: map[stepRef]time.Time{}}
	for i := range 140 {
		job := shortJob(rng, fmt.Sprintf("s%d", i))
		for k := range job.Steps {
			// They fit everywhere, so that none waits for room.
			job.Steps[k].Need = need(0.5)
		}
		r.arrivals = append(r.arrivals, arrival{b.now.Add(time.Duration(i) * 70 * time.Millisecond), "short", job})
	}
	for i := range 160 {
		at := b.now.Add(time.Duration(rng.IntN(10_000)) * time.Millisecond)
		if i%2 == 0 {
			at = b.now.Add(3*time.Second + time.Duration(rng.IntN(1500))*time.Millisecond)
		}
		r.arrivals = append(r.arrivals, arrival{at, "fill", fillJob(rng, fmt.Sprintf("f%d", i))})
	}
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, j := range b.state.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskAssigned && j.Steps[0].Fills {
				r.endLater(tbflow.Assignment{Ref: ref, Run: t.Run, Worker: t.Worker, Born: t.Born}, time.Duration(rng.IntN(2000))*time.Millisecond)
			}
		})
	}
	return r
}

func (r *leaderReplay) endLater(run tbflow.Assignment, after time.Duration) {
	r.ends = append(r.ends, ending{at: r.now.Add(after), run: run})
}

// happened submits and ends what was due while the leader was busy.
func (r *leaderReplay) happened() {
	r.commit(tbflow.PutConfig{})
	for len(r.arrivals) > 0 && !r.arrivals[0].at.After(r.now) {
		a := r.arrivals[0]
		r.arrivals = r.arrivals[1:]
		r.submitJob(a.queue, a.job)
		r.ready[stepRef{job: a.job.ID}] = a.at
	}
	slices.SortStableFunc(r.ends, func(a, b ending) int { return a.at.Compare(b.at) })
	for len(r.ends) > 0 && !r.ends[0].at.After(r.now) {
		e := r.ends[0]
		r.ends = r.ends[1:]
		ref := e.run.Ref
		r.commit(tbflow.NoteEnds{Worker: e.run.Worker, Born: 1, Ends: []tbflow.End{{Ref: ref, Run: e.run.Run, Kind: tbflow.EndDone}}})
		if ref.Step == 0 && r.state.Jobs[ref.Job].StepDone(0, 0) {
			r.ready[stepRef{job: ref.Job, step: 1}] = e.at
		}
	}
}

// play carries out the plans that next makes and returns how long short runs waited for
// their order, half of them and nineteen of twenty.
func (r *leaderReplay) play(next func() ([]tbflow.Assignment, bool)) (half, most time.Duration) {
	for end := r.now.Add(10 * time.Second); r.now.Before(end); {
		r.happened()
		runs, full := next()
		if len(runs) > 0 {
			r.commit(tbflow.Assign{Runs: runs})
			r.now = r.now.Add(commitTakes)
		}
		r.now = r.now.Add(shortPlanTakes)
		if full {
			r.now = r.now.Add(fullPlanTakes)
		}
		for _, run := range runs {
			r.now = r.now.Add(orderTakes)
			step := r.state.StepOf(run.Ref)
			r.endLater(run, step.Estimate)
			if short(step) {
				r.waits = append(r.waits, r.now.Sub(r.ready[refOfStep(run.Ref)]))
			} else {
				r.filled++
			}
		}
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)/2], r.waits[len(r.waits)*19/20]
}

// Short jobs arrive beside a burst of filling jobs on 300 workers (as on the grown
// deployments, where plans of up to 256 runs left every 400 ms and short jobs with a
// slack of 250 ms earned a tenth of their worth). Nearly all of their runs are ordered
// within half of that slack, and little less filling work is done.
func TestShortJobsDoNotWaitForPlansOfFillingWork(t *testing.T) {
	const slack = 250 * time.Millisecond
	r := shortBesideBurst(t)
	half, most := r.play(func() ([]tbflow.Assignment, bool) {
		return Plan(r.now, r.state, r.fleet, r.learn, r.group, 256), true
	})
	filledEarlier := r.filled
	t.Logf("plans of everything only: half of %d short runs within %s, 95 of 100 within %s; %d filling runs", len(r.waits), half, most, r.filled)
	qt.Check(t, most > slack*3/4, qt.IsTrue)
	r = shortBesideBurst(t)
	var planner Planner
	half, most = r.play(func() ([]tbflow.Assignment, bool) {
		return planner.Next(r.now, r.state, r.fleet, r.learn, r.group)
	})
	t.Logf("plans of short steps too: half of %d short runs within %s, 95 of 100 within %s; %d filling runs", len(r.waits), half, most, r.filled)
	qt.Check(t, most < slack/2, qt.IsTrue)
	qt.Check(t, r.filled >= filledEarlier*9/10, qt.IsTrue)
}
