package tbassign

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Each long-running image is slowed down by some best-effort images and hardly by others. Its
// request load varies over seconds. The margin of a task is the ratio of its target to its tail
// latency. Tail latency grows like 1/(1 - load), so the margin falls in proportion to the
// processors that other tasks on the worker use. The model learns one slope for each pair of
// images. It learns from the change of a task's margin between two polls, because the unknown
// baseline of the task cancels out in the difference.

// Parameters of the interference model. The margin of a task is its target tail latency divided by
// the measured one, so a margin below 1 means that the target is violated.
const (
	// priorSlope is the slope of a pair of images before anything is learned. A slope is the
	// change of margin if the best-effort image used all processors of the worker.
	priorSlope = -2.0
	// priorVariance is the initial and also the highest variance of a slope. Slopes of harmful
	// pairs are near -6, those of other pairs near -0.5.
	priorVariance = 9.0
	// The load of a long-running task changes its margin between two polls. marginChangeVariance is
	// the variance of that change.
	marginChangeVariance = 0.25
	// driftVariance is added to the variance of each slope at each update. Slopes that are not
	// observed thereby become less certain and can change again.
	driftVariance = 1e-5
	// maxBestEffortImages is the largest number of best-effort images with a slope of their own in
	// one slopeFilter. Measurements of further images update the slope of overflowImage. For these
	// further images, slope returns priorSlope.
	maxBestEffortImages = 40
	// maxMargin caps the margin of a single measurement: when the latency is far below its target,
	// the exact ratio means little.
	maxMargin = 6.0
	// The measurements of two polls are compared only if the time between them is shorter than
	// maxPollGap.
	maxPollGap = 1600 * time.Millisecond
	// minPollGap is the shortest time between two polls of a worker that are both used. A poll
	// that follows sooner is ignored because its measurements overlap those of the previous poll.
	minPollGap = 150 * time.Millisecond
)

// slopeFilter is a Kalman filter for one long-running image. It estimates the slopes of all
// best-effort images for that image.
type slopeFilter struct {
	indexByImage map[string]int
	slopes       []float64
	covariances  [][]float64
}

// overflowImage stands for all best-effort images beyond maxBestEffortImages.
const overflowImage = "\x00other"

func (m *slopeFilter) getOrAddIndex(image string) int {
	if i, ok := m.indexByImage[image]; ok {
		return i
	}
	if len(m.slopes) >= maxBestEffortImages {
		image = overflowImage
		if i, ok := m.indexByImage[image]; ok {
			return i
		}
	}
	i := len(m.slopes)
	m.indexByImage[image] = i
	m.slopes = append(m.slopes, priorSlope)
	for j := range m.covariances {
		m.covariances[j] = append(m.covariances[j], 0)
	}
	m.covariances = append(m.covariances, make([]float64, i+1))
	m.covariances[i][i] = priorVariance
	return i
}

// usageChange is the change of the share of a worker's processors that one best-effort image uses.
type usageChange struct {
	imageIndex  int
	shareChange float64
}

// update corrects the slopes by one measured change of margin. The model expects that change to be
// the sum, over all images, of slope times usage change.
func (m *slopeFilter) update(changes []usageChange, marginChange float64) {
	n := len(m.slopes)
	gains := make([]float64, n)
	expectedChange, variance := 0.0, marginChangeVariance
	for i := range n {
		row := m.covariances[i]
		row[i] = min(priorVariance, row[i]+driftVariance)
		for _, change := range changes {
			gains[i] += row[change.imageIndex] * change.shareChange
		}
	}
	for _, change := range changes {
		expectedChange += m.slopes[change.imageIndex] * change.shareChange
		variance += gains[change.imageIndex] * change.shareChange
	}
	inverseVariance := 1 / variance
	for i, g := range gains {
		m.slopes[i] += g / variance * (marginChange - expectedChange)
		row := m.covariances[i]
		for j, otherGain := range gains {
			row[j] -= g * otherGain * inverseVariance
		}
	}
}

// A slope with a variance below maxKnownVariance is precise enough to be handed to the next
// leader. RestoreInterference sets the variance of a slope to maxKnownVariance, so knownSlope also
// accepts exactly this value.
const maxKnownVariance = priorVariance / 3

// maxKnownBytes bounds the names in the result of KnownInterference, in bytes. The names of images are as
// long as submitters like, and all pairs of them are recorded again and again.
const maxKnownBytes = 64 << 10

// KnownInterference returns the slopes with a variance below maxKnownVariance, sorted by
// long-running image and then by best-effort image. It leaves out those with which the names would exceed
// maxKnownBytes.
func (l *Learner) KnownInterference() []tbflow.Interference {
	var all []tbflow.Interference
	size := 0
	for _, longRunning := range slices.Sorted(maps.Keys(l.slopeFilters)) {
		m := l.slopeFilters[longRunning]
		for _, bestEffort := range slices.Sorted(maps.Keys(m.indexByImage)) {
			names := len(longRunning) + len(bestEffort)
			if i := m.indexByImage[bestEffort]; m.covariances[i][i] < maxKnownVariance && size+names <= maxKnownBytes {
				size += names
				all = append(all, tbflow.Interference{LongRunningImage: longRunning, BestEffortImage: bestEffort, Slope: m.slopes[i]})
			}
		}
	}
	return all
}

// RestoreInterference sets the slopes that an earlier leader learned. Their variance becomes
// maxKnownVariance. Slopes that are already present are overwritten.
func (l *Learner) RestoreInterference(slopes []tbflow.Interference) {
	for _, s := range slopes {
		m := l.getOrAddFilter(s.LongRunningImage)
		i := m.getOrAddIndex(s.BestEffortImage)
		m.slopes[i], m.covariances[i][i] = s.Slope, maxKnownVariance
	}
}

func (l *Learner) getOrAddFilter(longRunning string) *slopeFilter {
	m := l.slopeFilters[longRunning]
	if m == nil {
		m = &slopeFilter{indexByImage: map[string]int{}}
		l.slopeFilters[longRunning] = m
	}
	return m
}

// knownSlope returns the slope of a pair of images and true if the variance of the slope is at
// most maxKnownVariance. A positive slope is returned as 0. Otherwise knownSlope returns 0 and
// false.
func (l *Learner) knownSlope(longRunning, bestEffort string) (float64, bool) {
	m := l.slopeFilters[longRunning]
	if m == nil {
		return 0, false
	}
	i, ok := m.indexByImage[bestEffort]
	if !ok || m.covariances[i][i] > maxKnownVariance {
		return 0, false
	}
	return min(0, m.slopes[i]), true
}

// slope returns the expected change of a long-running image's margin if a best-effort image used
// all processors of the worker. The result is never positive.
func (l *Learner) slope(longRunning, bestEffort string) float64 {
	m := l.slopeFilters[longRunning]
	if m == nil {
		return priorSlope
	}
	i, ok := m.indexByImage[bestEffort]
	if !ok {
		return priorSlope
	}
	return min(0, m.slopes[i])
}

// pollSample holds what one poll of a worker reported. It is kept until it is compared with the
// next poll.
type pollSample struct {
	incarnation int64
	polledAt    time.Time
	// usageShares holds the used share of the worker's processors by best-effort image.
	usageShares map[string]float64
	// margins holds the measured margins by long-running task.
	margins map[tbflow.TaskRef]float64
	// baselineMargins holds, for each long-running task, the margin without the modelled effect of
	// best-effort tasks.
	baselineMargins map[tbflow.TaskRef]float64
}

// ObservePoll updates the model with a worker's latest measurements. The measurement of a
// best-effort run is its use of processors in millicores; that of a long-running run is its tail
// latency in milliseconds. A poll within minPollGap of the last one of the same incarnation is
// ignored.
//
// Slopes are learned from two successive polls of one incarnation. The polls must be less than
// maxPollGap apart, and no speed may have changed between them.
func (l *Learner) ObservePoll(now time.Time, s *tbflow.State, w *tbfleet.Worker) {
	sample := pollSample{
		incarnation: w.Incarnation, polledAt: now, usageShares: map[string]float64{}, margins: map[tbflow.TaskRef]float64{},
		baselineMargins: map[tbflow.TaskRef]float64{},
	}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if step := s.StepOf(ref); step != nil && step.BestEffort && r.Phase == tbfleet.RunExecuting {
			sample.usageShares[step.Image] += processorShare(r.Measurement, w)
		}
	})
	previous, ok := l.lastSamples[w.ID]
	gap := now.Sub(previous.polledAt)
	if ok && previous.incarnation == w.Incarnation && gap < minPollGap {
		return
	}
	// A speed is changed because a latency has changed. The model would mistake the change of
	// speed for the cause of that change of latency.
	isComparable := ok && previous.incarnation == w.Incarnation && gap < maxPollGap && !l.speedChangedWorkers[w.ID]
	delete(l.speedChangedWorkers, w.ID)
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !hasTailMeasurement(step, r) {
			return
		}
		margin := marginOf(step, r)
		sample.margins[ref] = margin
		baseline := margin
		for image, usedShare := range sample.usageShares {
			baseline -= l.slope(step.Image, image) * usedShare
		}
		sample.baselineMargins[ref] = baseline
		if earlierMargin, ok := previous.margins[ref]; ok && isComparable {
			l.learnChange(step.Image, previous.usageShares, sample.usageShares, margin-earlierMargin)
		}
	})
	l.lastSamples[w.ID] = sample
}

func (l *Learner) learnChange(longRunning string, sharesBefore, sharesAfter map[string]float64, marginChange float64) {
	m := l.getOrAddFilter(longRunning)
	changes := make([]usageChange, 0, len(sharesBefore)+len(sharesAfter))
	for image, usedShare := range sharesAfter {
		changes = append(changes, usageChange{m.getOrAddIndex(image), usedShare - sharesBefore[image]})
	}
	for image, usedShare := range sharesBefore {
		if _, ok := sharesAfter[image]; !ok {
			changes = append(changes, usageChange{m.getOrAddIndex(image), -usedShare})
		}
	}
	if len(changes) > 0 {
		m.update(changes, marginChange)
	}
}

// hasTailMeasurement reports whether a run is long-running, has a latency target, is executing and
// has reported its tail latency.
func hasTailMeasurement(step *tbflow.Step, r *tbfleet.Run) bool {
	return step.LongRunning && step.TailTarget > 0 && r.Phase == tbfleet.RunExecuting && r.Measurement > 0
}

func marginOf(step *tbflow.Step, r *tbfleet.Run) float64 {
	return min(maxMargin, float64(step.TailTarget.Milliseconds())/float64(r.Measurement))
}

// processorShare returns millicores as a share of the worker's processors.
func processorShare(milliProcessors int64, w *tbfleet.Worker) float64 {
	return float64(milliProcessors) / float64(max(1, w.Capacity.MilliProcessors))
}

// bestEffortImages returns the best-effort images of all filters in sorted order. They can include
// overflowImage.
func (l *Learner) bestEffortImages() []string {
	seen := map[string]bool{}
	for _, m := range l.slopeFilters {
		for image := range m.indexByImage {
			seen[image] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// defaultMargin is the assumed margin, without best-effort tasks, of a long-running task whose
// tail latency has not been measured yet.
const defaultMargin = 2.5
