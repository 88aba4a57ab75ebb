package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Tick lets time pass: it repeats orders, renews leases and gives up lost workers.
func (f *Fleet) Tick(now time.Time) {
	for _, w := range f.ordered {
		f.tend(now, w)
	}
	f.forgetSilent(now)
}

// tend makes the orders that a worker's state asks for.
func (f *Fleet) tend(now time.Time, w *Worker) {
	if len(w.runs) == 0 && w.noted >= w.seen && !w.Silent && !w.fence {
		return
	}
	if (!w.known || w.Silent) && now.After(w.lapsesAt) {
		f.lose(now, w, "its lease has ended")
	}
	if !w.known {
		return
	}
	for ref, run := range w.runs {
		f.tendRun(now, w, ref, run)
	}
	f.lookIfDue(now, w)
}

func (f *Fleet) tendRun(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	f.tendPace(now, w, ref, run)
	if !run.stopWish || run.Phase == RunEnding || run.Phase == RunOrdered {
		return
	}
	if !run.stopAt.IsZero() && now.Sub(run.stopAt) < stopRepeat {
		return
	}
	run.stopAt = now
	f.call(Stop{Target: f.target(w), Ref: ref, Run: run.Run, Timeout: f.terms.OrderTimeout})
}

// lookIfDue keeps one look open at each worker that runs something.
func (f *Fleet) lookIfDue(now time.Time, w *Worker) {
	if w.looking || now.Before(w.retryAt) || w.proposed > w.seen || !f.takePlace(w) {
		return
	}
	look := Look{Target: f.target(w), Timeout: f.terms.OrderTimeout}
	if w.adopted && !w.Silent && w.noted < w.seen && !w.hasOpenStart() {
		// Another life would forget ends of its own by the numbers of this one's.
		look.Seen = w.seen
		w.naming = true
	}
	settled := w.adopted && !w.Silent && !w.hasDoubt()
	if len(w.runs) > 0 && !w.Silent {
		look.LeaseEndMs = f.extend(now, w)
	}
	if len(w.runs) > 0 && settled {
		look.Wait = f.terms.LookWait
		look.Timeout += look.Wait
	}
	w.looking, w.overtaken = true, false
	f.call(look)
}

// hasOpenStart reports whether a start may still be carried out that no answer has told of.
func (w *Worker) hasOpenStart() bool {
	for _, run := range w.runs {
		if run.Phase == RunOrdered || run.Phase == RunDoubtful && !run.listed {
			return true
		}
	}
	return false
}

// hasDoubt reports whether a run's fate has to be asked for soon.
func (w *Worker) hasDoubt() bool {
	for _, run := range w.runs {
		if run.Phase == RunDoubtful || run.Phase == RunUnknown || run.stopWish {
			return true
		}
	}
	return false
}

// doubtPause is the pause between two looks at a worker with an open question.
const doubtPause = 50 * time.Millisecond

// LookAnswered takes the answer to Look.
func (f *Fleet) LookAnswered(now time.Time, a LookAnswered) {
	defer f.freePlace(now, a)
	w := f.workers[a.Worker]
	if w == nil || w.Born != a.Born {
		return
	}
	w.looking = false
	switch {
	case a.Verdict == OtherLife:
		f.replace(now, w)
		return
	case a.Verdict == Refused && w.overtaken:
		f.tend(now, w)
		return
	case a.Verdict == Accepted && a.ActualBorn > w.Born:
		r := w.Report
		r.Born, r.Sequence, r.Draining, r.ClockMs = a.ActualBorn, 0, false, a.ClockMs
		f.reborn(now, w, r)
		w.known = true
		w.clock.take(now, a.SentAt, a.ClockMs, f.terms.ClockRateBound)
		f.tend(now, w)
		return
	case a.Verdict != Accepted:
		if !w.Silent {
			f.out.Notes = append(f.out.Notes, Note{What: "worker does not answer", Worker: w.ID, Inputs: w.leaseInputs(now)})
		}
		w.Silent = true
		// It may still be carried out, also after the answer to a later one.
		w.passNaming()
		w.retryAt = now.Add(f.terms.RetryPause)
		f.tend(now, w)
		return
	}
	if w.Silent {
		f.out.Notes = append(f.out.Notes, Note{What: "worker answers again", Worker: w.ID})
	}
	if w.fence {
		// Until now an order of an earlier life could have renewed the lease of this one; its
		// end, a time on another clock, would not have kept the lease short.
		w.lapsesAt = maxTime(w.lapsesAt, now.Add(f.lapse(f.terms.LongestLease)))
	}
	w.Silent, w.adopted, w.fence = false, true, false
	w.noted = max(w.noted, a.Seen)
	if a.Seen > 0 {
		w.naming = false
	}
	w.HeardAt = now
	w.retryAt = time.Time{}
	w.clock.take(now, a.SentAt, a.ClockMs, f.terms.ClockRateBound)
	f.takeRunning(now, w, a)
	f.takeEnded(now, w, a)
	if !a.Partial {
		f.settleMissing(w, a)
	}
	if w.hasDoubt() {
		w.retryAt = now.Add(doubtPause)
	}
	f.tend(now, w)
}

func (f *Fleet) takeRunning(now time.Time, w *Worker, a LookAnswered) {
	for _, r := range a.Running {
		run := w.runs[r.Ref]
		if run == nil || run.Run != r.Run {
			if run == nil || run.Run > r.Run {
				f.out.Notes = append(f.out.Notes, Note{
					What: "run is not assigned", Worker: w.ID, Ref: r.Ref, Run: r.Run, Inputs: w.leaseInputs(now),
				})
				f.call(Stop{Target: f.target(w), Ref: r.Ref, Run: r.Run, Timeout: f.terms.OrderTimeout})
			}
			continue
		}
		if run.Phase != RunEnding {
			run.listed = run.listed || run.born == 0
			switch {
			case run.born != 0:
				// A new life carried out an order that was meant for the one before.
				run.stopWish = true
			case run.Phase == RunDoubtful && run.stopAt.IsZero():
				run.stopWish, run.Phase = false, RunGoingOn
			case run.Phase != RunDoubtful:
				run.Phase = RunGoingOn
			}
		}
		run.settledAt = maxTime(run.settledAt, a.SentAt)
		if r.Percent != run.Percent || run.MovedAt.IsZero() || run.Pace < FullPace || run.PaceUnknown || run.paceOpen {
			run.MovedAt = now
		}
		run.Percent, run.Reading, run.ReadAt = r.Percent, r.Reading, now
		if r.Checkpoint != "" {
			run.Checkpoint = r.Checkpoint
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeEnded proposes to record all newly listed ends.
func (f *Fleet) takeEnded(now time.Time, w *Worker, a LookAnswered) {
	through := w.seen
	w.unnamed = 0
	c := tbflow.NoteEnds{Worker: w.ID, Born: w.Born}
	for _, e := range a.Ended {
		if e.Number <= w.seen {
			w.unnamed++
			continue
		}
		through = max(through, e.Number)
		run := w.runs[e.Ref]
		if run == nil || run.Run != e.Run {
			continue
		}
		run.Phase = RunEnding
		end := tbflow.End{Ref: e.Ref, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint}
		if run.born != 0 {
			f.out.Commands = append(f.out.Commands, tbflow.NoteEnds{Worker: w.ID, Born: run.born, Ends: []tbflow.End{end}})
		} else {
			c.Ends = append(c.Ends, end)
		}
		switch e.Kind {
		case tbflow.EndDone:
			w.Failures = 0
		case tbflow.EndFailed:
			f.runFailed(now, w, e.Ref.Job)
		}
	}
	if through > w.seen {
		w.proposed = through
		c.Through = through
		f.out.Commands = append(f.out.Commands, c)
	}
}

// settleMissing gives up runs that the worker neither runs nor lists as ended.
//
// That is final only for a run whose order can no longer take effect: one of an
// earlier leader or life, which the token of this look fences off, or one that this worker
// confirmed to have blocked before the look was sent. A look that was sent before a later
// life was known to have the run may list what an earlier one had.
func (f *Fleet) settleMissing(w *Worker, a LookAnswered) {
	listed := make(map[tbflow.TaskRef]bool, len(a.Running))
	for _, r := range a.Running {
		if run := w.runs[r.Ref]; run != nil && run.Run == r.Run {
			listed[r.Ref] = true
		}
	}
	for ref, run := range w.runs {
		if listed[ref] || run.Phase == RunEnding {
			continue
		}
		blocked := !run.stopAcked.IsZero() && a.SentAt.After(run.stopAcked)
		earlier := run.born != 0 && a.SentAt.After(run.settledAt)
		switch {
		case run.Phase == RunUnknown, earlier, blocked:
			f.neverRan(w, w.recordedBorn(run), ref, run)
		case run.Phase == RunGoingOn && a.SentAt.After(run.settledAt):
			run.stopWish = true
		}
	}
}

// recordedBorn returns the life under which the state holds a run.
func (w *Worker) recordedBorn(run *Run) int64 {
	if run.born != 0 {
		return run.born
	}
	return w.Born
}
