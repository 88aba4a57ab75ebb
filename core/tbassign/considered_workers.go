package tbassign

import (
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Thousands of tasks have to be started each second on thousands of workers. If each plan compared
// its steps with all workers, the cost of a task would grow with the fleet, and the leader would
// spend most of its time on plans. A plan therefore considers a bounded number of workers. The next
// plan continues behind them, so that a few plans together consider the whole fleet. A placement
// among hundreds of workers is nearly as good as one among thousands.

// maxPlanWorkers is the largest number of workers of each class that a plan considers, apart from
// workers that its steps or reservations name.
const maxPlanWorkers = 512

// planBuffers holds memory that one plan after another uses.
type planBuffers struct {
	// nextIndex is the index in the fleet at which the next plan begins.
	nextIndex    int
	states       []workerState
	values       []float64
	scores       []float64
	usesHeadroom []bool
	takesLarge   []bool
	unverified   []bool
}

// takeValues returns n values, which the next plan reuses.
func (b *planBuffers) takeValues(n int) []float64 {
	b.values = slices.Grow(b.values[:0], n)
	return b.values[:n]
}

// addWorkers adds the usable workers that the plan considers for the given steps.
//
// On a fleet of more than maxPlanWorkers, these are up to maxPlanWorkers of each class that the
// steps need, in order of their IDs from where the last plan stopped. In addition, they are the
// workers in the racks of the steps, those of bound tasks, and those on which capacity is reserved.
func (p *planState) addWorkers(f *tbfleet.Fleet, steps []*waitingStep) {
	size := f.Size()
	b := &p.learner.planBuffers
	if cap(b.states) < size {
		b.states = make([]workerState, 0, size)
	}
	b.states = b.states[:0]
	p.consideredShare = 1
	if size <= maxPlanWorkers {
		for i := range size {
			p.addWorker(f, f.WorkerAt(i))
		}
		return
	}
	classes, racks := map[string]bool{}, map[string]bool{}
	for _, w := range steps {
		classes[w.job.WorkerClass] = true
		if w.step.Rack != "" {
			racks[w.step.Rack] = true
		}
	}
	named := p.addNamedWorkers(f, racks)
	counts, fullClasses, scanned := map[string]int{}, 0, 0
	for ; scanned < size && fullClasses < len(classes); scanned++ {
		w := f.WorkerAt((b.nextIndex + scanned) % size)
		if w == nil || !classes[w.Class] || named[w] || counts[w.Class] == maxPlanWorkers || !p.addWorker(f, w) {
			continue
		}
		if counts[w.Class]++; counts[w.Class] == maxPlanWorkers {
			fullClasses++
		}
	}
	b.nextIndex = (b.nextIndex + scanned) % size
	p.consideredShare = float64(scanned) / float64(size)
}

// addNamedWorkers adds the workers in the given racks and those with reserved capacity, and returns
// them.
func (p *planState) addNamedWorkers(f *tbfleet.Fleet, racks map[string]bool) map[*tbfleet.Worker]bool {
	named := map[*tbfleet.Worker]bool{}
	add := func(w *tbfleet.Worker) {
		if w != nil && !named[w] {
			named[w] = true
			p.addWorker(f, w)
		}
	}
	for _, r := range p.rebalancer.reservations {
		add(f.Worker(r.workerID))
	}
	for id := range p.learner.lookAhead.reserved {
		add(f.Worker(id))
	}
	for _, b := range p.bound {
		for _, w := range f.BoundWorkers(p.state, b.ref) {
			add(w)
		}
	}
	for i := 0; len(racks) > 0 && i < f.Size(); i++ {
		if w := f.WorkerAt(i); w != nil && racks[w.Rack] {
			add(w)
		}
	}
	return named
}

// unknownStrayTimeout is how long a stray of an unknown task may occupy capacity. The worker has then been
// told to stop it many times, so that the entry names no run.
const unknownStrayTimeout = 10 * time.Second

// whyExcluded returns the reason why no plan may use a worker now, or an empty string. A worker that does not refuse tasks
// that exceed its capacity has to have reported its capacity lately.
func whyExcluded(now time.Time, s *tbflow.State, f *tbfleet.Fleet, w *tbfleet.Worker) string {
	if reason := f.WhyUnusable(w, now); reason != tbfleet.NotUnusable {
		return reason.String()
	}
	return whyUnsuited(now, s, f, w)
}

// whyUnsuited is whyExcluded without the reasons that the fleet knows.
func whyUnsuited(now time.Time, s *tbflow.State, f *tbfleet.Fleet, w *tbfleet.Worker) string {
	switch {
	case s.IsEvacuated(w.DataCentre):
		return "evacuated"
	case !s.Config.EnforcesCapacity(w.Class) && !f.KnowsCapacity(w, now):
		return "capacityUnknown"
	}
	return ""
}

// CountWorkers returns the number of workers that plans may use now, and that of the registered ones that they may not, by
// reason.
func CountWorkers(now time.Time, s *tbflow.State, f *tbfleet.Fleet) (usable int, excluded map[string]int) {
	excluded = map[string]int{}
	for i := range f.Size() {
		w := f.WorkerAt(i)
		if w == nil {
			continue
		}
		if why := whyExcluded(now, s, f, w); why != "" {
			excluded[why]++
		} else {
			usable++
		}
	}
	return usable, excluded
}

// addWorker adds a worker and returns true, if the worker is registered and a plan may use it.
func (p *planState) addWorker(f *tbfleet.Fleet, w *tbfleet.Worker) bool {
	if w == nil || whyExcluded(p.now, p.state, f, w) != "" {
		return false
	}
	r := p.newWorkerState(w)
	if r == nil {
		return false
	}
	if r.classUse = p.classUse[w.Class]; r.classUse == nil {
		r.classUse = &classUse{}
		p.classUse[w.Class] = r.classUse
	}
	r.classUse.add(r)
	r.classIndex = len(p.workersByClass[w.Class])
	p.workersByClass[w.Class] = append(p.workersByClass[w.Class], r)
	return true
}

// newWorkerState returns a worker with its free capacity, or nil if that is unknown.
func (p *planState) newWorkerState(w *tbfleet.Worker) *workerState {
	use := p.state.Usage(w.ID)
	for _, stray := range w.Strays {
		step := p.state.StepOf(stray.Ref)
		switch {
		case step != nil:
			use.Add(step)
		case p.now.Sub(stray.Since) <= unknownStrayTimeout:
			// The stray occupies an unknown capacity.
			return nil
		}
	}
	b := &p.learner.planBuffers
	b.states = b.states[:len(b.states)+1]
	r := &b.states[len(b.states)-1]
	*r = workerState{
		worker: w, free: w.Capacity.Sub(use.Reserved),
		unusedMillicores:  w.Capacity.MilliProcessors - use.BestEffortMilliProcessors,
		longRunningCounts: r.longRunningCounts[:0], margins: r.margins[:0], plannedBestEffort: r.plannedBestEffort[:0],
		harmlessSum: math.NaN(), slowPenalty: p.learner.slowPenalty(p.now, w.ID),
		bestEffortMillicores: use.BestEffortMilliProcessors,
	}
	return r
}
