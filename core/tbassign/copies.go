package tbassign

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A step is done when its last task is. Among the tasks of a short job, a few take many times as long as the others,
// and any worker may fall silent, so that many jobs wait for one run while the other workers have room. Where a step
// allows it, such a run gets a copy on another worker, and the run that ends first counts.
//
// A run is a straggler if the job would be late or too late because of it and a copy is expected to prevent that. How
// long it still takes follows from its progress, or from its age and the learned run times of its image: of the runs
// that are as old, most take much longer. How long a copy takes follows from the learned run times, and from the other
// tasks of the step: if all of them are slow, the work is long, and copies would be as slow. Runs at workers that are
// silent are not waited for.
//
// Copies take only room that is left when all waiting tasks have theirs, and a bounded share of all processors.
// Best-effort tasks get no copies, because they are slow where others need the processors, and the copy would be,
// too. Tasks with checkpoints get none: they resume from what the first run has saved, and two runs would save
// over each other.

const (
	// maxCopyShare is the largest share of the processors of a worker class that copies take.
	maxCopyShare = 0.05
	// minProgressShare is the share of the usual run time after which the progress of a run says how long it takes.
	minProgressShare = 0.25
	// minObservedRuns is the number of observed runs of an image from which its stragglers are told by their age.
	minObservedRuns = 32
	// minCopyGain is the least time that a straggler still takes, as a multiple of the time that a copy takes.
	minCopyGain = 1.5
	// minSlowShare is the share of the runs of the same age that have to take much longer.
	minSlowShare = 0.5
)

// straggler is a run whose job waits for it for too long.
type straggler struct {
	ref        tbflow.TaskRef
	job        *tbflow.Job
	deadlineMs int64
}

// PlanCopies returns second runs of stragglers that should start now.
func PlanCopies(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) []tbflow.Assignment {
	var all []straggler
	for _, j := range s.Active() {
		if j.Phase != tbflow.Running || !allowsCopies(j) {
			continue
		}
		for k := range j.Tasks {
			all = append(all, stragglersOf(now, s, f, l, j, k)...)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.deadlineMs, b.deadlineMs))
	})
	return placeCopies(now, s, f, l, g, all)
}

// isCopied reports whether stragglers of a step get copies.
func isCopied(step *tbflow.Step) bool {
	return step.MayCopy() && !step.BestEffort && !step.Checkpoints
}

func allowsCopies(j *tbflow.Job) bool {
	for i := range j.Steps {
		if isCopied(&j.Steps[i]) {
			return true
		}
	}
	return false
}

// stragglersOf returns the stragglers of one occurrence of a job.
func stragglersOf(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, j *tbflow.Job, k int) []straggler {
	var found []straggler
	var remainingByStep []time.Duration
	var objectiveMs int64
	nowMs := s.TimeAt(now)
	for i := range j.Steps {
		step := &j.Steps[i]
		if !isCopied(step) || j.AssignedTasks(k, i) == 0 {
			continue
		}
		if remainingByStep == nil {
			var longestPath time.Duration
			remainingByStep, longestPath = remainingTimes(j, l)
			objectiveMs = int64(j.Slack*float64(longestPath.Milliseconds())) + j.Target.Milliseconds()
		}
		usual := l.RunTimeQuantile(j, step, 0.5)
		// restMs is the time from the end of the step to the end of the job.
		restMs := (remainingByStep[i] - l.RunTime(j, step)).Milliseconds()
		siblings := l.observeSiblings(s, f, j, k, i)
		copyTime := max(usual, siblings.median)
		withCopy := latenessAt(nowMs+copyTime.Milliseconds()+restMs, j.DueMs(k), objectiveMs)
		if withCopy == tooLate {
			continue
		}
		for n := range j.Tasks[k][i] {
			t, ref := &j.Tasks[k][i][n], tbflow.TaskRef{Job: j.ID, Occurrence: k, Step: i, Index: n}
			if t.Phase != tbflow.TaskAssigned || s.Copies[ref].IsAssigned() || t.Failures+1 >= j.MaxFailures || len(s.Crashes[ref]) > 0 {
				continue
			}
			age := time.Duration(nowMs-t.AssignedMs) * time.Millisecond
			left, isKnown := l.remainingRunTime(now, j, step, age, f.Worker(t.Worker), ref, siblings)
			if isKnown && float64(left) >= minCopyGain*float64(copyTime) && latenessAt(nowMs+left.Milliseconds()+restMs, j.DueMs(k), objectiveMs) > withCopy {
				found = append(found, straggler{ref: ref, job: j, deadlineMs: j.DueMs(k) + objectiveMs})
			}
		}
	}
	return found
}

// latenessAt returns the lateness of a job that ends at endMs. Times are in milliseconds since 1970.
func latenessAt(endMs, dueMs, objectiveMs int64) lateness {
	switch {
	case endMs <= dueMs+objectiveMs:
		return onTime
	case endMs <= dueMs+usefulFactor*objectiveMs:
		return late
	}
	return tooLate
}

// lostRunTime is the time that a run at a silent worker is expected to take. It ends with the lease of the worker,
// and starts again then.
const lostRunTime = time.Hour

// remainingRunTime returns how much longer a run of this age is expected to take, and whether that is known.
func (l *Learner) remainingRunTime(now time.Time, j *tbflow.Job, step *tbflow.Step, age time.Duration, w *tbfleet.Worker, ref tbflow.TaskRef, sib siblings) (time.Duration, bool) {
	usual := l.RunTimeQuantile(j, step, 0.5)
	var run *tbfleet.Run
	if w != nil {
		run = w.Run(ref)
	}
	isSilent := w != nil && w.Unresponsive && now.Sub(w.LastHeardAt) > stallBaseTime
	if run == nil || isSilent || run.Phase == tbfleet.RunUnconfirmed {
		return lostRunTime, age > usual
	}
	if total, ok := expectedTotal(run, usual); ok {
		return max(0, total-run.KnownRunTime()-now.Sub(run.ListedAt)), sib.known > 1
	}
	if l.runTimes.Count(kindOf(j, step)) < minObservedRuns || 2*sib.done < step.Count {
		return 0, false
	}
	olderShare := l.runTimes.ExceedingShare(kindOf(j, step), step.Estimate, age)
	slowShare := l.runTimes.ExceedingShare(kindOf(j, step), step.Estimate, age+usual)
	if slowShare < minSlowShare*olderShare {
		return 0, false
	}
	// Half of the runs that are as old take at least this long.
	return max(usual, l.RunTimeQuantile(j, step, 1-olderShare/2)-age), true
}

// expectedTotal returns the run time that the progress of a run tells, and whether it tells one.
func expectedTotal(run *tbfleet.Run, usual time.Duration) (time.Duration, bool) {
	ran, isKnown := run.RunTimeSinceStart()
	if !isKnown || run.ListedAt.IsZero() || float64(ran) <= minProgressShare*float64(usual) {
		return 0, false
	}
	// Progress is rounded down to a percentage, which makes much of a difference for slow runs.
	return time.Duration(float64(ran) * 100 / float64(run.Progress+1)), true
}

// siblings is what is known of the run times of the tasks of a step.
type siblings struct {
	// done is the number of tasks that are done, and known that of tasks that are done or tell their run time.
	done, known int
	// median is the median of the known run times.
	median time.Duration
}

func (l *Learner) observeSiblings(s *tbflow.State, f *tbfleet.Fleet, j *tbflow.Job, k, i int) siblings {
	step := &j.Steps[i]
	usual := l.RunTimeQuantile(j, step, 0.5)
	var sib siblings
	var times []time.Duration
	for n := range j.Tasks[k][i] {
		t := &j.Tasks[k][i][n]
		switch t.Phase {
		case tbflow.TaskDone:
			sib.done++
			// The wait of a task that is done began when its run ended.
			times = append(times, time.Duration(t.WaitingSinceMs-t.AssignedMs)*time.Millisecond)
		case tbflow.TaskAssigned:
			w := f.Worker(t.Worker)
			if w == nil {
				continue
			}
			if run := w.Run(tbflow.TaskRef{Job: j.ID, Occurrence: k, Step: i, Index: n}); run != nil {
				if total, ok := expectedTotal(run, usual); ok {
					times = append(times, total)
				}
			}
		}
	}
	if sib.known = len(times); sib.known > 0 {
		slices.Sort(times)
		sib.median = times[(len(times)-1)/2]
	}
	return sib
}

// placeCopies chooses workers for copies of stragglers as far as there is room.
func placeCopies(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, all []straggler) []tbflow.Assignment {
	steps := make([]*waitingStep, len(all))
	for i, a := range all {
		steps[i] = &waitingStep{job: a.job, step: &a.job.Steps[a.ref.Step], occurrence: a.ref.Occurrence, stepIndex: a.ref.Step}
	}
	p := newPlanState(now, s, f, l, g, steps)
	budgets := copyBudgets(now, s, f)
	var plan []tbflow.Assignment
	for i, a := range all {
		w := steps[i]
		if budgets[a.job.WorkerClass] < w.step.Need.MilliProcessors {
			continue
		}
		p.countAssignedTasks(w)
		cs := p.scoreWorkers(w)
		for _, r := range cs.workers {
			if cs.scores[r.classIndex] != infeasibleScore && !f.MayCopy(s, r.worker, a.ref) {
				cs.scores[r.classIndex] = infeasibleScore
			}
		}
		r := cs.choose(a.job.Task(a.ref))
		if r == nil {
			continue
		}
		p.allocate(r, w)
		budgets[a.job.WorkerClass] -= w.step.Need.MilliProcessors
		plan = append(plan, tbflow.Assignment{Ref: a.ref, Run: s.NextRun(a.ref), Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// copyBudgets returns the processors that further copies may take, by worker class, in thousandths. Copies leave
// what the waiting tasks need.
func copyBudgets(now time.Time, s *tbflow.State, f *tbfleet.Fleet) map[string]int64 {
	shares, free := map[string]int64{}, map[string]int64{}
	for i := range f.Size() {
		if w := f.WorkerAt(i); w != nil && f.Usable(w, now) {
			shares[w.Class] += int64(maxCopyShare * float64(w.Capacity.MilliProcessors))
			free[w.Class] += max(0, w.Capacity.Sub(s.Usage(w.ID).Reserved).MilliProcessors)
		}
	}
	for ref, c := range s.Copies {
		if c.IsAssigned() {
			shares[s.Jobs[ref.Job].WorkerClass] -= s.StepOf(ref).Need.MilliProcessors
		}
	}
	for _, j := range s.Active() {
		if !j.HasWaitingTasks() {
			continue
		}
		for k := range j.Tasks {
			if j.IsDue(k, now) {
				free[j.WorkerClass] -= waitingDemand(j, k)
			}
		}
	}
	for class := range shares {
		shares[class] = min(shares[class], free[class])
	}
	return shares
}

// waitingDemand returns the processors that the waiting tasks of an occurrence reserve, in thousandths. Best-effort
// tasks reserve none.
func waitingDemand(j *tbflow.Job, k int) int64 {
	sum := int64(0)
	for i := range j.Steps {
		if !j.Steps[i].BestEffort && j.StepReady(k, i) {
			sum += int64(j.WaitingTasks(k, i)) * j.Steps[i].Need.MilliProcessors
		}
	}
	return sum
}

// countCopies counts, on each worker, the copies of a step with a spread limit.
func (p *planState) countCopies(step stepRef) {
	for ref, c := range p.state.Copies {
		if stepRefOf(ref) != step || !c.IsAssigned() {
			continue
		}
		if r := p.workerByID(c.Worker); r != nil {
			r.addSpreadCount(step, 1)
		}
	}
}
