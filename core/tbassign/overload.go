package tbassign

import (
	"cmp"
	"slices"
)

// More best-effort work of an image may arrive than the suitable workers can do. If jobs started
// in the order of their latest start times, each job would start at the last moment. It would then
// end late, because the job before it still uses the workers. Instead, jobs are selected in that
// order. Whenever the selected jobs can no longer all be on time, the largest of them is
// postponed. This is the Moore-Hodgson algorithm, which minimizes the number of late jobs.

// Best-effort tasks get fewer processors than they request, because they are slowed down and run
// beside each other. effectiveShare is the average share that they get; under high load, 0.55 to
// 0.65 was measured.
const effectiveShare = 0.6

// classImage identifies a best-effort image on the workers of one class.
type classImage struct {
	class string
	image string
}

// markPostponed marks the best-effort steps whose jobs would make other jobs late. capacity returns
// the processors that best-effort work of an image can use.
func markPostponed(nowMs int64, steps []waitingStep, capacity func(classImage) float64) {
	byImage := map[classImage][]*waitingStep{}
	for i := range steps {
		if w := &steps[i]; w.step.BestEffort && w.lateness == onTime {
			key := classImage{w.job.WorkerClass, w.step.Image}
			byImage[key] = append(byImage[key], w)
		}
	}
	for key, waiting := range byImage {
		rate := max(1, effectiveShare*capacity(key))
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

// bestEffortCapacity returns the processors that best-effort work of an image can use. They are the
// sum of two parts: what the assigned tasks of the image request, and what is unused on the workers
// where the image is harmless.
func (p *planState) bestEffortCapacity(key classImage) float64 {
	sum := p.assignedMillicores[key]
	bestEffort := p.images.internBestEffort(key.image)
	for _, r := range p.workersByClass[key.class] {
		if r.unusedMillicores > 0 && p.worstSlope(r, bestEffort) > harmlessSlope {
			sum += r.unusedMillicores
		}
	}
	return float64(sum) / 1000
}
