package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// paceResendPause is the pause between two orders of the same speed.
const paceResendPause = time.Second

// unconfirmedPace is an unanswered order of a speed that may be executed until a time.
type unconfirmedPace struct {
	percent int
	until   time.Time
}

// SetSpeed orders the speed, in percent, of a run that is executing.
func (f *Fleet) SetSpeed(now time.Time, worker string, ref tbflow.TaskRef, percent int) {
	w := f.workers[worker]
	if w == nil || w.runs[ref] == nil || w.runs[ref].Phase != RunExecuting {
		return
	}
	run := w.runs[ref]
	if run.Speed == percent && !run.SpeedUnknown {
		return
	}
	run.Speed, run.SpeedUnknown = percent, false
	f.sendPace(now, w, ref, run)
}

func (f *Fleet) sendPace(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	run.paceSentAt, run.paceUnconfirmed = now, true
	f.send(SetSpeed{Target: f.target(w), Ref: ref, Run: run.Run, Percent: run.Speed, Timeout: f.params.OrderTimeout})
}

// reconcilePace resends a speed that is unconfirmed, or that an earlier order may override.
func (f *Fleet) reconcilePace(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	if run.Phase != RunExecuting || !run.paceUnconfirmed && len(run.unconfirmedPaces) == 0 || now.Sub(run.paceSentAt) < paceResendPause {
		return
	}
	run.unconfirmedPaces = slices.DeleteFunc(run.unconfirmedPaces, func(p unconfirmedPace) bool { return !now.Before(p.until) })
	overridden := slices.ContainsFunc(run.unconfirmedPaces, func(p unconfirmedPace) bool { return p.percent != run.Speed })
	if run.paceUnconfirmed || overridden {
		f.sendPace(now, w, ref, run)
	}
}

// HandleSpeedAnswered handles the answer to SetSpeed.
func (f *Fleet) HandleSpeedAnswered(now time.Time, a SpeedAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.Incarnation != a.Incarnation || w.runs[a.Ref] == nil || w.runs[a.Ref].Run != a.Run {
		return
	}
	run := w.runs[a.Ref]
	switch a.Outcome {
	case Accepted:
		run.paceUnconfirmed = run.paceUnconfirmed && a.Percent != run.Speed
	case Unconfirmed:
		f.out.LogEvents = append(f.out.LogEvents, LogEvent{
			Message: "pace not answered", Worker: w.ID, Ref: a.Ref, Run: a.Run, Inputs: []any{"percent", a.Percent, "ordered", run.Speed},
		})
		run.unconfirmedPaces = append(run.unconfirmedPaces, unconfirmedPace{percent: a.Percent, until: now.Add(f.params.MaxOrderDelay)})
	}
}
