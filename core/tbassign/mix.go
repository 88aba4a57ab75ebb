package tbassign

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: hundreds of workers with a few thousand runs, of which a plan changes some
// tens. What runs on a worker is counted again only when a run came or went there.

// maxMixImages bounds the lasting images that are remembered; beyond, all is counted again.
const maxMixImages = 512

// mixes holds what the plans of one leader counted on each worker.
type mixes struct {
	state    *tbflow.State
	byWorker map[string]*mix
	// images numbers the lasting images of all mixes.
	images numbering
}

// mix is what runs on one worker.
type mix struct {
	changes uint64
	// lasting counts the lasting tasks by image, in order of their numbers.
	lasting []imageCount
	// used estimates the processors that tasks which do not fill use, in thousandths.
	used int64
	// fills are what the filling tasks of each image ask for.
	fills []fillNeed
}

// fillNeed is what filling tasks of one image ask for, in thousandths of a processor.
type fillNeed struct {
	image string
	need  int64
}

// begin drops what is kept if it is of another state, or has grown too much.
func (m *mixes) begin(s *tbflow.State) {
	if m.state != s || len(m.images.names) > maxMixImages {
		*m = mixes{state: s, byWorker: map[string]*mix{}, images: numbering{numbers: map[string]int{}}}
	}
}

// of returns what runs on a worker.
func (m *mixes) of(w *tbfleet.Worker) *mix {
	changes := m.state.Changes(w.ID)
	known := m.byWorker[w.ID]
	if known != nil && known.changes == changes {
		return known
	}
	if known == nil {
		known = &mix{}
		m.byWorker[w.ID] = known
	}
	known.changes, known.used = changes, 0
	known.lasting, known.fills = known.lasting[:0], known.fills[:0]
	m.state.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
		step := m.state.StepOf(ref)
		if step == nil {
			return
		}
		known.used += usedBy(step)
		switch {
		case step.Lasting:
			image, _ := m.images.of(step.Image)
			known.lasting = countImage(known.lasting, image, 1)
		case step.Fills:
			known.addFill(step)
		}
	})
	return known
}

func (m *mix) addFill(step *tbflow.Step) {
	i := slices.IndexFunc(m.fills, func(f fillNeed) bool { return f.image == step.Image })
	if i < 0 {
		i = len(m.fills)
		m.fills = append(m.fills, fillNeed{image: step.Image})
	}
	m.fills[i].need += step.Need.MilliProcessors
}

// forget drops a worker that is gone.
func (m *mixes) forget(worker string) { delete(m.byWorker, worker) }

// usedBy estimates what a task that does not fill uses, in thousandths of a processor.
func usedBy(step *tbflow.Step) int64 {
	switch {
	case step.Lasting:
		return int64(float64(step.Need.MilliProcessors) * lastingLoad)
	case step.Fills:
		return 0
	}
	return step.Need.MilliProcessors
}

// countImage counts n lasting tasks of an image in or out.
func countImage(counts []imageCount, image, n int) []imageCount {
	i, found := slices.BinarySearchFunc(counts, image, func(c imageCount, image int) int { return cmp.Compare(c.image, image) })
	if !found {
		return slices.Insert(counts, i, imageCount{image, n})
	}
	if counts[i].tasks += n; counts[i].tasks == 0 {
		return slices.Delete(counts, i, i+1)
	}
	return counts
}
