package tbassign

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// fullBest is best without anything kept from one change to the next.
func (g *groups) fullBest() change {
	var best change
	for _, class := range slices.Sorted(maps.Keys(g.class)) {
		c := g.class[class]
		for _, from := range c.mixed() {
			for _, to := range c.rooms {
				if to != from && !to.busy {
					c.fullImprove(&best, from, to)
				}
			}
		}
	}
	return best
}

func (c *classGroups) fullImprove(best *change, from, to *groupRoom) {
	before := c.fullSuits(from) + c.fullSuits(to)
	for _, t := range from.tasks {
		if !t.movable || !to.fullAdmits(t, from) {
			continue
		}
		if t.step.Need.Fits(to.free) {
			c.fullConsider(best, change{class: c, from: from, to: to, task: t}, before)
		}
		for _, u := range to.tasks {
			if u.movable && u.step.Image != t.step.Image && u.ref.Job != t.ref.Job && from.fullAdmits(u, to) &&
				t.step.Need.Fits(to.free.Add(u.step.Need)) && u.step.Need.Fits(from.free.Add(t.step.Need)) {
				c.fullConsider(best, change{class: c, from: from, to: to, task: t, back: u}, before)
			}
		}
	}
}

// fullConsider carries a change out, looks at both rooms and restores them.
func (c *classGroups) fullConsider(best *change, ch change, before float64) {
	from, to := *ch.from, *ch.to
	ch.from.tolerant, ch.to.tolerant = slices.Clone(from.tolerant), slices.Clone(to.tolerant)
	c.apply(ch)
	ch.gain = c.fullSuits(ch.from) + c.fullSuits(ch.to) - before
	*ch.from, *ch.to = from, to
	if ch.gain > best.gain {
		*best = ch
	}
}

func (c *classGroups) fullSuits(r *groupRoom) float64 {
	if r.lasting <= 0 {
		return 1
	}
	sum := 0.0
	for i, w := range c.weights {
		sum += w * r.tolerant[i] * r.tolerant[i]
	}
	return sum / (r.lasting * r.lasting)
}

func (r *groupRoom) fullAdmits(t *groupTask, from *groupRoom) bool {
	switch {
	case t.step.Gang || t.step.RackLocal:
		return false
	case t.step.Rack != "" && from.worker.Rack == t.step.Rack && r.worker.Rack != t.step.Rack:
		return false
	}
	return admitted(t.step, r.worker, r.steps[refOfStep(t.ref)])
}

// changesOf carries out the changes of one round as best chooses them.
func changesOf(g *groups, best func() change) []Move {
	var moves []Move
	for range rebalanceSwaps {
		ch := best()
		if ch.gain < leastGain {
			break
		}
		g.carryOut(ch)
		moves = append(moves, ch.moves()...)
	}
	return moves
}

// What a round of moves keeps from one change to the next alters none of them.
func TestMovesAreThoseOfTheFullComputation(t *testing.T) {
	moves := 0
	for seed := range uint64(120) {
		d := newRandomDay(t, seed)
		for round := range 25 {
			d.now = d.now.Add(time.Duration(1000+d.rng.IntN(2500)) * time.Millisecond)
			d.commit(tbflow.PutConfig{})
			for range 1 + d.rng.IntN(5) {
				d.submitSome()
			}
			if round%3 == 0 {
				d.endSome()
			}
			d.learnSome()
			d.commit(tbflow.Assign{Runs: Plan(d.now, d.state, d.fleet, d.learn, d.group, 1000)})
			demand := waitingFill(d.state, d.learn)
			build := func() *groups {
				g := newGroups(d.now, d.state, d.fleet, d.learn, d.group.moved, demand)
				g.weigh(demand)
				g.aim(0)
				return g
			}
			full, kept := build(), build()
			want, got := changesOf(full, full.fullBest), changesOf(kept, kept.best)
			qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("seed %d, round %d", seed, round))
			moves += len(got)
			d.carryOut(got)
		}
	}
	t.Logf("%d moves", moves)
	qt.Check(t, moves > 500, qt.IsTrue)
}

// On a large fleet a round of moves would keep the leader busy for longer than a short
// job's slack. Each round tries a bounded number of instances, and all of them in turn.
func TestRoundOfMovesIsBoundedOnLargeFleets(t *testing.T) {
	b, rng := busyDay(t, 500)
	b.waitingSteps(rng, 100)
	demand := waitingFill(b.state, b.learn)
	seen := map[string]bool{}
	for round := range 3 {
		g := newGroups(b.now, b.state, b.fleet, b.learn, b.group.moved, demand)
		g.weigh(demand)
		g.aim(round)
		qt.Check(t, g.class["c"].rooms, qt.HasLen, 500)
		qt.Check(t, g.class["c"].targets, qt.HasLen, rebalanceTargets)
		for _, r := range g.class["c"].targets {
			seen[r.worker.ID] = true
		}
	}
	qt.Check(t, seen, qt.HasLen, 500)
}
