package tbassign

import "math"

// Long-running tasks of several images reserve most of a worker class; some of them start or end
// at any time of the day. A best-effort image runs at full speed only on workers where it slows
// down none of the long-running images. A long-running task is called sensitive to the best-effort
// images that slow it down much, and tolerant of the others. One sensitive long-running task makes
// its whole worker unusable for the best-effort images that harm it, even if all other tasks there
// are tolerant. Therefore, long-running images that suffer from the same best-effort images are
// placed on the same workers.

// Parameters of the placement of long-running images beside each other.
const (
	// colocationWeight is the weight of the colocation cost in the score of a worker. It gives
	// that cost priority over tight packing, which changes the score by at most 1.
	colocationWeight = 4.0
	// tolerantOnSensitiveWeight is the cost of placing a tolerant task on a worker that has
	// sensitive tasks. It is relative to the cost of placing a sensitive task on a worker that has
	// only tolerant tasks. The tolerant task takes capacity that the next sensitive task could have
	// used.
	tolerantOnSensitiveWeight = 0.5
	// unknownSeverityCost is the assumed cost of placing different images together if their
	// severities are not known.
	unknownSeverityCost = 0.3
	// harmlessColocationSlope is the slope at which a best-effort image has severity 0,
	// severeColocationSlope the slope at which it has severity 1. Learned slopes lie near -0.5 or
	// between -5 and -10. The placement of best-effort tasks does not use these two; it uses
	// harmlessSlope.
	harmlessColocationSlope = -0.8
	severeColocationSlope   = -4.0
)

// severities holds how much each best-effort image harms one long-running image, from 0 to 1. An
// unknown severity is NaN. The images are in the order of severityCache.bestEffortImages.
type severities []float64

// severityCache caches the severities of long-running images.
type severityCache struct {
	learner            *Learner
	bestEffortImages   []string
	byLongRunningImage map[string]severities
}

func newSeverityCache(l *Learner) *severityCache {
	return &severityCache{learner: l, bestEffortImages: l.bestEffortImages(), byLongRunningImage: map[string]severities{}}
}

func (c *severityCache) severitiesOf(image string) severities {
	if cached, ok := c.byLongRunningImage[image]; ok {
		return cached
	}
	imageSeverities := make(severities, len(c.bestEffortImages))
	for i, bestEffort := range c.bestEffortImages {
		slope, ok := c.learner.knownSlope(image, bestEffort)
		if !ok {
			imageSeverities[i] = math.NaN()
			continue
		}
		imageSeverities[i] = min(1, max(0, (harmlessColocationSlope-slope)/(harmlessColocationSlope-severeColocationSlope)))
	}
	c.byLongRunningImage[image] = imageSeverities
	return imageSeverities
}

// colocationCost returns the cost to best-effort work, from 0 to 1, of placing a task of a
// long-running image on a worker with the given long-running images.
func (t *imageTable) colocationCost(imageIndex int, neighbours []imageCount) float64 {
	if len(neighbours) == 0 || len(neighbours) == 1 && neighbours[0].imageIndex == imageIndex {
		return 0
	}
	if t.learnedImageCount == 0 {
		return unknownSeverityCost
	}
	imageSeverities := t.severitiesByImage[imageIndex]
	sum := 0.0
	for i := range imageSeverities {
		worstSeverity := 0.0
		for _, other := range neighbours {
			worstSeverity = math.Max(worstSeverity, t.severitiesByImage[other.imageIndex][i])
		}
		switch severityDifference := imageSeverities[i] - worstSeverity; {
		case math.IsNaN(severityDifference):
			sum += unknownSeverityCost
		case severityDifference > 0:
			sum += severityDifference
		default:
			sum -= severityDifference * tolerantOnSensitiveWeight
		}
	}
	return sum / float64(t.learnedImageCount)
}
