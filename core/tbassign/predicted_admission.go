package tbassign

import (
	"hash/fnv"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbforecast"
)

// A class has too little room for all that callers ask of it. A job whose result will come too late for its caller
// takes room that the jobs behind it need, and its caller learns of it only at the end. Such a job is refused at once:
// it has not run, and the caller is told when the backlog will have drained.
//
// Long-running tasks hold their room for a minute or longer, and short jobs come again and again. If long-running jobs
// may fill the room down to the last piece whenever a burst of short jobs ends, all short jobs of the next minute are
// late. A new long-running job is therefore accepted only into the room that the expected short jobs of its priority or
// a higher one leave.

// RefusalReason says why a job is refused.
type RefusalReason string

// Reasons to refuse a job.
const (
	// BacklogTooLong means that the backlog of the class takes too long to drain.
	BacklogTooLong RefusalReason = "backlogTooLong"
	// EndsTooLate means that the job is predicted to end when its result is of no use.
	EndsTooLate RefusalReason = "endsTooLate"
	// RoomForShortJobs means that a long-running job would take the room of the short jobs that are expected.
	RoomForShortJobs RefusalReason = "roomForShortJobs"
	// StartsTooLate means that the leader makes starts too slowly for the job to end while its result is of use.
	StartsTooLate RefusalReason = "startsTooLate"
)

// Admission is the decision whether a job is accepted, and what it was made from.
type Admission struct {
	// Reason is empty if the job is accepted.
	Reason RefusalReason
	// RetryAfter is the delay after which a refused caller should try again.
	RetryAfter time.Duration
	// Predicted is when the job is predicted to end. It is the zero value if nothing was predicted.
	Predicted tbforecast.Prediction
	// Objective is the time in which the job has to end to be on time.
	Objective time.Duration
	// Kept is the processors that are kept for expected short jobs, and Left what was left beside them for a refused
	// long-running job; it may be negative.
	Kept float64
	Left float64
}

// IsAccepted reports whether the job is accepted.
func (a Admission) IsAccepted() bool { return a.Reason == "" }

// Outcome says in one word what the result of an accepted job was worth to its caller.
func (a Admission) Outcome(took time.Duration) string {
	switch {
	case took <= a.Objective:
		return "onTime"
	case took <= usefulFactor*a.Objective:
		return "late"
	}
	return "tooLate"
}

const (
	// maxShortShare is the largest share of the processors of a class that expected short jobs keep from long-running
	// ones.
	maxShortShare = 0.5
	// minLongRunningShare is the share of a long-running job that has to find room. Its other tasks may wait for tasks
	// that end.
	minLongRunningShare = 0.5
)

// Admit decides whether a job may be accepted.
func Admit(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, q *tbflow.Queue, job *tbflow.Job) Admission {
	if !l.Features.PredictedAdmission {
		accepted, retryAfter := admitByBacklog(now, s, f, l, q, job)
		if !accepted {
			return Admission{Reason: BacklogTooLong, RetryAfter: retryAfter}
		}
		return Admission{}
	}
	// The queue's settings are copied into a job only when it is applied.
	j := *job
	j.Queue = q.Key
	switch {
	case j.Steps[0].LongRunning:
		return admitLongRunning(now, s, f, l, q, &j)
	case j.Repeat > 0:
		// The occurrences are due later, and what will be waiting then is not known.
		return Admission{}
	}
	return admitByPrediction(now, s, f, l, q, &j)
}

// admitByPrediction decides by the predicted end of a job.
func admitByPrediction(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, q *tbflow.Queue, j *tbflow.Job) Admission {
	load, work := l.loadOf(q.WorkerClass), workOf(l, j)
	_, path := remainingTimes(j, l)
	objective := time.Duration(q.Slack*float64(path)) + q.Target
	a := Admission{Objective: objective}
	waiting, processors := &load.short, load.shortProcessors+load.freeProcessors
	if j.Steps[0].BestEffort {
		waiting, processors = &load.bestEffort, load.bestEffortProcessors
	}
	nowMs := s.TimeAt(now)
	own := waitingWork{
		priority: q.Priority, dataCentre: l.dataCentreOf(j), latestStartMs: nowMs + (objective - path).Milliseconds(), work: work,
	}
	lateStartMs := nowMs + (usefulFactor*objective - path).Milliseconds()
	ahead := workAhead(*waiting, own, lateStartMs)
	if ahead.Total() == 0 || !load.roomIsKnown {
		a.Predicted.End = path
	} else {
		a.Predicted = tbforecast.Predict(
			tbforecast.Load{Ahead: ahead, Processors: processors},
			tbforecast.Job{Work: work, Path: path, Objective: objective, Useful: usefulFactor * objective},
		)
		if !a.Predicted.IsUseful() && !fitsNow(now, s, f, q.WorkerClass, &j.Steps[0]) {
			a.Reason, a.RetryAfter = EndsTooLate, stagger(j.ID, min(a.Predicted.Excess, usefulFactor*objective))
			return a
		}
		if a.Predicted.End > objective {
			own.isLate, own.latestStartMs = true, lateStartMs
		}
	}
	if own.starts = startsOf(j.Steps); own.starts > 0 {
		start, duration := l.startRate.timeFor(startsAhead(*waiting, own, lateStartMs)), max(path, l.startRate.timeFor(own.starts))
		if excess := start + duration - usefulFactor*objective; start > 0 && excess > 0 {
			a.Predicted = tbforecast.Prediction{Start: start, End: start + duration, Excess: excess}
			a.Reason, a.RetryAfter = StartsTooLate, stagger(j.ID, min(excess, usefulFactor*objective))
			return a
		}
	}
	*waiting = appendWork(*waiting, own)
	if !j.Steps[0].BestEffort {
		l.observeArrival(now, q.WorkerClass, q.Priority, work)
	}
	return a
}

// admitLongRunning decides by the room that is left to a long-running job.
func admitLongRunning(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, q *tbflow.Queue, j *tbflow.Job) Admission {
	load := l.loadOf(q.WorkerClass)
	need := 0.0
	for i := range j.Steps {
		need += float64(j.Steps[i].Count) * float64(j.Steps[i].Need.MilliProcessors) / 1000
	}
	kept := l.expectedShort(now, q.WorkerClass, q.Priority)
	if kept*1000 >= minShortPeak*max(1, l.shortDemands[q.WorkerClass].millicores) {
		room := l.roomFor(s, f, q.WorkerClass, &j.Steps[0])
		if room.capacity == 0 {
			// No worker is known, or none takes tasks now. The job waits for one.
			return Admission{}
		}
		kept = min(kept, maxShortShare*room.capacity)
		left := room.slots + assignedShort(s)[q.WorkerClass] - kept + room.pieces - load.longRunningWaiting
		if left < minLongRunningShare*need {
			return Admission{Reason: RoomForShortJobs, RetryAfter: stagger(j.ID, q.Target), Kept: kept, Left: left}
		}
	}
	load.longRunningWaiting += need
	return Admission{}
}

// classRoom is the room of a class in processors.
type classRoom struct {
	// capacity is what the workers have, slots what is free for whole short tasks, and pieces what tasks of a
	// long-running step could take of the rest.
	capacity, slots, pieces float64
}

func (l *Learner) roomFor(s *tbflow.State, f *tbfleet.Fleet, class string, step *tbflow.Step) classRoom {
	var room classRoom
	demand := l.shortDemands[class]
	for i := range f.Size() {
		w := f.WorkerAt(i)
		if w == nil || w.Class != class || !mayTakeTasks(s, w) {
			continue
		}
		free := w.Capacity.Sub(s.Usage(w.ID).Reserved)
		slots := demand.wholeSlots(free)
		room.capacity += float64(w.Capacity.MilliProcessors) / 1000
		room.slots += slots
		if need := step.Need.MilliProcessors; need > 0 && step.Need.Fits(free) {
			tasks := max(0, free.MilliProcessors-int64(slots*1000)) / need
			room.pieces += float64(tasks*need) / 1000
		}
	}
	return room
}

// fitsNow reports whether all tasks of a step fit on the workers at present.
func fitsNow(now time.Time, s *tbflow.State, f *tbfleet.Fleet, class string, step *tbflow.Step) bool {
	fitting := 0
	need := step.Need
	if step.BestEffort {
		need = withoutProcessors(need)
	}
	for i := 0; i < f.Size() && fitting < step.Count; i++ {
		w := f.WorkerAt(i)
		if w == nil || w.Class != class || !f.Usable(w, now) || s.IsEvacuated(w.DataCentre) || !satisfiesConstraints(step, w, 0) {
			continue
		}
		use := s.Usage(w.ID)
		free := w.Capacity.Sub(use.Reserved)
		unused := w.Capacity.MilliProcessors - int64(longRunningUtilization*float64(use.Reserved.MilliProcessors)) - use.BestEffortMilliProcessors
		for n := 0; fitting < step.Count && need.Fits(free) && (step.SpreadLimit <= 0 || n < step.SpreadLimit); n++ {
			if step.BestEffort {
				if unused -= step.Need.MilliProcessors; unused < 0 {
					break
				}
			}
			free = free.Sub(need)
			fitting++
		}
	}
	return fitting >= step.Count
}

// staggerShare is the part of a delay over which the returns of refused callers are spread.
const staggerShare = 1.0

// stagger lengthens the delay of a refused caller by a part that depends on the job, so that callers that were refused
// together do not return together.
func stagger(jobID string, delay time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(jobID))
	return delay + time.Duration(staggerShare*float64(max(delay, time.Second))*float64(h.Sum32()%1024)/1024)
}
