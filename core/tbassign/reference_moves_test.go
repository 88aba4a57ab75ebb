package tbassign

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// referenceBest is bestRelocation without caching between relocations.
func (g *rebalanceRound) referenceBest() relocation {
	var best relocation
	for _, class := range slices.Sorted(maps.Keys(g.classes)) {
		c := g.classes[class]
		for _, from := range c.mixedWorkers() {
			for _, to := range c.workers {
				if to != from && !to.inMove {
					c.referenceImprove(&best, from, to)
				}
			}
		}
	}
	return best
}

func (c *rebalanceClass) referenceImprove(best *relocation, from, to *rebalanceWorker) {
	before := c.referenceSuitability(from) + c.referenceSuitability(to)
	for _, t := range from.tasks {
		if !t.movable || !to.referenceCanHost(t, from) {
			continue
		}
		if t.step.Need.Fits(to.free) {
			c.referenceConsider(best, relocation{class: c, from: from, to: to, task: t}, before)
		}
		for _, u := range to.tasks {
			if u.movable && u.step.Image != t.step.Image && u.ref.Job != t.ref.Job && from.referenceCanHost(u, to) &&
				t.step.Need.Fits(to.free.Add(u.step.Need)) && u.step.Need.Fits(from.free.Add(t.step.Need)) {
				c.referenceConsider(best, relocation{class: c, from: from, to: to, task: t, back: u}, before)
			}
		}
	}
}

// referenceConsider applies a relocation, rates both workers and restores them.
func (c *rebalanceClass) referenceConsider(best *relocation, ch relocation, before float64) {
	from, to := *ch.from, *ch.to
	ch.from.tolerated, ch.to.tolerated = slices.Clone(from.tolerated), slices.Clone(to.tolerated)
	c.updateSums(ch)
	ch.gain = c.referenceSuitability(ch.from) + c.referenceSuitability(ch.to) - before
	*ch.from, *ch.to = from, to
	if ch.gain > best.gain {
		*best = ch
	}
}

func (c *rebalanceClass) referenceSuitability(r *rebalanceWorker) float64 {
	if r.reserved <= 0 {
		return 1
	}
	sum := 0.0
	for i, w := range c.weights {
		sum += w * r.tolerated[i] * r.tolerated[i]
	}
	return sum / (r.reserved * r.reserved)
}

func (r *rebalanceWorker) referenceCanHost(t *rebalanceTask, from *rebalanceWorker) bool {
	switch {
	case t.step.Gang || t.step.RackLocal:
		return false
	case t.step.Rack != "" && from.worker.Rack == t.step.Rack && r.worker.Rack != t.step.Rack:
		return false
	}
	return satisfiesConstraints(t.step, r.worker, r.spreadCounts[refOfStep(t.ref)])
}

// executeRound commits the relocations of one round as best chooses them.
func executeRound(g *rebalanceRound, best func() relocation) []Move {
	var moves []Move
	for range maxRelocationsPerRound {
		ch := best()
		if ch.gain < minGain {
			break
		}
		g.commit(ch)
		moves = append(moves, ch.moves()...)
	}
	return moves
}

// Caching between the relocations of a round must not change any of them.
func TestMovesMatchReference(t *testing.T) {
	moves := 0
	for seed := range uint64(120) {
		d := newRandomFixture(t, seed)
		for round := range 25 {
			d.now = d.now.Add(time.Duration(1000+d.rng.IntN(2500)) * time.Millisecond)
			d.commit(tbflow.PutConfig{})
			for range 1 + d.rng.IntN(5) {
				d.submitRandomJob()
			}
			if round%3 == 0 {
				d.endRandomRuns()
			}
			d.learnRandomSlope()
			d.commit(tbflow.Assign{Assignments: Plan(d.now, d.state, d.fleet, d.learner, d.rebalancer, 1000)})
			backlog := bestEffortBacklog(d.state, d.learner)
			build := func() *rebalanceRound {
				g := newRebalanceRound(d.now, d.state, d.fleet, d.learner, d.rebalancer.lastMoved, backlog)
				g.setWeights(backlog)
				g.selectTargets(0)
				return g
			}
			reference, cached := build(), build()
			want, got := executeRound(reference, reference.referenceBest), executeRound(cached, cached.bestRelocation)
			qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("seed %d, round %d", seed, round))
			moves += len(got)
			d.executeMoves(got)
		}
	}
	t.Logf("%d moves", moves)
	qt.Check(t, moves > 500, qt.IsTrue)
}

// On a large fleet, an unbounded round would block the leader for longer than the slack of a
// short job. Each round considers a limited number of target instances, and successive rounds
// cover all of them.
func TestRebalanceRoundIsBoundedOnLargeFleets(t *testing.T) {
	b, rng := newLoadedFixture(t, 500)
	b.submitMixedJobs(rng, 100)
	backlog := bestEffortBacklog(b.state, b.learner)
	seen := map[string]bool{}
	for round := range 3 {
		g := newRebalanceRound(b.now, b.state, b.fleet, b.learner, b.rebalancer.lastMoved, backlog)
		g.setWeights(backlog)
		g.selectTargets(round)
		qt.Check(t, g.classes["c"].workers, qt.HasLen, 500)
		qt.Check(t, g.classes["c"].targets, qt.HasLen, maxTargetsPerRound)
		for _, r := range g.classes["c"].targets {
			seen[r.worker.ID] = true
		}
	}
	qt.Check(t, seen, qt.HasLen, 500)
}
