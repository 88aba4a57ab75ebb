package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// silenceAfter is the time without an answer, while the worker is polled, after which it is recorded as silent. Most workers that are
// slow answer earlier.
const silenceAfter = 2 * time.Second

// silence is the silence of one worker, from its proposal until its end is recorded.
type silence struct {
	// isEnding is true once the end is proposed.
	isEnding bool
}

// isSilent reports whether a worker gets no starts and no renewals of its lease.
func (f *Fleet) isSilent(id string) bool { return f.silences[id] != nil }

// proposeSilences proposes to record the silence of workers, and the end of silences that nothing depends on.
func (f *Fleet) proposeSilences(now time.Time) {
	for _, w := range f.sortedWorkers {
		if w.Unresponsive && now.Sub(f.unansweredFrom(w)) > silenceAfter {
			f.proposeSilence(w.ID)
		}
	}
	for id := range f.silences {
		if !f.dependsOnLease(id) {
			f.endSilence(id)
		}
	}
}

// unansweredFrom returns when the first poll was sent that a worker that does not answer has left unanswered, or when it last answered
// an order or this leader took over, if that was later. Workers without runs are not polled, so that their last answer may be old.
//
// Reports do not count: a worker may send them and get no orders.
func (f *Fleet) unansweredFrom(w *Worker) time.Time {
	return maxTime(maxTime(w.answeredAt, f.takenOverAt), w.pollsFailFrom)
}

// proposeSilence proposes to record that a worker gets no starts and no renewals from now on, if anything depends on its
// lease.
func (f *Fleet) proposeSilence(id string) {
	if f.isSilent(id) || !f.dependsOnLease(id) {
		return
	}
	f.silences[id] = &silence{}
	f.output.Commands = append(f.output.Commands, tbflow.RecordSilent{Worker: id})
}

// dependsOnLease reports whether a task may have to wait for the end of the lease of a worker.
func (f *Fleet) dependsOnLease(id string) bool {
	w := f.workers[id]
	return w != nil && len(w.runs) > 0 || len(f.outstanding.byWorker[id]) > 0
}

// endSilence proposes to record the end of a silence. The lease is renewed only once that is applied, because a later
// leader would otherwise count from the beginning of the silence.
func (f *Fleet) endSilence(id string) {
	if s := f.silences[id]; s != nil && !s.isEnding {
		s.isEnding = true
		f.output.Commands = append(f.output.Commands, tbflow.RecordSilenceEnded{Worker: id})
	}
}
