package tbassign

import (
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Long-running tasks arrive all day beside short tasks of very different sizes. Slots of average size (see
// short_demand.go) do not tell a worker with room for one large short task from several workers with a piece each.
// Long-running tasks then take the last workers on which a large short task fits, while pieces elsewhere would do.
//
// With Features.LookAhead, the large short tasks have slots of their own. Long-running tasks leave as many of them whole as
// were recently needed at the same time, for as long as they may wait for headroom, and then take others first.

// largeTaskFactor is the ratio of the demand of a large short task to the average one.
const largeTaskFactor = 1.5

// isLarge reports whether the tasks of a short step are large for their class.
func (l *Learner) isLarge(class string, step *tbflow.Step) bool {
	average := l.shortDemands[class].millicores
	return average > 0 && float64(step.Need.MilliProcessors) > largeTaskFactor*average
}

// addLargeBudget adds the budget of slots for large short tasks of a class.
func (p *planState) addLargeBudget(class string, free []tbresource.Amount) {
	if p.largeBudgets == nil {
		p.largeBudgets = map[string]*slotBudget{}
	}
	demand := p.learner.largeDemands[class]
	b := newSlotBudget(p.now, demand, demand.assigned, p.consideredShare, free)
	p.largeBudgets[class] = &b
}
