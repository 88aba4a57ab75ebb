package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// Fleet is the leader's view of all workers.
type Fleet struct {
	terms   Terms
	token   uint64
	workers map[string]*Worker
	// ordered holds the same workers in order of their ids.
	ordered []*Worker
	// addressed holds the workers by their address, in order of their ids; some are not known.
	addressed map[string][]*Worker
	// serial is at least the highest serial of the workers that were forgotten.
	serial uint64
	// droppedAt is when a worker was dropped whose orders may still be under way.
	droppedAt map[string]time.Time
	// failing names the worker on which each failing job failed first.
	failing map[string]string
	// unheard holds the looks under way at workers that are not heard; turn is the index of
	// the worker that was looked at last for a place that became free.
	unheard map[lookID]bool
	turn    int
	out     Output
}

// Worker is the leader's view of one life of a worker.
type Worker struct {
	Report
	// HeardAt is the time of the last sign of life.
	HeardAt time.Time
	// Failures counts failed runs and refused orders since the last run that ended well.
	Failures int
	// AvoidUntil is the time before which the worker gets no new tasks.
	AvoidUntil time.Time
	// Silent is true while the worker does not answer looks.
	Silent bool

	// known is true while the worker's address and capacity are those of a life that may be alive.
	known bool
	// adopted is true once a look of this leader was answered.
	adopted bool
	// replaced is true once another worker has the address: it refuses orders that name this
	// one, and an id that was replaced does not come back.
	replaced bool
	// serial is the low part of the token: of two orders to one id, a worker that has seen the
	// higher serial refuses the lower one. It never falls, also when the worker was forgotten
	// in between.
	serial uint64
	// fence is true until a look has fenced off orders that were meant for an earlier life.
	fence bool
	// clock is the newest reading of the worker's clock.
	clock clockReading
	// grantedAt is when this leader last sent an order that renews the lease, to whichever life.
	grantedAt time.Time
	// leaseEnd is the end of the lease that was ordered last, on the worker's clock.
	leaseEnd int64
	// lapsesAt is when every lease has surely ended that any leader granted, on the leader's clock.
	lapsesAt time.Time
	// seen is the last end that is recorded, and proposed the last one that is proposed to be.
	seen     uint64
	proposed uint64
	// noted is the last end that the worker knows to be recorded.
	noted uint64
	// looking is true while a look is under way; retryAt is the earliest time of the next one.
	looking bool
	retryAt time.Time
	// naming is true while a look with the present serial that names ends may still be carried
	// out, and overtaken once an order got a higher serial than the look that is under way.
	naming    bool
	overtaken bool
	// unnamed is the number of recorded ends that the last list still showed.
	unnamed int
	runs    map[tbflow.TaskRef]*Run
}

// Run is one run that a worker has, or may have.
type Run struct {
	Run        uint64
	Phase      RunPhase
	Checkpoint string
	Percent    int
	Reading    int64
	// ReadAt is the time of the last report.
	ReadAt time.Time
	// MovedAt is when the progress last changed, or when the run last was slowed by order.
	MovedAt time.Time
	// Pace is the ordered share of speed in percent. An earlier leader may have ordered another
	// one while PaceUnknown is true.
	Pace        int
	PaceUnknown bool

	// pacedAt is when the pace was last ordered, and paceOpen true until that is confirmed.
	pacedAt   time.Time
	paceOpen  bool
	latePaces []latePace

	// born is the earlier life under which the state holds the run, or 0 for the present one.
	born int64
	// listed is true once a list of the life that the order meant showed the run.
	listed bool
	// sentAt is when the start was ordered, and settledAt when it was last known to have been carried out.
	sentAt    time.Time
	settledAt time.Time
	// stopWish is true once the run is to be stopped; stopAt is the last order to do so and
	// stopAcked when the worker first confirmed one.
	stopWish  bool
	stopAt    time.Time
	stopAcked time.Time
}

// RunPhase is what is known of a run at its worker.
type RunPhase uint8

// Phases of a run at its worker.
const (
	// RunUnknown is a run that an earlier leader ordered.
	RunUnknown RunPhase = iota
	// RunOrdered means that the order is under way.
	RunOrdered
	// RunDoubtful means that the order was not answered and may still be carried out.
	RunDoubtful
	RunGoingOn
	// RunEnding means that its end is listed and waits to be recorded.
	RunEnding
)

// serialBits is the part of a token that holds the serial, which leaves 25 bits for the leader's
// term in a number that JSON readers keep exactly.
const serialBits = 28

// FullPace is the pace of a run at its start, in percent.
const FullPace = 100

// New returns a fleet for a leader whose token is higher than that of any earlier one.
func New(terms Terms, token uint64) *Fleet {
	return &Fleet{terms: terms, token: token, workers: map[string]*Worker{}, addressed: map[string][]*Worker{}, droppedAt: map[string]time.Time{}, failing: map[string]string{}, unheard: map[lookID]bool{}}
}

// clockDisagreement bounds how far the times of day of two leaders are apart, steps included.
const clockDisagreement = 5 * time.Second

// TakeOver notes the runs that an earlier leader ordered.
func (f *Fleet) TakeOver(now time.Time, s *tbflow.State) {
	for id, r := range s.Workers {
		w := f.worker(id)
		w.Born, w.seen, w.proposed, w.Draining = r.Born, r.Seen, r.Seen, r.Draining
		if r.Address != "" {
			f.readdress(w, r.Address)
			w.Class, w.DataCentre, w.Rack = r.Class, r.DataCentre, r.Rack
			w.Labels, w.Capacity = r.Labels, r.Capacity
			// It gets tasks once it has answered a look or sent a report.
			w.known, w.fence = true, true
			w.HeardAt = now.Add(-f.terms.HeartbeatSilence)
		}
	}
	for _, id := range s.BusyWorkers() {
		w := f.worker(id)
		w.lapsesAt = now.Add(f.lapse(f.terms.LongestLease))
		s.EachRun(id, func(ref tbflow.TaskRef, t *tbflow.Task) {
			age := max(0, time.Duration(s.NowMs-t.AssignedMs)*time.Millisecond-clockDisagreement)
			run := &Run{Run: t.Run, Checkpoint: t.Checkpoint, Pace: FullPace, sentAt: now.Add(-age)}
			if step := s.StepOf(ref); step != nil {
				run.PaceUnknown = step.Fills
			}
			if t.Born < w.Born {
				run.Phase, run.born = RunDoubtful, t.Born
			}
			w.runs[ref] = run
		})
	}
}

// lapse returns how long a lease of length d on a slow clock may last.
func (f *Fleet) lapse(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-f.terms.ClockRateBound)) + 50*time.Millisecond
}

func (f *Fleet) worker(id string) *Worker {
	w := f.workers[id]
	if w == nil {
		w = &Worker{Report: Report{ID: id}, serial: f.serial, runs: map[tbflow.TaskRef]*Run{}}
		_, w.fence = f.droppedAt[id]
		f.workers[id] = w
		at, _ := f.find(id)
		f.ordered = slices.Insert(f.ordered, at, w)
	}
	return w
}

// find returns where a worker is, or would be, in the order of ids.
func (f *Fleet) find(id string) (int, bool) {
	return findID(f.ordered, id)
}

// drop forgets a worker; a life that comes back under its id counts as a later one.
func (f *Fleet) drop(now time.Time, w *Worker) {
	if at, ok := f.find(w.ID); ok {
		f.ordered = slices.Delete(f.ordered, at, at+1)
	}
	delete(f.workers, w.ID)
	f.readdress(w, "")
	f.droppedAt[w.ID] = now
	f.serial = max(f.serial, w.serial+1)
}

// Take returns what has to be done since the last call and clears it.
func (f *Fleet) Take() Output {
	out := f.out
	f.out = Output{}
	return out
}

// Worker returns the view of a worker, or nil.
func (f *Fleet) Worker(id string) *Worker {
	if w := f.workers[id]; w != nil && w.known {
		return w
	}
	return nil
}

// Workers returns all known workers in order of their ids.
func (f *Fleet) Workers() []*Worker {
	all := make([]*Worker, 0, len(f.ordered))
	for _, w := range f.ordered {
		if w.known {
			all = append(all, w)
		}
	}
	return all
}

// forgetAfter is the silence after which a worker without runs is forgotten.
const forgetAfter = 15 * time.Second

// forgetSilent drops workers that have nothing to do and were not heard for long.
func (f *Fleet) forgetSilent(now time.Time) {
	for _, w := range slices.Clone(f.ordered) {
		if len(w.runs) == 0 && w.noted >= w.seen && now.Sub(w.HeardAt) > forgetAfter {
			f.drop(now, w)
			f.out.Commands = append(f.out.Commands, tbflow.ForgetWorker{Worker: w.ID, Born: w.Born})
		}
	}
	for id, at := range f.droppedAt {
		if now.Sub(at) > f.terms.LongestDelay {
			delete(f.droppedAt, id)
		}
	}
}

// maxUnnamed is how many recorded ends a worker may list before it gets no new tasks: while a
// start is open they are not named, and a list shows only so many.
const maxUnnamed = 100

// Usable reports whether the worker may get a new task now.
func (f *Fleet) Usable(w *Worker, now time.Time) bool {
	return w.known && !w.Draining && !w.Silent && !w.fence && w.clock.known() &&
		w.unnamed < maxUnnamed && now.Sub(w.HeardAt) < f.terms.HeartbeatSilence && !now.Before(w.AvoidUntil)
}

// EachRun calls visit for each run of the worker in no particular order.
func (w *Worker) EachRun(visit func(ref tbflow.TaskRef, r *Run)) {
	for ref, r := range w.runs {
		visit(ref, r)
	}
}

// Run returns what is known of a run at this worker, or nil.
func (w *Worker) Run(ref tbflow.TaskRef) *Run { return w.runs[ref] }

// Heard takes a worker's report; it returns false for one that is outdated.
func (f *Fleet) Heard(now time.Time, r Report) bool {
	w := f.worker(r.ID)
	if r.Born < w.Born || w.known && r.Born == w.Born && r.Sequence <= w.Sequence {
		return false
	}
	for _, other := range f.addressed[r.Address] {
		if other != w && other.known {
			if other.Born > r.Born {
				return false
			}
			f.replace(now, other)
		}
	}
	f.readdress(w, r.Address)
	if w.Born != 0 && r.Born > w.Born {
		f.reborn(now, w, r)
	}
	draining := w.Draining && w.Born == r.Born
	w.Report = r
	w.Draining = r.Draining || draining
	w.known = true
	w.HeardAt = now
	w.clock.take(now, time.Time{}, r.ClockMs, f.terms.ClockRateBound)
	f.tend(now, w)
	return true
}

// Left notes that a worker has ended after it drained.
//
// The message does not name the life; one that does not drain came to life afterwards. A
// worker that is not answered runs on for a while, so that its lease has to end first.
func (f *Fleet) Left(now time.Time, id string) {
	if w := f.workers[id]; w != nil && w.Draining {
		f.out.Notes = append(f.out.Notes, Note{What: "worker signs off", Worker: id, Inputs: w.leaseInputs(now)})
		w.known = false
		f.tend(now, w)
	}
}

// replace gives up all runs of a worker whose address another one has.
func (f *Fleet) replace(now time.Time, w *Worker) {
	w.replaced, w.known = true, false
	w.lapsesAt = now
	f.lose(now, w, "another worker answers at its address")
}

// lose gives up the runs of a worker whose lease has ended.
//
// A run whose order was not answered is kept until the order can no longer take
// effect: a new life under the same id would carry it out, since its clock starts anew.
// A worker with another id refuses it.
func (f *Fleet) lose(now time.Time, w *Worker, why string) {
	c := tbflow.NoteEnds{Worker: w.ID, Born: w.Born}
	for ref, r := range w.runs {
		if r.Phase == RunEnding || r.born != 0 || !w.replaced && r.uncertain() && now.Before(f.settledBy(w, r)) {
			continue
		}
		r.Phase = RunEnding
		c.Ends = append(c.Ends, tbflow.End{Ref: ref, Run: r.Run, Kind: tbflow.EndStopped, Checkpoint: r.Checkpoint})
	}
	if len(c.Ends) > 0 {
		f.out.Commands = append(f.out.Commands, c)
		f.out.Notes = append(f.out.Notes, Note{What: "worker lost", Worker: w.ID, Detail: why, Inputs: w.leaseInputs(now)})
	}
	for ref, r := range w.runs {
		if r.born != 0 && r.Phase != RunEnding && now.After(f.settledBy(w, r)) {
			f.neverRan(w, r.born, ref, r)
		}
	}
}

// uncertain reports whether the run may be at a later life of the worker than the order meant.
//
// Lists of runs tell which life they come from; the answer to a start has only its clock.
func (r *Run) uncertain() bool {
	return r.Phase != RunEnding && !r.listed
}

// settledBy is when an order can have no effect any more, also on a worker that nobody reaches.
//
// A later life that carries the start out late also renews its lease by late orders.
func (f *Fleet) settledBy(w *Worker, r *Run) time.Time {
	if r.Phase == RunGoingOn {
		return r.settledAt.Add(f.lapse(f.terms.LongestLease))
	}
	return maxTime(r.sentAt, w.grantedAt).Add(f.terms.LongestDelay + f.lapse(f.terms.LongestLease))
}

// reborn handles a new life under the same id: whatever ran before has ended.
//
// An order that is still under way would be carried out by the new life. The token
// for this worker rises with each life, so that the first look at the new one fences
// such orders off; runs whose order was not answered are kept until then.
func (f *Fleet) reborn(now time.Time, w *Worker, r Report) {
	var gone []tbflow.End
	kept := map[tbflow.TaskRef]*Run{}
	for ref, run := range w.runs {
		if run.uncertain() {
			run.Phase, run.stopWish, run.stopAt = RunDoubtful, false, time.Time{}
			run.stopAcked = time.Time{}
			if run.born == 0 {
				run.born = w.Born
			}
			kept[ref] = run
			continue
		}
		gone = append(gone, tbflow.End{Ref: ref, Run: run.Run, Kind: tbflow.EndStopped, Checkpoint: run.Checkpoint})
	}
	if len(gone) > 0 {
		f.out.Commands = append(f.out.Commands, tbflow.NoteEnds{Worker: w.ID, Born: w.Born, Ends: gone})
		f.out.Notes = append(f.out.Notes, Note{What: "worker restarted", Worker: w.ID, Detail: "its earlier runs have ended"})
	}
	*w = Worker{
		Report: r, runs: kept, HeardAt: now, serial: w.serial + 1, fence: true, grantedAt: w.grantedAt,
	}
}

// extend returns the lease's new end on the worker's clock, or 0 while that clock is unknown.
//
// An order may be carried out seconds after it was sent, so that the end has to be a time
// that the worker's clock reaches within the lease: a later one would count from whenever
// the order is carried out.
func (f *Fleet) extend(now time.Time, w *Worker) int64 {
	clockMs, ok := w.clock.atLeast(now, f.terms.ClockRateBound)
	if !ok {
		return 0
	}
	w.grantedAt = now
	w.leaseEnd = clockMs + f.terms.Lease.Milliseconds()
	w.lapsesAt = maxTime(w.lapsesAt, now.Add(f.lapse(f.terms.Lease)))
	return w.leaseEnd
}

// leaseInputs are what the leader believes of a worker's lease, for the log.
func (w *Worker) leaseInputs(now time.Time) []any {
	return []any{
		"leaseEndMs", w.leaseEnd, "clockMs", w.clock.ms, "clockAgeMs", w.clock.age(now).Milliseconds(),
		"lapsesInMs", w.lapsesAt.Sub(now).Milliseconds(),
	}
}

func (f *Fleet) target(w *Worker) Target {
	return Target{ID: w.ID, Address: w.Address, Born: w.Born, Token: f.token<<serialBits | w.serial}
}

func (f *Fleet) call(c Call) { f.out.Calls = append(f.out.Calls, c) }
