package tbassign

import "math"

// Load pattern: long-running tasks of several images reserve most of a worker class and come
// and go all day. A best-effort image runs at full speed only on instances where it slows down
// none of the long-running images. One sensitive task among tolerant ones makes the whole
// instance unusable for all best-effort images that harm it. Therefore long-running images that
// suffer from the same best-effort images share instances.

// Weights of an instance's long-running images when another long-running task is placed.
const (
	// colocationWeight outweighs the tightest packing, which scores at most 1.
	colocationWeight = 4.0
	// wastedWeight is the cost of a tolerant task on a sensitive instance, relative to a
	// sensitive task on a tolerant instance. The former only uses capacity that the next
	// sensitive task will look for.
	wastedWeight = 0.5
	// unknownCost is the cost of placing different images together when nothing has been
	// learned about them.
	unknownCost = 0.3
	// harmlessColocationSlope and severeColocationSlope are the slopes at which a best-effort
	// image counts as harmless and as fully harmful; learned slopes lie near -0.5 or between -5
	// and -10.
	harmlessColocationSlope = -0.8
	severeColocationSlope   = -4.0
)

// severities holds how much each best-effort image harms a long-running image, from 0 to 1, and
// NaN where that is not known yet. The order is that of colocation.bestEffort.
type severities []float64

// colocation compares long-running images by the best-effort images that slow them down.
type colocation struct {
	learner    *Learner
	bestEffort []string
	severities map[string]severities
}

func newColocation(l *Learner) *colocation {
	return &colocation{learner: l, bestEffort: l.bestEffortImages(), severities: map[string]severities{}}
}

func (c *colocation) severitiesOf(image string) severities {
	if known, ok := c.severities[image]; ok {
		return known
	}
	all := make(severities, len(c.bestEffort))
	for i, bestEffort := range c.bestEffort {
		slope, ok := c.learner.knownSlope(image, bestEffort)
		if !ok {
			all[i] = math.NaN()
			continue
		}
		all[i] = min(1, max(0, (harmlessColocationSlope-slope)/(harmlessColocationSlope-severeColocationSlope)))
	}
	c.severities[image] = all
	return all
}

// colocationCost returns the cost to best-effort work, from 0 to 1, of placing a long-running
// image beside others.
func (t *imageTable) colocationCost(image int, neighbours []imageCount) float64 {
	if len(neighbours) == 0 || len(neighbours) == 1 && neighbours[0].image == image {
		return 0
	}
	if t.learnedCount == 0 {
		return unknownCost
	}
	own := t.severities[image]
	sum := 0.0
	for i := range own {
		worst := 0.0
		for _, other := range neighbours {
			worst = math.Max(worst, t.severities[other.image][i])
		}
		switch harm := own[i] - worst; {
		case math.IsNaN(harm):
			sum += unknownCost
		case harm > 0:
			sum += harm
		default:
			sum -= harm * wastedWeight
		}
	}
	return sum / float64(t.learnedCount)
}
