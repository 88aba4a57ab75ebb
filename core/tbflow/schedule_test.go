package tbflow_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

var (
	scheduleCount = flag.Int("schedules", 400, "number of random schedules")
	firstSeed     = flag.Uint64("seed", 1, "seed of the first random schedule")
)

// commandSchedule applies random commands to a state, as leaders that know little of it might propose them.
type commandSchedule struct {
	*stateFixture
	rng     *rand.Rand
	jobs    int
	version uint64
	// reasons counts the reasons for which assignments were rejected.
	reasons map[tbflow.Reason]int
	// failedByLimit counts the jobs that FailExhausted has ended.
	failedByLimit int
}

func newCommandSchedule(t *testing.T, seed uint64, reasons map[tbflow.Reason]int) *commandSchedule {
	s := &commandSchedule{stateFixture: newStateFixture(t), rng: rand.New(rand.NewPCG(seed, 5)), version: 5, reasons: reasons}
	for i := range 4 {
		s.apply(tbflow.RecordWorker{Worker: fmt.Sprintf("w%d", i), Incarnation: 1, Address: fmt.Sprintf("a%d", i), Class: "c", DataCentre: fmt.Sprintf("dc%d", i%2)})
	}
	return s
}

func (s *commandSchedule) randomWorker() string { return fmt.Sprintf("w%d", s.rng.IntN(4)) }

// randomRef returns a task that mostly exists.
func (s *commandSchedule) randomRef() tbflow.TaskRef {
	ref := tbflow.TaskRef{Job: fmt.Sprintf("j%d", s.rng.IntN(s.jobs+1)), Step: s.rng.IntN(2), Index: s.rng.IntN(3)}
	switch ids, active := slices.Sorted(maps.Keys(s.Jobs)), s.Active(); {
	case len(active) > 0 && s.rng.IntN(4) > 0:
		ref.Job = active[s.rng.IntN(len(active))].ID
	case len(ids) > 0 && s.rng.IntN(4) > 0:
		ref.Job = ids[s.rng.IntN(len(ids))]
	}
	if j := s.Jobs[ref.Job]; j != nil && s.rng.IntN(8) > 0 {
		ref.Index = s.rng.IntN(j.Steps[ref.Step].Count)
	}
	return ref
}

// randomConfig returns a configuration that may lower a limit under stored jobs, send the queue to another class, or lack
// the queue.
func (s *commandSchedule) randomConfig() tbflow.PutConfig {
	s.version++
	c := tbflow.Config{Version: s.version, Queues: []tbflow.Queue{{Name: "other", Key: tbflow.QueueKey{Host: "h", Prefix: "/other/"}, WorkerClass: "c", MaxFailures: 1}}}
	if s.rng.IntN(4) > 0 {
		c.Queues = append(c.Queues, tbflow.Queue{
			Name: "q", Key: queueKey, WorkerClass: []string{"c", "d"}[s.rng.IntN(2)], MaxFailures: 1 + s.rng.IntN(4), Priority: s.rng.IntN(3), Slack: 2,
		})
	}
	return tbflow.PutConfig{Config: c}
}

func (s *commandSchedule) randomSubmit() tbflow.Submit {
	id := fmt.Sprintf("j%d", s.jobs)
	s.jobs++
	first, second := newStep(1+s.rng.IntN(3)), newStep(1+s.rng.IntN(2), 0)
	first.Gang, first.LongRunning = s.rng.IntN(4) == 0, s.rng.IntN(5) == 0
	first.Speculative = !first.Gang && s.rng.IntN(2) == 0
	return tbflow.Submit{Host: "h", Path: "/q/" + id, Job: tbflow.Job{ID: id, Steps: []tbflow.Step{first, second}}}
}

func (s *commandSchedule) randomAssignment() tbflow.Assignment {
	a := tbflow.Assignment{Ref: s.randomRef(), Run: 1 + s.rng.Uint64N(3), Worker: s.randomWorker(), Incarnation: 1}
	if j := s.Jobs[a.Ref.Job]; j != nil && j.Task(a.Ref) != nil && s.rng.IntN(6) > 0 {
		a.Run = s.NextRun(a.Ref)
	}
	if w := s.Workers[a.Worker]; w != nil {
		a.Incarnation = w.Incarnation + int64(s.rng.IntN(12)/11) - int64(s.rng.IntN(12)/11)
	}
	return a
}

// randomRun returns a run of a task that is assigned to a worker, or was lately.
func (s *commandSchedule) randomRun() (worker string, incarnation int64, end tbflow.End) {
	end = tbflow.End{Ref: s.randomRef(), Run: 1, Kind: []tbflow.EndKind{tbflow.EndFailed, tbflow.EndFailed, tbflow.EndStopped, tbflow.EndNeverRan, tbflow.EndDone}[s.rng.IntN(5)]}
	worker, incarnation = s.randomWorker(), 1
	j := s.Jobs[end.Ref.Job]
	if j == nil || j.Task(end.Ref) == nil {
		return worker, incarnation, end
	}
	switch t, c, starts := j.Task(end.Ref), s.Copies[end.Ref], s.Outstanding[end.Ref]; {
	case len(starts) > 0 && s.rng.IntN(3) == 0:
		worker, incarnation, end.Run = starts[0].Worker, starts[0].Incarnation, starts[0].Run
	case c.IsAssigned() && s.rng.IntN(2) == 0:
		worker, incarnation, end.Run = c.Worker, c.Incarnation, c.Run
	case t.Phase == tbflow.TaskAssigned:
		worker, incarnation, end.Run = t.Worker, t.Incarnation, t.Run
	}
	return worker, incarnation, end
}

func (s *commandSchedule) randomCommand() tbflow.Command {
	switch s.rng.IntN(24) {
	case 0:
		return s.randomConfig()
	case 1, 2:
		return s.randomSubmit()
	case 3:
		ref := s.randomRef()
		return tbflow.Cancel{ID: ref.Job, Host: "h", Path: "/q/" + ref.Job}
	case 4:
		w := s.randomWorker()
		if record := s.Workers[w]; record != nil && s.rng.IntN(12) == 0 {
			return tbflow.RecordDraining{Worker: w, Incarnation: record.Incarnation}
		}
		return tbflow.RemoveWorker{Worker: w, Incarnation: 1}
	case 5:
		w := s.randomWorker()
		incarnation := int64(1)
		if record := s.Workers[w]; record != nil {
			incarnation = record.Incarnation + int64(s.rng.IntN(2))
		}
		return tbflow.RecordWorker{Worker: w, Incarnation: incarnation, Address: "a" + w[1:], Class: "c", DataCentre: fmt.Sprintf("dc%d", s.rng.IntN(2))}
	case 6:
		return tbflow.SetEvacuation{DataCentre: "dc1", Active: s.rng.IntN(4) == 0}
	case 7:
		worker, incarnation, end := s.randomRun()
		return tbflow.RecordUnanswered{Worker: worker, Incarnation: incarnation, Address: "a" + worker[1:], Runs: []tbflow.RunRef{{Ref: end.Ref, Run: end.Run}}}
	case 8:
		ref := s.randomRef()
		if starts := s.Outstanding[ref]; len(starts) > 0 {
			return tbflow.RecordSettled{Starts: []tbflow.SettledStart{{Ref: ref, Start: starts[0]}}}
		}
		return tbflow.RecordSettled{}
	case 9:
		return tbflow.FailExhausted{Jobs: append(s.ExhaustedJobs(), s.randomRef().Job)}
	case 10:
		return tbflow.AssignCopies{Assignments: []tbflow.Assignment{s.randomAssignment()}}
	case 11, 12, 13, 14, 15, 16, 17:
		worker, incarnation, end := s.randomRun()
		return tbflow.RecordEnds{Worker: worker, Incarnation: incarnation, Ends: []tbflow.End{end}}
	default:
		return tbflow.Assign{Assignments: []tbflow.Assignment{s.randomAssignment()}}
	}
}

// exhausted returns the jobs with a waiting task that may not start again after its failures.
func (s *commandSchedule) exhausted() []string {
	found := map[string]bool{}
	for _, j := range s.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if t.Phase == tbflow.TaskWaiting && !j.Steps[ref.Step].LongRunning && t.Failures >= j.MaxFailures {
				found[j.ID] = true
			}
		})
	}
	return slices.Sorted(maps.Keys(found))
}

// assignedRun returns the run of a task that is assigned to the worker, or 0.
func (s *commandSchedule) assignedRun(a tbflow.Assignment) uint64 {
	if t := s.AssignedRun(a.Worker, a.Ref); t != nil {
		return t.Run
	}
	return 0
}

// applyChecked applies a command and returns an error if a rule is broken.
func (s *commandSchedule) applyChecked(c tbflow.Command) error {
	var a tbflow.Assignment
	refusal := tbflow.OK
	switch c := c.(type) {
	case tbflow.Assign:
		a = c.Assignments[0]
		refusal = s.AssignRefusal(a)
	case tbflow.AssignCopies:
		a = c.Assignments[0]
		refusal = s.CopyRefusal(a)
	}
	runBefore := s.assignedRun(a)
	phases := map[string]tbflow.JobPhase{}
	for id, j := range s.Jobs {
		phases[id] = j.Phase
	}
	s.apply(c)
	if a.Worker != "" {
		s.reasons[refusal]++
		want := runBefore
		if refusal == tbflow.OK {
			want = a.Run
		}
		if run := s.assignedRun(a); run != want {
			return fmt.Errorf("%+v: refusal %q, but run %d instead of %d is assigned", a, refusal, run, want)
		}
	}
	if got, want := s.ExhaustedJobs(), s.exhausted(); !slices.Equal(got, want) {
		return fmt.Errorf("exhausted jobs are %v, not %v", want, got)
	}
	for id, j := range s.Jobs {
		if j.Phase != tbflow.Failed || phases[id].Ended() {
			continue
		}
		hasCause := false
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			hasCause = hasCause || !j.Steps[ref.Step].LongRunning && t.Failures >= j.MaxFailures && t.Phase != tbflow.TaskDone
		})
		if !hasCause {
			return fmt.Errorf("job %s has failed although each task has attempts left", id)
		}
	}
	if c, ok := c.(tbflow.FailExhausted); ok {
		for _, id := range c.Jobs {
			if phases[id] == tbflow.Running && s.Jobs[id].Phase == tbflow.Failed {
				s.failedByLimit++
			}
		}
		if left := s.exhausted(); len(left) > 0 {
			return fmt.Errorf("jobs %v go on without attempts", left)
		}
	}
	return nil
}

// rebuilt returns a state with the stored fields of s.
func (s *commandSchedule) rebuilt() *tbflow.State {
	r := tbflow.New()
	r.NowMs, r.Config, r.Workers, r.NextSeq, r.Listed, r.Crashes = s.NowMs, s.Config, s.Workers, s.NextSeq, s.Listed, s.Crashes
	r.Outstanding, r.Evacuations, r.Copies = s.Outstanding, s.Evacuations, s.Copies
	for id, j := range s.Jobs {
		stored := *j
		r.Jobs[id] = &stored
	}
	r.Rebuild()
	return r
}

// No active job has a waiting task without attempts once the leader has ended those on the list, whatever configurations
// and ends of runs come in which order, and no job fails while each of its tasks has attempts left. What the state says of
// an assignment before is what it does with it.
func TestSchedulesOfCommands(t *testing.T) {
	reasons, failedByLimit := map[tbflow.Reason]int{}, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*scheduleCount); seed++ {
		s := newCommandSchedule(t, seed, reasons)
		for i := range 600 {
			c := s.randomCommand()
			if err := s.applyChecked(c); err != nil {
				t.Fatalf("seed %d, command %d, %T: %v", seed, i, c, err)
			}
			if i%50 == 0 {
				r := s.rebuilt()
				qt.Assert(t, r.ExhaustedJobs(), qt.DeepEquals, s.ExhaustedJobs(), qt.Commentf("seed %d, command %d", seed, i))
				for w := range 4 {
					qt.Assert(t, r.Usage(fmt.Sprintf("w%d", w)), qt.Equals, s.Usage(fmt.Sprintf("w%d", w)), qt.Commentf("seed %d, command %d", seed, i))
				}
			}
		}
		failedByLimit += s.failedByLimit
	}
	t.Logf("%d jobs failed by a new limit, reasons %v", failedByLimit, reasons)
	for _, reason := range []tbflow.Reason{
		tbflow.OK, tbflow.JobUnknown, tbflow.TaskUnknown, tbflow.JobEnded, tbflow.TaskNotWaiting, tbflow.RunStale, tbflow.AttemptsUsed, tbflow.NotReady,
		tbflow.StartOutstanding, tbflow.OtherIncarnation, tbflow.WorkerDraining, tbflow.InEvacuated, tbflow.CopyNotAllowed,
	} {
		qt.Check(t, reasons[reason] > 0, qt.IsTrue, qt.Commentf("no assignment was rejected with %q", reason))
	}
	qt.Check(t, failedByLimit > 0, qt.IsTrue)
}

// A rejected assignment leaves the state as it is, so that it would be rejected again.
func TestRejectedAssignmentChangesNothing(t *testing.T) {
	f := newStateFixture(t)
	f.submit("j", newStep(1))
	f.apply(tbflow.RecordWorker{Worker: "w", Incarnation: 3, Address: "a"})
	before := *f.Workers["w"]
	for _, a := range []tbflow.Assignment{
		{Ref: newRef("j", 0, 0), Run: 1, Worker: "w", Incarnation: 2},
		{Ref: newRef("j", 0, 5), Run: 1, Worker: "new", Incarnation: 2},
		{Ref: newRef("other", 0, 0), Run: 1, Worker: "new", Incarnation: 2},
	} {
		qt.Check(t, f.AssignRefusal(a), qt.Not(qt.Equals), tbflow.OK)
		f.apply(tbflow.Assign{Assignments: []tbflow.Assignment{a}})
		qt.Check(t, reflect.DeepEqual(*f.Workers["w"], before), qt.IsTrue)
		qt.Check(t, f.Workers["new"], qt.IsNil)
		qt.Check(t, f.Jobs["j"].Tasks[0][0][0].Phase, qt.Equals, tbflow.TaskWaiting)
	}
}
