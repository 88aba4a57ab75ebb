package tbassign

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// referenceBest is bestRelocation without the cache and without the bound on the number of
// destinations.
func (rr *rebalanceRound) referenceBest() relocation {
	var best relocation
	for _, class := range slices.Sorted(maps.Keys(rr.classesByName)) {
		c := rr.classesByName[class]
		for _, from := range c.mixedWorkers() {
			for _, to := range c.workers {
				if to != from && !to.inRelocation {
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
		for _, other := range to.tasks {
			if other.movable && other.step.Image != t.step.Image && other.ref.Job != t.ref.Job && from.referenceCanHost(other, to) &&
				t.step.Need.Fits(to.free.Add(other.step.Need)) && other.step.Need.Fits(from.free.Add(t.step.Need)) {
				c.referenceConsider(best, relocation{class: c, from: from, to: to, task: t, swapTask: other}, before)
			}
		}
	}
}

// referenceConsider rates a relocation: it applies the relocation, rates both workers and restores
// them. If the gain of the relocation is higher than the gain of best, the relocation replaces
// best.
func (c *rebalanceClass) referenceConsider(best *relocation, rel relocation, before float64) {
	from, to := *rel.from, *rel.to
	rel.from.toleratedSums, rel.to.toleratedSums = slices.Clone(from.toleratedSums), slices.Clone(to.toleratedSums)
	c.updateSums(rel)
	rel.gain = c.referenceSuitability(rel.from) + c.referenceSuitability(rel.to) - before
	*rel.from, *rel.to = from, to
	if rel.gain > best.gain {
		*best = rel
	}
}

func (c *rebalanceClass) referenceSuitability(r *rebalanceWorker) float64 {
	if r.requestedMillicores <= 0 {
		return 1
	}
	sum := 0.0
	for i, w := range c.weights {
		sum += w * r.toleratedSums[i] * r.toleratedSums[i]
	}
	return sum / (r.requestedMillicores * r.requestedMillicores)
}

func (r *rebalanceWorker) referenceCanHost(t *rebalanceTask, from *rebalanceWorker) bool {
	switch {
	case t.step.Gang || t.step.RackLocal:
		return false
	case t.step.Rack != "" && from.worker.Rack == t.step.Rack && r.worker.Rack != t.step.Rack:
		return false
	}
	return satisfiesConstraints(t.step, r.worker, r.spreadCounts[stepRefOf(t.ref)])
}

// executeRound applies the relocations that nextRelocation returns in one round, and returns the
// moves of these relocations.
func executeRound(rr *rebalanceRound, nextRelocation func() relocation) []Move {
	var moves []Move
	for range maxRelocationsPerRound {
		rel := nextRelocation()
		if rel.gain < minGain {
			break
		}
		rr.apply(rel)
		moves = append(moves, rel.moves()...)
	}
	return moves
}

// The cache of relocations within a round must not change the moves.
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
			backlog := bestEffortBacklog(d.now, d.state, d.learner)
			newRound := func() *rebalanceRound {
				rr := newRebalanceRound(d.now, d.state, d.fleet, d.learner, d.rebalancer, backlog)
				rr.setWeights(backlog)
				rr.selectDestinations(0)
				return rr
			}
			reference, cached := newRound(), newRound()
			want, got := executeRound(reference, reference.referenceBest), executeRound(cached, cached.bestRelocation)
			qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("seed %d, round %d", seed, round))
			moves += len(got)
			d.executeMoves(got)
		}
	}
	t.Logf("%d moves", moves)
	qt.Check(t, moves > 500, qt.IsTrue)
}

// Without a bound, a round on a large fleet would block the leader for longer than the latency
// objective of a short job. Each round therefore considers a limited number of destinations.
// Successive rounds together cover all workers.
func TestRebalanceRoundIsBoundedOnLargeFleets(t *testing.T) {
	b, rng := newLoadedFixture(t, 500)
	b.submitMixedJobs(rng, 100)
	backlog := bestEffortBacklog(b.now, b.state, b.learner)
	seen := map[string]bool{}
	for round := range 3 {
		rr := newRebalanceRound(b.now, b.state, b.fleet, b.learner, b.rebalancer, backlog)
		rr.setWeights(backlog)
		rr.selectDestinations(round)
		qt.Check(t, rr.classesByName["c"].workers, qt.HasLen, 500)
		qt.Check(t, rr.classesByName["c"].destinations, qt.HasLen, maxDestinationsPerRound)
		for _, r := range rr.classesByName["c"].destinations {
			seen[r.worker.ID] = true
		}
	}
	qt.Check(t, seen, qt.HasLen, 500)
}
