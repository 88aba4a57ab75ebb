package tbassign

import (
	"cmp"
	"container/heap"
	"slices"
)

// More best-effort work of an image may arrive than the suitable workers can do. If jobs started
// in the order of their latest start times, each job would start at the last moment. It would then
// end late, because the job before it still uses the workers. Instead, jobs are selected in that
// order. Whenever the selected jobs can no longer all be on time, the largest of them is
// postponed. This is the Moore-Hodgson algorithm, which minimizes the number of late jobs.

// Best-effort tasks get fewer processors than they request, because they are slowed down and run
// beside each other. effectiveProcessorShare is the average share that they get; under high load,
// 0.55 to 0.65 was measured.
const effectiveProcessorShare = 0.6

// classImage identifies a best-effort image on the workers of one class.
type classImage struct {
	class string
	image string
}

// markPostponed marks the best-effort steps whose jobs would make other jobs late. capacity returns
// the processors that best-effort work of an image can use.
func markPostponed(nowMs int64, steps []*waitingStep, capacity func(classImage) float64) {
	byImage := map[classImage][]*waitingStep{}
	for _, w := range steps {
		if w.step.BestEffort && w.lateness == onTime {
			key := classImage{w.job.WorkerClass, w.step.Image}
			byImage[key] = append(byImage[key], w)
		}
	}
	for key, stepsOfImage := range byImage {
		workPerSecond := max(1, effectiveProcessorShare*capacity(key))
		slices.SortStableFunc(stepsOfImage, func(a, b *waitingStep) int { return cmp.Compare(a.latestStartMs, b.latestStartMs) })
		var selected stepsByWork
		selectedWork := 0.0
		for i, w := range stepsOfImage {
			heap.Push(&selected, stepWithIndex{w, i})
			selectedWork += w.occurrenceWork
			// Rounding may leave some work although no step is selected.
			for len(selected) > 0 && selectedWork/workPerSecond*1000 > float64(w.deadlineMs-nowMs) {
				largest := heap.Pop(&selected).(stepWithIndex)
				largest.postponed = true
				selectedWork -= largest.occurrenceWork
			}
		}
	}
}

// stepsByWork is a heap of steps with the one with the most work first. Of steps with as much work, the one that
// has to start first is the first.
type stepsByWork []stepWithIndex

type stepWithIndex struct {
	*waitingStep
	index int
}

func (h stepsByWork) Len() int { return len(h) }
func (h stepsByWork) Less(i, j int) bool {
	if h[i].occurrenceWork != h[j].occurrenceWork {
		return h[i].occurrenceWork > h[j].occurrenceWork
	}
	return h[i].index < h[j].index
}
func (h stepsByWork) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *stepsByWork) Push(x any) { *h = append(*h, x.(stepWithIndex)) }

// Pop implements heap.Interface.
func (h *stepsByWork) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// bestEffortCapacity returns the processors that best-effort work of an image can use. They are the
// sum of two parts: what the assigned tasks of the image request, and what is unused on the workers
// where the image is harmless. The sum over the considered workers is scaled to the whole fleet.
func (p *planState) bestEffortCapacity(key classImage) float64 {
	sum := p.assignedMillicores[key]
	bestEffort := p.images.internBestEffort(key.image)
	for _, r := range p.workersByClass[key.class] {
		if r.unusedMillicores > 0 && p.worstSlope(r, bestEffort) > harmlessSlope {
			sum += r.unusedMillicores
		}
	}
	return float64(sum) / 1000 / p.consideredShare
}
