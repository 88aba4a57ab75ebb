package tbassign

import "math"

// Load pattern: long-running tasks of several images reserve most of a worker class and come
// and go all day. A best-effort image runs at full speed only on workers where it slows down
// none of the long-running images. One sensitive task among tolerant ones makes the whole
// worker unusable for all best-effort images that harm it. Therefore long-running images that
// suffer from the same best-effort images share workers.

// Parameters of the placement of long-running images beside each other.
const (
	// colocationWeight outweighs the tightest packing, which scores at most 1.
	colocationWeight = 4.0
	// wastedWeight is the cost of a tolerant task on a sensitive worker, relative to a
	// sensitive task on a tolerant worker. The former only takes room that the next sensitive
	// task could have used.
	wastedWeight = 0.5
	// unknownCost is the cost of placing different images together when nothing has been
	// learned about them.
	unknownCost = 0.3
	// harmlessColocationSlope and severeColocationSlope are the slopes at which the severity of
	// a best-effort image is 0 and 1; learned slopes lie near -0.5 or between -5 and -10. The
	// placement of best-effort tasks uses harmlessSlope instead.
	harmlessColocationSlope = -0.8
	severeColocationSlope   = -4.0
)

// severities holds how much each best-effort image harms a long-running image, from 0 to 1, and
// NaN where that is not known yet. The order is that of severityCache.bestEffort.
type severities []float64

// severityCache caches the severities of long-running images.
type severityCache struct {
	learner    *Learner
	bestEffort []string
	severities map[string]severities
}

func newSeverityCache(l *Learner) *severityCache {
	return &severityCache{learner: l, bestEffort: l.bestEffortImages(), severities: map[string]severities{}}
}

func (c *severityCache) severitiesOf(image string) severities {
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
