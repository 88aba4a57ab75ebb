package tbshare

import (
	"cmp"
	"math"
	"slices"
)

// Holder is a session of an entry that uses slots of the runners of one service.
type Holder struct {
	// Key identifies the holder; the leader uses the key of the session.
	Key        string
	DataCentre string
	// Demand is the number of slots that the holder needs for its requests; it may be a fraction.
	Demand float64
}

// Grant describes the slots of one holder on one runner.
type Grant struct {
	// Holder is the key of the holder.
	Holder string
	// Granted is the number of slots that the holder may use until it releases them.
	Granted int
	// Target is the number of slots that the holder should have.
	Target int
}

// Runner is a backend server that offers slots.
type Runner struct {
	ID         string
	DataCentre string
	// Slots is the capacity of the runner.
	Slots  int
	Grants []Grant
}

// Change is a new target for one holder on one runner.
type Change struct {
	Runner string
	Holder string
	// Target is the new target, in slots.
	Target int
}

// Policy holds the parameters of Plan.
type Policy struct {
	// BaseWeight is a number of slots added to the demand of each holder, so that an idle entry keeps
	// some slots.
	BaseWeight float64
	// Tolerance is how far a holder may exceed its share before slots are taken away, as a fraction
	// of the share.
	Tolerance float64
}

// planner is the state of one call of Plan.
type planner struct {
	holders []Holder
	runners []Runner
	// target and granted are indexed by runner and holder. Each row of granted has one more element
	// at the end, for the slots granted to sessions that are not in holders.
	target  [][]int
	granted [][]int
	// holderTargets is the sum of the targets of each holder.
	holderTargets []int
	// usedSlots holds, by runner, the slots that cannot be assigned any more; see countUsedSlots.
	usedSlots []int
	changed   [][]bool
}

// Plan returns the changes of targets that move the holders towards their fair shares.
//
// Moving slots takes two plans. The first plan lowers the target of one holder. Once that holder has
// released the slots, a later plan assigns them to another holder.
func Plan(holders []Holder, runners []Runner, policy Policy) []Change {
	if len(holders) == 0 || len(runners) == 0 {
		return nil
	}
	p := newPlanner(holders, runners)
	shares := fairShares(holders, p.totalSlots(), policy)
	p.lowerTargets(shares, policy)
	p.raiseTargets(shares)
	return p.changes()
}

func newPlanner(holders []Holder, runners []Runner) *planner {
	p := &planner{holders: holders, runners: runners, holderTargets: make([]int, len(holders))}
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
			p.holderTargets[h] += g.Target
		}
		p.target = append(p.target, target)
		p.granted = append(p.granted, granted)
		p.changed = append(p.changed, make([]bool, len(holders)))
		p.usedSlots = append(p.usedSlots, countUsedSlots(target, granted))
	}
	return p
}

func (p *planner) totalSlots() int {
	sum := 0
	for _, r := range p.runners {
		sum += r.Slots
	}
	return sum
}

// fairShares divides slots among holders in proportion to demand plus BaseWeight. It rounds by the
// largest remainder method.
func fairShares(holders []Holder, slots int, policy Policy) []int {
	sum := 0.0
	for _, h := range holders {
		sum += h.Demand + policy.BaseWeight
	}
	type fraction struct {
		holder    int
		remainder float64
	}
	shares := make([]int, len(holders))
	fractions := make([]fraction, len(holders))
	remaining := slots
	for i, h := range holders {
		exact := float64(slots) * (h.Demand + policy.BaseWeight) / sum
		shares[i] = int(math.Floor(exact))
		remaining -= shares[i]
		fractions[i] = fraction{holder: i, remainder: exact - math.Floor(exact)}
	}
	slices.SortStableFunc(fractions, func(a, b fraction) int { return cmp.Compare(b.remainder, a.remainder) })
	for i := range remaining {
		shares[fractions[i%len(fractions)].holder]++
	}
	return shares
}

// lowerTargets lowers the targets of a holder until their sum is the holder's share. It leaves a
// holder alone whose targets exceed the share by no more than the tolerance.
func (p *planner) lowerTargets(shares []int, policy Policy) {
	for h := range p.holders {
		tolerance := int(math.Ceil(policy.Tolerance * float64(shares[h])))
		if p.holderTargets[h] <= shares[h]+tolerance {
			continue
		}
		for p.holderTargets[h] > shares[h] {
			r := p.runnerToLower(h)
			if r < 0 {
				break
			}
			p.setTarget(r, h, p.target[r][h]-1)
		}
	}
}

// runnerToLower returns the runner with the highest target of holder h, or -1 if there is none.
// Among equals it prefers a runner outside the holder's data centre.
func (p *planner) runnerToLower(h int) int {
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

func (p *planner) lowerScore(r, h int) int {
	score := 2 * p.target[r][h]
	if p.runners[r].DataCentre != p.holders[h].DataCentre {
		score++
	}
	return score
}

// raiseTargets assigns free slots one at a time to the holder furthest below its share.
//
// It assigns at most maxRaises slots. With 3,700 runners of one service, the first plan would
// otherwise block the caller of Plan for seconds.
func (p *planner) raiseTargets(shares []int) {
	for range maxRaises {
		h := p.holderBelowShare(shares)
		if h < 0 {
			return
		}
		r := p.runnerToRaise(h)
		if r < 0 {
			// No runner has a free slot for h. With its share lowered, h is not selected again.
			shares[h] = p.holderTargets[h]
			continue
		}
		p.setTarget(r, h, p.target[r][h]+1)
	}
}

// maxRaises is the maximum number of slots that one plan assigns.
const maxRaises = 2048

// holderBelowShare returns the holder furthest below its share, or -1 if there is none.
func (p *planner) holderBelowShare(shares []int) int {
	best, maxDeficit := -1, 0
	for h := range p.holders {
		if deficit := shares[h] - p.holderTargets[h]; deficit > maxDeficit {
			best, maxDeficit = h, deficit
		}
	}
	return best
}

// runnerToRaise returns the best runner for one more slot of holder h, or -1 if no runner has a free
// slot. The score of a runner is 4 per free slot, -3 per slot of the target of h, and 2 more if the
// runner is in the data centre of h. The highest score wins.
func (p *planner) runnerToRaise(h int) int {
	best, bestScore := -1, 0
	for r, runner := range p.runners {
		free := runner.Slots - p.usedSlots[r]
		if p.target[r][h] < p.granted[r][h] {
			// The holder has not released all slots above its target yet. It can get one of these back
			// without a free slot.
			free = max(free, 1)
		}
		if free <= 0 {
			continue
		}
		score := 4*free - 3*p.target[r][h]
		if runner.DataCentre == p.holders[h].DataCentre {
			score += 2
		}
		if best < 0 || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// countUsedSlots returns the slots of one runner that cannot be assigned any more. These are the
// larger of granted and target of each holder, and the slots granted to sessions not in holders.
func countUsedSlots(target, granted []int) int {
	sum := granted[len(granted)-1]
	for h := range target {
		sum += max(granted[h], target[h])
	}
	return sum
}

func (p *planner) setTarget(r, h, slots int) {
	p.holderTargets[h] += slots - p.target[r][h]
	p.usedSlots[r] += max(p.granted[r][h], slots) - max(p.granted[r][h], p.target[r][h])
	p.target[r][h] = slots
	p.changed[r][h] = true
}

func (p *planner) changes() []Change {
	var all []Change
	for r, runner := range p.runners {
		for h, holder := range p.holders {
			if !p.changed[r][h] {
				continue
			}
			all = append(all, Change{Runner: runner.ID, Holder: holder.Key, Target: p.target[r][h]})
		}
	}
	return all
}
