package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// speedResendPause is the pause between two orders of the same speed.
const speedResendPause = time.Second

// unansweredSpeed is an unanswered order of a speed, in percent. The worker may still execute the
// order before executableUntil.
type unansweredSpeed struct {
	percent         int
	executableUntil time.Time
}

// SetSpeed orders the speed, in percent, of an executing run. Other runs are ignored.
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
	f.sendSpeed(now, w, ref, run)
}

func (f *Fleet) sendSpeed(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	run.speedSentAt, run.speedUnconfirmed = now, true
	w.nextResendAt = now
	f.addOrder(SetSpeed{Target: f.newTarget(w), Ref: ref, Run: run.Number, Percent: run.Speed, Timeout: f.orderTimeout(w)})
}

// reconcileSpeed resends the ordered speed if it is unconfirmed. It also resends the speed while an
// unanswered order of another speed may still be executed, because that order would override the
// ordered speed.
func (f *Fleet) reconcileSpeed(now time.Time, w *Worker, ref tbflow.TaskRef, run *Run) {
	if run.Phase != RunExecuting || !run.speedUnconfirmed && len(run.unansweredSpeeds) == 0 {
		return
	}
	w.nextResendAt = now
	if now.Sub(run.speedSentAt) < speedResendPause {
		return
	}
	run.unansweredSpeeds = slices.DeleteFunc(run.unansweredSpeeds, func(p unansweredSpeed) bool { return !now.Before(p.executableUntil) })
	mayBeOverridden := slices.ContainsFunc(run.unansweredSpeeds, func(p unansweredSpeed) bool { return p.percent != run.Speed })
	if run.speedUnconfirmed || mayBeOverridden {
		f.sendSpeed(now, w, ref, run)
	}
}

// HandleSpeedAnswered handles the result of a SetSpeed.
func (f *Fleet) HandleSpeedAnswered(now time.Time, a SpeedAnswered) {
	w := f.workers[a.Worker]
	if w == nil || w.Incarnation != a.Incarnation || w.runs[a.Ref] == nil || w.runs[a.Ref].Number != a.Run {
		return
	}
	run := w.runs[a.Ref]
	switch a.Outcome {
	case Accepted:
		run.speedUnconfirmed = run.speedUnconfirmed && a.Percent != run.Speed
	case Unconfirmed:
		f.output.LogEvents = append(f.output.LogEvents, LogEvent{
			Message: "pace not answered", Worker: w.ID, Ref: a.Ref, Run: a.Run, Inputs: []any{"percent", a.Percent, "ordered", run.Speed},
		})
		w.nextResendAt = now
		run.unansweredSpeeds = append(run.unansweredSpeeds, unansweredSpeed{percent: a.Percent, executableUntil: f.executableUntil(now, a.SentBefore)})
	}
}
