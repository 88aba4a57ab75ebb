package tbplacement

import (
	"maps"
	"slices"
	"time"

	"tamarackbarrow/core/tbneighbour"
	"tamarackbarrow/core/tbstate"
)

// Config holds the parameters of the planner.
type Config struct {
	// LearnRunTimes enables classifying jobs as short or long and the share reserved for short jobs.
	// Without it, the planner treats all jobs as short, as the reference planner of benchmarks does.
	LearnRunTimes bool
	// ProtectServices makes the planner learn how much co-located tasks slow down services. It then
	// throttles, evicts or does not place tasks that slow them down. Benchmarks turn it off for
	// comparison.
	ProtectServices bool
	// MaxSlowdown is the largest accepted slowdown of a service, as a factor; 1 means no slowdown.
	// Above MaxSlowdown, a task on the same instance is throttled or evicted.
	MaxSlowdown float64
	// UnthrottleBelow is the slowdown of a service below which a throttled task on the same instance
	// may use all its processors again.
	UnthrottleBelow float64
	// MeasurementDelay is how long after throttling, unthrottling or evicting a task the
	// measurements show the effect.
	MeasurementDelay time.Duration
	// ShortBound is the run time up to which the planner treats a job as short.
	ShortBound time.Duration
	// MinShortShare is the smallest share of the capacity reserved for short jobs.
	MinShortShare float64
	// MaxShortShare is the largest share of the capacity reserved for short jobs.
	MaxShortShare float64
	// ShortHeadroom is the share reserved for short jobs as a multiple of the share that short jobs
	// use now.
	ShortHeadroom float64
	// ShareDecay is the time in which the share reserved for short jobs falls to about a third while
	// there are none. The time between plans has to be much shorter for this.
	ShareDecay time.Duration
	// MaxScanned is the largest number of queued jobs examined in one plan.
	MaxScanned int
	// MaxStarts is the largest number of tasks started in one plan.
	MaxStarts int
	// EvictionsPerSecond limits the evictions on all workers together. It is both the refill rate and
	// the capacity of a token bucket.
	EvictionsPerSecond float64
	// NominationTimeout is how long resources freed for an urgent job stay reserved for the job.
	NominationTimeout time.Duration
	// MinEvictionInterval is the shortest time between two evictions of the same job.
	MinEvictionInterval time.Duration
}

// DefaultConfig returns the parameters that the daemon uses.
func DefaultConfig() Config {
	return Config{
		LearnRunTimes: true, ProtectServices: true, MaxSlowdown: 1.12, UnthrottleBelow: 1.06, MeasurementDelay: 3 * time.Second,
		ShortBound:    30 * time.Second,
		MinShortShare: 0.02, MaxShortShare: 0.15, ShortHeadroom: 1.3, ShareDecay: 2 * time.Second,
		MaxScanned: 2000, MaxStarts: 64, EvictionsPerSecond: 20,
		NominationTimeout: 10 * time.Second, MinEvictionInterval: 30 * time.Second,
	}
}

// Planner plans starts and evictions. The state that it keeps between plans is not replicated; a
// new leader starts without that state.
type Planner struct {
	cfg Config
	// nominated maps an urgent job to the worker on which resources are being freed for it.
	nominated map[string]nomination
	// lastEvicted maps a job to the time of its last eviction.
	lastEvicted map[string]time.Time
	// evictionTokens is the level of the token bucket that limits evictions.
	evictionTokens float64
	lastPlan       time.Time
	// shortShare is the share of the capacity reserved for short jobs.
	shortShare   float64
	waitReasons  map[string]WaitReason
	interference *tbneighbour.Learner
	// throttled holds the jobs whose tasks are throttled to protect a service.
	throttled map[string]bool
	// lastActionAt maps a worker to when protectServices last throttled, unthrottled or evicted one
	// of the worker's tasks.
	lastActionAt map[string]time.Time
}

// nomination reserves resources on a worker for an urgent job until a deadline.
type nomination struct {
	worker string
	until  time.Time
}

// WaitReason is why the last plan did not start a queued job.
type WaitReason string

// Reasons for a job to stay queued.
const (
	// WaitNoWorkers means that no worker is in phase WorkerPresent, or that all such workers are in
	// backoff after failed tasks or in evacuated data centres.
	WaitNoWorkers WaitReason = "noWorkerPresent"
	// WaitFitsNoWorker means that the job exceeds the capacity of every worker that is in phase
	// WorkerPresent, not in backoff and not in an evacuated data centre.
	WaitFitsNoWorker     WaitReason = "fitsNoPresentWorker"
	WaitNoRoom           WaitReason = "noRoomNow"
	WaitQuota            WaitReason = "teamQuotaUsed"
	WaitWouldSlow        WaitReason = "wouldSlowAService"
	WaitReservedForShort WaitReason = "roomKeptForShortWork"
	WaitForEviction      WaitReason = "waitsForEviction"
	WaitNotYetPlanned    WaitReason = "notYetPlanned"
)

// New returns a planner without any history.
func New(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, nominated: map[string]nomination{}, lastEvicted: map[string]time.Time{},
		waitReasons: map[string]WaitReason{}, interference: tbneighbour.New(),
		throttled: map[string]bool{}, lastActionAt: map[string]time.Time{}, shortShare: cfg.MinShortShare,
	}
}

// WaitReason returns why a queued job waits, or WaitNotYetPlanned if the last plan did not examine
// the job.
func (p *Planner) WaitReason(job string) WaitReason {
	if reason, ok := p.waitReasons[job]; ok {
		return reason
	}
	return WaitNotYetPlanned
}

// ShortShare returns the share of the capacity currently reserved for short jobs, from 0 to 1.
func (p *Planner) ShortShare() float64 { return p.shortShare }

// Interference returns the learned interference of tasks with services.
func (p *Planner) Interference() *tbneighbour.Learner { return p.interference }

// Throttled returns the sorted ids of the jobs whose tasks may use only part of their processors.
func (p *Planner) Throttled() []string { return slices.Sorted(maps.Keys(p.throttled)) }

// Plan returns the starts and evictions for the state at now.
func (p *Planner) Plan(s *tbstate.State, now time.Time) []tbstate.Command {
	p.refillEvictionTokens(now)
	p.expireNominations(s, now)
	r := newRound(p, s, now)
	p.updateShortShare(r, now)
	r.protectServices()
	s.EachQueued(r.planJob)
	r.evictForShort()
	p.lastPlan = now
	return r.commands
}

func (p *Planner) refillEvictionTokens(now time.Time) {
	if p.lastPlan.IsZero() {
		p.evictionTokens = p.cfg.EvictionsPerSecond
		return
	}
	p.evictionTokens += now.Sub(p.lastPlan).Seconds() * p.cfg.EvictionsPerSecond
	p.evictionTokens = min(p.evictionTokens, p.cfg.EvictionsPerSecond)
}

func (p *Planner) expireNominations(s *tbstate.State, now time.Time) {
	for id, n := range p.nominated {
		j := s.Jobs[id]
		if j == nil || j.Phase != tbstate.JobQueued || now.After(n.until) {
			delete(p.nominated, id)
		}
	}
	for id, at := range p.lastEvicted {
		if now.Sub(at) > 2*p.cfg.MinEvictionInterval {
			delete(p.lastEvicted, id)
		}
	}
	clear(p.waitReasons)
}

// updateShortShare adjusts the share reserved for short jobs to ShortHeadroom times shortUse. It
// raises the share immediately and lowers the share gradually, within MinShortShare and MaxShortShare.
func (p *Planner) updateShortShare(r *round, now time.Time) {
	if !p.cfg.LearnRunTimes {
		p.shortShare = 0
		return
	}
	wanted := p.cfg.ShortHeadroom * r.shortUse.DominantShare(r.capacity)
	elapsed := now.Sub(p.lastPlan)
	if p.lastPlan.IsZero() {
		elapsed = 0
	}
	decayed := p.shortShare * (1 - min(1, elapsed.Seconds()/p.cfg.ShareDecay.Seconds()))
	p.shortShare = min(max(wanted, decayed, p.cfg.MinShortShare), p.cfg.MaxShortShare)
}

// durationClass tells whether a batch job is expected to run longer than ShortBound.
type durationClass bool

const (
	shortJob durationClass = false
	longJob  durationClass = true
)

// classOf returns longJob if RanLong is set or the current run has exceeded ShortBound. Otherwise it
// compares the measured mean run time of the kind with ShortBound. Without a mean, the job is long if
// most placed tasks of the kind have exceeded ShortBound. The job is also long if the declared run time
// of the kind is above ShortBound.
func (r *round) classOf(j *tbstate.Job) durationClass {
	if !r.p.cfg.LearnRunTimes {
		return shortJob
	}
	if j.RanLong || r.exceedsShortBound(j) {
		return longJob
	}
	bound := r.p.cfg.ShortBound
	if k := r.s.Kinds[j.Kind]; k != nil && k.FinishedJobs >= minRunsForMean {
		return durationClass(!r.isKnownShort(j.Kind))
	}
	if r.observedLongKinds[j.Kind] {
		return longJob
	}
	if b := r.s.Bundle(); b != nil {
		if kind, ok := b.Kind(j.Kind); ok {
			return durationClass(kind.ExpectedRunTime > bound)
		}
	}
	return shortJob
}

// isKnownShort reports whether the mean of enough finished runs shows that a kind is short.
//
// Only such kinds raise the share reserved for short jobs. Many simultaneous starts of a kind
// without a measured mean do not indicate that short jobs will follow.
func (r *round) isKnownShort(kind string) bool {
	k := r.s.Kinds[kind]
	return k != nil && k.FinishedJobs >= minRunsForMean && k.MeanMs <= float64(r.p.cfg.ShortBound.Milliseconds())
}

// exceedsShortBound reports whether the job is placed and has run longer than ShortBound.
func (r *round) exceedsShortBound(j *tbstate.Job) bool {
	return j.Phase.Placed() && r.nowMs-j.StartedMs > r.p.cfg.ShortBound.Milliseconds()
}

// minRunsForMean is the number of finished runs from which the mean run time of a kind is used.
const minRunsForMean = 3
