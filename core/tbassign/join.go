package tbassign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Load pattern: lasting tasks reserve most of a worker class, and instances are lost. What
// is free then lies in gaps of a few processors on each instance, so that short tasks which
// ask for a quarter of an instance wait until the day is over, with many times what they
// ask for free. Lasting tasks move into the gaps that just take them, and what they leave
// joins the gap beside them.

// Bounds of joining gaps.
const (
	// joinInterval is the time between two rounds.
	joinInterval = 200 * time.Millisecond
	// joinsAtOnce is the most moves of one round.
	joinsAtOnce = 6
	// leastJoins and, for each worker, joinsOf are the most changes of place under way with
	// which a round starts more.
	leastJoins = 2
	joinsOf    = 0.05
	// joinNeeds is the most waiting tasks that a round looks at.
	joinNeeds = 64
	// joinSources is the number of largest gaps that a round tries to enlarge for one task.
	joinSources = 40
	// joinPlaces is the number of tightest places among which the lasting images decide.
	joinPlaces = 12
)

// Joins returns the lasting tasks to stop now so that waiting tasks find gaps that are
// large enough; Plan starts them again at their new places.
func (g *Rebalancer) Joins(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner) []Move {
	if now.Before(g.nextJoin) {
		return nil
	}
	g.nextJoin = now.Add(joinInterval)
	g.forget(now)
	steps := waitingToReserve(s, l)
	busy := g.changing(now, s)
	if len(steps) == 0 || len(busy)/2 >= max(leastJoins, int(joinsOf*float64(len(s.Workers)))) {
		return nil
	}
	j := &joiner{
		pools: newPools(now, s, f, l, g), fleet: f, busy: busy, colocation: newColocation(l),
		away: map[stepRef]bool{}, byFree: map[string][]*room{}, tasks: map[*room][]joinTask{},
	}
	j.foresee()
	looked := 0
	for i := range steps {
		w := &steps[i]
		j.pools.countSpread(w)
		for range w.refs {
			if looked++; looked > joinNeeds || len(j.moves) >= joinsAtOnce {
				return j.moves
			}
			if !j.takeTightest(w) && !j.join(w) {
				break
			}
		}
	}
	return j.moves
}

// waitingToReserve returns the steps that wait for processors of their own, in the order in which they should start.
func waitingToReserve(s *tbflow.State, l *Learner) []waitingStep {
	steps := slices.DeleteFunc(waitingSteps(s, l), func(w waitingStep) bool { return w.step.Fills || w.step.Gang })
	slices.SortStableFunc(steps, compareWaiting)
	return steps
}

// joiner is one round of joining gaps.
type joiner struct {
	pools      *pools
	fleet      *tbfleet.Fleet
	colocation *colocation
	// busy holds the workers that a change under way involves.
	busy map[string]bool
	// away tells of the lasting steps that were looked at whether some task is not at work or moves.
	away map[stepRef]bool
	// byFree holds the rooms of each class in the order of their gaps, as they were last asked for.
	byFree map[string][]*room
	// tasks holds the lasting tasks of the rooms that were looked at.
	tasks map[*room][]joinTask
	// hopeless holds what tasks ask for that no move makes room for.
	hopeless []tbresource.Amount
	moves    []Move
}

// joinTask is a lasting task that may give way.
type joinTask struct {
	ref tbflow.TaskRef
	// step has everything of a waiting step that tells where the task may run.
	step    waitingStep
	movable bool
}

// foresee counts what tasks leave whose change of place is under way; their new places are held already.
func (j *joiner) foresee() {
	for ref := range j.pools.rebalancer.pins {
		if j.pools.rebalancer.pinned(j.pools.now, j.pools.state, ref) == "" {
			continue
		}
		t := j.pools.taskOf(ref)
		if t == nil {
			// Its job was cancelled on the way.
			continue
		}
		if r := j.pools.byWorker[t.Worker]; r != nil && t.Phase == tbflow.TaskAssigned {
			r.free = r.free.Add(j.pools.state.StepOf(ref).Need)
		}
	}
}

// takeTightest takes the tightest room that a plan would give to a task of a step, if there
// is one: a lasting task leaves room for short ones, or one more gap of its size.
func (j *joiner) takeTightest(w *waitingStep) bool {
	var best, bestKept *room
	kept := 0
	for _, r := range j.pools.classes[w.job.WorkerClass] {
		if !j.pools.allowed(r, w) {
			continue
		}
		if w.step.Lasting && !keepsReserve(r.free, w.step, r.worker) {
			kept++
			bestKept = tighter(bestKept, r)
			continue
		}
		best = tighter(best, r)
	}
	if best == nil && kept >= 2 {
		best = bestKept
	}
	if best == nil {
		return false
	}
	best.reserve(w.step, w.ref(), w.step.Need, 1)
	return true
}

// tighter returns the room with less left, the first of two equal ones; a may be nil.
func tighter(a, b *room) *room {
	if a == nil || b.free.MilliProcessors < a.free.MilliProcessors {
		return b
	}
	return a
}

// join moves a lasting task that leaves enough room for a task of a step.
//
// Of the tasks beside the largest gaps the smallest goes, to one of the tightest places.
func (j *joiner) join(w *waitingStep) bool {
	need := w.step.Need
	if slices.ContainsFunc(j.hopeless, func(least tbresource.Amount) bool { return least.Fits(need) }) {
		return false
	}
	byFree := j.roomsByFree(w.job.WorkerClass)
	var from, to *room
	var task *joinTask
	looked := 0
	for _, r := range byFree {
		if j.busy[r.worker.ID] || !admitted(w.step, r.worker, r.tasks[w.ref()]) {
			continue
		}
		if looked++; looked > joinSources {
			break
		}
		tasks := j.tasksOf(r)
		for i := range tasks {
			t := &tasks[i]
			if !t.movable || !need.Fits(r.free.Add(t.step.step.Need)) || task != nil && !t.smaller(task) || j.isAway(t) {
				continue
			}
			if place := j.placeFor(t, r, byFree); place != nil {
				from, to, task = r, place, t
			}
		}
	}
	if task == nil {
		if w.step.Label == "" && w.step.SpreadLimit <= 0 {
			j.hopeless = append(j.hopeless, need)
		}
		return false
	}
	j.carryOut(w, task, from, to)
	return true
}

// roomsByFree returns the rooms of a class, those with the largest gaps first.
func (j *joiner) roomsByFree(class string) []*room {
	rooms, ok := j.byFree[class]
	if !ok {
		rooms = slices.Clone(j.pools.classes[class])
		j.byFree[class] = rooms
	}
	// Little has changed since the last time.
	slices.SortFunc(rooms, func(a, b *room) int {
		return cmp.Or(cmp.Compare(b.free.MilliProcessors, a.free.MilliProcessors), cmp.Compare(a.index, b.index))
	})
	return rooms
}

func (j *joiner) carryOut(w *waitingStep, t *joinTask, from, to *room) {
	ref := t.step.ref()
	from.reserve(t.step.step, ref, t.step.step.Need, -1)
	to.reserve(t.step.step, ref, t.step.step.Need, 1)
	from.reserve(w.step, w.ref(), w.step.Need, 1)
	j.busy[from.worker.ID], j.busy[to.worker.ID] = true, true
	j.away[ref] = true
	move := Move{Ref: t.ref, From: from.worker.ID, To: to.worker.ID}
	j.pools.rebalancer.hold(j.pools.now, j.pools.state, []Move{move})
	j.moves = append(j.moves, move)
}

func (t *joinTask) smaller(than *joinTask) bool {
	return t.step.step.Need.MilliProcessors < than.step.step.Need.MilliProcessors
}

// tasksOf returns the lasting tasks of a room.
func (j *joiner) tasksOf(r *room) []joinTask {
	if known, ok := j.tasks[r]; ok {
		return known
	}
	s := j.pools.state
	var tasks []joinTask
	s.EachRun(r.worker.ID, func(ref tbflow.TaskRef, t *tbflow.Task) {
		step := s.StepOf(ref)
		if step == nil || !step.Lasting {
			return
		}
		run := r.worker.Run(ref)
		_, rests := j.pools.rebalancer.moved[ref]
		settled := time.Duration(s.NowMs-t.AssignedMs)*time.Millisecond > settledAfter
		tasks = append(tasks, joinTask{
			ref: ref, step: waitingStep{job: s.Jobs[ref.Job], step: step, occurrence: ref.Occurrence, index: ref.Step},
			movable: !rests && settled && run != nil && run.Phase == tbfleet.RunGoingOn && !step.Gang && !step.RackLocal &&
				!s.Jobs[ref.Job].Phase.Ended(),
		})
	})
	slices.SortFunc(tasks, func(a, b joinTask) int { return compareRefs(a.ref, b.ref) })
	j.tasks[r] = tasks
	return tasks
}

// isAway reports whether some task of a lasting task's step is not at work.
func (j *joiner) isAway(t *joinTask) bool {
	ref := t.step.ref()
	if known, ok := j.away[ref]; ok {
		return known
	}
	all := t.step.job.Tasks[ref.occurrence][ref.step]
	for i := range all {
		w := j.fleet.Worker(all[i].Worker)
		task := tbflow.TaskRef{Job: ref.job, Occurrence: ref.occurrence, Step: ref.step, Index: i}
		if w == nil || w.Run(task) == nil || w.Run(task).Percent < tbfleet.FullPace {
			j.away[ref] = true
			return true
		}
	}
	j.away[ref] = false
	return false
}

// placeFor returns the room to which a task moves: of the tightest, the one whose lasting
// images are most like its own. byFree has the largest gaps first.
func (j *joiner) placeFor(t *joinTask, from *room, byFree []*room) *room {
	need := t.step.step.Need
	j.pools.countSpread(&t.step)
	end, _ := slices.BinarySearchFunc(byFree, need, func(r *room, need tbresource.Amount) int {
		if r.free.MilliProcessors >= need.MilliProcessors {
			return -1
		}
		return 1
	})
	var best *room
	least, places := math.Inf(1), 0
	for i := end - 1; i >= 0 && places < joinPlaces; i-- {
		to := byFree[i]
		if to == from || j.busy[to.worker.ID] || leavesRack(t, from, to) || !j.pools.allowed(to, &t.step) {
			continue
		}
		if cost := j.unlike(t, to); cost < least {
			best, least = to, cost
		}
		places++
	}
	return best
}

func leavesRack(t *joinTask, from, to *room) bool {
	rack := t.step.step.Rack
	return rack != "" && from.worker.Rack == rack && to.worker.Rack != rack
}

// unlike returns how differently a room's lasting tasks and another one bear filling work, from 0 to 1.
func (j *joiner) unlike(t *joinTask, r *room) float64 {
	own := j.colocation.of(t.step.step.Image)
	sum, n := 0.0, 0
	for _, beside := range j.tasksOf(r) {
		for i, harm := range j.colocation.of(beside.step.step.Image) {
			if difference := math.Abs(harm - own[i]); !math.IsNaN(difference) {
				sum += difference
				n++
			}
		}
	}
	return sum / float64(max(1, n))
}
