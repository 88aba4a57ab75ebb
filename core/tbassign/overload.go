package tbassign

import (
	"cmp"
	"slices"
)

// Load pattern: more best-effort work of an image arrives than the suitable workers can do. If
// jobs started in the order of their latest starts, each would start at the last moment and
// then finish late, because the one before it still uses the workers. Instead, jobs are taken
// in that order as long as all of them can be on time; where they cannot, the largest one is
// postponed. This follows the Moore-Hodgson algorithm, which minimizes the number of late jobs.

// effectiveShare is the share of the requested processors that best-effort tasks get on average
// when they are slowed down and run beside each other; under high load, 0.55 to 0.65 of the
// request was measured.
const effectiveShare = 0.6

// classImage identifies a best-effort image on the workers of one class.
type classImage struct {
	class string
	image string
}

// postpone marks the best-effort steps whose jobs would make others late. The function capacity
// returns the processors that best-effort work of an image can use.
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
			work += w.occurrenceWork
			for work/rate*1000 > float64(w.deadlineMs-nowMs) {
				largest := 0
				for i := range selected {
					if selected[i].occurrenceWork > selected[largest].occurrenceWork {
						largest = i
					}
				}
				selected[largest].postponed = true
				work -= selected[largest].occurrenceWork
				selected = slices.Delete(selected, largest, largest+1)
			}
		}
	}
}

// bestEffortCapacity returns the processors that best-effort work of an image requests now or
// could use on the workers where the image is harmless.
func (p *planState) bestEffortCapacity(key classImage) float64 {
	sum := p.assignedDemand[key]
	bestEffort := p.images.internBestEffort(key.image)
	for _, r := range p.classes[key.class] {
		if r.unused > 0 && p.worstSlope(r, bestEffort) > harmlessSlope {
			sum += r.unused
		}
	}
	return float64(sum) / 1000
}
