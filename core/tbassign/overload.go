package tbassign

import (
	"cmp"
	"slices"
)

// Load pattern: more filling work of an image arrives than the instances that suit it
// can do. In the order of their deadlines, each job would start just before it is late
// and then be late all the same, by the work of the one before it. Instead, jobs are
// taken in the order of their deadlines as long as all of them can be on time; where
// they cannot, the largest one is put behind (the rule of Moore and Hodgson, which
// makes the fewest jobs late).

// gettingShare is the share of the processors that filling tasks ask for which they get
// under pace and beside each other; readings of busy days add up to 0.55 to 0.65 of it.
const gettingShare = 0.6

// imageOf names a filling image on the workers of one class.
type imageOf struct {
	class string
	image string
}

// postpone puts filling jobs behind that would make others late; capacity is in processors.
func postpone(nowMs int64, steps []waitingStep, capacity func(imageOf) float64) {
	byImage := map[imageOf][]*waitingStep{}
	for i := range steps {
		if w := &steps[i]; w.step.Fills && w.lateness == onTime {
			key := imageOf{w.job.WorkerClass, w.step.Image}
			byImage[key] = append(byImage[key], w)
		}
	}
	for image, waiting := range byImage {
		rate := max(1, gettingShare*capacity(image))
		slices.SortStableFunc(waiting, func(a, b *waitingStep) int { return cmp.Compare(a.latestStartMs, b.latestStartMs) })
		var kept []*waitingStep
		work := 0.0
		for _, w := range waiting {
			kept = append(kept, w)
			work += w.work
			for work/rate*1000 > float64(w.endMs-nowMs) {
				largest := 0
				for i := range kept {
					if kept[i].work > kept[largest].work {
						largest = i
					}
				}
				kept[largest].postponed = true
				work -= kept[largest].work
				kept = slices.Delete(kept, largest, largest+1)
			}
		}
	}
}

// capacity returns the processors that filling work of an image has or could have now.
func (p *pools) capacity(of imageOf) float64 {
	sum := p.running[of]
	filling := p.images.fillingNumber(of.image)
	for _, r := range p.classes[of.class] {
		if r.unused > 0 && p.worstSlope(r, filling) > harmlessSlope {
			sum += r.unused
		}
	}
	return float64(sum) / 1000
}
