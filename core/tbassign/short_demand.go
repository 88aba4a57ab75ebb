package tbassign

import (
	"math"
	"time"

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
)

// shortDemand is the observed demand of short tasks in one worker class.
type shortDemand struct {
	observedAt time.Time
	// peak is the highest number of short tasks that were assigned or ready at the same time. It
	// decays over time.
	peak float64
	// millicores and memoryMB are the moving averages of the demand of one task.
	millicores float64
	memoryMB   float64
}

// observeShortDemand updates the demand of short tasks by worker class, and returns the number of
// assigned short tasks by worker class.
func (l *Learner) observeShortDemand(now time.Time, s *tbflow.State) map[string]int {
	type sum struct {
		tasks, assigned      int
		millicores, memoryMB float64
	}
	sums := map[string]sum{}
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
				if j.StepReady(k, i) {
					tasks += j.WaitingTasks(k, i)
				}
				x := sums[j.WorkerClass]
				x.tasks, x.assigned = x.tasks+tasks, x.assigned+assigned
				x.millicores += float64(tasks) * float64(step.Need.MilliProcessors)
				x.memoryMB += float64(tasks) * float64(step.Need.MemoryMB)
				sums[j.WorkerClass] = x
			}
		}
	}
	assigned := map[string]int{}
	for class, x := range sums {
		assigned[class] = x.assigned
		d := l.shortDemands[class]
		if x.tasks > 0 {
			weight := 1.0
			if d.millicores > 0 {
				weight = 1 - math.Exp2(-now.Sub(d.observedAt).Seconds()/shortNeedHalfLife.Seconds())
			}
			d.millicores += weight * (x.millicores/float64(x.tasks) - d.millicores)
			d.memoryMB += weight * (x.memoryMB/float64(x.tasks) - d.memoryMB)
		}
		d.peak = max(d.peakAt(now), float64(x.tasks))
		d.observedAt = now
		l.shortDemands[class] = d
	}
	return assigned
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
	// spare is the number of slots above those that short tasks need. It may be negative.
	spare int
}

// newSlotBudget returns the budget at the beginning of a plan. free holds the free capacities of the
// considered workers, which are consideredShare of the fleet.
func newSlotBudget(now time.Time, demand shortDemand, assigned int, consideredShare float64, free []tbresource.Amount) slotBudget {
	peak := demand.peakAt(now)
	if peak < minShortPeak || demand.millicores <= 0 {
		return slotBudget{}
	}
	slots := 0
	for _, amount := range free {
		slots += demand.slots(amount)
	}
	needed := max(0, shortPeakMargin*peak-float64(assigned))
	return slotBudget{demand: demand, isKnown: true, spare: slots - int(math.Ceil(needed*consideredShare))}
}

// slotsTaken returns how many slots a task takes from a worker.
func (b *slotBudget) slotsTaken(free, need tbresource.Amount) int {
	return b.demand.slots(free) - b.demand.slots(free.Sub(need))
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
