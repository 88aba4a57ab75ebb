package tbassign

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Hundreds of workers have a few thousand runs, and one plan changes only some tens of them. The
// workload of a worker is therefore cached and computed again only after a run has started or
// ended on the worker.

// maxCachedImages is the largest number of long-running images in the cache. If there are more,
// the cache is cleared before the next plan.
const maxCachedImages = 512

// workloadCache holds the workload of each worker from one plan of a leader to the next.
type workloadCache struct {
	state    *tbflow.State
	byWorker map[string]*workload
	// longRunningIndexes assigns indexes to the long-running images of all workloads.
	longRunningIndexes interner
}

// workload summarizes the runs of one worker.
type workload struct {
	runChanges uint64
	// longRunningCounts holds the number of long-running tasks of each image, sorted by image
	// index.
	longRunningCounts []imageCount
	// expectedMillicores is the expected use of all tasks that are not best-effort, in millicores.
	expectedMillicores int64
	// bestEffortDemands holds the demand of the best-effort tasks of each image.
	bestEffortDemands []imageDemand
}

// imageDemand is the demand of all best-effort tasks of one image on a worker, in millicores.
type imageDemand struct {
	image           string
	milliProcessors int64
}

// resetIfStale clears the cache if it belongs to another state or has more than maxCachedImages
// images.
func (m *workloadCache) resetIfStale(s *tbflow.State) {
	if m.state != s || len(m.longRunningIndexes.names) > maxCachedImages {
		*m = workloadCache{state: s, byWorker: map[string]*workload{}, longRunningIndexes: interner{indexByName: map[string]int{}}}
	}
}

// get returns the workload of a worker, computed again if a run has started or ended since the
// last call.
func (m *workloadCache) get(w *tbfleet.Worker) *workload {
	runChanges := m.state.RunChanges(w.ID)
	cached := m.byWorker[w.ID]
	if cached != nil && cached.runChanges == runChanges {
		return cached
	}
	if cached == nil {
		cached = &workload{}
		m.byWorker[w.ID] = cached
	}
	cached.runChanges, cached.expectedMillicores = runChanges, 0
	cached.longRunningCounts, cached.bestEffortDemands = cached.longRunningCounts[:0], cached.bestEffortDemands[:0]
	m.state.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
		step := m.state.StepOf(ref)
		if step == nil {
			return
		}
		cached.expectedMillicores += expectedMillicores(step)
		switch {
		case step.LongRunning:
			image, _ := m.longRunningIndexes.intern(step.Image)
			cached.longRunningCounts = adjustImageCount(cached.longRunningCounts, image, 1)
		case step.BestEffort:
			cached.addBestEffort(step)
		}
	})
	return cached
}

func (m *workload) addBestEffort(step *tbflow.Step) {
	i := slices.IndexFunc(m.bestEffortDemands, func(demand imageDemand) bool { return demand.image == step.Image })
	if i < 0 {
		i = len(m.bestEffortDemands)
		m.bestEffortDemands = append(m.bestEffortDemands, imageDemand{image: step.Image})
	}
	m.bestEffortDemands[i].milliProcessors += step.Need.MilliProcessors
}

// remove drops the workload of a removed worker.
func (m *workloadCache) remove(worker string) { delete(m.byWorker, worker) }

// expectedMillicores returns the millicores that a task of a step is expected to use. It returns 0
// for best-effort tasks, whose full request is counted elsewhere.
func expectedMillicores(step *tbflow.Step) int64 {
	switch {
	case step.LongRunning:
		return int64(float64(step.Need.MilliProcessors) * longRunningUtilization)
	case step.BestEffort:
		return 0
	}
	return step.Need.MilliProcessors
}

// adjustImageCount adds n, which may be negative, to the number of tasks of an image. An image
// with 0 tasks is deleted.
func adjustImageCount(counts []imageCount, imageIndex, n int) []imageCount {
	i, found := slices.BinarySearchFunc(counts, imageIndex, func(c imageCount, imageIndex int) int { return cmp.Compare(c.imageIndex, imageIndex) })
	if !found {
		return slices.Insert(counts, i, imageCount{imageIndex, n})
	}
	if counts[i].taskCount += n; counts[i].taskCount == 0 {
		return slices.Delete(counts, i, i+1)
	}
	return counts
}
