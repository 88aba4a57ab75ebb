package tbassign

import (
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbforecast"
	"tamarackbarrow/core/tbresource"
)

// Admissions come in bursts, when hundreds of steps wait on hundreds of workers. Summing all of that up for each new
// job would take the leader longer than the job's own commit. Each full plan therefore leaves a summary of what it
// could not place, and admissions only add to it what they have accepted since.

// classLoad sums up the waiting work and the room of one worker class.
type classLoad struct {
	// roomIsKnown is false while the leader can use less than half of the workers, for example right after a change of
	// leader. Nothing is predicted then.
	roomIsKnown bool
	short       []waitingWork
	bestEffort  []waitingWork
	// shortProcessors is what short tasks have, and freeProcessors what is free for whole short tasks.
	shortProcessors float64
	freeProcessors  float64
	// bestEffortProcessors is what best-effort tasks have or could have, at their effective share.
	bestEffortProcessors float64
	// longRunningWaiting is the processors that waiting long-running tasks request.
	longRunningWaiting float64
}

// waitingWork is the waiting work of a step or of an accepted job, in processor seconds.
type waitingWork struct {
	priority int
	// dataCentre is that of the callers if data centres have fair shares, and otherwise empty.
	dataCentre string
	// isLate is true for work that goes behind all work that can be on time, and latestStartMs orders work that is
	// alike in that (see compareWaiting).
	isLate        bool
	latestStartMs int64
	work          float64
	// starts is the number of starts that the start window bounds.
	starts int
}

// goesBefore reports whether the work goes before a new job, which starts at lateStartMs at the latest among late work.
func (w *waitingWork) goesBefore(own waitingWork, lateStartMs int64) bool {
	latestStartMs := own.latestStartMs
	if w.isLate {
		latestStartMs = lateStartMs
	}
	return w.priority < own.priority || w.priority == own.priority && w.latestStartMs <= latestStartMs
}

// workOfStep returns the work of tasks of a step that a plan has left waiting. It is 0 if it does not go before
// any useful work, or if no worker can do it.
func (p *planState) workOfStep(w *waitingStep, work float64) waitingWork {
	if w.lateness == tooLate || !workerRoom(p.room).canRun(w.job.WorkerClass, w.step, p.consideredShare) {
		work = 0
	}
	return waitingWork{
		priority: w.job.Priority, dataCentre: p.learner.dataCentreOf(w.job), isLate: w.lateness == late || w.postponed,
		latestStartMs: w.latestStartMs, work: work,
	}
}

func appendWork(all []waitingWork, w waitingWork) []waitingWork {
	if w.work <= 0 {
		return all
	}
	return append(all, w)
}

// workAhead returns the work that goes before a new job, which may be on time or late: that of higher priorities, and of
// the same priority what has to start earlier. While data centres take turns, no other one gets more meanwhile than the
// job's data centre has waiting.
func workAhead(all []waitingWork, own waitingWork, lateStartMs int64) tbforecast.Work {
	var sum tbforecast.Work
	type share struct {
		dataCentre string
		work       tbforecast.Work
	}
	var shares []share
	for _, w := range all {
		if !w.goesBefore(own, lateStartMs) {
			continue
		}
		into := &sum
		if w.priority == own.priority {
			i := slices.IndexFunc(shares, func(s share) bool { return s.dataCentre == w.dataCentre })
			if i < 0 {
				i = len(shares)
				shares = append(shares, share{dataCentre: w.dataCentre})
			}
			into = &shares[i].work
		}
		if w.isLate {
			into.Late += w.work
		} else {
			into.OnTime += w.work
		}
	}
	var ownShare tbforecast.Work
	for _, s := range shares {
		if s.dataCentre == own.dataCentre {
			ownShare = s.work
		}
	}
	for _, s := range shares {
		if s.dataCentre != own.dataCentre {
			s.work.OnTime = min(s.work.OnTime, ownShare.OnTime+own.work)
			s.work.Late = min(s.work.Late, ownShare.Late+own.work)
		}
		sum.OnTime += s.work.OnTime
		sum.Late += s.work.Late
	}
	return sum
}

// loadOf returns the summary of a class, or an empty one.
func (l *Learner) loadOf(class string) *classLoad {
	load := l.loads[class]
	if load == nil {
		load = &classLoad{}
		l.loads[class] = load
	}
	return load
}

// clearWaiting records that nothing is waiting.
func (l *Learner) clearWaiting() {
	for _, load := range l.loads {
		load.short, load.bestEffort, load.longRunningWaiting = nil, nil, 0
	}
}

// observeShortage keeps for the next decisions what a full plan has left waiting.
func (p *planState) observeShortage(steps []*waitingStep, plan *PlannedRuns) {
	f := p.learner.Features
	if !f.PredictedAdmission && !f.FairShares {
		return
	}
	placed := make(map[stepRef]int, len(plan.Runs))
	for _, r := range plan.Runs {
		placed[stepRefOf(r.Ref)]++
	}
	if f.PredictedAdmission {
		p.summarizeLoad(steps, placed)
	}
	if f.FairShares {
		p.noteShortQueues(steps, placed)
	}
}

// summarizeLoad replaces the summaries of all classes by what a full plan has left waiting. placed holds how many tasks
// of each step the plan has placed.
func (p *planState) summarizeLoad(steps []*waitingStep, placed map[stepRef]int) {
	clear(p.learner.loads)
	known := p.learner.workerCounts.get(p.now, p.state, p.fleet)
	for class, workers := range p.workersByClass {
		p.summarizeRoom(class, workers, known[class])
	}
	for class, tasks := range p.assignedShortTasks {
		p.learner.loadOf(class).shortProcessors = float64(tasks) * p.learner.shortDemands[class].millicores / 1000
	}
	for _, w := range steps {
		load := p.learner.loadOf(w.job.WorkerClass)
		waiting := w.job.WaitingTasks(w.occurrence, w.stepIndex) - placed[w.stepRef()]
		processors := float64(waiting) * float64(w.step.Need.MilliProcessors) / 1000
		work := processors * p.learner.RunTime(w.job, w.step).Seconds()
		switch {
		case w.step.LongRunning:
			if workerRoom(p.room).canRun(w.job.WorkerClass, w.step, p.consideredShare) {
				load.longRunningWaiting += processors
			}
		case w.step.BestEffort:
			waitingWork := p.workOfStep(w, work)
			if isWindowed(w.step) {
				waitingWork.starts = waiting
			}
			load.bestEffort = appendWork(load.bestEffort, waitingWork)
		default:
			load.short = appendWork(load.short, p.workOfStep(w, work))
		}
	}
}

// workerCountInterval is how long a count of all workers is used. Counting thousands of workers takes a considerable
// share of a plan.
const workerCountInterval = time.Second

// workerCounts holds the number of workers of each class that take tasks or soon will.
type workerCounts struct {
	countedAt time.Time
	// evacuationsChangedMs is tbflow.State.EvacuationsChangedMs of the state that was counted.
	evacuationsChangedMs int64
	byClass              map[string]int
}

func (c *workerCounts) get(now time.Time, s *tbflow.State, f *tbfleet.Fleet) map[string]int {
	changedMs := s.EvacuationsChangedMs()
	if c.byClass != nil && now.Sub(c.countedAt) < workerCountInterval && c.evacuationsChangedMs == changedMs {
		return c.byClass
	}
	c.countedAt, c.evacuationsChangedMs, c.byClass = now, changedMs, map[string]int{}
	for i := range f.Size() {
		if w := f.WorkerAt(i); w != nil && mayTakeTasks(s, w) {
			c.byClass[w.Class]++
		}
	}
	return c.byClass
}

// mayTakeTasks reports whether a worker takes tasks now or soon will. One that a new leader has not heard from yet, or
// that is avoided for a short time, counts.
func mayTakeTasks(s *tbflow.State, w *tbfleet.Worker) bool {
	return !w.Draining && !w.Unresponsive && !s.IsEvacuated(w.DataCentre)
}

// summarizeRoom sums up the room on the considered workers of a class, scaled to all of its workers. Those that cannot
// be used at the moment are expected to have as much room as the others.
func (p *planState) summarizeRoom(class string, workers []*workerState, known int) {
	load, demand := p.learner.loadOf(class), p.learner.shortDemands[class]
	// Workers may have come since all were counted.
	scale := max(1, float64(known)/float64(len(workers)))
	load.roomIsKnown = scale*p.consideredShare <= maxUnheardFactor
	bestEffortMillicores := int64(0)
	for _, r := range workers {
		load.freeProcessors += scale * demand.wholeSlots(r.free)
		bestEffortMillicores += max(0, r.unusedMillicores)
	}
	for key, millicores := range p.assignedMillicores {
		if key.class == class {
			bestEffortMillicores += millicores
		}
	}
	load.bestEffortProcessors = scale * effectiveProcessorShare * float64(bestEffortMillicores) / 1000
}

// maxUnheardFactor is the largest ratio of all workers to the usable ones at which the room is known.
const maxUnheardFactor = 2

// wholeSlots returns the processors of a free capacity that whole short tasks can use, or all of them if no short tasks
// are known.
func (d shortDemand) wholeSlots(free tbresource.Amount) float64 {
	if d.millicores <= 0 {
		return float64(max(0, free.MilliProcessors)) / 1000
	}
	return float64(d.slots(free)) * d.millicores / 1000
}

// assignedShort returns the processors of the assigned short tasks by worker class.
func assignedShort(s *tbflow.State) map[string]float64 {
	processors := map[string]float64{}
	for _, j := range s.Active() {
		if !hasShortStep(j) {
			continue
		}
		for k := range j.Tasks {
			for i := range j.Steps {
				if step := &j.Steps[i]; isShort(step) {
					processors[j.WorkerClass] += float64(j.AssignedTasks(k, i)) * float64(step.Need.MilliProcessors) / 1000
				}
			}
		}
	}
	return processors
}

// demandRate is the observed arrival of work, in processor seconds per second.
type demandRate struct {
	observedAt time.Time
	mean       float64
	// peak is the highest mean. It decays with shortPeakHalfLife.
	peak float64
}

// demandHalfLife is the time in which the weight of a job in the mean halves. It spans a few short jobs.
const demandHalfLife = 2 * time.Second

func decay(d, halfLife time.Duration) float64 { return math.Exp2(-d.Seconds() / halfLife.Seconds()) }

// observe adds the work of a job.
func (d *demandRate) observe(now time.Time, work float64) {
	elapsed := now.Sub(d.observedAt)
	d.mean = d.mean*decay(elapsed, demandHalfLife) + work*math.Ln2/demandHalfLife.Seconds()
	d.peak = max(d.peak*decay(elapsed, shortPeakHalfLife), d.mean)
	d.observedAt = now
}

// expected returns the processors that the work is expected to need.
func (d *demandRate) expected(now time.Time) float64 {
	return d.peak * decay(now.Sub(d.observedAt), shortPeakHalfLife)
}

// demandKey identifies the short work of one priority in a class.
type demandKey struct {
	class    string
	priority int
}

// expectedShort returns the processors that short work of a priority or a higher one is expected to need in a class.
func (l *Learner) expectedShort(now time.Time, class string, priority int) float64 {
	sum := 0.0
	for key, d := range l.shortArrivals {
		if key.class == class && key.priority <= priority {
			sum += d.expected(now)
		}
	}
	return sum
}

// observeArrival records that a short job is accepted.
func (l *Learner) observeArrival(now time.Time, class string, priority int, work float64) {
	key := demandKey{class, priority}
	d := l.shortArrivals[key]
	if d == nil {
		d = &demandRate{observedAt: now}
		l.shortArrivals[key] = d
	}
	d.observe(now, work)
}

// workOf returns the work of all tasks of one occurrence of a job, in processor seconds.
func workOf(l *Learner, j *tbflow.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		sum += float64(step.Count) * float64(step.Need.MilliProcessors) / 1000 * l.RunTime(j, step).Seconds()
	}
	return sum
}
