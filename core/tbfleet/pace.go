package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// paceRepeat is the pause between two orders of the same pace.
const paceRepeat = time.Second

// latePace is an order of a pace that was not answered and may be carried out until a time.
type latePace struct {
	percent int
	until   time.Time
}

// SetPace orders a share of speed for a run that is going on.
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
	f.orderPace(now, w, ref, run)
}

func (f *Fleet) orderPace(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	run.pacedAt, run.paceOpen = now, true
	f.call(Pace{Target: f.target(w), Ref: ref, Run: run.Run, Percent: run.Pace, Timeout: f.terms.OrderTimeout})
}

// tendPace orders a pace again that was not confirmed, or that an earlier order may override.
func (f *Fleet) tendPace(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	if run.Phase != RunGoingOn || !run.paceOpen && len(run.latePaces) == 0 || now.Sub(run.pacedAt) < paceRepeat {
		return
	}
	run.latePaces = slices.DeleteFunc(run.latePaces, func(p latePace) bool { return !now.Before(p.until) })
	overridden := slices.ContainsFunc(run.latePaces, func(p latePace) bool { return p.percent != run.Pace })
	if run.paceOpen || overridden {
		f.orderPace(now, w, ref, run)
	}
}

// PaceAnswered takes the answer to Pace.
func (f *Fleet) PaceAnswered(now time.Time, a PaceAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.Born != a.Born || w.runs[a.Ref] == nil || w.runs[a.Ref].Run != a.Run {
		return
	}
	run := w.runs[a.Ref]
	switch a.Verdict {
	case Accepted:
		run.paceOpen = run.paceOpen && a.Percent != run.Pace
	case Unanswered:
		f.out.Notes = append(f.out.Notes, Note{
			What: "pace not answered", Worker: w.ID, Ref: a.Ref, Run: a.Run, Inputs: []any{"percent", a.Percent, "ordered", run.Pace},
		})
		run.latePaces = append(run.latePaces, latePace{percent: a.Percent, until: now.Add(f.terms.LongestDelay)})
	}
}
