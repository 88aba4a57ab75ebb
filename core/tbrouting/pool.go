package tbrouting

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Strategy is how a runner is chosen among those with a free slot.
type Strategy string

// Strategies of choice.
const (
	// LeastLoaded takes the runner with the smallest used share, near ones first.
	LeastLoaded Strategy = "leastLoaded"
	// TwoChoices takes the less loaded of two random runners.
	TwoChoices Strategy = "twoChoices"
	// Random takes any runner.
	Random Strategy = "random"
)

// Policy tunes a pool.
type Policy struct {
	Strategy Strategy
	// EjectAfter is the number of failures in a row that ejects a runner.
	EjectAfter int
	EjectFirst time.Duration
	EjectMax   time.Duration
	// EjectShare bounds the share of the pool that is ejected at once.
	EjectShare float64
}

// DefaultPolicy returns the policy of the daemon.
func DefaultPolicy() Policy {
	return Policy{
		Strategy: LeastLoaded, EjectAfter: 3,
		EjectFirst: time.Second, EjectMax: 30 * time.Second, EjectShare: 0.34,
	}
}

// Runner is a backend server as this entry uses it.
type Runner struct {
	ID          string
	Incarnation uint64
	Address     string
	DataCentre  string
	// Available is false while the runner is absent or leaving.
	Available bool
	// Limit is the number of slots that this entry may use.
	Limit int
	// InUse counts requests that may occupy a slot.
	InUse int

	failures     int
	ejections    int
	ejectedUntil time.Time
}

// Free returns the number of slots that may be used now.
func (r *Runner) Free() int { return max(0, r.Limit-r.InUse) }

// Ejected reports whether the runner gets no work at now because it failed.
func (r *Runner) Ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// Pool holds the runners of one service.
type Pool struct {
	policy     Policy
	dataCentre string
	rng        *rand.Rand
	runners    []*Runner
}

// New returns an empty pool for an entry in dataCentre.
func New(policy Policy, dataCentre string, rng *rand.Rand) *Pool {
	return &Pool{policy: policy, dataCentre: dataCentre, rng: rng}
}

// Put adds a runner or replaces one of the same id.
func (p *Pool) Put(r *Runner) {
	p.Remove(r.ID)
	p.runners = append(p.runners, r)
}

// Remove takes a runner out.
func (p *Pool) Remove(id string) {
	p.runners = slices.DeleteFunc(p.runners, func(r *Runner) bool { return r.ID == id })
}

// Get returns the runner of that id, or nil.
func (p *Pool) Get(id string) *Runner {
	i := slices.IndexFunc(p.runners, func(r *Runner) bool { return r.ID == id })
	if i < 0 {
		return nil
	}
	return p.runners[i]
}

// Runners returns all runners of the pool.
func (p *Pool) Runners() []*Runner { return p.runners }

// Limit returns the number of slots that this entry may use in all.
func (p *Pool) Limit() int {
	sum := 0
	for _, r := range p.runners {
		if r.Available {
			sum += r.Limit
		}
	}
	return sum
}

// Free returns the number of slots that could be used now.
func (p *Pool) Free(now time.Time) int {
	sum := 0
	for _, r := range p.runners {
		if r.Available && !r.Ejected(now) {
			sum += r.Free()
		}
	}
	return sum
}

// Pick chooses a runner with a free slot that is not in avoid, or nil.
func (p *Pool) Pick(now time.Time, avoid []string) *Runner {
	var candidates []*Runner
	for _, r := range p.runners {
		if r.Available && r.Free() > 0 && !r.Ejected(now) && !slices.Contains(avoid, r.ID) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	switch p.policy.Strategy {
	case Random:
		return candidates[p.rng.IntN(len(candidates))]
	case TwoChoices:
		a := candidates[p.rng.IntN(len(candidates))]
		b := candidates[p.rng.IntN(len(candidates))]
		if p.better(b, a) {
			return b
		}
		return a
	}
	start := p.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		// Starting anywhere spreads ties over all runners.
		if r := candidates[(start+i)%len(candidates)]; p.better(r, best) {
			best = r
		}
	}
	return best
}

// better compares the used share first, then the distance.
func (p *Pool) better(a, b *Runner) bool {
	loadA, loadB := a.InUse*b.Limit, b.InUse*a.Limit
	if loadA != loadB {
		return loadA < loadB
	}
	return a.DataCentre == p.dataCentre && b.DataCentre != p.dataCentre
}

// NoteSuccess ends a row of failures.
func (p *Pool) NoteSuccess(r *Runner) {
	r.failures = 0
	r.ejections = 0
}

// NoteFailure counts a failure and reports whether it ejects the runner.
//
// The share of ejected runners is bounded: when nearly all fail, the cause is
// elsewhere, and working with the few that look healthy would crush them.
func (p *Pool) NoteFailure(r *Runner, now time.Time) bool {
	r.failures++
	if r.failures < p.policy.EjectAfter || r.Ejected(now) {
		return false
	}
	ejected := 1
	for _, other := range p.runners {
		if other.Ejected(now) {
			ejected++
		}
	}
	if float64(ejected) > p.policy.EjectShare*float64(len(p.runners)) {
		return false
	}
	pause := min(p.policy.EjectFirst<<min(r.ejections, 10), p.policy.EjectMax)
	r.ejections++
	r.failures = 0
	r.ejectedUntil = now.Add(pause)
	return true
}
