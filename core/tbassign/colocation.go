package tbassign

import "math"

// Load pattern: lasting tasks of several images reserve most of a worker class and come
// and go all day. A filling image runs at full speed only on instances none of whose
// lasting images it harms. One sensitive task among tough ones costs all filling images
// that harm it the whole instance, so that lasting images which suffer from the same
// filling images share instances.

// Weights of an instance's lasting images in the choice for another lasting task.
const (
	// colocationWeight outweighs the tightest packing, which is worth 1 at most.
	colocationWeight = 4.0
	// wastedShare is what a tough task in a sensitive place costs, against the reverse: it
	// only uses room that the next sensitive task will look for.
	wastedShare = 0.5
	// unknownCost is assumed between different images of which nothing is known.
	unknownCost = 0.3
	// mildSlope and severeSlope are the slopes at which a filling image counts as harmless
	// and as fully harmful; learned slopes lie near -0.5 or between -5 and -10.
	mildSlope   = -0.8
	severeSlope = -4.0
)

// severities holds how much each filling image harms lasting images, from 0 to 1, and
// NaN where that was not learned yet; the order is that of colocation.filling.
type severities []float64

// colocation compares lasting images by the filling images that they suffer from.
type colocation struct {
	learner *Learner
	filling []string
	images  map[string]severities
}

func newColocation(l *Learner) *colocation {
	return &colocation{learner: l, filling: l.fillingImages(), images: map[string]severities{}}
}

func (c *colocation) of(image string) severities {
	if known, ok := c.images[image]; ok {
		return known
	}
	all := make(severities, len(c.filling))
	for i, filling := range c.filling {
		slope, ok := c.learner.knownSlope(image, filling)
		if !ok {
			all[i] = math.NaN()
			continue
		}
		all[i] = min(1, max(0, (mildSlope-slope)/(mildSlope-severeSlope)))
	}
	c.images[image] = all
	return all
}

// cost returns what it costs filling work, from 0 to 1, to put a lasting image beside others.
func (t *imageTable) cost(image int, beside []imageCount) float64 {
	if len(beside) == 0 || len(beside) == 1 && beside[0].image == image {
		return 0
	}
	if t.learned == 0 {
		return unknownCost
	}
	own := t.harms[image]
	sum := 0.0
	for i := range own {
		worst := 0.0
		for _, other := range beside {
			worst = math.Max(worst, t.harms[other.image][i])
		}
		switch harm := own[i] - worst; {
		case math.IsNaN(harm):
			sum += unknownCost
		case harm > 0:
			sum += harm
		default:
			sum -= harm * wastedShare
		}
	}
	return sum / float64(t.learned)
}
