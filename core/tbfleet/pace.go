package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// paceResendPause is the pause between two orders of the same pace.
const paceResendPause = time.Second

// unconfirmedPace is an unanswered order of a pace that may be executed until a time.
type unconfirmedPace struct {
	percent int
	until   time.Time
}

// SetPace orders the speed, in percent, of a run that is going on.
func (f *Fleet) SetPace(now time.Time, worker string, ref tbflow.TaskRef, percent int) {
	w := f.workers[worker]
	if w == nil || w.runs[ref] == nil || w.runs[ref].Phase != RunGoingOn {
		return
	}
	run := w.runs[ref]
	if run.Pace == percent && !run.PaceUnknown {
		return
	}
	run.Pace, run.PaceUnknown = percent, false
	f.sendPace(now, w, ref, run)
}

func (f *Fleet) sendPace(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	run.paceSentAt, run.paceUnconfirmed = now, true
	f.send(Pace{Target: f.target(w), Ref: ref, Run: run.Run, Percent: run.Pace, Timeout: f.params.OrderTimeout})
}

// reconcilePace resends a pace that is unconfirmed, or that an earlier order may override.
func (f *Fleet) reconcilePace(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	if run.Phase != RunGoingOn || !run.paceUnconfirmed && len(run.unconfirmedPaces) == 0 || now.Sub(run.paceSentAt) < paceResendPause {
		return
	}
	run.unconfirmedPaces = slices.DeleteFunc(run.unconfirmedPaces, func(p unconfirmedPace) bool { return !now.Before(p.until) })
	overridden := slices.ContainsFunc(run.unconfirmedPaces, func(p unconfirmedPace) bool { return p.percent != run.Pace })
	if run.paceUnconfirmed || overridden {
		f.sendPace(now, w, ref, run)
	}
}

// PaceAnswered handles the answer to Pace.
func (f *Fleet) PaceAnswered(now time.Time, a PaceAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.Born != a.Born || w.runs[a.Ref] == nil || w.runs[a.Ref].Run != a.Run {
		return
	}
	run := w.runs[a.Ref]
	switch a.Verdict {
	case Accepted:
		run.paceUnconfirmed = run.paceUnconfirmed && a.Percent != run.Pace
	case Unanswered:
		f.out.Notes = append(f.out.Notes, Note{
			What: "pace not answered", Worker: w.ID, Ref: a.Ref, Run: a.Run, Inputs: []any{"percent", a.Percent, "ordered", run.Pace},
		})
		run.unconfirmedPaces = append(run.unconfirmedPaces, unconfirmedPace{percent: a.Percent, until: now.Add(f.params.LongestDelay)})
	}
}
