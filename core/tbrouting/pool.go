package tbrouting

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Strategy is a load-balancing algorithm among the runners with a free slot.
type Strategy string

// Values of Strategy.
const (
	// LeastLoaded picks the runner with the smallest share of its slots in use;
	// one in the same data centre wins a tie.
	LeastLoaded Strategy = "leastLoaded"
	// TwoChoices picks the less loaded of two random runners.
	TwoChoices Strategy = "twoChoices"
	// Random picks a random runner.
	Random Strategy = "random"
)

// Policy holds the parameters of a Pool.
type Policy struct {
	Strategy Strategy
	// EjectAfterFailures is the number of failures in a row that ejects a runner.
	EjectAfterFailures int
	// FirstEjection is the duration of a runner's first ejection. Each further ejection without a
	// success in between is twice as long as the last, up to MaxEjection.
	FirstEjection time.Duration
	MaxEjection   time.Duration
	// MaxEjectedShare bounds the share of the pool that is ejected at the same time.
	MaxEjectedShare float64
}

// DefaultPolicy returns the policy that the daemon uses.
func DefaultPolicy() Policy {
	return Policy{
		Strategy: LeastLoaded, EjectAfterFailures: 3,
		FirstEjection: time.Second, MaxEjection: 30 * time.Second, MaxEjectedShare: 0.34,
	}
}

// Runner is a backend server of the pool. It holds the number of slots that this entry may use and
// the number in use.
type Runner struct {
	ID          string
	Incarnation uint64
	Address     string
	DataCentre  string
	// Available is false while the runner is absent or draining.
	Available bool
	// SlotLimit is the number of slots that this entry may use.
	SlotLimit int
	// InUse is the number of requests that occupy, or may still occupy, a slot.
	InUse int

	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
}

// FreeSlots returns the number of unused slots of the runner.
func (r *Runner) FreeSlots() int { return max(0, r.SlotLimit-r.InUse) }

// Ejected reports whether the runner gets no requests at now because it kept failing.
func (r *Runner) Ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// Pool is the set of runners of one service; New returns one.
type Pool struct {
	policy     Policy
	dataCentre string
	rng        *rand.Rand
	runners    []*Runner
}

// New returns an empty pool for an entry in dataCentre; rng decides random choices.
func New(policy Policy, dataCentre string, rng *rand.Rand) *Pool {
	return &Pool{policy: policy, dataCentre: dataCentre, rng: rng}
}

// Put adds a runner or replaces the one with the same id.
func (p *Pool) Put(r *Runner) {
	p.Remove(r.ID)
	p.runners = append(p.runners, r)
}

// Remove removes the runner with that id, if there is one.
func (p *Pool) Remove(id string) {
	p.runners = slices.DeleteFunc(p.runners, func(r *Runner) bool { return r.ID == id })
}

// Get returns the runner with that id, or nil.
func (p *Pool) Get(id string) *Runner {
	i := slices.IndexFunc(p.runners, func(r *Runner) bool { return r.ID == id })
	if i < 0 {
		return nil
	}
	return p.runners[i]
}

// Runners returns all runners of the pool.
func (p *Pool) Runners() []*Runner { return p.runners }

// TotalSlots returns the sum of SlotLimit over all available runners. It includes slots in use and
// ejected runners.
func (p *Pool) TotalSlots() int {
	total := 0
	for _, r := range p.runners {
		if r.Available {
			total += r.SlotLimit
		}
	}
	return total
}

// FreeSlots returns the number of unused slots of all available runners that are not ejected at
// now.
func (p *Pool) FreeSlots(now time.Time) int {
	total := 0
	for _, r := range p.runners {
		if r.Available && !r.Ejected(now) {
			total += r.FreeSlots()
		}
	}
	return total
}

// Pick returns an available runner with a free slot whose id is not in avoid, or nil if there is none.
func (p *Pool) Pick(now time.Time, avoid []string) *Runner {
	var candidates []*Runner
	for _, r := range p.runners {
		if r.Available && r.FreeSlots() > 0 && !r.Ejected(now) && !slices.Contains(avoid, r.ID) {
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
		if p.isBetter(b, a) {
			return b
		}
		return a
	}
	start := p.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		// The random start spreads ties over all runners.
		if r := candidates[(start+i)%len(candidates)]; p.isBetter(r, best) {
			best = r
		}
	}
	return best
}

// isBetter reports whether a has a smaller share of its slots in use than b or,
// with equal shares, whether only a is in the data centre of this entry.
func (p *Pool) isBetter(a, b *Runner) bool {
	loadA, loadB := a.InUse*b.SlotLimit, b.InUse*a.SlotLimit
	if loadA != loadB {
		return loadA < loadB
	}
	return a.DataCentre == p.dataCentre && b.DataCentre != p.dataCentre
}

// ReportSuccess resets the counts of consecutive failures and ejections of a runner.
func (p *Pool) ReportSuccess(r *Runner) {
	r.consecutiveFailures = 0
	r.consecutiveEjections = 0
}

// ReportFailure counts a failure of a runner and reports whether the runner is ejected for it.
//
// If nearly all runners fail, the cause is elsewhere, and sending all requests to the few healthy
// runners would overload them. Therefore MaxEjectedShare bounds the share of ejected runners.
func (p *Pool) ReportFailure(r *Runner, now time.Time) bool {
	r.consecutiveFailures++
	if r.consecutiveFailures < p.policy.EjectAfterFailures || r.Ejected(now) {
		return false
	}
	ejected := 1
	for _, other := range p.runners {
		if other.Ejected(now) {
			ejected++
		}
	}
	if float64(ejected) > p.policy.MaxEjectedShare*float64(len(p.runners)) {
		return false
	}
	ejection := min(p.policy.FirstEjection<<min(r.consecutiveEjections, 10), p.policy.MaxEjection)
	r.consecutiveEjections++
	r.consecutiveFailures = 0
	r.ejectedUntil = now.Add(ejection)
	return true
}
