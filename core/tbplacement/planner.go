package tbplacement

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbneighbour"
	"tamarackbarrow/core/tbstate"
)

// Policy tunes the planner.
type Policy struct {
	// Learn is false for the baseline that trusts declared run times and keeps no share for short work.
	Learn bool
	// LearnNeighbours is false for the baseline that does not look at how tasks slow services.
	LearnNeighbours bool
	// SlowLimit is the slowdown of a service, 1 for none, above which tasks give way.
	SlowLimit float64
	// CalmLimit is the slowdown below which throttled tasks get their processors back.
	CalmLimit float64
	// MeasureLag is how long an action takes to show in the measurements.
	MeasureLag time.Duration
	// ShortBound is the run time up to which a job counts as short.
	ShortBound time.Duration
	// MinShortShare and MaxShortShare bound the capacity kept for short work.
	MinShortShare float64
	MaxShortShare float64
	// ShortHeadroom is the kept capacity as a multiple of what short work used lately.
	ShortHeadroom float64
	// ShareDecay is the time in which an unused kept share shrinks to a third.
	ShareDecay time.Duration
	// MaxScanned bounds the queued jobs looked at in one plan.
	MaxScanned int
	// MaxStarts bounds the starts of one plan.
	MaxStarts int
	// EvictionsPerSecond bounds evictions over the whole group of workers.
	EvictionsPerSecond float64
	// NominationTimeout is how long room freed for an urgent job is kept for it.
	NominationTimeout time.Duration
	// EvictPause is the least time between two evictions of one job.
	EvictPause time.Duration
}

// DefaultPolicy returns the policy of the daemon.
func DefaultPolicy() Policy {
	return Policy{
		Learn: true, LearnNeighbours: true, SlowLimit: 1.12, CalmLimit: 1.06, MeasureLag: 3 * time.Second,
		ShortBound:    30 * time.Second,
		MinShortShare: 0.02, MaxShortShare: 0.15, ShortHeadroom: 1.3, ShareDecay: 2 * time.Second,
		MaxScanned: 2000, MaxStarts: 64, EvictionsPerSecond: 20,
		NominationTimeout: 10 * time.Second, EvictPause: 30 * time.Second,
	}
}

// Planner keeps what has to be remembered between plans; all of it may be lost with the leader.
type Planner struct {
	policy Policy
	// nominated keeps the worker whose tasks give way for an urgent job.
	nominated map[string]nomination
	// lastEvicted is when a job was last told to stop.
	lastEvicted map[string]time.Time
	evictTokens float64
	lastPlan    time.Time
	shortShare  float64
	waiting     map[string]WaitReason
	neighbours  *tbneighbour.Learner
	// throttled holds jobs whose tasks were throttled for a service.
	throttled map[string]bool
	// actedAt is when a worker's tasks were last throttled, released or stopped for a service.
	actedAt map[string]time.Time
}

type nomination struct {
	worker string
	until  time.Time
}

// WaitReason is why a queued job did not start in the last plan.
type WaitReason string

// Reasons to wait.
const (
	WaitNoWorkers     WaitReason = "noWorkerPresent"
	WaitNeverFits     WaitReason = "fitsNoPresentWorker"
	WaitNoRoom        WaitReason = "noRoomNow"
	WaitQuota         WaitReason = "teamQuotaUsed"
	WaitWouldSlow     WaitReason = "wouldSlowAService"
	WaitKeptForShort  WaitReason = "roomKeptForShortWork"
	WaitForEviction   WaitReason = "waitsForEviction"
	WaitNotYetPlanned WaitReason = "notYetPlanned"
)

// New returns a planner that remembers nothing.
func New(policy Policy) *Planner {
	return &Planner{
		policy: policy, nominated: map[string]nomination{}, lastEvicted: map[string]time.Time{},
		waiting: map[string]WaitReason{}, neighbours: tbneighbour.New(),
		throttled: map[string]bool{}, actedAt: map[string]time.Time{}, shortShare: policy.MinShortShare,
	}
}

// Waiting returns why a queued job waits.
func (p *Planner) Waiting(job string) WaitReason {
	if reason, ok := p.waiting[job]; ok {
		return reason
	}
	return WaitNotYetPlanned
}

// ShortShare returns the share of capacity that is kept for short work at present.
func (p *Planner) ShortShare() float64 { return p.shortShare }

// Neighbours returns what is learned of how tasks slow services.
func (p *Planner) Neighbours() *tbneighbour.Learner { return p.neighbours }

// Throttled returns the jobs whose tasks may use only part of their processors, in order.
func (p *Planner) Throttled() []string { return slices.Sorted(maps.Keys(p.throttled)) }

// Plan returns the starts and evictions that the state asks for at now.
func (p *Planner) Plan(s *tbstate.State, now time.Time) []tbstate.Command {
	p.refill(now)
	p.dropOldNominations(s, now)
	r := newRound(p, s, now)
	p.updateShortShare(r, now)
	r.protectServices()
	s.EachQueued(r.consider)
	r.makeRoomForShort()
	p.lastPlan = now
	return r.commands
}

func (p *Planner) refill(now time.Time) {
	if p.lastPlan.IsZero() {
		p.evictTokens = p.policy.EvictionsPerSecond
		return
	}
	p.evictTokens += now.Sub(p.lastPlan).Seconds() * p.policy.EvictionsPerSecond
	p.evictTokens = min(p.evictTokens, p.policy.EvictionsPerSecond)
}

func (p *Planner) dropOldNominations(s *tbstate.State, now time.Time) {
	for id, n := range p.nominated {
		j := s.Jobs[id]
		if j == nil || j.Phase != tbstate.JobQueued || now.After(n.until) {
			delete(p.nominated, id)
		}
	}
	for id, at := range p.lastEvicted {
		if now.Sub(at) > 2*p.policy.EvictPause {
			delete(p.lastEvicted, id)
		}
	}
	clear(p.waiting)
}

// updateShortShare follows the use by short work: up at once, down slowly.
func (p *Planner) updateShortShare(r *round, now time.Time) {
	if !p.policy.Learn {
		p.shortShare = 0
		return
	}
	used := p.policy.ShortHeadroom * r.shortUse.Share(r.capacity)
	elapsed := now.Sub(p.lastPlan)
	if p.lastPlan.IsZero() {
		elapsed = 0
	}
	decayed := p.shortShare * (1 - min(1, elapsed.Seconds()/p.policy.ShareDecay.Seconds()))
	p.shortShare = min(max(used, decayed, p.policy.MinShortShare), p.policy.MaxShortShare)
}

// class tells short jobs from long ones.
type class bool

const (
	shortJob class = false
	longJob  class = true
)

// classOf uses what was learned of the kind, then what is seen of its running tasks, then what was declared.
func (r *round) classOf(j *tbstate.Job) class {
	if !r.p.policy.Learn {
		return shortJob
	}
	if j.LongClass || r.outran(j) {
		return longJob
	}
	bound := r.p.policy.ShortBound
	if k := r.s.Kinds[j.Kind]; k != nil && k.Runs >= minRunsToTrust {
		return class(!r.knownShort(j.Kind))
	}
	if r.outrunKinds[j.Kind] {
		return longJob
	}
	if b := r.s.Bundle(); b != nil {
		if kind, ok := b.Kind(j.Kind); ok {
			return class(kind.ExpectedRunTime > bound)
		}
	}
	return shortJob
}

// knownShort reports whether finished runs show that a kind is short.
//
// Only such kinds build up the kept share: when many jobs of unknown kinds start
// at once, nothing says that short work will follow them.
func (r *round) knownShort(kind string) bool {
	k := r.s.Kinds[kind]
	return k != nil && k.Runs >= minRunsToTrust && k.MeanMs <= float64(r.p.policy.ShortBound.Milliseconds())
}

// outran reports whether a running task has taken longer than any short one.
func (r *round) outran(j *tbstate.Job) bool {
	return j.Phase.Placed() && r.s.NowMs-j.StartedMs > r.p.policy.ShortBound.Milliseconds()
}

// minRunsToTrust is the number of finished runs from which the mean of a kind counts.
const minRunsToTrust = 3
