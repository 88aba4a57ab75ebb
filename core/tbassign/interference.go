package tbassign

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: each long-running image is slowed down by some best-effort images and not at
// all by others, and its own load varies over seconds. Tail latency grows like 1/(1 - load), so
// the margin, which is the ratio of target to tail latency, falls in proportion to the
// processors that neighbours use. The model learns one slope for each pair of images from how
// the margin of one task changes between two polls. Using changes cancels out the baseline of
// the task itself.

// Parameters of the model. A margin is 1 where the tail latency equals its target.
const (
	// priorSlope is the assumed change of margin if the best-effort image used the whole
	// worker.
	priorSlope = -2.0
	// priorVariance is the highest variance of a slope; harmful pairs are near -6, others near
	// -0.5.
	priorVariance = 9.0
	// changeVariance is the variance of the change of a margin between two polls that the
	// task's own load causes.
	changeVariance = 0.25
	// driftVariance is added at each update, so that slopes can change while they are not
	// observed.
	driftVariance = 1e-5
	// maxBestEffortImages limits the best-effort images of one slopeFilter. Measurements of
	// further images update the slope of overflowImage, while slope returns priorSlope for
	// these images.
	maxBestEffortImages = 40
	// maxMargin limits a single measurement: far below the target, the exact ratio means little.
	maxMargin = 6.0
	// maxPollGap is the longest time between two polls whose measurements are compared.
	maxPollGap = 1600 * time.Millisecond
	// minPollGap is the shortest time between two polls of a worker; a poll that follows sooner
	// is ignored because its measurements overlap those of the one before.
	minPollGap = 150 * time.Millisecond
)

// slopeFilter is a Kalman filter over the slopes of all best-effort images for one long-running
// image.
type slopeFilter struct {
	index map[string]int
	mean  []float64
	cov   [][]float64
}

// overflowImage stands for all images beyond maxBestEffortImages.
const overflowImage = "\x00other"

func (m *slopeFilter) indexFor(image string) int {
	if i, ok := m.index[image]; ok {
		return i
	}
	if len(m.mean) >= maxBestEffortImages {
		image = overflowImage
		if i, ok := m.index[image]; ok {
			return i
		}
	}
	i := len(m.mean)
	m.index[image] = i
	m.mean = append(m.mean, priorSlope)
	for j := range m.cov {
		m.cov[j] = append(m.cov[j], 0)
	}
	m.cov = append(m.cov, make([]float64, i+1))
	m.cov[i][i] = priorVariance
	return i
}

// usageChange is the change of the share of the worker that one best-effort image uses.
type usageChange struct {
	index int
	delta float64
}

// update corrects the slopes by one change of margin, which should equal the sum of slope times
// usage change.
func (m *slopeFilter) update(changes []usageChange, marginChange float64) {
	n := len(m.mean)
	gain := make([]float64, n)
	expected, variance := 0.0, changeVariance
	for i := range n {
		row := m.cov[i]
		row[i] = min(priorVariance, row[i]+driftVariance)
		for _, change := range changes {
			gain[i] += row[change.index] * change.delta
		}
	}
	for _, change := range changes {
		expected += m.mean[change.index] * change.delta
		variance += gain[change.index] * change.delta
	}
	inverse := 1 / variance
	for i, g := range gain {
		m.mean[i] += g / variance * (marginChange - expected)
		row := m.cov[i]
		for j, other := range gain {
			row[j] -= g * other * inverse
		}
	}
}

// maxKnownVariance is the variance below which a slope is known well enough to be handed to the
// next leader. knownSlope also accepts a variance equal to it, which RestoreInterference sets.
const maxKnownVariance = priorVariance / 3

// KnownInterference returns the slopes with a variance below maxKnownVariance, sorted by
// images.
func (l *Learner) KnownInterference() []tbflow.Interference {
	var all []tbflow.Interference
	for _, longRunning := range slices.Sorted(maps.Keys(l.filters)) {
		m := l.filters[longRunning]
		for _, bestEffort := range slices.Sorted(maps.Keys(m.index)) {
			if i := m.index[bestEffort]; m.cov[i][i] < maxKnownVariance {
				all = append(all, tbflow.Interference{LongRunningImage: longRunning, BestEffortImage: bestEffort, Slope: m.mean[i]})
			}
		}
	}
	return all
}

// RestoreInterference sets the slopes that an earlier leader learned, with the variance
// maxKnownVariance. It overwrites slopes that are already present.
func (l *Learner) RestoreInterference(slopes []tbflow.Interference) {
	for _, s := range slopes {
		m := l.filterFor(s.LongRunningImage)
		i := m.indexFor(s.BestEffortImage)
		m.mean[i], m.cov[i][i] = s.Slope, maxKnownVariance
	}
}

func (l *Learner) filterFor(longRunning string) *slopeFilter {
	m := l.filters[longRunning]
	if m == nil {
		m = &slopeFilter{index: map[string]int{}}
		l.filters[longRunning] = m
	}
	return m
}

// knownSlope returns a slope with a variance of at most maxKnownVariance, or 0 if that slope is
// positive, and whether there is one.
func (l *Learner) knownSlope(longRunning, bestEffort string) (float64, bool) {
	m := l.filters[longRunning]
	if m == nil {
		return 0, false
	}
	i, ok := m.index[bestEffort]
	if !ok || m.cov[i][i] > maxKnownVariance {
		return 0, false
	}
	return min(0, m.mean[i]), true
}

// slope returns the expected effect of a best-effort image on the margin of a long-running
// image. It is never positive.
func (l *Learner) slope(longRunning, bestEffort string) float64 {
	m := l.filters[longRunning]
	if m == nil {
		return priorSlope
	}
	i, ok := m.index[bestEffort]
	if !ok {
		return priorSlope
	}
	return min(0, m.mean[i])
}

// pollSample is what one poll of a worker reported, kept to be compared with the next one.
// usage holds shares of the worker's processors by best-effort image, margins are by
// long-running task.
type pollSample struct {
	incarnation int64
	at          time.Time
	usage       map[string]float64
	margins     map[tbflow.TaskRef]float64
	// baselines are the margins without the modelled effect of best-effort tasks.
	baselines map[tbflow.TaskRef]float64
}

// ObservePoll updates the model with a worker's latest measurements, which are millicores in
// use for best-effort runs and tail latencies in milliseconds for long-running ones. A poll
// within minPollGap of the last one of the same incarnation is ignored. Slopes are learned only
// from two polls of one incarnation that are less than maxPollGap apart and without a change of
// speed between them.
func (l *Learner) ObservePoll(now time.Time, s *tbflow.State, w *tbfleet.Worker) {
	sample := pollSample{
		incarnation: w.Incarnation, at: now, usage: map[string]float64{}, margins: map[tbflow.TaskRef]float64{},
		baselines: map[tbflow.TaskRef]float64{},
	}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if step := s.StepOf(ref); step != nil && step.BestEffort && r.Phase == tbfleet.RunExecuting {
			sample.usage[step.Image] += processorShare(r.Measurement, w)
		}
	})
	previous, ok := l.samples[w.ID]
	gap := now.Sub(previous.at)
	if ok && previous.incarnation == w.Incarnation && gap < minPollGap {
		return
	}
	// Speeds follow latency, so the model would mistake a change of speed for the cause of the
	// latency change that triggered it.
	comparable := ok && previous.incarnation == w.Incarnation && gap < maxPollGap && !l.speedChanged[w.ID]
	delete(l.speedChanged, w.ID)
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !hasTailMeasurement(step, r) {
			return
		}
		margin := marginOf(step, r)
		sample.margins[ref] = margin
		baseline := margin
		for image, use := range sample.usage {
			baseline -= l.slope(step.Image, image) * use
		}
		sample.baselines[ref] = baseline
		if earlier, ok := previous.margins[ref]; ok && comparable {
			l.learnChange(step.Image, previous.usage, sample.usage, margin-earlier)
		}
	})
	l.samples[w.ID] = sample
}

func (l *Learner) learnChange(longRunning string, before, after map[string]float64, marginChange float64) {
	m := l.filterFor(longRunning)
	changes := make([]usageChange, 0, len(before)+len(after))
	for image, use := range after {
		changes = append(changes, usageChange{m.indexFor(image), use - before[image]})
	}
	for image, use := range before {
		if _, ok := after[image]; !ok {
			changes = append(changes, usageChange{m.indexFor(image), -use})
		}
	}
	if len(changes) > 0 {
		m.update(changes, marginChange)
	}
}

// hasTailMeasurement reports whether a run is long-running, has a latency target and has reported
// its tail latency.
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

// bestEffortImages returns the best-effort images of all filters, including overflowImage,
// sorted.
func (l *Learner) bestEffortImages() []string {
	seen := map[string]bool{}
	for _, m := range l.filters {
		for image := range m.index {
			seen[image] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// defaultMargin is assumed of a long-running task whose tail latency is not known yet.
const defaultMargin = 2.5
