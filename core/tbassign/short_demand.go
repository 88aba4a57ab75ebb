package tbassign

import (
	"iter"
	"math"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Long-running tasks reserve most of the processors, and a short task may need a third of a worker.
// If each worker keeps a small share free, these shares together are large, but no short task fits
// into any of them. Short tasks then fail while a fifth of the processors is not reserved.
//
// Long-running tasks therefore fill workers without room for a short task completely, and leave as
// many whole slots for short tasks as were recently needed at the same time. A slot is the capacity
// for one short task of average demand. Without recent short tasks, each worker keeps a share of
// its processors free (see keepsHeadroom).
//
// A burst may bring more short tasks than there are slots, and some tasks fit on no worker at all. Slots that are kept
// for them would stay empty. The peak therefore counts only tasks that a worker could run, and no more of them than
// there were slots. Best-effort tasks give back the memory of a slot soon, so they leave slots free only while short
// tasks come.

// Parameters of the observed demand of short tasks.
const (
	// shortPeakHalfLife is the time in which the remembered peak of simultaneous short tasks
	// halves.
	shortPeakHalfLife = 15 * time.Second
	// shortNeedHalfLife is the time after which a change of the average demand is half learned.
	shortNeedHalfLife = 5 * time.Second
	// shortPeakMargin scales the remembered peak, because the next one may be higher.
	shortPeakMargin = 1.25
	// minShortPeak is the remembered peak below which there are no recent short tasks.
	minShortPeak = 0.5
	// shortExpectedTime is how long after the last short task further ones are expected. Long-running tasks wait as long
	// before they may use the headroom for short tasks.
	shortExpectedTime = headroomWaitMs * time.Millisecond
)

// shortDemand is the observed demand of short tasks in one worker class.
type shortDemand struct {
	observedAt time.Time
	// peak is the highest number of short tasks that were assigned at the same time, or were ready while there were
	// slots for them. It decays over time.
	peak float64
	// assigned is the number of tasks that were assigned at observedAt.
	assigned int
	// seenAt is when a short task was last assigned or ready.
	seenAt time.Time
	// millicores and memoryMB are the moving averages of the demand of one task.
	millicores float64
	memoryMB   float64
}

// workerRoom returns the usable workers of a class that a plan considers, with their free capacities.
type workerRoom func(class string) iter.Seq2[*tbfleet.Worker, tbresource.Amount]

// canRun reports whether the workers of a class could run a task of a step if they were empty. For a gang, it reports
// whether they could run all of its tasks at the same time. The workers are consideredShare of the fleet.
func (room workerRoom) canRun(class string, step *tbflow.Step, consideredShare float64) bool {
	if step.Gang && step.Count > maxRunsPerPlan {
		return false
	}
	tasks := 1
	if step.Gang {
		tasks = int(math.Ceil(float64(step.Count) * consideredShare))
	}
	for w := range room(class) {
		for present, left := 0, w.Capacity; tasks > 0 && step.Need.Fits(left) && satisfiesConstraints(step, w, present); present++ {
			left = left.Sub(step.Need)
			tasks--
		}
		if tasks == 0 {
			return true
		}
	}
	return false
}

// slots returns how many slots for short tasks the free capacities of a class have.
func (room workerRoom) slots(class string, d shortDemand) int {
	slots := 0
	for _, free := range room(class) {
		slots += d.slots(free)
	}
	return slots
}

// observeShortDemand updates the demand of short tasks by worker class, and returns the number of
// assigned short tasks by worker class. The workers in room are consideredShare of the fleet.
func (l *Learner) observeShortDemand(now time.Time, s *tbflow.State, room workerRoom, consideredShare float64) map[string]int {
	sums, largeSums := map[string]demandSum{}, map[string]demandSum{}
	for _, j := range s.Active() {
		if !hasShortStep(j) {
			continue
		}
		for k := range j.Tasks {
			if !j.IsDue(k, now) {
				continue
			}
			for i := range j.Steps {
				step := &j.Steps[i]
				if !isShort(step) {
					continue
				}
				assigned := j.AssignedTasks(k, i)
				tasks := assigned
				if waiting := j.WaitingTasks(k, i); waiting > 0 && j.StepReady(k, i) && room.canRun(j.WorkerClass, step, consideredShare) {
					tasks += waiting
				}
				sums[j.WorkerClass] = sums[j.WorkerClass].plus(step, tasks, assigned)
				if l.Features.LookAhead && l.isLarge(j.WorkerClass, step) {
					largeSums[j.WorkerClass] = largeSums[j.WorkerClass].plus(step, tasks, assigned)
				}
			}
		}
	}
	assigned := map[string]int{}
	for class, x := range sums {
		assigned[class] = x.assigned
		l.shortDemands[class] = l.shortDemands[class].observe(now, x, func(d shortDemand) float64 {
			return float64(room.slots(class, d)) / consideredShare
		})
	}
	for class := range l.largeDemands {
		// Classes without large tasks at present are observed, too.
		largeSums[class] = largeSums[class].plus(&tbflow.Step{}, 0, 0)
	}
	for class, x := range largeSums {
		l.largeDemands[class] = l.largeDemands[class].observe(now, x, func(d shortDemand) float64 {
			return float64(room.slots(class, d)) / consideredShare
		})
	}
	return assigned
}

// demandSum is the demand of all short tasks of a class at one time.
type demandSum struct {
	tasks, assigned      int
	millicores, memoryMB float64
}

// plus adds a number of tasks of a step, of which some are assigned.
func (x demandSum) plus(step *tbflow.Step, tasks, assigned int) demandSum {
	x.tasks, x.assigned = x.tasks+tasks, x.assigned+assigned
	x.millicores += float64(tasks) * float64(step.Need.MilliProcessors)
	x.memoryMB += float64(tasks) * float64(step.Need.MemoryMB)
	return x
}

// observe returns the demand after one more observation. freeSlots returns how many slots for such tasks are free.
func (d shortDemand) observe(now time.Time, x demandSum, freeSlots func(shortDemand) float64) shortDemand {
	if x.tasks > 0 {
		d.seenAt = now
		weight := 1.0
		if d.millicores > 0 {
			weight = 1 - math.Exp2(-now.Sub(d.observedAt).Seconds()/shortNeedHalfLife.Seconds())
		}
		d.millicores += weight * (x.millicores/float64(x.tasks) - d.millicores)
		d.memoryMB += weight * (x.memoryMB/float64(x.tasks) - d.memoryMB)
	}
	peak := d.peakAt(now)
	if float64(x.tasks) > peak {
		possible := float64(x.assigned) + freeSlots(d)
		peak = max(peak, min(float64(x.tasks), possible))
	}
	d.peak, d.assigned, d.observedAt = peak, x.assigned, now
	return d
}

// peakAt returns the remembered peak at a time after the last observation.
func (d shortDemand) peakAt(now time.Time) float64 {
	return d.peak * math.Exp2(-now.Sub(d.observedAt).Seconds()/shortPeakHalfLife.Seconds())
}

// slots returns how many slots for short tasks a free capacity has.
func (d shortDemand) slots(free tbresource.Amount) int {
	slots := int(float64(free.MilliProcessors) / d.millicores)
	if d.memoryMB > 0 {
		slots = min(slots, int(float64(free.MemoryMB)/d.memoryMB))
	}
	return max(0, slots)
}

// slotBudget says how many slots for short tasks the long-running tasks of a plan may take in one
// worker class.
type slotBudget struct {
	demand shortDemand
	// isKnown is false if there were no short tasks recently.
	isKnown bool
	// isExpected is true if a short task was assigned or ready within shortExpectedTime.
	isExpected bool
	// spare is the number of slots above those that short tasks need. It may be negative.
	spare int
}

// newSlotBudget returns the budget at the beginning of a plan. free holds the free capacities of the
// considered workers, which are consideredShare of the fleet.
func newSlotBudget(now time.Time, demand shortDemand, assigned int, consideredShare float64, free []tbresource.Amount) slotBudget {
	peak := demand.peakAt(now)
	isExpected := !demand.seenAt.IsZero() && now.Sub(demand.seenAt) <= shortExpectedTime
	if peak < minShortPeak || demand.millicores <= 0 {
		return slotBudget{isExpected: isExpected}
	}
	slots := 0
	for _, amount := range free {
		slots += demand.slots(amount)
	}
	needed := max(0, shortPeakMargin*peak-float64(assigned))
	return slotBudget{demand: demand, isKnown: true, isExpected: isExpected, spare: slots - int(math.Ceil(needed*consideredShare))}
}

// slotsTaken returns how many slots a task takes from a worker.
func (b *slotBudget) slotsTaken(free, need tbresource.Amount) int {
	return b.demand.slots(free) - b.demand.slots(free.Sub(need))
}

// keepsFromBestEffort reports whether a best-effort task would take a slot from a worker that short tasks need.
func (b *slotBudget) keepsFromBestEffort(free, need tbresource.Amount) bool {
	if !b.isKnown || !b.isExpected {
		return false
	}
	taken := b.slotsTaken(free, need)
	return taken > 0 && taken > b.spare
}

// givesWholeWorker reports whether a worker has no tasks that reserve capacity and no short tasks are expected, so that a
// long-running task may take the worker whole.
func (b *slotBudget) givesWholeWorker(free tbresource.Amount, w *tbfleet.Worker) bool {
	return !b.isExpected && free == w.Capacity
}

// adjust counts the slots that a long-running task takes from a worker with the given free capacity.
// With sign -1, it adds the slots back that become free when the task is released.
func (b *slotBudget) adjust(free, need tbresource.Amount, sign int) {
	if sign > 0 {
		b.spare -= b.slotsTaken(free, need)
	} else {
		b.spare += b.slotsTaken(free.Add(need), need)
	}
}
