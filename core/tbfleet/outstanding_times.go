package tbfleet

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// OutstandingTimes holds when one replica applied the records of outstanding starts and of silences, on its own clock.
// If the replica takes over, it counts the longest delay of these starts, and of renewals for silent workers, from then.
// This is not too early, however late the replica is: a start is issued before its record is proposed, no renewal is
// issued after the record of a silence is proposed, and a record is applied after it was proposed.
type OutstandingTimes struct {
	byTask map[tbflow.TaskRef][]appliedStart
	// silentSince holds when the silence of each silent worker was applied.
	silentSince map[string]time.Time
}

// appliedStart is an outstanding start whose record was applied.
type appliedStart struct {
	tbflow.OutstandingStart
	// at is when the record was applied, or zero if the start may have been sent later.
	at time.Time
}

// NewOutstandingTimes returns the times of a replica that reads the state from a snapshot now.
func NewOutstandingTimes(now time.Time, s *tbflow.State) *OutstandingTimes {
	t := &OutstandingTimes{byTask: map[tbflow.TaskRef][]appliedStart{}, silentSince: map[string]time.Time{}}
	for id := range s.Silent {
		t.silentSince[id] = now
	}
	for ref := range s.Outstanding {
		t.update(now, s, ref)
	}
	return t
}

// HandleApplied notes the outstanding starts that a command has recorded or settled. The state may be that after
// further commands.
func (t *OutstandingTimes) HandleApplied(now time.Time, s *tbflow.State, c tbflow.Command) {
	switch c := c.(type) {
	case tbflow.RecordSilent:
		t.silentSince[c.Worker] = now
	case tbflow.RecordSilenceEnded:
		delete(t.silentSince, c.Worker)
	}
	if len(t.byTask) == 0 && len(s.Outstanding) == 0 {
		return
	}
	switch c := c.(type) {
	case tbflow.RecordUnanswered:
		for _, r := range c.Runs {
			t.update(now, s, r.Ref)
		}
	case tbflow.RecordSettled:
		for _, settled := range c.Starts {
			t.update(now, s, settled.Ref)
		}
	case tbflow.RecordEnds:
		for _, e := range c.Ends {
			t.update(now, s, e.Ref)
		}
	}
}

// RemoveExpired removes the starts of jobs that are not kept any more. It has to be called before another job can
// have the same ID, which is after each batch of commands.
func (t *OutstandingTimes) RemoveExpired(s *tbflow.State) {
	if len(t.byTask) == len(s.Outstanding) {
		return
	}
	for ref := range t.byTask {
		if len(s.Outstanding[ref]) == 0 {
			delete(t.byTask, ref)
		}
	}
}

// update adds and removes starts of a task, so that they are those of the state.
func (t *OutstandingTimes) update(now time.Time, s *tbflow.State, ref tbflow.TaskRef) {
	starts := s.Outstanding[ref]
	known := t.byTask[ref]
	if len(starts) == 0 {
		delete(t.byTask, ref)
		return
	}
	applied := make([]appliedStart, len(starts))
	for i, start := range starts {
		applied[i] = appliedStart{OutstandingStart: start, at: now}
		if at := slices.IndexFunc(known, func(a appliedStart) bool { return a.OutstandingStart == start }); at >= 0 {
			applied[i].at = known[at].at
		} else if isDone(s, ref) {
			// The end of an earlier run has made the start outstanding. A slow leader may not have sent it yet.
			applied[i].at = time.Time{}
		}
	}
	t.byTask[ref] = applied
}

func isDone(s *tbflow.State, ref tbflow.TaskRef) bool {
	j := s.Jobs[ref.Job]
	return j != nil && j.Task(ref) != nil && j.Task(ref).Phase == tbflow.TaskDone
}

// issuedBefore returns a time before which the start was issued by a leader whose successor takes over now.
func (t *OutstandingTimes) issuedBefore(now time.Time, o *outstandingStart) time.Time {
	for _, a := range t.byTask[o.ref] {
		if a.OutstandingStart == o.OutstandingStart && !a.at.IsZero() {
			return a.at
		}
	}
	return now
}

// renewedBefore returns a time before which an earlier leader last sent a start or a renewal of the lease to a worker,
// if another leader takes over now. No leader does so after it has proposed to record the silence of the worker.
func (t *OutstandingTimes) renewedBefore(now time.Time, worker string) time.Time {
	if since, ok := t.silentSince[worker]; ok {
		return since
	}
	return now
}
