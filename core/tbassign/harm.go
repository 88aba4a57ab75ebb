package tbassign

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: each lasting image suffers from some filling images and not at all
// from others, and its own load swings over seconds. A tail grows like 1/(1 - load),
// so that the ratio of target to tail, here the margin, falls in proportion to what
// the neighbours use. The model learns one slope for each pair of images from how the
// margin of one task changes between two looks, which leaves out the task's own level.

// Assumptions of the model; margins are 1 where the tail equals its target.
const (
	// priorSlope is the change of margin assumed of a pair if the filling image used the whole instance.
	priorSlope = -2.0
	// priorVariance bounds how unsure the model is of a slope; harmful pairs are near -6, others near -0.5.
	priorVariance = 9.0
	// changeVariance is the variance of a margin's change between two looks by the task's own load.
	changeVariance = 0.25
	// driftVariance lets slopes change while they are not observed.
	driftVariance = 1e-5
	// maxImages bounds the model; filling images beyond share one figure.
	maxImages = 40
	// highestMargin bounds one reading: far from the target its size means little.
	highestMargin = 6.0
	// longestLook is the time between two looks beyond which their readings are not compared.
	longestLook = 1600 * time.Millisecond
	// shortestLook is the time within which readings overlap.
	shortestLook = 150 * time.Millisecond
)

// slopes is a Kalman filter over what each filling image does to one lasting image.
type slopes struct {
	index map[string]int
	mean  []float64
	cov   [][]float64
}

// otherImages is the figure of images beyond maxImages.
const otherImages = "\x00other"

func (m *slopes) figure(image string) int {
	if i, ok := m.index[image]; ok {
		return i
	}
	if len(m.mean) >= maxImages {
		image = otherImages
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

// weight is by how much the use of one filling image changed.
type weight struct {
	figure int
	change float64
}

// observe takes one change of margin, to which the weighted slopes should add up.
func (m *slopes) observe(weights []weight, change float64) {
	n := len(m.mean)
	gain := make([]float64, n)
	expected, variance := 0.0, changeVariance
	for i := range n {
		row := m.cov[i]
		row[i] = min(priorVariance, row[i]+driftVariance)
		for _, w := range weights {
			gain[i] += row[w.figure] * w.change
		}
	}
	for _, w := range weights {
		expected += m.mean[w.figure] * w.change
		variance += gain[w.figure] * w.change
	}
	less := 1 / variance
	for i, g := range gain {
		m.mean[i] += g / variance * (change - expected)
		row := m.cov[i]
		for j, other := range gain {
			row[j] -= g * other * less
		}
	}
}

// knownVariance is the variance below which a slope is worth telling the next leader.
const knownVariance = priorVariance / 3

// Slopes returns what was learned well enough to be kept, in order of the images.
func (l *Learner) Slopes() []tbflow.Slope {
	var all []tbflow.Slope
	for _, lasting := range slices.Sorted(maps.Keys(l.harm)) {
		m := l.harm[lasting]
		for _, filling := range slices.Sorted(maps.Keys(m.index)) {
			if i := m.index[filling]; m.cov[i][i] < knownVariance {
				all = append(all, tbflow.Slope{Lasting: lasting, Filling: filling, Mean: m.mean[i]})
			}
		}
	}
	return all
}

// Adopt starts from what an earlier leader learned.
func (l *Learner) Adopt(slopes []tbflow.Slope) {
	for _, s := range slopes {
		m := l.slopesOf(s.Lasting)
		i := m.figure(s.Filling)
		m.mean[i], m.cov[i][i] = s.Mean, knownVariance
	}
}

func (l *Learner) slopesOf(lasting string) *slopes {
	m := l.harm[lasting]
	if m == nil {
		m = &slopes{index: map[string]int{}}
		l.harm[lasting] = m
	}
	return m
}

// knownSlope returns a slope that was learned well enough to be kept.
func (l *Learner) knownSlope(lasting, filling string) (float64, bool) {
	m := l.harm[lasting]
	if m == nil {
		return 0, false
	}
	i, ok := m.index[filling]
	if !ok || m.cov[i][i] > knownVariance {
		return 0, false
	}
	return min(0, m.mean[i]), true
}

// slope returns what a filling image is expected to do to a lasting image; it is never a help.
func (l *Learner) slope(lasting, filling string) float64 {
	m := l.harm[lasting]
	if m == nil {
		return priorSlope
	}
	i, ok := m.index[filling]
	if !ok {
		return priorSlope
	}
	return min(0, m.mean[i])
}

// lookAt is what one look at a worker said that the next one is compared with.
type lookAt struct {
	born    int64
	at      time.Time
	uses    map[string]float64
	margins map[tbflow.TaskRef]float64
	// clean are the margins without what the model puts on filling tasks.
	clean map[tbflow.TaskRef]float64
}

// Observe learns from a worker's newest readings.
func (l *Learner) Observe(now time.Time, s *tbflow.State, w *tbfleet.Worker) {
	look := lookAt{
		born: w.Born, at: now, uses: map[string]float64{}, margins: map[tbflow.TaskRef]float64{},
		clean: map[tbflow.TaskRef]float64{},
	}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		if step := s.StepOf(ref); step != nil && step.Fills && r.Phase == tbfleet.RunGoingOn {
			look.uses[step.Image] += share(r.Reading, w)
		}
	})
	before, ok := l.looks[w.ID]
	apart := now.Sub(before.at)
	if ok && before.born == w.Born && apart < shortestLook {
		return
	}
	// Paces follow the tails: a change of pace would be taken for the cause of what it answers.
	comparable := ok && before.born == w.Born && apart < longestLook && !l.paced[w.ID]
	delete(l.paced, w.ID)
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !servesUsers(step, r) {
			return
		}
		margin := marginOf(step, r)
		look.margins[ref] = margin
		clean := margin
		for image, use := range look.uses {
			clean -= l.slope(step.Image, image) * use
		}
		look.clean[ref] = clean
		if earlier, ok := before.margins[ref]; ok && comparable {
			l.learnChange(step.Image, before.uses, look.uses, margin-earlier)
		}
	})
	l.looks[w.ID] = look
}

func (l *Learner) learnChange(lasting string, before, after map[string]float64, change float64) {
	m := l.slopesOf(lasting)
	weights := make([]weight, 0, len(before)+len(after))
	for image, use := range after {
		weights = append(weights, weight{m.figure(image), use - before[image]})
	}
	for image, use := range before {
		if _, ok := after[image]; !ok {
			weights = append(weights, weight{m.figure(image), -use})
		}
	}
	if len(weights) > 0 {
		m.observe(weights, change)
	}
}

// servesUsers reports whether a run is a lasting one with a tail that was read.
func servesUsers(step *tbflow.Step, r *tbfleet.Run) bool {
	return step.Lasting && step.TailTarget > 0 && r.Phase == tbfleet.RunGoingOn && r.Reading > 0
}

func marginOf(step *tbflow.Step, r *tbfleet.Run) float64 {
	return min(highestMargin, float64(step.TailTarget.Milliseconds())/float64(r.Reading))
}

func share(milliProcessors int64, w *tbfleet.Worker) float64 {
	return float64(milliProcessors) / float64(max(1, w.Capacity.MilliProcessors))
}

// fillingImages returns all filling images that were seen beside a lasting one.
func (l *Learner) fillingImages() []string {
	seen := map[string]bool{}
	for _, m := range l.harm {
		for image := range m.index {
			seen[image] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// usualMargin is assumed of a lasting image whose tail was not read yet.
const usualMargin = 2.5
