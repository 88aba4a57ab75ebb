package tbassign

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: hundreds of workers have a few thousand runs, of which one plan changes some
// tens. The workload of a worker is computed again only after a run started or ended there.

// maxCachedImages limits the long-running images of the cache; beyond that, the cache is reset.
const maxCachedImages = 512

// workloadCache holds the workload of each worker between the plans of one leader.
type workloadCache struct {
	state    *tbflow.State
	byWorker map[string]*workload
	// images assigns the indexes of the long-running images in all workloads.
	images interner
}

// workload summarizes the runs of one worker.
type workload struct {
	version uint64
	// longRunning counts the long-running tasks by image, sorted by index.
	longRunning []imageCount
	// expectedUse estimates the millicores that all tasks except best-effort ones use.
	expectedUse int64
	// bestEffort is the demand of the best-effort tasks of each image, in millicores.
	bestEffort []imageDemand
}

// imageDemand is the demand of the best-effort tasks of one image.
type imageDemand struct {
	image           string
	milliProcessors int64
}

// resetIfStale clears the cache if it belongs to another state or has grown too large.
func (m *workloadCache) resetIfStale(s *tbflow.State) {
	if m.state != s || len(m.images.names) > maxCachedImages {
		*m = workloadCache{state: s, byWorker: map[string]*workload{}, images: interner{indexes: map[string]int{}}}
	}
}

// get returns the workload of a worker.
func (m *workloadCache) get(w *tbfleet.Worker) *workload {
	version := m.state.RunChanges(w.ID)
	cached := m.byWorker[w.ID]
	if cached != nil && cached.version == version {
		return cached
	}
	if cached == nil {
		cached = &workload{}
		m.byWorker[w.ID] = cached
	}
	cached.version, cached.expectedUse = version, 0
	cached.longRunning, cached.bestEffort = cached.longRunning[:0], cached.bestEffort[:0]
	m.state.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
		step := m.state.StepOf(ref)
		if step == nil {
			return
		}
		cached.expectedUse += expectedUsage(step)
		switch {
		case step.LongRunning:
			image, _ := m.images.intern(step.Image)
			cached.longRunning = adjustImageCount(cached.longRunning, image, 1)
		case step.BestEffort:
			cached.addBestEffort(step)
		}
	})
	return cached
}

func (m *workload) addBestEffort(step *tbflow.Step) {
	i := slices.IndexFunc(m.bestEffort, func(demand imageDemand) bool { return demand.image == step.Image })
	if i < 0 {
		i = len(m.bestEffort)
		m.bestEffort = append(m.bestEffort, imageDemand{image: step.Image})
	}
	m.bestEffort[i].milliProcessors += step.Need.MilliProcessors
}

// remove drops a removed worker.
func (m *workloadCache) remove(worker string) { delete(m.byWorker, worker) }

// expectedUsage estimates the millicores that a task uses; it is 0 for best-effort tasks.
func expectedUsage(step *tbflow.Step) int64 {
	switch {
	case step.LongRunning:
		return int64(float64(step.Need.MilliProcessors) * longRunningUtilization)
	case step.BestEffort:
		return 0
	}
	return step.Need.MilliProcessors
}

// adjustImageCount adds n, which may be negative, to the number of tasks of an image.
func adjustImageCount(counts []imageCount, image, n int) []imageCount {
	i, found := slices.BinarySearchFunc(counts, image, func(c imageCount, image int) int { return cmp.Compare(c.image, image) })
	if !found {
		return slices.Insert(counts, i, imageCount{image, n})
	}
	if counts[i].tasks += n; counts[i].tasks == 0 {
		return slices.Delete(counts, i, i+1)
	}
	return counts
}
