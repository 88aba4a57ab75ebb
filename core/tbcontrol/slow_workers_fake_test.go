package tbcontrol_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// delayOf returns the time that an order takes to a worker, and that its answer takes back.
func (s *loadSimulation) delayOf(worker string) time.Duration {
	if d, ok := s.slowWorkers[worker]; ok {
		return d
	}
	return s.workerDelay
}

func targetOf(o tbfleet.Order) tbfleet.Target {
	switch o := o.(type) {
	case tbfleet.Start:
		return o.Target
	case tbfleet.Stop:
		return o.Target
	case tbfleet.SetSpeed:
		return o.Target
	case tbfleet.Poll:
		return o.Target
	}
	panic("unknown order")
}

// answerInTime delivers the answer of a worker, or at the deadline that there was none.
func (s *loadSimulation) answerInTime(r *loadReplica, deadline time.Time, ev tbcontrol.Event) {
	s.answerInTimeAfter(0, r, deadline, ev)
}

// answerInTimeAfter is answerInTime for a worker that takes d until it answers.
func (s *loadSimulation) answerInTimeAfter(d time.Duration, r *loadReplica, deadline time.Time, ev tbcontrol.Event) {
	worker, unanswered := "", ev
	switch ev := ev.(type) {
	case tbcontrol.StartAnswered:
		worker = ev.Answer.Worker
		ev.Answer.Outcome, ev.Answer.ClockMs = tbfleet.Unconfirmed, 0
		unanswered = ev
	case tbcontrol.StopAnswered:
		worker = ev.Answer.Worker
		ev.Answer.Outcome = tbfleet.Unconfirmed
		unanswered = ev
	case tbcontrol.SpeedAnswered:
		worker = ev.Answer.Worker
		ev.Answer.Outcome = tbfleet.Unconfirmed
		unanswered = ev
	case tbcontrol.PollAnswered:
		worker = ev.Answer.Worker
		a := ev.Answer
		ev.Answer = tbfleet.PollAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: a.SentAt, LastRecordedEnd: a.LastRecordedEnd, LeaseEndMs: a.LeaseEndMs}
		unanswered = ev
	}
	delay := s.delayOf(worker) + d
	if s.now.Add(delay).After(deadline) {
		s.answerAfter(max(0, deadline.Sub(s.now)), r, unanswered)
		return
	}
	s.answerAfter(delay, r, ev)
}

func (s *loadSimulation) renewLease(w *loadWorker, endMs int64) {
	w.leaseEndMs = max(w.leaseEndMs, endMs)
	if !w.watchesLease {
		w.watchesLease = true
		s.watchLease(w)
	}
}

// watchLease ends the runs of a worker at the end of its lease.
func (s *loadSimulation) watchLease(w *loadWorker) {
	if left := time.Duration(w.leaseEndMs-s.clockMs()) * time.Millisecond; left > 0 {
		s.at(s.now.Add(left), func() { s.watchLease(w) })
		return
	}
	w.watchesLease = false
	for _, ref := range sortedRefs(w.running) {
		s.end(w, ref, w.running[ref].number, tbflow.EndStopped)
	}
}

func sortedRefs(running map[tbflow.TaskRef]loadRun) []tbflow.TaskRef {
	return slices.SortedFunc(maps.Keys(running), func(a, b tbflow.TaskRef) int { return strings.Compare(a.String(), b.String()) })
}
