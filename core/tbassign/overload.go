package tbassign

import (
	"cmp"
	"slices"
)

// Load pattern: more best-effort work of an image arrives than the suitable instances can do.
// In the order of their deadlines, each job would start just before it is late and then be late
// all the same, because of the work of the job before it. Instead, jobs are taken in the order
// of their deadlines as long as all of them can be on time; where they cannot, the largest one
// is postponed. This is the Moore-Hodgson algorithm, which minimizes the number of late jobs.

// effectiveShare is the share of the requested processors that best-effort tasks get when they
// are slowed down and run beside each other; measurements under high load add up to 0.55 to 0.65 of
// the request.
const effectiveShare = 0.6

// classImage identifies a best-effort image on the workers of one class.
type classImage struct {
	class string
	image string
}

// postpone marks the best-effort jobs that would make others late; capacity is in processors.
func postpone(nowMs int64, steps []waitingStep, capacity func(classImage) float64) {
	byImage := map[classImage][]*waitingStep{}
	for i := range steps {
		if w := &steps[i]; w.step.BestEffort && w.lateness == onTime {
			key := classImage{w.job.WorkerClass, w.step.Image}
			byImage[key] = append(byImage[key], w)
		}
	}
	for image, waiting := range byImage {
		rate := max(1, effectiveShare*capacity(image))
		slices.SortStableFunc(waiting, func(a, b *waitingStep) int { return cmp.Compare(a.latestStartMs, b.latestStartMs) })
		var selected []*waitingStep
		work := 0.0
		for _, w := range waiting {
			selected = append(selected, w)
			work += w.work
			for work/rate*1000 > float64(w.deadlineMs-nowMs) {
				largest := 0
				for i := range selected {
					if selected[i].work > selected[largest].work {
						largest = i
					}
				}
				selected[largest].postponed = true
				work -= selected[largest].work
				selected = slices.Delete(selected, largest, largest+1)
			}
		}
	}
}

// capacity returns the processors that best-effort work of an image uses or could use now.
func (p *planState) capacity(key classImage) float64 {
	sum := p.runningDemand[key]
	bestEffort := p.images.bestEffortIndex(key.image)
	for _, r := range p.classes[key.class] {
		if r.unused > 0 && p.worstSlope(r, bestEffort) > harmlessSlope {
			sum += r.unused
		}
	}
	return float64(sum) / 1000
}
