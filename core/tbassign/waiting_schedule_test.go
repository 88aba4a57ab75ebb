package tbassign

import (
	"flag"
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

var (
	scheduleCount = flag.Int("schedules", 300, "number of random schedules")
	firstSeed     = flag.Uint64("seed", 1, "seed of the first random schedule")
)

const (
	scheduleTick = 50 * time.Millisecond
	// scheduleTime is long enough for short jobs to become useless and wait for long after that.
	scheduleTime = 30 * time.Second
	// maxWaitWithRoom is the wait for a start that the users' contract tolerates.
	maxWaitWithRoom = 3 * time.Second
)

// waitingSchedule plays random jobs on a small fleet and checks that none of their tasks waits beside free room.
type waitingSchedule struct {
	*fixture
	rng     *rand.Rand
	planner Planner
	// capacity is that of the last worker, and of all workers of a uniform fleet.
	capacity tbresource.Amount
	running  []runEnd
	// stallingUntil holds the times until which the runs of workers make no progress.
	stallingUntil map[string]time.Time
	// stuck holds the runs that do not end with success.
	stuck map[tbflow.Assignment]bool
	jobs  int
	// roomSince holds since when a waiting task has had room.
	roomSince map[tbflow.TaskRef]time.Time
}

func newWaitingSchedule(t *testing.T, seed uint64) *waitingSchedule {
	s := &waitingSchedule{fixture: newFixture(t, 0), rng: rand.New(rand.NewPCG(seed, 3)), stallingUntil: map[string]time.Time{}, stuck: map[tbflow.Assignment]bool{}, roomSince: map[tbflow.TaskRef]time.Time{}}
	isUniform := s.rng.IntN(2) == 0
	for i := range 1 + s.rng.IntN(10) {
		if i == 0 || !isUniform {
			s.capacity = tbresource.Amount{MilliProcessors: 8000 * (1 + s.rng.Int64N(4)), MemoryMB: 16_000 * (1 + s.rng.Int64N(4))}
		}
		r := tbfleet.Report{
			ID: workerID(i), Address: workerID(i), Incarnation: 1, Class: []string{"c", "c", "d"}[i%3], ClockMs: 1, Sequence: 1, Capacity: s.capacity,
		}
		if s.rng.IntN(2) == 0 {
			r.Labels = []string{"fast"}
		}
		s.fleet.HandleReport(s.now, r)
	}
	s.learner.Features = Features{
		PredictedAdmission: s.rng.IntN(4) > 0, FairShares: s.rng.IntN(2) == 0, LookAhead: s.rng.IntN(2) == 0, WorkerSpeeds: s.rng.IntN(4) == 0,
	}
	fill := *s.state.Config.Queue(tbflow.QueueKey{Host: "h", Prefix: "/fill/"})
	fill.Key.Prefix = "/fill2/"
	s.commit(tbflow.PutConfig{Config: tbflow.Config{Version: 2, Queues: append(slices.Clone(s.state.Config.Queues), fill)}})
	s.putRandomConfig()
	if s.rng.IntN(2) == 0 {
		s.submitOneOnEachWorker()
	}
	return s
}

// submitOneOnEachWorker submits a long-running job with a small task for each worker, so that no worker is ever empty.
func (s *waitingSchedule) submitOneOnEachWorker() {
	step := longRunningStep(len(s.fleet.Workers()), "watch0")
	step.Need, step.SpreadLimit = tbresource.Amount{MilliProcessors: 500, MemoryMB: 500}, 1
	s.submitJob("watch", tbflow.Job{ID: "each", Steps: []tbflow.Step{step}})
}

// putRandomConfig gives the queues other priorities and classes, under jobs that are there already.
func (s *waitingSchedule) putRandomConfig() {
	config := tbflow.Config{Version: s.state.Config.Version + 1, Queues: slices.Clone(s.state.Config.Queues)}
	for i := range config.Queues {
		config.Queues[i].Priority = s.rng.IntN(3)
		config.Queues[i].MaxFailures = 1 + s.rng.IntN(4)
		config.Queues[i].WorkerClass = []string{"c", "c", "d"}[s.rng.IntN(3)]
	}
	s.commit(tbflow.PutConfig{Config: config})
}

// randomWaitingStep returns a step whose tasks may need a whole worker, or more than any worker has.
func (s *waitingSchedule) randomWaitingStep(queue string) tbflow.Step {
	step := tbflow.Step{
		Count: 1 + s.rng.IntN(4), Estimate: time.Duration(100+s.rng.IntN(3000)) * time.Millisecond, Image: fmt.Sprintf("%s%d", queue, s.rng.IntN(2)),
		Need: tbresource.Amount{MilliProcessors: 500 * (1 + s.rng.Int64N(8)), MemoryMB: 500 * (1 + s.rng.Int64N(8))},
	}
	if s.rng.IntN(4) == 0 {
		step.Need.MilliProcessors, step.Estimate = s.capacity.MilliProcessors*(1+s.rng.Int64N(3))/2, 4*step.Estimate
	}
	switch queue {
	case "watch":
		step.LongRunning, step.TailTarget = true, 50*time.Millisecond
		if s.rng.IntN(2) == 0 {
			step.SpreadLimit = 1
		}
	case "fill", "fill2":
		step.BestEffort, step.Image = true, fmt.Sprintf("fill%d", s.rng.IntN(2))
	}
	if !step.LongRunning {
		step.Gang = s.rng.IntN(6) == 0
	}
	if s.rng.IntN(6) == 0 {
		step.Label = "fast"
	}
	return step
}

func (s *waitingSchedule) submitRandom() {
	queue := []string{"short", "short", "short", "short", "watch", "fill", "fill2"}[s.rng.IntN(7)]
	job := tbflow.Job{ID: fmt.Sprintf("j%d", s.jobs), Steps: []tbflow.Step{s.randomWaitingStep(queue)}, CallerDataCentre: fmt.Sprintf("dc%d", s.rng.IntN(2))}
	if queue != "watch" && s.rng.IntN(3) == 0 {
		next := s.randomWaitingStep(queue)
		next.DependsOn = []int{0}
		job.Steps = append(job.Steps, next)
	}
	s.jobs++
	s.submitJob(queue, job)
}

// endRuns ends the runs whose time is over. Some fail, and long-running tasks stop at times.
func (s *waitingSchedule) endRuns() {
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		if s.now.Before(r.at) {
			continue
		}
		s.running = slices.Delete(s.running, i, i+1)
		i--
		defer delete(s.stuck, r.run)
		kind := tbflow.EndDone
		if step := s.state.StepOf(r.run.Ref); s.stuck[r.run] || step != nil && step.LongRunning || s.rng.IntN(12) == 0 {
			kind = []tbflow.EndKind{tbflow.EndFailed, tbflow.EndStopped, tbflow.EndNeverRan}[s.rng.IntN(3)]
		}
		s.commit(tbflow.RecordEnds{Worker: r.run.Worker, Incarnation: r.run.Incarnation, Ends: []tbflow.End{{Ref: r.run.Ref, Run: r.run.Run, Kind: kind}}})
	}
}

// silenceRandom makes the runs of a worker end without success after a while, as after a silence of the worker.
func (s *waitingSchedule) silenceRandom() {
	id, until := workerID(s.rng.IntN(len(s.fleet.Workers()))), s.now.Add(time.Duration(2+s.rng.IntN(6))*time.Second)
	for i := range s.running {
		if r := &s.running[i]; r.run.Worker == id {
			r.at, s.stuck[r.run] = until, true
		}
	}
}

// stallRandom makes all runs of a worker end as stalled for a while, so that the worker is avoided again and again.
func (s *waitingSchedule) stallRandom() {
	s.stallingUntil[workerID(s.rng.IntN(len(s.fleet.Workers())))] = s.now.Add(time.Duration(1+s.rng.IntN(10)) * time.Second)
}

// stopStalled stops the runs that have begun on stalling workers.
func (s *waitingSchedule) stopStalled() {
	for i := range s.running {
		if r := &s.running[i]; s.now.Before(s.stallingUntil[r.run.Worker]) && !s.stuck[r.run] {
			s.fleet.StopStalled(s.now, r.run.Worker, r.run.Ref)
			r.at, s.stuck[r.run] = s.now, true
		}
	}
}

// runTime returns how long a run lasts. Estimates are rough.
func (s *waitingSchedule) runTime(step *tbflow.Step) time.Duration {
	if step.LongRunning {
		return time.Duration(1+s.rng.IntN(120)) * time.Second
	}
	factor := 0.5 + s.rng.Float64()
	if s.rng.IntN(20) == 0 {
		factor *= 7
	}
	return time.Duration(factor * float64(step.Estimate))
}

func (s *waitingSchedule) cancelRandom() {
	if active := s.state.Active(); len(active) > 0 {
		j := active[s.rng.IntN(len(active))]
		if j.ID == "each" {
			return
		}
		s.commit(tbflow.Cancel{ID: j.ID, Host: j.Queue.Host, Path: j.Queue.Prefix + j.ID})
		for _, r := range s.running {
			if r.run.Ref.Job == j.ID {
				s.commit(tbflow.RecordEnds{Worker: r.run.Worker, Incarnation: r.run.Incarnation, Ends: []tbflow.End{{Ref: r.run.Ref, Run: r.run.Run, Kind: tbflow.EndStopped}}})
			}
		}
		s.running = slices.DeleteFunc(s.running, func(r runEnd) bool { return r.run.Ref.Job == j.ID })
	}
}

// step plays one tick. It returns an error if the plan has an assignment that the state rejects.
func (s *waitingSchedule) step() error {
	s.now = s.now.Add(scheduleTick)
	s.commit(tbflow.PutConfig{})
	s.stopStalled()
	s.endRuns()
	if jobs := s.state.ExhaustedJobs(); len(jobs) > 0 {
		s.commit(tbflow.FailExhausted{Jobs: jobs})
	}
	for _, w := range s.fleet.Workers() {
		s.poll(w.ID, noMeasurement)
	}
	for _, run := range s.planner.NextPlan(s.now, s.state, s.fleet, s.learner, s.rebalancer).Runs {
		if reason := s.state.AssignRefusal(run); reason != tbflow.OK {
			return fmt.Errorf("the plan has %+v, which the state rejects with %q", run, reason)
		}
		s.commit(tbflow.Assign{Assignments: []tbflow.Assignment{run}})
		s.answerStart(run)
		s.running = append(s.running, runEnd{s.now.Add(s.runTime(s.state.StepOf(run.Ref))), run})
	}
	return nil
}

// isHalfUsed reports whether at least half of the processors or of the memory of a class is in use.
func (s *waitingSchedule) isHalfUsed(class string) bool {
	var used, total tbresource.Amount
	for _, w := range s.fleet.Workers() {
		if w.Class == class {
			use := s.state.Usage(w.ID)
			used = used.Add(use.Reserved).Add(tbresource.Amount{MilliProcessors: use.BestEffortMilliProcessors})
			total = total.Add(w.Capacity)
		}
	}
	return 2*used.MilliProcessors >= total.MilliProcessors || 2*used.MemoryMB >= total.MemoryMB
}

// roomFor returns how many tasks of a step would find room in the class of its job.
func (s *waitingSchedule) roomFor(j *tbflow.Job, step *tbflow.Step, occurrence, stepIndex int) int {
	n := 0
	for _, w := range s.fleet.Workers() {
		if w.Class != j.WorkerClass {
			continue
		}
		present := 0
		for i := range j.Tasks[occurrence][stepIndex] {
			if j.Tasks[occurrence][stepIndex][i].Worker == w.ID {
				present++
			}
		}
		use := s.state.Usage(w.ID)
		free, need := w.Capacity.Sub(use.Reserved), step.Need
		if step.BestEffort {
			free.MilliProcessors -= use.BestEffortMilliProcessors
			need.MilliProcessors = min(need.MilliProcessors, w.Capacity.MilliProcessors)
		}
		for ; need.Fits(free) && satisfiesConstraints(step, w, present); present++ {
			free = free.Sub(need)
			n++
		}
	}
	return n
}

// check returns an error if a task has waited for longer than maxWaitWithRoom while less than half of its class was in
// use and there was room for it twice over.
func (s *waitingSchedule) check() error {
	hasRoom := map[tbflow.TaskRef]time.Time{}
	halfUsed := map[string]bool{"c": s.isHalfUsed("c"), "d": s.isHalfUsed("d")}
	for _, w := range waitingSteps(s.now, s.state, s.learner) {
		needed := 2
		if w.step.Gang {
			needed *= w.step.Count
			if len(w.waitingTasks()) < w.step.Count {
				continue
			}
		}
		if halfUsed[w.job.WorkerClass] || s.roomFor(w.job, w.step, w.occurrence, w.stepIndex) < needed {
			continue
		}
		for _, ref := range w.waitingTasks() {
			since, ok := s.roomSince[ref]
			if !ok {
				since = s.now
			}
			// A task that has failed or was stopped meanwhile has waited since then.
			if waiting := s.now.Add(-time.Duration(s.state.TimeAt(s.now)-w.job.Task(ref).WaitingSinceMs) * time.Millisecond); waiting.After(since) {
				since = waiting
			}
			if hasRoom[ref] = since; s.now.Sub(since) > maxWaitWithRoom {
				return fmt.Errorf("%s, %+v, has waited for %s beside free room, priority %d, lateness %d", ref, *w.step, s.now.Sub(since), w.job.Priority, w.lateness)
			}
		}
	}
	s.roomSince = hasRoom
	return nil
}

// play submits jobs in bursts of random length and rate, and returns the first error of check.
func (s *waitingSchedule) play() error {
	rate, burstEnd := 0.0, s.now
	for end := s.now.Add(scheduleTime); s.now.Before(end); {
		if !s.now.Before(burstEnd) {
			rate = []float64{0, 0.02, 0.05, 0.2}[s.rng.IntN(4)]
			burstEnd = s.now.Add(time.Duration(200+s.rng.IntN(8000)) * time.Millisecond)
		}
		if s.rng.Float64() < rate {
			s.submitRandom()
		}
		if s.rng.IntN(40) == 0 {
			s.cancelRandom()
		}
		if s.rng.IntN(40) == 0 {
			s.silenceRandom()
		}
		if s.rng.IntN(40) == 0 {
			s.stallRandom()
		}
		if s.rng.IntN(200) == 0 {
			s.putRandomConfig()
		}
		if err := s.step(); err != nil {
			return err
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// While less than half of a class is in use and there is room for a ready task twice over, no other waiting work keeps
// the task from its start for longer than the users' contract tolerates.
func TestSchedulesOfWaitingWork(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*scheduleCount); seed++ {
		qt.Check(t, newWaitingSchedule(t, seed).play(), qt.IsNil, qt.Commentf("seed %d", seed))
	}
}
