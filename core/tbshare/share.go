package tbshare

import (
	"cmp"
	"math"
	"slices"
)

// Holder is an entry that uses slots of one service.
type Holder struct {
	Key        string
	DataCentre string
	// Demand is the number of slots that its requests would keep busy.
	Demand float64
}

// Grant is what one holder has of one runner.
type Grant struct {
	Holder  string
	Granted int
	Target  int
}

// Runner offers slots.
type Runner struct {
	ID         string
	DataCentre string
	Slots      int
	Grants     []Grant
}

// Change sets the target of one holder on one runner.
type Change struct {
	Runner string
	Holder string
	Slots  int
}

// Policy tunes the plan.
type Policy struct {
	// BaseWeight is added to each demand, so that an idle entry keeps some slots.
	BaseWeight float64
	// Tolerance is the share of a holder's slots by which it may be off before slots move.
	Tolerance float64
}

// plan is the working state of one call of Plan.
type plan struct {
	holders []Holder
	runners []Runner
	// target and granted are indexed by runner and holder.
	target  [][]int
	granted [][]int
	total   []int
	// used counts granted slots and raised targets of each runner.
	used    []int
	changed [][]bool
}

// Plan returns the changes that bring the holders' slots towards their share of the demand.
//
// Slots that move are first taken by a lower target and handed out by a later
// plan, when the holder has surrendered them.
func Plan(holders []Holder, runners []Runner, policy Policy) []Change {
	if len(holders) == 0 || len(runners) == 0 {
		return nil
	}
	p := newPlan(holders, runners)
	want := wanted(holders, p.slots(), policy)
	p.lower(want, policy)
	p.raise(want)
	return p.changes()
}

func newPlan(holders []Holder, runners []Runner) *plan {
	p := &plan{holders: holders, runners: runners, total: make([]int, len(holders))}
	index := make(map[string]int, len(holders))
	for h, holder := range holders {
		index[holder.Key] = h
	}
	for _, r := range runners {
		target := make([]int, len(holders))
		granted := make([]int, len(holders)+1)
		for _, g := range r.Grants {
			h, known := index[g.Holder]
			if !known {
				granted[len(holders)] += g.Granted
				continue
			}
			target[h] = g.Target
			granted[h] = g.Granted
			p.total[h] += g.Target
		}
		p.target = append(p.target, target)
		p.granted = append(p.granted, granted)
		p.changed = append(p.changed, make([]bool, len(holders)))
		p.used = append(p.used, usedSlots(target, granted))
	}
	return p
}

func (p *plan) slots() int {
	sum := 0
	for _, r := range p.runners {
		sum += r.Slots
	}
	return sum
}

// wanted divides slots by weight with the largest remainders rounded up.
func wanted(holders []Holder, slots int, policy Policy) []int {
	sum := 0.0
	for _, h := range holders {
		sum += h.Demand + policy.BaseWeight
	}
	type part struct {
		holder int
		rest   float64
	}
	want := make([]int, len(holders))
	parts := make([]part, len(holders))
	left := slots
	for i, h := range holders {
		exact := float64(slots) * (h.Demand + policy.BaseWeight) / sum
		want[i] = int(math.Floor(exact))
		left -= want[i]
		parts[i] = part{holder: i, rest: exact - math.Floor(exact)}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.rest, a.rest) })
	for i := range left {
		want[parts[i%len(parts)].holder]++
	}
	return want
}

// lower takes slots from holders that are above their share by more than the tolerance.
func (p *plan) lower(want []int, policy Policy) {
	for h := range p.holders {
		slack := int(math.Ceil(policy.Tolerance * float64(want[h])))
		if p.total[h] <= want[h]+slack {
			continue
		}
		for p.total[h] > want[h] {
			r := p.bestToLower(h)
			if r < 0 {
				break
			}
			p.set(r, h, p.target[r][h]-1)
		}
	}
}

// bestToLower picks the runner where the holder has most, in another data centre first.
func (p *plan) bestToLower(h int) int {
	best := -1
	for r := range p.runners {
		if p.target[r][h] == 0 {
			continue
		}
		if best < 0 || p.lowerScore(r, h) > p.lowerScore(best, h) {
			best = r
		}
	}
	return best
}

func (p *plan) lowerScore(r, h int) int {
	score := 2 * p.target[r][h]
	if p.runners[r].DataCentre != p.holders[h].DataCentre {
		score++
	}
	return score
}

// raise hands out free slots, one at a time to the holder that lacks most.
//
// It hands out a bounded number in one plan: with 3,700 runners of one service
// the first plan would otherwise hold up its caller for seconds.
func (p *plan) raise(want []int) {
	for range maxRaises {
		h := p.neediest(want)
		if h < 0 {
			return
		}
		r := p.bestToRaise(h)
		if r < 0 {
			want[h] = p.total[h]
			continue
		}
		p.set(r, h, p.target[r][h]+1)
	}
}

// maxRaises bounds the slots handed out by one plan.
const maxRaises = 2048

func (p *plan) neediest(want []int) int {
	best, lack := -1, 0
	for h := range p.holders {
		if d := want[h] - p.total[h]; d > lack {
			best, lack = h, d
		}
	}
	return best
}

// bestToRaise picks the runner with most room where the holder has least.
func (p *plan) bestToRaise(h int) int {
	best, bestScore := -1, 0
	for r, runner := range p.runners {
		room := runner.Slots - p.used[r]
		if p.target[r][h] < p.granted[r][h] {
			// Taking back what is not surrendered yet needs no room.
			room = max(room, 1)
		}
		if room <= 0 {
			continue
		}
		score := 4*room - 3*p.target[r][h]
		if runner.DataCentre == p.holders[h].DataCentre {
			score += 2
		}
		if best < 0 || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// usedSlots counts, for each holder, the larger of granted and target; the last of granted belongs to others.
func usedSlots(target, granted []int) int {
	sum := granted[len(granted)-1]
	for h := range target {
		sum += max(granted[h], target[h])
	}
	return sum
}

func (p *plan) set(r, h, slots int) {
	p.total[h] += slots - p.target[r][h]
	p.used[r] += max(p.granted[r][h], slots) - max(p.granted[r][h], p.target[r][h])
	p.target[r][h] = slots
	p.changed[r][h] = true
}

func (p *plan) changes() []Change {
	var all []Change
	for r, runner := range p.runners {
		for h, holder := range p.holders {
			if !p.changed[r][h] {
				continue
			}
			all = append(all, Change{Runner: runner.ID, Holder: holder.Key, Slots: p.target[r][h]})
		}
	}
	return all
}
